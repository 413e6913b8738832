#include "replog/raft_internal.h"

#include "base/inv.h"

/// Elections that a removed member leaves to the voters, see may_campaign().
#define REMOVED_SKIPPED_ELECTIONS 4
/// A pre-vote is retried after this fraction of the election time.
#define PRE_VOTE_RETRY_DIVISOR 4

/// Restarts the randomized election timeout.
void
raft_reset_deadline(struct raft_core *c)
{
	c->deadline_us =
	    c->now_us + c->election_us + rnd_below(c->rnd, c->election_us);
}

/// Sets the time at which a pre-vote without a quorum is repeated. It is a
/// short time, because a pre-vote disturbs nobody, and voters that refused
/// because of a recent leader may grant it soon.
void
raft_reset_pre_vote_deadline(struct raft_core *c)
{
	const uint64_t wait_us = c->election_us / PRE_VOTE_RETRY_DIVISOR;

	c->deadline_us = c->now_us + wait_us + rnd_below(c->rnd, wait_us + 1);
}

/// Whether the last contact with a leader is so recent that the leader's lease
/// may still hold. The lease relies on voters refusing votes in that time.
bool
raft_has_recent_leader(const struct raft_core *c)
{
	if (c->role == RAFT_LEADER) {
		return !c->lease_revoked &&
		    c->now_us < raft_quorum_contact_us(c) + c->election_us;
	}
	return c->leader_contacted &&
	    c->now_us < c->leader_contact_us + c->election_us;
}

static void
change_role(struct raft_core *c, enum raft_role role, uint32_t leader)
{
	if (c->role == RAFT_LEADER && role != RAFT_LEADER)
		raft_stop_leading(c);
	c->role = role;
	c->leader = leader;
	raft_emit_role(c);
}

/// Becomes a follower in a term.
///
/// @param term    the current term or a later one
/// @param leader  0: unknown
void
raft_become_follower(struct raft_core *c, uint64_t term, uint32_t leader)
{
	const bool newer = term > c->hard_state.term;

	inv_check(term >= c->hard_state.term, "replog.term_grows",
	    "term=%" PRIu64 " was=%" PRIu64, term, c->hard_state.term);
	if (newer) {
		c->hard_state.term = term;
		c->hard_state.voted_for = 0;
		c->verified_index = c->commit;
		raft_write_hard_state(c);
	}
	if (!newer && c->role == RAFT_FOLLOWER && c->leader == leader)
		return;
	if (c->role == RAFT_LEADER)
		raft_reset_deadline(c);
	change_role(c, RAFT_FOLLOWER, leader);
}

/// Records a contact with the leader of the current term and restarts the
/// election timeout.
void
raft_note_leader_contact(struct raft_core *c, uint32_t leader)
{
	inv_check(c->role != RAFT_LEADER, "replog.one_leader_a_term",
	    "term=%" PRIu64 " self=%u other=%u", c->hard_state.term, c->self,
	    leader);
	inv_check(c->leader == 0 || c->leader == leader,
	    "replog.one_leader_a_term", "term=%" PRIu64 " leader=%u other=%u",
	    c->hard_state.term, c->leader, leader);
	raft_become_follower(c, c->hard_state.term, leader);
	c->leader_contacted = true;
	c->leader_contact_us = c->now_us;
	c->vote_withheld = false;
	c->skipped_elections = 0;
	raft_reset_deadline(c);
}

static void
request_votes(struct raft_core *c, enum raft_msg_kind kind, uint64_t term)
{
	const uint64_t last = raft_last_index(c);

	for (size_t i = 0; i < c->n_peers; i++) {
		struct raft_msg m = { .kind = kind,
			.term = term,
			.index = last,
			.log_term = raft_term_at(c, last),
			.leader_transfer = c->leader_transfer };

		if (!c->peers[i].voter)
			continue;
		if (kind == RAFT_MSG_VOTE)
			raft_send_after_sync(c, c->peers[i].id, &m);
		else
			raft_send(c, c->peers[i].id, &m);
	}
}

static void
become_candidate(struct raft_core *c)
{
	struct raft_pending *self_vote = g_new0(struct raft_pending, 1);

	for (size_t i = 0; i < c->n_peers; i++)
		c->peers[i].granted = false;
	c->hard_state.term++;
	c->hard_state.voted_for = c->self;
	c->verified_index = c->commit;
	c->self_granted = false;
	raft_write_hard_state(c);
	change_role(c, RAFT_CANDIDATE, 0);
	self_vote->kind = RAFT_PENDING_VOTE;
	self_vote->seq = c->write_seq;
	self_vote->term = c->hard_state.term;
	g_queue_push_tail(&c->pending, self_vote);
	request_votes(c, RAFT_MSG_VOTE, c->hard_state.term);
}

/// Whether a member is a voter of any set that may be the committed one.
static bool
may_be_voter(const struct raft_core *c, uint32_t id)
{
	const uint64_t committed = raft_members_at(c, c->commit)->index;

	for (guint i = c->member_sets->len; i > 0; i--) {
		const struct raft_members *set =
		    &g_array_index(c->member_sets, struct raft_members, i - 1);

		if (set->index < committed)
			return false;
		if (raft_is_voter(set, id))
			return true;
	}
	return false;
}

/// Whether this member may start an election. A member that was removed by an
/// entry that isn't committed may be the only one whose log is long enough to
/// win. After a restart it doesn't know what is committed, so it first leaves
/// REMOVED_SKIPPED_ELECTIONS elections to the voters.
static bool
may_campaign(struct raft_core *c)
{
	if (raft_is_voter(raft_members(c), c->self))
		return true;
	if (!may_be_voter(c, c->self))
		return false;
	return c->skipped_elections++ >= REMOVED_SKIPPED_ELECTIONS;
}

/// Starts an election.
///
/// @param leader_transfer  requested by the leader: there is no pre-vote, and
///                         voters needn't wait for the end of its lease
void
raft_campaign(struct raft_core *c, bool leader_transfer)
{
	raft_reset_deadline(c);
	if (!may_campaign(c)) {
		raft_become_follower(c, c->hard_state.term, 0);
		return;
	}
	c->leader_transfer = leader_transfer;
	if (leader_transfer) {
		become_candidate(c);
		return;
	}
	for (size_t i = 0; i < c->n_peers; i++)
		c->peers[i].granted = false;
	raft_reset_pre_vote_deadline(c);
	if (c->role != RAFT_PRE_CANDIDATE)
		change_role(c, RAFT_PRE_CANDIDATE, 0);
	request_votes(c, RAFT_MSG_PRE_VOTE, c->hard_state.term + 1);
	raft_count_votes(c);
}

/// Becomes candidate or leader once a quorum has granted the pre-votes or
/// votes. A member that restarted may request pre-votes before the lease of a
/// leader that it acknowledged has ended. It must not vote for itself then, as
/// little as for others.
void
raft_count_votes(struct raft_core *c)
{
	const bool pre_vote = c->role == RAFT_PRE_CANDIDATE;
	const struct raft_members *set = raft_members(c);
	uint32_t granted = 0;

	if (raft_is_voter(set, c->self) && (pre_vote || c->self_granted))
		granted++;
	for (size_t i = 0; i < c->n_peers; i++) {
		if (c->peers[i].voter && c->peers[i].granted)
			granted++;
	}
	if (granted < set->n_voters / 2 + 1)
		return;
	if (pre_vote && raft_has_recent_leader(c))
		return;
	if (!pre_vote) {
		raft_become_leader(c);
		return;
	}
	raft_reset_deadline(c);
	become_candidate(c);
}

/// Whether a candidate's log is at least as up to date as this one.
static bool
candidate_up_to_date(const struct raft_core *c, const struct raft_msg *m)
{
	const uint64_t last = raft_last_index(c);
	const uint64_t term = raft_term_at(c, last);

	if (m->log_term != term)
		return m->log_term > term;
	return m->index >= last;
}

static void
on_pre_vote(struct raft_core *c, const struct raft_msg *m)
{
	struct raft_msg reply = { .kind = RAFT_MSG_PRE_VOTE_REPLY };

	raft_restart_on_pre_vote(c, m);
	reply.ok = m->term > c->hard_state.term && candidate_up_to_date(c, m) &&
	    !raft_has_recent_leader(c);
	reply.term = reply.ok ? m->term : c->hard_state.term;
	raft_send(c, m->from, &reply);
}

static void
on_vote(struct raft_core *c, const struct raft_msg *m)
{
	struct raft_msg reply = { .kind = RAFT_MSG_VOTE_REPLY };

	if (m->term > c->hard_state.term) {
		if (raft_has_recent_leader(c) && !m->leader_transfer)
			return;
		raft_become_follower(c, m->term, 0);
	}
	reply.ok = m->term == c->hard_state.term &&
	    candidate_up_to_date(c, m) &&
	    (c->hard_state.voted_for == 0 ||
		c->hard_state.voted_for == m->from) &&
	    c->role == RAFT_FOLLOWER;
	if (reply.ok && c->hard_state.voted_for == 0) {
		c->hard_state.voted_for = m->from;
		raft_write_hard_state(c);
	}
	if (reply.ok)
		raft_reset_deadline(c);
	raft_send_after_sync(c, m->from, &reply);
}

static void
on_vote_reply(struct raft_core *c, const struct raft_msg *m,
    enum raft_role role, uint64_t term)
{
	struct raft_peer *p = raft_peer(c, m->from);

	if (!m->ok && m->term > c->hard_state.term) {
		raft_become_follower(c, m->term, 0);
		return;
	}
	if (!m->ok || c->role != role || m->term != term || p == NULL)
		return;
	p->granted = true;
	raft_count_votes(c);
}

/// Handles a pre-vote, a vote or a reply to one.
void
raft_on_election_msg(struct raft_core *c, const struct raft_msg *m)
{
	if (m->kind == RAFT_MSG_PRE_VOTE)
		on_pre_vote(c, m);
	else if (m->kind == RAFT_MSG_VOTE)
		on_vote(c, m);
	else if (m->kind == RAFT_MSG_PRE_VOTE_REPLY)
		on_vote_reply(c, m, RAFT_PRE_CANDIDATE, c->hard_state.term + 1);
	else
		on_vote_reply(c, m, RAFT_CANDIDATE, c->hard_state.term);
}

/// Handles the election timeout of a follower or candidate.
void
raft_election_tick(struct raft_core *c)
{
	raft_campaign(c, false);
}
