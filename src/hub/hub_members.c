#include "hub/hub_internal.h"

#include <string.h>

#include "members/roster.h"

/// A member that is silent for less than this is taken to be restarting.
#define HUB_LOST_US (5 * USEC_PER_SEC)
#define HUB_MIN_VOTERS 3

/// Index of a member's data centre in the settings; their number if unknown.
static uint32_t
data_centre_index(const struct hub *h, const struct hub_peer *p, uint32_t id)
{
	const struct bootstrap_settings *s = &h->settings;
	const char *name =
	    (id & RAFT_SLOT_MASK) == h->slot ? s->data_centre : p->data_centre;

	for (uint32_t i = 0; i < s->n_zones; i++) {
		if (strcmp(s->zones[i], name) == 0)
			return i;
	}
	return s->n_zones;
}

/// Fills in what the log doesn't know of a member: its data centre, and that a
/// short silence doesn't make it inactive.
static bool
fill_member(void *arg, const struct replica_status *st, struct member_info *m)
{
	struct hub *h = arg;
	struct hub_peer *p = hub_peer(h, m->id & RAFT_SLOT_MASK);
	const uint64_t now = loop_now_us(h->loop);

	m->data_centre = data_centre_index(h, p, m->id);
	if (p == NULL)
		return true;
	if (m->active) {
		p->silent_since_us = 0;
		return true;
	}
	if (roster_is_superseded(st, m->id))
		return true;
	if (p->silent_since_us == 0)
		p->silent_since_us = now;
	m->active = now - p->silent_since_us < HUB_LOST_US;
	return true;
}

static void
on_members_changed(
    void *arg, enum status status, const uint8_t *result, size_t len)
{
	struct hub *h = arg;

	(void)result;
	(void)len;
	h->changing_members = false;
	logger_event(LOGGER_INFO, "group.members_changed", "status=%s",
	    status_name(status));
}

static void
start_change(struct hub *h, uint32_t id, bool voter, bool remove)
{
	logger_event(LOGGER_INFO, "group.members_change", "member=%u change=%s",
	    id,
	    remove      ? "remove"
		: voter ? "promote"
			: "add");
	h->changing_members = true;
	replica_change_member(
	    h->group, id, voter, remove, on_members_changed, h);
}

/// Starts the next membership change: the group is to have enough voters to
/// lose as many VMs as the settings tolerate. One change runs at a time.
void
hub_members_tick(struct hub *h)
{
	const uint32_t want_voters = 2 * h->settings.tolerance.vms + 1;
	struct replica_status st;
	struct member_inputs w;
	struct member_change step;

	if (h->changing_members || h->stopping)
		return;
	replica_status(h->group, &st);
	roster_build(&st, MAX(want_voters, HUB_MIN_VOTERS), fill_member, h, &w);
	step = member_next_change(&w);
	switch (step.kind) {
	case MEMBER_NOTHING:
		break;
	case MEMBER_ADD:
		start_change(h, step.id, false, false);
		break;
	case MEMBER_PROMOTE:
		start_change(h, step.id, true, false);
		break;
	case MEMBER_REMOVE:
		start_change(h, step.id, false, true);
		break;
	case MEMBER_TRANSFER:
		logger_event(LOGGER_INFO, "group.hand_over", "to=%u", step.id);
		replica_transfer_leader(h->group, step.id);
		break;
	}
}
