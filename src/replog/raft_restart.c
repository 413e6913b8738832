#include "replog/raft_internal.h"

// A voter that restarts doesn't know what it acknowledged just before. A
// leader's lease may rely on that, so the voter refuses votes for one election
// time. The wait ends sooner if the old leader is known to lead no more.

/// Starts the wait after a restart, as if a leader had been in contact just
/// now.
void
raft_restart_begin(struct raft_core *c)
{
	c->leader_contacted = true;
	c->leader_contact_us = c->now_us;
	c->vote_withheld = true;
}

/// Index of the first entry of the current term, 0 if the log has none or it
/// may be compacted.
static uint64_t
first_index_of_term(const struct raft_core *c)
{
	uint64_t index = raft_last_index(c);

	if (index == c->base_index ||
	    raft_term_at(c, index) != c->hard_state.term)
		return 0;
	while (index > c->base_index + 1 &&
	    raft_term_at(c, index - 1) == c->hard_state.term)
		index--;
	// The snapshot may cover earlier entries of that term.
	return raft_term_at(c, index - 1) == c->hard_state.term ? 0 : index;
}

static bool
requested_later_vote(struct raft_core *c, uint32_t id)
{
	const struct raft_peer *p = raft_peer(c, id);

	return id == c->self ||
	    (p != NULL && p->pre_vote_term > c->hard_state.term);
}

/// Whether every member that may be the leader of the current term has
/// requested pre-votes for a later term since, and so doesn't lead. The members
/// that elected that leader are those as of the entry before the first one of
/// the term. Leaders of earlier terms had no lease any more when it was
/// elected.
static bool
all_electors_campaign(struct raft_core *c)
{
	const uint64_t first = first_index_of_term(c);
	const struct raft_members *electors;

	if (first == 0)
		return false;
	electors = raft_members_at(c, first - 1);
	for (uint32_t i = 0; i < electors->n_voters; i++) {
		if (!requested_later_vote(c, electors->voters[i]))
			return false;
	}
	return true;
}

/// Records that a member requested a pre-vote, so that it doesn't lead, and
/// ends the wait if that rules out the old leader.
void
raft_restart_on_pre_vote(struct raft_core *c, const struct raft_msg *m)
{
	struct raft_peer *p = raft_peer(c, m->from);

	if (!c->vote_withheld || p == NULL)
		return;
	p->pre_vote_term = MAX(p->pre_vote_term, m->term);
	if (!all_electors_campaign(c))
		return;
	c->leader_contacted = false;
	c->vote_withheld = false;
}
