#include "replog/raft_internal.h"

#include "base/inv.h"

#define MAX_SNAPSHOT_BYTES (1ULL << 30)

/// Releases the snapshot that is being sent to a member.
void
raft_peer_drop_snapshot(struct raft_peer *p)
{
	g_clear_pointer(&p->snapshot, g_bytes_unref);
}

/// Discards a snapshot that is being received.
void
raft_receive_clear(struct raft_core *c)
{
	if (c->receive.bytes != NULL)
		g_byte_array_unref(c->receive.bytes);
	c->receive = (struct raft_receive){ .bytes = NULL };
}

/// Sends the next chunk of a snapshot, or requests a snapshot from the caller.
void
raft_send_snapshot(struct raft_core *c, struct raft_peer *p)
{
	struct raft_msg m = { .kind = RAFT_MSG_SNAPSHOT };
	const uint8_t *bytes;
	gsize total;

	p->probing = true;
	if (p->snapshot == NULL) {
		raft_emit(c, RAFT_EFFECT_NEED_SNAPSHOT)->need_snapshot.to =
		    p->id;
		return;
	}
	bytes = g_bytes_get_data(p->snapshot, &total);
	m.index = p->snapshot_index;
	m.log_term = p->snapshot_term;
	m.hint = p->snapshot_transfer_id;
	m.offset = p->snapshot_offset;
	m.total = total;
	m.members = *raft_members_at(c, p->snapshot_index);
	m.len = MIN(total - p->snapshot_offset, c->limits.chunk_bytes);
	m.data = m.len > 0 ? bytes + p->snapshot_offset : NULL;
	raft_send(c, p->id, &m);
}

static bool
chunk_valid(const struct raft_msg *m)
{
	return m->total <= MAX_SNAPSHOT_BYTES && m->offset <= m->total &&
	    m->len <= m->total - m->offset && m->members.n_voters > 0;
}

static bool
same_snapshot(const struct raft_receive *r, const struct raft_msg *m)
{
	return r->bytes != NULL && r->from == m->from &&
	    r->transfer_id == m->hint && r->index == m->index &&
	    r->term == m->log_term;
}

static void
start_receive(struct raft_core *c, const struct raft_msg *m)
{
	struct raft_receive *r = &c->receive;

	raft_receive_clear(c);
	r->bytes = g_byte_array_new();
	r->from = m->from;
	r->transfer_id = m->hint;
	r->index = m->index;
	r->term = m->log_term;
	r->members = m->members;
}

static void
emit_install(struct raft_core *c)
{
	struct raft_receive *r = &c->receive;
	struct raft_effect *fx = raft_emit(c, RAFT_EFFECT_INSTALL);

	r->installing = true;
	fx->install.index = r->index;
	fx->install.term = r->term;
	fx->install.members = r->members;
	fx->install.len = r->bytes->len;
	fx->install.bytes = g_memdup2(r->bytes->data, r->bytes->len);
}

static void
receive_chunk(struct raft_core *c, const struct raft_msg *m)
{
	struct raft_msg reply = { .kind = RAFT_MSG_SNAPSHOT_REPLY,
		.index = m->index,
		.hint = m->hint };
	struct raft_receive *r = &c->receive;

	if (!same_snapshot(r, m))
		start_receive(c, m);
	if (m->offset == r->bytes->len)
		g_byte_array_append(r->bytes, m->data, (guint)m->len);
	if (r->bytes->len == m->total) {
		emit_install(c);
		return;
	}
	reply.offset = r->bytes->len;
	raft_send(c, m->from, &reply);
}

/// Handles a chunk of a snapshot.
void
raft_on_snapshot(struct raft_core *c, const struct raft_msg *m)
{
	struct raft_msg done_reply = {
		.kind = RAFT_MSG_SNAPSHOT_REPLY, .index = m->index, .ok = true
	};

	if (m->term < c->hard_state.term || !chunk_valid(m))
		return;
	if (m->term > c->hard_state.term)
		raft_become_follower(c, m->term, m->from);
	raft_note_leader_contact(c, m->from);
	if (c->receive.installing)
		return;
	if (m->index <= c->commit) {
		raft_receive_clear(c);
		raft_send_after_sync(c, m->from, &done_reply);
		return;
	}
	receive_chunk(c, m);
}

/// Adopts a snapshot that the caller has installed and synced. The entries
/// after it are kept if the log agrees with it.
void
raft_snapshot_installed(struct raft_core *c, uint64_t index, uint64_t term)
{
	struct raft_msg done_reply = {
		.kind = RAFT_MSG_SNAPSHOT_REPLY, .index = index, .ok = true
	};
	struct raft_receive r = c->receive;

	if (!r.installing || r.index != index || r.term != term)
		return;
	c->receive = (struct raft_receive){ .bytes = NULL };
	if (index > c->commit) {
		r.members.index = MIN(r.members.index, index);
		if (raft_term_at(c, index) == term) {
			c->synced_index = MAX(c->synced_index, index);
			raft_log_compact(c, index);
		} else {
			raft_log_reset(c, index, term, &r.members);
			c->verified_index = index;
		}
		c->commit = index;
		c->verified_index = MAX(c->verified_index, index);
		raft_peers_refresh(c);
	}
	g_byte_array_unref(r.bytes);
	if (c->role == RAFT_FOLLOWER && c->leader == r.from)
		raft_send_after_sync(c, r.from, &done_reply);
}

/// Handles a member's reply to a chunk.
void
raft_on_snapshot_reply(struct raft_core *c, const struct raft_msg *m)
{
	struct raft_peer *p = raft_peer(c, m->from);
	bool advanced;

	if (m->term > c->hard_state.term) {
		raft_become_follower(c, m->term, 0);
		return;
	}
	if (c->role != RAFT_LEADER || m->term < c->hard_state.term || p == NULL)
		return;
	if (m->ok) {
		if (m->index > raft_last_index(c))
			return;
		p->match = MAX(p->match, m->index);
		p->next = MAX(p->next, p->match + 1);
		p->progress = RAFT_PROBE;
		p->probing = false;
		raft_peer_drop_snapshot(p);
		raft_leader_commit(c);
		if (c->role == RAFT_LEADER && raft_peer(c, m->from) == p)
			raft_send_append(c, p, false);
		return;
	}
	if (p->progress != RAFT_SNAPSHOT || p->snapshot == NULL ||
	    m->hint != p->snapshot_transfer_id ||
	    m->offset > g_bytes_get_size(p->snapshot))
		return;
	advanced = m->offset > p->snapshot_offset;
	p->snapshot_offset = m->offset;
	// A member that restarted asks for an earlier offset. The next
	// heartbeat continues from there, not this reply: a late reply would
	// otherwise double the traffic.
	if (advanced)
		raft_send_snapshot(c, p);
}
