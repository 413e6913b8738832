#include "replog/rl_core.h"

// A voter that restarts doesn't know what it acknowledged just before, so it
// refuses votes for an election's time: a leader's lease may rest on it. The
// wait can end sooner when that leader says that it leads no more.

/// A voter begins again with the promise that it may have made.
void
rl_restart_begin(struct rl_core *c)
{
	c->heard = true;
	c->heard_us = c->now_us;
	c->restart_waits = true;
}

/// Index of the first entry of the newest term, 0 if it isn't held any more.
static uint64_t
first_of_term(const struct rl_core *c)
{
	uint64_t index = rl_last_index(c);

	if (index == c->base_index || rl_term_at(c, index) != c->hard.term)
		return 0;
	while (index > c->base_index + 1 &&
	    rl_term_at(c, index - 1) == c->hard.term)
		index--;
	// An entry of that term may be covered by the snapshot, too.
	return rl_term_at(c, index - 1) == c->hard.term ? 0 : index;
}

static bool
has_asked(struct rl_core *c, uint32_t id)
{
	const struct rl_peer *p = rl_peer(c, id);

	return id == c->self || (p != NULL && p->asked_term > c->hard.term);
}

/// Whether everybody who may lead in the newest term has asked for votes in a
/// later one since. The log holds an entry of that term, so the members who
/// elected its leader stand right before its first one; leaders of earlier
/// terms had no lease any more when it was elected.
static bool
leader_is_gone(struct rl_core *c)
{
	const uint64_t first = first_of_term(c);
	const struct rl_members *electors;

	if (first == 0)
		return false;
	electors = rl_members_at(c, first - 1);
	for (uint32_t i = 0; i < electors->n_voters; i++) {
		if (!has_asked(c, electors->voters[i]))
			return false;
	}
	return true;
}

/// A member asks whether it would be elected, so it doesn't lead.
void
rl_restart_asked(struct rl_core *c, const struct rl_msg *m)
{
	struct rl_peer *p = rl_peer(c, m->from);

	if (!c->restart_waits || p == NULL)
		return;
	p->asked_term = MAX(p->asked_term, m->term);
	if (!leader_is_gone(c))
		return;
	c->heard = false;
	c->restart_waits = false;
}
