#include "control/control_internal.h"

#include <string.h>

#include "members/roster.h"

/// A process that is silent for so long counts as lost, and a standby takes
/// its place. Shorter silences are restarts.
#define CONTROL_LOST_US (5 * USEC_PER_SEC)

static const struct settings_peer *
peer_of(const struct control *c, uint32_t id, uint32_t *at)
{
	for (uint32_t i = 0; i < c->settings.n_control; i++) {
		if (c->settings.control[i].id == (id & RAFT_SLOT_MASK)) {
			*at = i;
			return &c->settings.control[i];
		}
	}
	return NULL;
}

/// Index that is equal for processes in one data centre.
static uint32_t
data_centre_index(const struct control *c, const char *name)
{
	for (uint32_t i = 0; i < c->settings.n_control; i++) {
		if (strcmp(c->settings.control[i].data_centre, name) == 0)
			return i;
	}
	return c->settings.n_control;
}

/// A member that is silent counts as lost after a while, so that a restart
/// doesn't.
static bool
is_lost(struct control_group *g, uint32_t at, const struct replica_status *st,
    uint32_t id, bool active, uint64_t now_us)
{
	uint64_t *since = &g->silent_since_us[at];

	if (!active && roster_is_superseded(st, id))
		return true;
	if (active) {
		*since = 0;
		return false;
	}
	if (*since == 0)
		*since = now_us;
	return now_us - *since >= CONTROL_LOST_US;
}

/// What is known of a member beside the log.
static bool
fill(void *arg, const struct replica_status *st, struct member_info *m)
{
	struct control_group *g = arg;
	struct control *c = g->co;
	const struct spec_data_centre *d;
	const struct settings_peer *p;
	uint32_t at = 0;

	p = peer_of(c, m->id, &at);
	if (p == NULL)
		return false;
	d = catalog_data_centre(c->config, p->data_centre);
	m->data_centre = data_centre_index(c, p->data_centre);
	m->draining = d != NULL && d->reclaiming;
	m->active = !is_lost(g, at, st, m->id, m->active, loop_now_us(c->loop));
	return true;
}

static uint32_t
count_wanted(const struct settings *s)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->n_control; i++)
		n += !s->control[i].standby;
	return n;
}

static void
on_changed(void *arg, enum status status, const uint8_t *result, size_t len)
{
	struct control_group *g = arg;

	(void)result;
	(void)len;
	g->changing = false;
	logger_event(LOGGER_INFO, "group.members_changed", "group=%u status=%s",
	    g->number, status_name(status));
}

static void
change(struct control_group *g, uint32_t id, bool voter, bool remove)
{
	logger_event(LOGGER_INFO, "group.members_change",
	    "group=%u id=%u voter=%d remove=%d", g->number, id, voter, remove);
	g->changing = true;
	replica_change_member(g->replica, id, voter, remove, on_changed, g);
}

static void
tend(struct control_group *g)
{
	struct replica_status st;
	struct member_inputs w;
	struct member_change step;

	replica_status(g->replica, &st);
	roster_build(&st, count_wanted(&g->co->settings), fill, g, &w);
	step = member_next_change(&w);
	switch (step.kind) {
	case MEMBER_NOTHING:
		break;
	case MEMBER_ADD:
		change(g, step.id, false, false);
		break;
	case MEMBER_PROMOTE:
		change(g, step.id, true, false);
		break;
	case MEMBER_REMOVE:
		change(g, step.id, false, true);
		break;
	case MEMBER_TRANSFER:
		logger_event(
		    LOGGER_INFO, "group.hand_over", "group=%u", g->number);
		replica_transfer_leader(g->replica, step.id);
		break;
	}
}

/// Does the next step towards the wanted voters in each group that this
/// process leads.
void
control_members_tick(struct control *c)
{
	for (uint32_t i = 0; i < CONTROL_GROUPS; i++) {
		struct control_group *g = &c->groups[i];

		if (control_is_leader(c, i) && !g->changing)
			tend(g);
	}
}
