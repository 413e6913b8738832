#include "members/roster.h"

static bool
holds_slot(const uint32_t *ids, uint32_t n, uint32_t id)
{
	for (uint32_t i = 0; i < n; i++) {
		if (ids[i] != id &&
		    (ids[i] & RAFT_SLOT_MASK) == (id & RAFT_SLOT_MASK))
			return true;
	}
	return false;
}

/// Whether a process came back with another disk: the member that it was is
/// lost for good.
bool
roster_is_superseded(const struct replica_status *st, uint32_t id)
{
	return holds_slot(st->members.voters, st->members.n_voters, id) ||
	    holds_slot(st->members.learners, st->members.n_learners, id) ||
	    holds_slot(st->joiners, st->n_joiners, id);
}

static void
add(struct member_inputs *w, const struct replica_status *st,
    struct member_info m, roster_fill_cb fill, void *arg)
{
	const bool answers = m.active;

	if (w->n == MEMBER_MAX || !fill(arg, st, &m))
		return;
	m.synced = m.synced && answers;
	w->members[w->n++] = m;
}

/// Gathers voters, learners and processes that ask to belong.
void
roster_build(const struct replica_status *st, uint32_t want_voters,
    roster_fill_cb fill, void *arg, struct member_inputs *out)
{
	*out = (struct member_inputs){
		.self = st->self,
		.want_voters = want_voters,
	};
	for (uint32_t i = 0; i < st->members.n_voters; i++) {
		const struct member_info m = {
			.id = st->members.voters[i],
			.kind = MEMBER_VOTER,
			.active = st->active[i],
			.synced = true,
		};

		add(out, st, m, fill, arg);
	}
	for (uint32_t i = 0; i < st->members.n_learners; i++) {
		const uint32_t at = st->members.n_voters + i;
		const struct member_info m = {
			.id = st->members.learners[i],
			.kind = MEMBER_LEARNER,
			.active = st->active[at],
			.synced = st->match[at] >= st->commit,
		};

		add(out, st, m, fill, arg);
	}
	for (uint32_t i = 0; i < st->n_joiners; i++) {
		const struct member_info m = {
			.id = st->joiners[i],
			.kind = MEMBER_JOINER,
			.active = true,
		};

		add(out, st, m, fill, arg);
	}
}
