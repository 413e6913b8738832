#include "control/control_internal.h"

#include <string.h>

#include "members/roster.h"

/// A control process that is unreachable for this time counts as lost, and a
/// standby replaces it. A shorter time without contact is taken for a restart.
#define CONTROL_LOST_US (5 * USEC_PER_SEC)

/// Settings of a group member, or NULL.
///
/// @param index  receives its index in the settings
static const struct settings_peer *
peer_of(const struct control *c, uint32_t id, uint32_t *index)
{
	for (uint32_t i = 0; i < c->settings.n_control; i++) {
		if (c->settings.control[i].id == (id & RAFT_SLOT_MASK)) {
			*index = i;
			return &c->settings.control[i];
		}
	}
	return NULL;
}

/// Number of a data centre: the index of the first control process in it.
///
/// @return n_control if no control process is in it
static uint32_t
data_centre_index(const struct control *c, const char *name)
{
	for (uint32_t i = 0; i < c->settings.n_control; i++) {
		if (strcmp(c->settings.control[i].data_centre, name) == 0)
			return i;
	}
	return c->settings.n_control;
}

/// Whether a member is lost: unreachable for CONTROL_LOST_US, so that a
/// restart doesn't count, or superseded (roster_is_superseded()).
static bool
is_lost(struct control_group *g, uint32_t index,
    const struct replica_status *st, uint32_t id, bool active, uint64_t now_us)
{
	uint64_t *since = &g->unreachable_since_us[index];

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

/// Fills in what the replicated log doesn't know of a member: its data centre,
/// whether that is being reclaimed, and whether the process is lost.
static bool
fill_member_info(
    void *arg, const struct replica_status *st, struct member_info *m)
{
	struct control_group *g = arg;
	struct control *c = g->control;
	const struct spec_data_centre *d;
	const struct settings_peer *p;
	uint32_t index = 0;

	p = peer_of(c, m->id, &index);
	if (p == NULL)
		return false;
	d = catalog_data_centre(c->config, p->data_centre);
	m->data_centre = data_centre_index(c, p->data_centre);
	m->draining = d != NULL && d->reclaiming;
	m->active =
	    !is_lost(g, index, st, m->id, m->active, loop_now_us(c->loop));
	return true;
}

static uint32_t
count_configured_voters(const struct settings *s)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->n_control; i++)
		n += !s->control[i].standby;
	return n;
}

/// Ends a membership change that was committed or has failed.
static void
on_member_changed(
    void *arg, enum status status, const uint8_t *result, size_t len)
{
	struct control_group *g = arg;

	(void)result;
	(void)len;
	g->member_change_pending = false;
	logger_event(LOGGER_INFO, "group.members_changed", "group=%u status=%s",
	    g->number, status_name(status));
}

static void
start_member_change(
    struct control_group *g, uint32_t id, bool voter, bool remove)
{
	logger_event(LOGGER_INFO, "group.members_change",
	    "group=%u id=%u voter=%d remove=%d", g->number, id, voter, remove);
	g->member_change_pending = true;
	replica_change_member(
	    g->replica, id, voter, remove, on_member_changed, g);
}

static void
step_membership(struct control_group *g)
{
	struct replica_status st;
	struct member_inputs inputs;
	struct member_change step;

	replica_status(g->replica, &st);
	roster_build(&st, count_configured_voters(&g->control->settings),
	    fill_member_info, g, &inputs);
	step = member_next_change(&inputs);
	switch (step.kind) {
	case MEMBER_NOTHING:
		break;
	case MEMBER_ADD:
		start_member_change(g, step.id, false, false);
		break;
	case MEMBER_PROMOTE:
		start_member_change(g, step.id, true, false);
		break;
	case MEMBER_REMOVE:
		start_member_change(g, step.id, false, true);
		break;
	case MEMBER_TRANSFER:
		// This leader is to be removed as a voter: another one leads
		// first.
		logger_event(
		    LOGGER_INFO, "group.hand_over", "group=%u", g->number);
		replica_transfer_leader(g->replica, step.id);
		break;
	}
}

/// Starts the next membership change towards the configured number of voters
/// in each group that this process leads, if none is in flight.
void
control_members_tick(struct control *c)
{
	for (uint32_t i = 0; i < CONTROL_GROUPS; i++) {
		struct control_group *g = &c->groups[i];

		if (control_is_leader(c, i) && !g->member_change_pending)
			step_membership(g);
	}
}
