#include "replog/raft_internal.h"

#include "base/inv.h"

#include <stdlib.h>

/// The lease ends this fraction of the election time before voters may vote
/// again, because clocks run at different rates.
#define LEASE_MARGIN_DIVISOR 8

static int
compare_descending(const void *a, const void *b)
{
	const uint64_t x = *(const uint64_t *)a;
	const uint64_t y = *(const uint64_t *)b;

	return (x < y) - (x > y);
}

/// Highest value that a quorum of voters has reached: the newest acknowledged
/// round, or the send time of the newest acknowledged message.
///
/// @param own_value  value of this member, if it is a voter
/// @param by_round   rounds, else send times
static uint64_t
quorum_value(const struct raft_core *c, uint64_t own_value, bool by_round)
{
	uint64_t values[RAFT_MAX_PEERS + 1];
	size_t n = 0;

	if (raft_is_voter(raft_members(c), c->self))
		values[n++] = own_value;
	for (size_t i = 0; i < c->n_peers; i++) {
		const struct raft_peer *p = &c->peers[i];

		if (p->voter)
			values[n++] =
			    by_round ? p->acked_round : p->acked_at_us;
	}
	if (n == 0)
		return 0;
	qsort(values, n, sizeof(values[0]), compare_descending);
	return values[n / 2];
}

/// Newest send time for which a quorum has acknowledged messages sent then or
/// later.
uint64_t
raft_quorum_contact_us(const struct raft_core *c)
{
	return quorum_value(c, c->now_us, false);
}

/// Whether the leader's lease holds: no other leader can have been elected by
/// this time, so it may answer reads and act as the leader without contacting
/// a quorum first.
bool
raft_lease_holds(const struct raft_core *c, uint64_t now_us)
{
	const uint64_t lease_us =
	    c->election_us - c->election_us / LEASE_MARGIN_DIVISOR;

	if (c->role != RAFT_LEADER || c->lease_revoked ||
	    c->commit < c->term_start)
		return false;
	return now_us < quorum_value(c, now_us, false) + lease_us;
}

/// For the leader: highest index known to be synced at a member, 0 if none.
uint64_t
raft_match_index(const struct raft_core *c, uint32_t id)
{
	if (id == c->self)
		return c->synced_index;
	for (size_t i = 0; i < c->n_peers; i++) {
		if (c->peers[i].id == id)
			return c->peers[i].match;
	}
	return 0;
}

/// For the leader: whether a member replied within an election time.
bool
raft_is_active(const struct raft_core *c, uint64_t now_us, uint32_t id)
{
	for (size_t i = 0; i < c->n_peers; i++) {
		if (c->peers[i].id == id)
			return now_us <=
			    c->peers[i].acked_at_us + c->election_us;
	}
	return id == c->self;
}

/// Starts a term as its leader.
void
raft_become_leader(struct raft_core *c)
{
	inv_check(c->hard_state.voted_for == c->self,
	    "replog.leader_voted_itself", "term=%" PRIu64, c->hard_state.term);
	c->role = RAFT_LEADER;
	c->leader = c->self;
	c->led_since_us = c->now_us;
	c->term_start = raft_last_index(c) + 1;
	c->transferring = false;
	c->lease_revoked = false;
	raft_receive_clear(c);
	for (size_t i = 0; i < c->n_peers; i++) {
		struct raft_peer *p = &c->peers[i];

		p->progress = RAFT_PROBE;
		p->probing = false;
		p->match = 0;
		p->next = c->term_start;
		p->acked_round = 0;
		p->acked_at_us = 0;
		p->n_in_flight = 0;
		raft_peer_drop_snapshot(p);
	}
	raft_emit_role(c);
	c->round++;
	raft_propose(c, 0, RAFT_EMPTY, NULL, 0);
	raft_broadcast(c, false);
	c->deadline_us = c->now_us + c->heartbeat_us;
}

static void
fail_waiters(struct raft_core *c, GArray *waiters, enum status status)
{
	for (guint i = 0; i < waiters->len; i++) {
		const struct raft_waiter *w =
		    &g_array_index(waiters, struct raft_waiter, i);

		raft_emit_outcome(c, w->tag, status, w->index);
	}
	g_array_set_size(waiters, 0);
}

/// Ends the proposals (STATUS_TIMEOUT: they may still be committed) and reads
/// (STATUS_UNAVAILABLE) of a leader that steps down.
void
raft_stop_leading(struct raft_core *c)
{
	g_array_remove_range(c->proposals, 0, c->proposals_done);
	c->proposals_done = 0;
	fail_waiters(c, c->proposals, STATUS_TIMEOUT);
	fail_waiters(c, c->reads, STATUS_UNAVAILABLE);
	c->transferring = false;
	for (size_t i = 0; i < c->n_peers; i++)
		raft_peer_drop_snapshot(&c->peers[i]);
}

/// Requests a read barrier. It completes once it is certain that no other
/// leader existed when it was requested, with an index that covers everything
/// committed by then.
void
raft_read(struct raft_core *c, uint64_t tag)
{
	struct raft_waiter w = { .tag = tag };

	if (c->role != RAFT_LEADER) {
		raft_emit_outcome(c, tag, STATUS_UNAVAILABLE, 0);
		return;
	}
	if (raft_lease_holds(c, c->now_us)) {
		raft_emit_outcome(c, tag, STATUS_OK, c->commit);
		return;
	}
	w.index = MAX(c->commit, c->term_start);
	w.round = ++c->round;
	g_array_append_val(c->reads, w);
	raft_broadcast(c, true);
	raft_complete_reads(c);
}

/// Completes the read barriers whose round a quorum has acknowledged.
void
raft_complete_reads(struct raft_core *c)
{
	uint64_t round;

	if (c->role != RAFT_LEADER || c->reads->len == 0)
		return;
	round = quorum_value(c, c->round, true);
	while (c->reads->len > 0) {
		const struct raft_waiter w =
		    g_array_index(c->reads, struct raft_waiter, 0);

		if (w.round > round || w.index > c->commit)
			break;
		raft_emit_outcome(c, w.tag, STATUS_OK, w.index);
		g_array_remove_index(c->reads, 0);
	}
}

static bool
quorum_lost(const struct raft_core *c)
{
	const uint64_t contact_us = raft_quorum_contact_us(c);

	return c->now_us > MAX(contact_us, c->led_since_us) + c->election_us;
}

/// Handles the heartbeat timer of a leader; steps down without a quorum.
void
raft_leader_tick(struct raft_core *c)
{
	if (quorum_lost(c)) {
		raft_become_follower(c, c->hard_state.term, 0);
		return;
	}
	raft_transfer_step(c);
	if (c->role != RAFT_LEADER)
		return;
	c->round++;
	raft_broadcast(c, true);
	c->deadline_us = c->now_us + c->heartbeat_us;
}

static uint32_t
best_follower(const struct raft_core *c)
{
	const struct raft_peer *best = NULL;

	for (size_t i = 0; i < c->n_peers; i++) {
		const struct raft_peer *p = &c->peers[i];

		if (!p->voter || p->acked_at_us + c->election_us < c->now_us)
			continue;
		if (best == NULL || p->match > best->match)
			best = p;
	}
	return best == NULL ? 0 : best->id;
}

/// Transfers leadership: no new entries are accepted, and as soon as the
/// successor has synced the whole log it is told to start an election.
///
/// @param to  0: the active voter with the longest log
void
raft_transfer(struct raft_core *c, uint32_t to)
{
	const struct raft_peer *p;

	if (c->role != RAFT_LEADER || c->transferring)
		return;
	if (to == 0)
		to = best_follower(c);
	p = raft_peer(c, to);
	if (p == NULL || !p->voter)
		return;
	c->transferring = true;
	c->transfer_to = to;
	c->transfer_until_us = c->now_us + c->election_us;
	raft_transfer_step(c);
}

/// Continues a leadership transfer, or gives it up after an election time.
void
raft_transfer_step(struct raft_core *c)
{
	struct raft_msg m = { .kind = RAFT_MSG_TIMEOUT_NOW };
	const struct raft_peer *p;

	if (!c->transferring)
		return;
	if (c->now_us >= c->transfer_until_us) {
		c->transferring = false;
		// The successor may still receive the message and start an
		// election, so the lease must not be used again.
		if (c->lease_revoked)
			raft_become_follower(c, c->hard_state.term, 0);
		return;
	}
	p = raft_peer(c, c->transfer_to);
	if (p == NULL || c->lease_revoked || p->match != raft_last_index(c))
		return;
	c->lease_revoked = true;
	raft_send(c, p->id, &m);
}

/// Handles the leader's request to start an election at once.
void
raft_on_timeout_now(struct raft_core *c, const struct raft_msg *m)
{
	if (m->term != c->hard_state.term || c->role != RAFT_FOLLOWER ||
	    c->leader != m->from)
		return;
	raft_campaign(c, true);
}
