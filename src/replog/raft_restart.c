#include "replog/raft_internal.h"

// A voter that restarts doesn't know what it acknowledged just before, so it
// refuses votes for an election's time: a leader's lease may rest on it. The
// wait can end sooner when that leader says that it leads no more.

/// A voter begins again with the promise that it may have made.
void
raft_restart_begin(struct raft_core *c)
{
	c->heard = true;
	c->heard_us = c->now_us;
	c->vote_withheld = true;
}

/// Index of the first entry of the newest term, 0 if it isn't held any more.
static uint64_t
first_of_term(const struct raft_core *c)
{
	uint64_t index = raft_last_index(c);

	if (index == c->base_index ||
	    raft_term_at(c, index) != c->hard_state.term)
		return 0;
	while (index > c->base_index + 1 &&
	    raft_term_at(c, index - 1) == c->hard_state.term)
		index--;
	// An entry of that term may be covered by the snapshot, too.
	return raft_term_at(c, index - 1) == c->hard_state.term ? 0 : index;
}

static bool
has_asked(struct raft_core *c, uint32_t id)
{
	const struct raft_peer *p = raft_peer(c, id);

	return id == c->self ||
	    (p != NULL && p->pre_vote_term > c->hard_state.term);
}

/// Whether everybody who may lead in the newest term has asked for votes in a
/// later one since. The log holds an entry of that term, so the members who
/// elected its leader stand right before its first one; leaders of earlier
/// terms had no lease any more when it was elected.
static bool
leader_is_gone(struct raft_core *c)
{
	const uint64_t first = first_of_term(c);
	const struct raft_members *electors;

	if (first == 0)
		return false;
	electors = raft_members_at(c, first - 1);
	for (uint32_t i = 0; i < electors->n_voters; i++) {
		if (!has_asked(c, electors->voters[i]))
			return false;
	}
	return true;
}

/// A member asks whether it would be elected, so it doesn't lead.
void
raft_restart_on_pre_vote(struct raft_core *c, const struct raft_msg *m)
{
	struct raft_peer *p = raft_peer(c, m->from);

	if (!c->vote_withheld || p == NULL)
		return;
	p->pre_vote_term = MAX(p->pre_vote_term, m->term);
	if (!leader_is_gone(c))
		return;
	c->heard = false;
	c->vote_withheld = false;
}
