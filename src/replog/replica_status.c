#include "replog/replica_internal.h"

#include <string.h>

/// Whether this process leads, has applied an entry of its own term and holds
/// its lease, so that it may answer from its state and act as the leader now.
bool
replica_is_ready(const struct replica *g)
{
	return !g->failed && g->core != NULL &&
	    raft_lease_holds(g->core, timerq_now_us(g->config.timerq));
}

static void
member_status(const struct replica *g, uint32_t id, uint32_t position,
    struct replica_status *out)
{
	const uint64_t now_us = timerq_now_us(g->config.timerq);

	out->match[position] = raft_match_index(g->core, id);
	out->active[position] =
	    id == g->self || raft_is_active(g->core, now_us, id);
}

/// State of the group as this process knows it.
void
replica_status(const struct replica *g, struct replica_status *out)
{
	const struct raft_members *set;

	memset(out, 0, sizeof(*out));
	out->self = g->self;
	out->incarnation = g->identity.incarnation;
	out->origin = g->identity.origin;
	out->failed = g->failed && !g->suspended;
	out->suspended = g->suspended;
	if (g->core == NULL)
		return;
	set = raft_members(g->core);
	if (!g->failed) {
		out->role = raft_role(g->core);
		out->leader = raft_leader(g->core);
	}
	out->term = raft_term(g->core);
	out->commit = raft_commit_index(g->core);
	out->applied = g->applied;
	out->last = raft_last_index(g->core);
	out->snapshot = g->snapshot;
	if (!g->suspended)
		out->log_bytes = logstore_bytes(g->disk);
	out->lease = replica_is_ready(g);
	out->members = *set;
	for (uint32_t i = 0; i < set->n_voters; i++)
		member_status(g, set->voters[i], i, out);
	for (uint32_t i = 0; i < set->n_learners; i++)
		member_status(g, set->learners[i], set->n_voters + i, out);
	for (size_t i = 0; i < RAFT_MAX_MEMBERS; i++) {
		if (replica_joiner_is_recent(g, &g->joiners[i]))
			out->joiners[out->n_joiners++] = g->joiners[i].id;
	}
}
