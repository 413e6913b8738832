#include "members/roster.h"

/// Whether one of `ids` other than `id` has the slot of `id`, its low bits (see
/// RAFT_SLOT_BITS).
static bool
another_has_slot(const uint32_t *ids, uint32_t n, uint32_t id)
{
	for (uint32_t i = 0; i < n; i++) {
		if (ids[i] != id &&
		    (ids[i] & RAFT_SLOT_MASK) == (id & RAFT_SLOT_MASK))
			return true;
	}
	return false;
}

/// Whether another voter, learner or joiner has the slot of member `id`: its
/// process was started again with a new disk, so this member never returns.
bool
roster_is_superseded(const struct replica_status *st, uint32_t id)
{
	return another_has_slot(st->members.voters, st->members.n_voters, id) ||
	    another_has_slot(
		st->members.learners, st->members.n_learners, id) ||
	    another_has_slot(st->joiners, st->n_joiners, id);
}

/// Appends a member if there is room and `fill` accepts it. A member counts as
/// synced only if the log reports it active, whatever `fill` sets.
static void
add_member(struct member_inputs *in, const struct replica_status *st,
    struct member_info m, roster_fill_cb fill, void *arg)
{
	const bool responds = m.active;

	if (in->n == MEMBER_MAX || !fill(arg, st, &m))
		return;
	m.synced = m.synced && responds;
	in->members[in->n++] = m;
}

/// Lists the voters, learners and joiners of a group.
///
/// @param fill  completes each member or leaves it out
/// @param out   is overwritten; at most MEMBER_MAX members
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

		add_member(out, st, m, fill, arg);
	}
	for (uint32_t i = 0; i < st->members.n_learners; i++) {
		const uint32_t at = st->members.n_voters + i;
		const struct member_info m = {
			.id = st->members.learners[i],
			.kind = MEMBER_LEARNER,
			.active = st->active[at],
			.synced = st->match[at] >= st->commit,
		};

		add_member(out, st, m, fill, arg);
	}
	for (uint32_t i = 0; i < st->n_joiners; i++) {
		const struct member_info m = {
			.id = st->joiners[i],
			.kind = MEMBER_JOINER,
			.active = true,
		};

		add_member(out, st, m, fill, arg);
	}
}
