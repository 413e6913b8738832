#include "replog/rl_core.h"

#include "base/inv.h"

/// Elections that a removed member leaves to others.
#define REMOVED_WAITS 4
/// Part of an election's time until a pre-vote is asked for again.
#define PRE_VOTE_PART 4

/// Sets the time at which a follower stops waiting for its leader.
void
rl_reset_deadline(struct rl_core *c)
{
	c->deadline_us =
	    c->now_us + c->election_us + rnd_below(c->rnd, c->election_us);
}

/// A member that found no quorum for its pre-vote asks again soon: nobody is
/// disturbed by it, and others' waits may end meanwhile.
void
rl_reset_pre_vote_deadline(struct rl_core *c)
{
	const uint64_t wait_us = c->election_us / PRE_VOTE_PART;

	c->deadline_us = c->now_us + wait_us + rnd_below(c->rnd, wait_us + 1);
}

/// Whether a leader was heard so lately that its lease may hold. Voters
/// refuse votes meanwhile: this is the other half of the lease.
bool
rl_heard_lately(const struct rl_core *c)
{
	if (c->role == RL_LEADER) {
		return !c->lease_void &&
		    c->now_us < rl_quorum_time(c) + c->election_us;
	}
	return c->heard && c->now_us < c->heard_us + c->election_us;
}

static void
change_role(struct rl_core *c, enum rl_role role, uint32_t leader)
{
	if (c->role == RL_LEADER && role != RL_LEADER)
		rl_stop_leading(c);
	c->role = role;
	c->leader = leader;
	rl_emit_role(c);
}

/// Follows a term, and its leader if that is known.
void
rl_become_follower(struct rl_core *c, uint64_t term, uint32_t leader)
{
	const bool newer = term > c->hard.term;

	inv_check(term >= c->hard.term, "replog.term_grows",
	    "term=%" PRIu64 " was=%" PRIu64, term, c->hard.term);
	if (newer) {
		c->hard.term = term;
		c->hard.voted_for = 0;
		c->verified = c->commit;
		rl_write_hard(c);
	}
	if (!newer && c->role == RL_FOLLOWER && c->leader == leader)
		return;
	if (c->role == RL_LEADER)
		rl_reset_deadline(c);
	change_role(c, RL_FOLLOWER, leader);
}

/// Takes a message of the current leader as a sign of life.
void
rl_heard_leader(struct rl_core *c, uint32_t leader)
{
	inv_check(c->role != RL_LEADER, "replog.one_leader_a_term",
	    "term=%" PRIu64 " self=%u other=%u", c->hard.term, c->self, leader);
	inv_check(c->leader == 0 || c->leader == leader,
	    "replog.one_leader_a_term", "term=%" PRIu64 " leader=%u other=%u",
	    c->hard.term, c->leader, leader);
	rl_become_follower(c, c->hard.term, leader);
	c->heard = true;
	c->heard_us = c->now_us;
	c->restart_waits = false;
	c->held_back = 0;
	rl_reset_deadline(c);
}

static void
ask_votes(struct rl_core *c, enum rl_msg_kind kind, uint64_t term)
{
	const uint64_t last = rl_last_index(c);

	for (size_t i = 0; i < c->n_peers; i++) {
		struct rl_msg m = { .kind = kind,
			.term = term,
			.index = last,
			.log_term = rl_term_at(c, last),
			.forced = c->forced };

		if (!c->peers[i].voter)
			continue;
		if (kind == RL_MSG_VOTE)
			rl_promise(c, c->peers[i].id, &m);
		else
			rl_send(c, c->peers[i].id, &m);
	}
}

static void
become_candidate(struct rl_core *c)
{
	struct rl_pending *own = g_new0(struct rl_pending, 1);

	for (size_t i = 0; i < c->n_peers; i++)
		c->peers[i].granted = false;
	c->hard.term++;
	c->hard.voted_for = c->self;
	c->verified = c->commit;
	c->self_granted = false;
	rl_write_hard(c);
	change_role(c, RL_CANDIDATE, 0);
	own->kind = RL_PENDING_VOTE;
	own->seq = c->write_seq;
	own->term = c->hard.term;
	g_queue_push_tail(&c->pending, own);
	ask_votes(c, RL_MSG_VOTE, c->hard.term);
}

/// A member that was removed by an entry that isn't committed may be the only
/// one whose log is long enough. After a restart it doesn't know what is
/// committed, so it leaves the first elections to those that vote.
static bool
may_campaign(struct rl_core *c)
{
	if (rl_is_voter(rl_members(c), c->self))
		return true;
	if (!rl_is_voter(rl_members_at(c, c->commit), c->self))
		return false;
	return c->held_back++ >= REMOVED_WAITS;
}

/// Starts an election.
///
/// @param forced  asked for by the leader: no pre-vote, and voters needn't
///                wait for its lease
void
rl_campaign(struct rl_core *c, bool forced)
{
	rl_reset_deadline(c);
	if (!may_campaign(c)) {
		rl_become_follower(c, c->hard.term, 0);
		return;
	}
	c->forced = forced;
	if (forced) {
		become_candidate(c);
		return;
	}
	for (size_t i = 0; i < c->n_peers; i++)
		c->peers[i].granted = false;
	rl_reset_pre_vote_deadline(c);
	if (c->role != RL_PRE_CANDIDATE)
		change_role(c, RL_PRE_CANDIDATE, 0);
	ask_votes(c, RL_MSG_PRE_VOTE, c->hard.term + 1);
	rl_count_votes(c);
}

/// Goes on with the election once a quorum agrees.
void
rl_count_votes(struct rl_core *c)
{
	const bool pre = c->role == RL_PRE_CANDIDATE;
	const struct rl_members *set = rl_members(c);
	uint32_t granted = 0;

	if (rl_is_voter(set, c->self) && (pre || c->self_granted))
		granted++;
	for (size_t i = 0; i < c->n_peers; i++) {
		if (c->peers[i].voter && c->peers[i].granted)
			granted++;
	}
	if (granted < set->n_voters / 2 + 1)
		return;
	if (!pre) {
		rl_start_leading(c);
		return;
	}
	rl_reset_deadline(c);
	become_candidate(c);
}

static bool
up_to_date(const struct rl_core *c, const struct rl_msg *m)
{
	const uint64_t last = rl_last_index(c);
	const uint64_t term = rl_term_at(c, last);

	if (m->log_term != term)
		return m->log_term > term;
	return m->index >= last;
}

static void
on_pre_vote(struct rl_core *c, const struct rl_msg *m)
{
	struct rl_msg reply = { .kind = RL_MSG_PRE_VOTE_REPLY };

	rl_restart_asked(c, m);
	reply.ok =
	    m->term > c->hard.term && up_to_date(c, m) && !rl_heard_lately(c);
	reply.term = reply.ok ? m->term : c->hard.term;
	rl_send(c, m->from, &reply);
}

static void
on_vote(struct rl_core *c, const struct rl_msg *m)
{
	struct rl_msg reply = { .kind = RL_MSG_VOTE_REPLY };

	if (m->term > c->hard.term) {
		if (rl_heard_lately(c) && !m->forced)
			return;
		rl_become_follower(c, m->term, 0);
	}
	reply.ok = m->term == c->hard.term && up_to_date(c, m) &&
	    (c->hard.voted_for == 0 || c->hard.voted_for == m->from) &&
	    c->role == RL_FOLLOWER;
	if (reply.ok && c->hard.voted_for == 0) {
		c->hard.voted_for = m->from;
		rl_write_hard(c);
	}
	if (reply.ok)
		rl_reset_deadline(c);
	rl_promise(c, m->from, &reply);
}

static void
on_reply(
    struct rl_core *c, const struct rl_msg *m, enum rl_role role, uint64_t term)
{
	struct rl_peer *p = rl_peer(c, m->from);

	if (!m->ok && m->term > c->hard.term) {
		rl_become_follower(c, m->term, 0);
		return;
	}
	if (!m->ok || c->role != role || m->term != term || p == NULL)
		return;
	p->granted = true;
	rl_count_votes(c);
}

/// Handles a message of an election.
void
rl_on_election_msg(struct rl_core *c, const struct rl_msg *m)
{
	if (m->kind == RL_MSG_PRE_VOTE)
		on_pre_vote(c, m);
	else if (m->kind == RL_MSG_VOTE)
		on_vote(c, m);
	else if (m->kind == RL_MSG_PRE_VOTE_REPLY)
		on_reply(c, m, RL_PRE_CANDIDATE, c->hard.term + 1);
	else
		on_reply(c, m, RL_CANDIDATE, c->hard.term);
}

/// Handles the end of a follower's or candidate's wait.
void
rl_election_tick(struct rl_core *c)
{
	rl_campaign(c, false);
}
