#include "hub/hb_internal.h"

#include <string.h>

#include "placement/mb.h"

/// Shorter silences of a member are restarts.
#define HB_LOST_US (5 * TM_US_PER_S)
#define HB_LEAST_VOTERS 3

static bool
slot_is_among(const uint32_t *ids, uint32_t n, uint32_t id)
{
	for (uint32_t i = 0; i < n; i++) {
		if (ids[i] != id &&
		    (ids[i] & RL_SLOT_MASK) == (id & RL_SLOT_MASK))
			return true;
	}
	return false;
}

/// Whether a process came back with another disk: the member that it was is
/// lost for good.
static bool
is_superseded(const struct gp_status *st, uint32_t id)
{
	return slot_is_among(st->members.voters, st->members.n_voters, id) ||
	    slot_is_among(st->members.learners, st->members.n_learners, id) ||
	    slot_is_among(st->joiners, st->n_joiners, id);
}

static uint32_t
data_centre_index(const struct hb *h, const struct hb_peer *p, uint32_t id)
{
	const struct ds_settings *s = &h->settings;
	const char *name =
	    (id & RL_SLOT_MASK) == h->slot ? s->data_centre : p->data_centre;

	for (uint32_t i = 0; i < s->n_zones; i++) {
		if (strcmp(s->zones[i], name) == 0)
			return i;
	}
	return s->n_zones;
}

static bool
is_active(struct hb_peer *p, const struct gp_status *st,
    const struct mb_member *m, uint64_t now_us)
{
	if (m->active) {
		p->silent_since_us = 0;
		return true;
	}
	if (is_superseded(st, m->id))
		return false;
	if (p->silent_since_us == 0)
		p->silent_since_us = now_us;
	return now_us - p->silent_since_us < HB_LOST_US;
}

static void
add(struct hb *h, struct mb_world *w, const struct gp_status *st,
    const struct mb_member *member, uint64_t now_us)
{
	struct hb_peer *p = hb_peer(h, member->id & RL_SLOT_MASK);
	struct mb_member *m = &w->members[w->n];

	if (w->n == MB_MAX_MEMBERS)
		return;
	*m = *member;
	m->data_centre = data_centre_index(h, p, member->id);
	if (p != NULL)
		m->active = is_active(p, st, member, now_us);
	m->synced = member->synced && member->active;
	w->n++;
}

static void
make_world(struct hb *h, struct mb_world *w, uint64_t now_us)
{
	const uint32_t want = 2 * h->settings.tolerance.vms + 1;
	struct gp_status st;

	gp_status(h->group, &st);
	w->self = st.self;
	w->want_voters = MAX(want, HB_LEAST_VOTERS);
	for (uint32_t i = 0; i < st.members.n_voters; i++) {
		const struct mb_member m = {
			.id = st.members.voters[i],
			.kind = MB_VOTER,
			.active = st.active[i],
			.synced = true,
		};

		add(h, w, &st, &m, now_us);
	}
	for (uint32_t i = 0; i < st.members.n_learners; i++) {
		const uint32_t at = st.members.n_voters + i;
		const struct mb_member m = {
			.id = st.members.learners[i],
			.kind = MB_LEARNER,
			.active = st.active[at],
			.synced = st.match[at] >= st.commit,
		};

		add(h, w, &st, &m, now_us);
	}
	for (uint32_t i = 0; i < st.n_joiners; i++) {
		const struct mb_member m = {
			.id = st.joiners[i],
			.kind = MB_JOINER,
			.active = true,
		};

		add(h, w, &st, &m, now_us);
	}
}

static void
on_changed(void *arg, enum st status, const uint8_t *result, size_t len)
{
	struct hb *h = arg;

	(void)result;
	(void)len;
	h->changing = false;
	lg_event(
	    LG_INFO, "group.members_changed", "status=%s", st_name(status));
}

static void
change(struct hb *h, uint32_t id, bool voter, bool remove)
{
	lg_event(LG_INFO, "group.members_change", "member=%u change=%s", id,
	    remove      ? "remove"
		: voter ? "promote"
			: "add");
	h->changing = true;
	gp_change_member(h->group, id, voter, remove, on_changed, h);
}

/// Does the next step towards the wanted voters.
void
hb_members_tick(struct hb *h, uint64_t now_us)
{
	struct mb_world w = { 0 };
	struct mb_step step;

	if (h->changing || h->stopping)
		return;
	make_world(h, &w, now_us);
	step = mb_next(&w);
	switch (step.kind) {
	case MB_NOTHING:
		break;
	case MB_ADD:
		change(h, step.id, false, false);
		break;
	case MB_PROMOTE:
		change(h, step.id, true, false);
		break;
	case MB_REMOVE:
		change(h, step.id, false, true);
		break;
	case MB_TRANSFER:
		lg_event(LG_INFO, "group.hand_over", "to=%u", step.id);
		gp_transfer(h->group, step.id);
		break;
	}
}
