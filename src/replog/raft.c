#include "replog/raft_internal.h"

#include "base/inv.h"

#include <assert.h>
#include <string.h>

#define DEFAULT_TRAIL_ENTRIES 1024
#define DEFAULT_BATCH_ENTRIES 1024
#define DEFAULT_PIECE_BYTES (128U << 10)

/// Adds an effect to the step under way.
struct raft_effect *
raft_emit(struct raft_core *c, enum raft_effect_kind kind)
{
	struct raft_effects *out = c->out;
	struct raft_effect *fx;

	if (out->n == out->room) {
		out->room = out->room == 0 ? 16 : 2 * out->room;
		out->items = g_renew(struct raft_effect, out->items, out->room);
	}
	fx = &out->items[out->n++];
	memset(fx, 0, sizeof(*fx));
	fx->kind = kind;
	return fx;
}

/// Releases the effects of the last step, keeping the room for the next.
void
raft_effects_clear(struct raft_effects *fx)
{
	for (size_t i = 0; i < fx->n; i++) {
		if (fx->items[i].kind == RAFT_EFFECT_SEND)
			g_free(fx->items[i].send.bytes);
		else if (fx->items[i].kind == RAFT_EFFECT_INSTALL)
			g_free(fx->items[i].install.bytes);
	}
	fx->n = 0;
}

/// Releases the effects and their room.
void
raft_effects_free(struct raft_effects *fx)
{
	raft_effects_clear(fx);
	g_free(fx->items);
	fx->items = NULL;
	fx->room = 0;
}

static uint8_t *
encode(const struct raft_core *c, uint32_t to, struct raft_msg *m, size_t *len)
{
	m->group = c->group;
	m->from = c->self;
	m->to = to;
	if (m->term == 0)
		m->term = c->hard_state.term;
	return raft_msg_encode(m, len);
}

/// Sends a message that promises nothing about the disk.
void
raft_send(struct raft_core *c, uint32_t to, struct raft_msg *m)
{
	struct raft_effect *fx;
	size_t len;
	uint8_t *bytes = encode(c, to, m, &len);

	fx = raft_emit(c, RAFT_EFFECT_SEND);
	fx->send.to = to;
	fx->send.bytes = bytes;
	fx->send.len = len;
}

/// Sends a message once all that was written so far is synced.
void
raft_send_after_sync(struct raft_core *c, uint32_t to, struct raft_msg *m)
{
	struct raft_pending *p;

	if (c->synced_seq >= c->write_seq) {
		raft_send(c, to, m);
		return;
	}
	p = g_new0(struct raft_pending, 1);
	p->kind = RAFT_PENDING_SEND;
	p->seq = c->write_seq;
	p->to = to;
	p->bytes = encode(c, to, m, &p->len);
	g_queue_push_tail(&c->pending, p);
}

/// Notes that this step writes; the step will end with a sync.
uint64_t
raft_mark_write(struct raft_core *c)
{
	if (!c->wrote) {
		c->wrote = true;
		c->write_seq++;
	}
	return c->write_seq;
}

/// Asks for the write of term and vote.
void
raft_write_hard_state(struct raft_core *c)
{
	struct raft_effect *fx = raft_emit(c, RAFT_EFFECT_HARD_STATE);

	fx->hard_state = c->hard_state;
	(void)raft_mark_write(c);
}

/// Reports the end of a proposal, read or change.
void
raft_emit_outcome(
    struct raft_core *c, uint64_t tag, enum status status, uint64_t index)
{
	struct raft_effect *fx = raft_emit(c, RAFT_EFFECT_OUTCOME);

	fx->outcome.tag = tag;
	fx->outcome.status = status;
	fx->outcome.index = index;
}

/// Reports role, leader and term.
void
raft_emit_role(struct raft_core *c)
{
	struct raft_effect *fx = raft_emit(c, RAFT_EFFECT_ROLE);

	fx->role.role = c->role;
	fx->role.leader = c->leader;
	fx->role.term = c->hard_state.term;
}

/// What is known of a member, or NULL if it is none.
struct raft_peer *
raft_peer(struct raft_core *c, uint32_t id)
{
	for (size_t i = 0; i < c->n_peers; i++) {
		if (c->peers[i].id == id)
			return &c->peers[i];
	}
	return NULL;
}

/// Releases one entry of the queue of what waits for a sync.
void
raft_pending_free(struct raft_pending *p)
{
	g_free(p->bytes);
	g_free(p);
}

static void
fulfil(struct raft_core *c, struct raft_pending *p)
{
	struct raft_effect *fx;

	switch (p->kind) {
	case RAFT_PENDING_SEND:
		fx = raft_emit(c, RAFT_EFFECT_SEND);
		fx->send.to = p->to;
		fx->send.bytes = p->bytes;
		fx->send.len = p->len;
		p->bytes = NULL;
		break;
	case RAFT_PENDING_VOTE:
		if (c->role == RAFT_CANDIDATE && c->hard_state.term == p->term)
			c->self_granted = true;
		break;
	case RAFT_PENDING_LOG:
		c->synced_index = MAX(c->synced_index, p->index);
		break;
	}
}

static void
synced(struct raft_core *c, uint64_t seq)
{
	c->synced_seq = MAX(c->synced_seq, seq);
	for (;;) {
		struct raft_pending *p = g_queue_peek_head(&c->pending);

		if (p == NULL || p->seq > c->synced_seq)
			break;
		(void)g_queue_pop_head(&c->pending);
		fulfil(c, p);
		raft_pending_free(p);
	}
	if (c->role == RAFT_CANDIDATE)
		raft_count_votes(c);
	if (c->role == RAFT_LEADER)
		raft_leader_commit(c);
}

static void
dispatch(struct raft_core *c, const struct raft_msg *m)
{
	switch (m->kind) {
	case RAFT_MSG_PRE_VOTE:
	case RAFT_MSG_PRE_VOTE_REPLY:
	case RAFT_MSG_VOTE:
	case RAFT_MSG_VOTE_REPLY:
		raft_on_election_msg(c, m);
		break;
	case RAFT_MSG_APPEND:
		raft_on_append(c, m);
		break;
	case RAFT_MSG_APPEND_REPLY:
		raft_on_append_reply(c, m);
		break;
	case RAFT_MSG_SNAPSHOT:
		raft_on_snapshot(c, m);
		break;
	case RAFT_MSG_SNAPSHOT_REPLY:
		raft_on_snapshot_reply(c, m);
		break;
	case RAFT_MSG_TIMEOUT_NOW:
		raft_on_timeout_now(c, m);
		break;
	}
}

static void
message(struct raft_core *c, const struct raft_event *ev)
{
	struct raft_msg m;

	if (raft_msg_decode(ev->message.bytes, ev->message.len, &m) !=
	    STATUS_OK)
		return;
	if (m.group == c->group && m.to == c->self &&
	    ((m.from ^ ev->message.from) & RAFT_SLOT_MASK) == 0 &&
	    m.from != c->self)
		dispatch(c, &m);
	raft_msg_clear(&m);
}

static void
tick(struct raft_core *c)
{
	c->armed_us = 0;
	if (c->now_us < c->deadline_us)
		return;
	if (c->role == RAFT_LEADER)
		raft_leader_tick(c);
	else
		raft_election_tick(c);
}

static void
command(struct raft_core *c, const struct raft_event *ev)
{
	if (c->role != RAFT_LEADER || c->transferring) {
		raft_emit_outcome(c, ev->propose.tag, STATUS_UNAVAILABLE, 0);
	} else {
		raft_propose(c, ev->propose.tag, RAFT_COMMAND,
		    ev->propose.bytes, ev->propose.len);
	}
	if (c->role == RAFT_LEADER && !ev->propose.more)
		raft_broadcast(c, false);
}

static void
handle(struct raft_core *c, const struct raft_event *ev)
{
	switch (ev->kind) {
	case RAFT_EVENT_TICK:
		tick(c);
		break;
	case RAFT_EVENT_MESSAGE:
		message(c, ev);
		break;
	case RAFT_EVENT_PROPOSE:
		command(c, ev);
		break;
	case RAFT_EVENT_SYNCED:
		synced(c, ev->synced.seq);
		break;
	case RAFT_EVENT_READ:
		raft_read(c, ev->read.tag);
		break;
	case RAFT_EVENT_MEMBERS:
		raft_change_members(c, ev);
		break;
	case RAFT_EVENT_TRANSFER:
		raft_transfer(c, ev->transfer.to);
		break;
	case RAFT_EVENT_SNAPSHOT_MADE:
		if (ev->snapshot.index > c->limits.retained_entries)
			raft_log_compact(
			    c, ev->snapshot.index - c->limits.retained_entries);
		break;
	case RAFT_EVENT_SNAPSHOT_INSTALLED:
		raft_snapshot_installed(
		    c, ev->snapshot.index, ev->snapshot.term);
		break;
	}
}

static void
begin(struct raft_core *c, uint64_t now_us, struct raft_effects *out)
{
	c->now_us = MAX(c->now_us, now_us);
	c->out = out;
	c->wrote = false;
}

static void
finish(struct raft_core *c)
{
	if (c->wrote)
		raft_emit(c, RAFT_EFFECT_SYNC)->sync.seq = c->write_seq;
	if (c->deadline_us != c->armed_us) {
		c->armed_us = c->deadline_us;
		raft_emit(c, RAFT_EFFECT_ARM_TIMER)->arm.at_us = c->deadline_us;
	}
	c->out = NULL;
}

/// Takes one event and gives its effects, added to `out`.
///
/// @param now_us  monotonic time; a step back is ignored
void
raft_step(struct raft_core *c, uint64_t now_us, const struct raft_event *ev,
    struct raft_effects *out)
{
	begin(c, now_us, out);
	handle(c, ev);
	finish(c);
}

/// Hands over snapshot bytes for a peer, asked for by
/// RAFT_EFFECT_NEED_SNAPSHOT.
void
raft_provide_snapshot(struct raft_core *c, uint64_t now_us, uint32_t to,
    uint64_t index, uint64_t term, const uint8_t *bytes, size_t len,
    struct raft_effects *out)
{
	struct raft_peer *p = raft_peer(c, to);

	if (c->role != RAFT_LEADER || p == NULL || p->progress != RAFT_SNAPSHOT)
		return;
	begin(c, now_us, out);
	raft_peer_drop_snapshot(p);
	p->snapshot = g_bytes_new(bytes, len);
	p->snapshot_index = index;
	p->snapshot_term = term;
	p->snapshot_offset = 0;
	p->snapshot_transfer_id = ++c->round;
	raft_send_snapshot(c, p);
	finish(c);
}

/// Makes a core from what was read from the disk. The caller gives
/// RAFT_EVENT_TICK at once; the first effects come from that step.
struct raft_core *
raft_new(const struct raft_config *boot, struct rnd *rnd, uint64_t now_us)
{
	struct raft_core *c = g_new0(struct raft_core, 1);

	assert(boot->self != 0);
	c->group = boot->group;
	c->self = boot->self;
	c->election_us = boot->election_us;
	c->heartbeat_us = boot->heartbeat_us;
	c->rnd = rnd;
	c->limits = boot->limits;
	if (c->limits.retained_entries == 0)
		c->limits.retained_entries = DEFAULT_TRAIL_ENTRIES;
	if (c->limits.batch_entries == 0)
		c->limits.batch_entries = DEFAULT_BATCH_ENTRIES;
	if (c->limits.piece_bytes == 0)
		c->limits.piece_bytes = DEFAULT_PIECE_BYTES;
	c->now_us = now_us;
	c->hard_state = boot->hard_state;
	g_queue_init(&c->pending);
	c->proposals = g_array_new(FALSE, FALSE, sizeof(struct raft_waiter));
	c->reads = g_array_new(FALSE, FALSE, sizeof(struct raft_waiter));
	raft_log_init(c, boot);
	raft_peers_refresh(c);
	c->role = RAFT_FOLLOWER;
	raft_reset_deadline(c);
	if (boot->restarted) {
		raft_restart_begin(c);
		raft_reset_pre_vote_deadline(c);
	}
	return c;
}

/// Releases a core; NULL is allowed.
void
raft_free(struct raft_core *c)
{
	struct raft_pending *p;

	if (c == NULL)
		return;
	while ((p = g_queue_pop_head(&c->pending)) != NULL)
		raft_pending_free(p);
	for (size_t i = 0; i < c->n_peers; i++)
		raft_peer_drop_snapshot(&c->peers[i]);
	raft_receive_clear(c);
	g_array_unref(c->proposals);
	g_array_unref(c->reads);
	raft_log_free(c);
	g_free(c);
}

/// Role in the current term.
enum raft_role
raft_role(const struct raft_core *c)
{
	return c->role;
}

/// Leader of the current term, 0 if unknown.
uint32_t
raft_leader(const struct raft_core *c)
{
	return c->leader;
}

/// Current term.
uint64_t
raft_term(const struct raft_core *c)
{
	return c->hard_state.term;
}

/// Highest index known to be committed.
uint64_t
raft_commit_index(const struct raft_core *c)
{
	return c->commit;
}
