#include "replog/raft_internal.h"

#include "base/inv.h"

#include <stdlib.h>

static bool
window_has_space(const struct raft_peer *p)
{
	return p->n_in_flight < RAFT_MAX_IN_FLIGHT;
}

/// Removes the messages that an acknowledgement covers from the window.
static void
release_in_flight(struct raft_peer *p, uint64_t match)
{
	size_t kept = 0;

	for (size_t i = 0; i < p->n_in_flight; i++) {
		if (p->in_flight[i] > match)
			p->in_flight[kept++] = p->in_flight[i];
	}
	p->n_in_flight = kept;
}

/// Number of entries from an index on that fit into one message.
static size_t
batch_size(const struct raft_core *c, uint64_t from)
{
	const uint64_t last = raft_last_index(c);
	size_t bytes = 0;
	size_t n = 0;

	while (from + n <= last && n < c->limits.batch_entries) {
		bytes +=
		    raft_entry_at(c, from + n)->len + RAFT_ENTRY_OVERHEAD_BYTES;
		if (n > 0 && bytes > RAFT_BATCH_BYTES)
			break;
		n++;
	}
	return n;
}

static void
send_entries(struct raft_core *c, struct raft_peer *p, size_t n)
{
	struct raft_msg m = { .kind = RAFT_MSG_APPEND,
		.index = p->next - 1,
		.log_term = raft_term_at(c, p->next - 1),
		.commit = c->commit,
		.round = c->round,
		.at_us = c->now_us,
		.entries = raft_entry_at(c, p->next),
		.n_entries = n };

	raft_send(c, p->id, &m);
}

static void
send_heartbeat(struct raft_core *c, struct raft_peer *p)
{
	struct raft_msg m = { .kind = RAFT_MSG_APPEND,
		.round = c->round,
		.at_us = c->now_us,
		.heartbeat = true };

	raft_send(c, p->id, &m);
}

static void
send_pipelined(struct raft_core *c, struct raft_peer *p)
{
	while (window_has_space(p)) {
		const size_t n = batch_size(c, p->next);

		if (n == 0)
			break;
		send_entries(c, p, n);
		p->next += n;
		p->in_flight[p->n_in_flight++] = p->next - 1;
	}
}

/// Sends the entries that a member lacks, as far as its window allows, or a
/// chunk of a snapshot if the log no longer holds them.
///
/// @param heartbeat  send a message even if there is nothing new
void
raft_send_append(struct raft_core *c, struct raft_peer *p, bool heartbeat)
{
	if (p->next <= c->base_index)
		p->progress = RAFT_SNAPSHOT;
	if (p->progress == RAFT_SNAPSHOT) {
		if (heartbeat)
			send_heartbeat(c, p);
		if (heartbeat || !p->probing)
			raft_send_snapshot(c, p);
		return;
	}
	if (heartbeat)
		send_entries(c, p, 0);
	if (p->progress == RAFT_REPLICATE) {
		send_pipelined(c, p);
	} else if (!p->probing) {
		if (!heartbeat)
			send_entries(c, p, batch_size(c, p->next));
		p->probing = true;
	}
}

/// Calls raft_send_append() for every other member.
void
raft_broadcast(struct raft_core *c, bool heartbeat)
{
	for (size_t i = 0; i < c->n_peers; i++)
		raft_send_append(c, &c->peers[i], heartbeat);
}

/// Appends an entry to the log of this leader; raft_broadcast() sends it.
///
/// @param tag    identifies the outcome; 0: no outcome is reported
/// @param bytes  copied
void
raft_propose(struct raft_core *c, uint64_t tag, enum raft_entry_kind kind,
    const uint8_t *bytes, size_t len)
{
	const struct raft_entry e = { .index = raft_last_index(c) + 1,
		.term = c->hard_state.term,
		.kind = kind,
		.len = (uint32_t)len,
		.data = (uint8_t *)(uintptr_t)bytes };
	const struct raft_waiter w = { .tag = tag, .index = e.index };

	raft_log_append(c, &e);
	if (tag != 0)
		g_array_append_val(c->proposals, w);
}

/// Removes completed proposals once they are half of the array, so that each
/// one is moved a bounded number of times.
static void
compact_proposals(struct raft_core *c)
{
	if (c->proposals_done < c->proposals->len / 2 || c->proposals_done == 0)
		return;
	g_array_remove_range(c->proposals, 0, c->proposals_done);
	c->proposals_done = 0;
}

static void
complete_proposal(struct raft_core *c, uint64_t index)
{
	const struct raft_waiter *w;

	if (c->proposals_done == c->proposals->len)
		return;
	w = &g_array_index(c->proposals, struct raft_waiter, c->proposals_done);
	if (w->index != index)
		return;
	raft_emit_outcome(c, w->tag, STATUS_OK, index);
	c->proposals_done++;
	compact_proposals(c);
}

/// Commits the entries up to an index and emits them for application, each
/// followed by the outcome of its proposal.
void
raft_commit_to(struct raft_core *c, uint64_t index)
{
	const uint64_t before = c->commit;

	inv_check(index <= raft_last_index(c), "replog.commit_in_log",
	    "index=%" PRIu64 " last=%" PRIu64, index, raft_last_index(c));
	while (c->commit < index) {
		struct raft_effect *fx = raft_emit(c, RAFT_EFFECT_COMMIT);

		c->commit++;
		fx->entry = *raft_entry_at(c, c->commit);
		complete_proposal(c, c->commit);
	}
	if (c->role == RAFT_LEADER && c->commit > before)
		raft_members_committed(c, before);
}

static int
compare_descending(const void *a, const void *b)
{
	const uint64_t x = *(const uint64_t *)a;
	const uint64_t y = *(const uint64_t *)b;

	return (x < y) - (x > y);
}

/// Commits the entries that a quorum of voters has synced. An entry of an
/// earlier term is committed only together with one of the current term.
void
raft_leader_commit(struct raft_core *c)
{
	const struct raft_members *set = raft_members(c);
	uint64_t match[RAFT_MAX_PEERS + 1];
	size_t n = 0;
	uint64_t index;

	if (raft_is_voter(set, c->self))
		match[n++] = c->synced_index;
	for (size_t i = 0; i < c->n_peers; i++) {
		if (c->peers[i].voter)
			match[n++] = c->peers[i].match;
	}
	if (n == 0)
		return;
	qsort(match, n, sizeof(match[0]), compare_descending);
	index = match[n / 2];
	if (index <= c->commit || raft_term_at(c, index) != c->hard_state.term)
		return;
	raft_commit_to(c, index);
	raft_complete_reads(c);
	if (c->role == RAFT_LEADER)
		raft_broadcast(c, true);
}

/// Highest index at which this log may agree with the leader's, given that
/// they disagree at `index`: skips all entries of the conflicting term, or all
/// that this log lacks.
static uint64_t
conflict_hint(const struct raft_core *c, uint64_t index)
{
	const uint64_t last = raft_last_index(c);
	const uint64_t term = raft_term_at(c, index);

	if (index > last)
		return last;
	while (index > c->commit && raft_term_at(c, index) == term)
		index--;
	return index;
}

static bool
log_matches(const struct raft_core *c, const struct raft_msg *m)
{
	if (m->index <= c->commit)
		return true;
	return m->index <= raft_last_index(c) &&
	    raft_term_at(c, m->index) == m->log_term;
}

/// Appends the entries that the log lacks, replacing conflicting ones.
///
/// @return whether anything was written
static bool
store_entries(struct raft_core *c, const struct raft_msg *m)
{
	bool wrote = false;

	for (size_t i = 0; i < m->n_entries; i++) {
		const struct raft_entry *e = &m->entries[i];

		if (e->index <= c->commit)
			continue;
		if (e->index <= raft_last_index(c)) {
			if (raft_term_at(c, e->index) == e->term)
				continue;
			raft_log_truncate(c, e->index);
		}
		raft_log_append(c, e);
		wrote = true;
	}
	c->verified_index = MAX(c->verified_index, m->index + m->n_entries);
	return wrote;
}

static bool
valid_entries(const struct raft_msg *m)
{
	uint64_t term = m->log_term;

	for (size_t i = 0; i < m->n_entries; i++) {
		const struct raft_entry *e = &m->entries[i];
		struct raft_members set;

		if (e->term < term || e->term > m->term)
			return false;
		term = e->term;
		if (e->kind == RAFT_MEMBERS &&
		    raft_members_decode(e->data, e->len, &set) != STATUS_OK)
			return false;
	}
	return true;
}

static void
handle_entries(
    struct raft_core *c, const struct raft_msg *m, struct raft_msg *reply)
{
	bool wrote;

	if (!log_matches(c, m)) {
		reply->index = m->index;
		reply->hint = conflict_hint(c, m->index);
		raft_send(c, m->from, reply);
		return;
	}
	wrote = store_entries(c, m);
	if (MIN(m->commit, c->verified_index) > c->commit)
		raft_commit_to(c, MIN(m->commit, c->verified_index));
	reply->ok = true;
	reply->index =
	    wrote ? c->verified_index : MIN(c->verified_index, c->synced_index);
	if (wrote)
		raft_send_after_sync(c, m->from, reply);
	else
		raft_send(c, m->from, reply);
}

/// Handles entries or a heartbeat from a leader.
void
raft_on_append(struct raft_core *c, const struct raft_msg *m)
{
	struct raft_msg reply = { .kind = RAFT_MSG_APPEND_REPLY,
		.round = m->round,
		.at_us = m->at_us,
		.heartbeat = m->heartbeat };

	if (m->term < c->hard_state.term) {
		raft_send(c, m->from, &reply);
		return;
	}
	if (!valid_entries(m))
		return;
	if (m->term > c->hard_state.term)
		raft_become_follower(c, m->term, m->from);
	raft_note_leader_contact(c, m->from);
	if (!m->heartbeat) {
		handle_entries(c, m, &reply);
		return;
	}
	reply.ok = true;
	reply.index = MIN(c->verified_index, c->synced_index);
	raft_send(c, m->from, &reply);
}

static void
on_append_rejected(
    struct raft_core *c, struct raft_peer *p, const struct raft_msg *m)
{
	uint64_t next;

	if (p->progress == RAFT_SNAPSHOT || m->index <= p->match)
		return;
	if (p->progress == RAFT_PROBE && m->index != p->next - 1)
		return;
	next = MIN(m->index, m->hint + 1);
	p->next = MAX(next, p->match + 1);
	p->progress = RAFT_PROBE;
	p->probing = false;
	p->n_in_flight = 0;
	raft_send_append(c, p, false);
}

static void
on_append_accepted(
    struct raft_core *c, struct raft_peer *p, const struct raft_msg *m)
{
	if (m->index > raft_last_index(c))
		return;
	p->match = MAX(p->match, m->index);
	p->next = MAX(p->next, p->match + 1);
	release_in_flight(p, p->match);
	if (p->progress == RAFT_SNAPSHOT && p->match >= c->base_index) {
		raft_peer_drop_snapshot(p);
		p->progress = RAFT_PROBE;
		p->probing = false;
	}
	if (p->progress == RAFT_PROBE && !m->heartbeat) {
		p->progress = RAFT_REPLICATE;
		p->probing = false;
	}
	raft_leader_commit(c);
	if (c->role == RAFT_LEADER && raft_peer(c, m->from) == p)
		raft_send_append(c, p, false);
}

/// Handles a member's reply to entries or a heartbeat.
void
raft_on_append_reply(struct raft_core *c, const struct raft_msg *m)
{
	struct raft_peer *p = raft_peer(c, m->from);

	if (m->term > c->hard_state.term) {
		raft_become_follower(c, m->term, 0);
		return;
	}
	if (c->role != RAFT_LEADER || m->term < c->hard_state.term || p == NULL)
		return;
	if (m->round > c->round || m->at_us > c->now_us)
		return;
	p->acked_round = MAX(p->acked_round, m->round);
	p->acked_at_us = MAX(p->acked_at_us, m->at_us);
	if (m->ok)
		on_append_accepted(c, p, m);
	else
		on_append_rejected(c, p, m);
	if (c->role != RAFT_LEADER)
		return;
	raft_complete_reads(c);
	raft_transfer_step(c);
}
