#include "replog/raft_internal.h"

#include "base/inv.h"

#include <assert.h>
#include <string.h>

#define DEFAULT_RETAINED_ENTRIES 1024
#define DEFAULT_RETAINED_BYTES ((size_t)4 << 20)
#define DEFAULT_BATCH_ENTRIES 1024
#define DEFAULT_CHUNK_BYTES (128U << 10)

/// Adds an effect to the current step.
///
/// @return the effect, zeroed but for its kind; valid until the next one is
/// added
struct raft_effect *
raft_emit(struct raft_core *c, enum raft_effect_kind kind)
{
	struct raft_effects *out = c->out;
	struct raft_effect *fx;

	if (out->n == out->capacity) {
		out->capacity = out->capacity == 0 ? 16 : 2 * out->capacity;
		out->items =
		    g_renew(struct raft_effect, out->items, out->capacity);
	}
	fx = &out->items[out->n++];
	memset(fx, 0, sizeof(*fx));
	fx->kind = kind;
	return fx;
}

/// Releases the effects of the last step; the array is kept for the next one.
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

/// Releases the effects and their array.
void
raft_effects_free(struct raft_effects *fx)
{
	raft_effects_clear(fx);
	g_free(fx->items);
	fx->items = NULL;
	fx->capacity = 0;
}

static uint8_t *
encode_message(
    const struct raft_core *c, uint32_t to, struct raft_msg *m, size_t *len)
{
	m->group = c->group;
	m->from = c->self;
	m->to = to;
	if (m->term == 0)
		m->term = c->hard_state.term;
	return raft_msg_encode(m, len);
}

/// Sends a message that doesn't depend on unsynced writes.
void
raft_send(struct raft_core *c, uint32_t to, struct raft_msg *m)
{
	struct raft_effect *fx;
	size_t len;
	uint8_t *bytes = encode_message(c, to, m, &len);

	fx = raft_emit(c, RAFT_EFFECT_SEND);
	fx->send.to = to;
	fx->send.bytes = bytes;
	fx->send.len = len;
}

/// Sends a message once all writes so far, those of this step included, are
/// synced.
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
	p->bytes = encode_message(c, to, m, &p->len);
	g_queue_push_tail(&c->pending, p);
}

/// Records that the current step writes, so that it ends with a sync.
///
/// @return sequence number of that sync
uint64_t
raft_mark_write(struct raft_core *c)
{
	if (!c->step_wrote) {
		c->step_wrote = true;
		c->write_seq++;
	}
	return c->write_seq;
}

/// Emits the write of term and vote.
void
raft_write_hard_state(struct raft_core *c)
{
	struct raft_effect *fx = raft_emit(c, RAFT_EFFECT_HARD_STATE);

	fx->hard_state = c->hard_state;
	(void)raft_mark_write(c);
}

/// Emits the outcome of a proposal, read barrier or member change.
///
/// @param tag  as given with the event
void
raft_emit_outcome(
    struct raft_core *c, uint64_t tag, enum status status, uint64_t index)
{
	struct raft_effect *fx = raft_emit(c, RAFT_EFFECT_OUTCOME);

	fx->outcome.tag = tag;
	fx->outcome.status = status;
	fx->outcome.index = index;
}

/// Emits role, leader and term.
void
raft_emit_role(struct raft_core *c)
{
	struct raft_effect *fx = raft_emit(c, RAFT_EFFECT_ROLE);

	fx->role.role = c->role;
	fx->role.leader = c->leader;
	fx->role.term = c->hard_state.term;
}

/// Replication state of another member, or NULL if it isn't a member.
struct raft_peer *
raft_peer(struct raft_core *c, uint32_t id)
{
	for (size_t i = 0; i < c->n_peers; i++) {
		if (c->peers[i].id == id)
			return &c->peers[i];
	}
	return NULL;
}

/// Releases an item of the queue of actions that wait for a sync.
void
raft_pending_free(struct raft_pending *p)
{
	g_free(p->bytes);
	g_free(p);
}

static void
complete_pending(struct raft_core *c, struct raft_pending *p)
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
on_synced(struct raft_core *c, uint64_t seq)
{
	c->synced_seq = MAX(c->synced_seq, seq);
	for (;;) {
		struct raft_pending *p = g_queue_peek_head(&c->pending);

		if (p == NULL || p->seq > c->synced_seq)
			break;
		(void)g_queue_pop_head(&c->pending);
		complete_pending(c, p);
		raft_pending_free(p);
	}
	if (c->role == RAFT_CANDIDATE)
		raft_count_votes(c);
	if (c->role == RAFT_LEADER)
		raft_leader_commit(c);
}

static void
dispatch_message(struct raft_core *c, const struct raft_msg *m)
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

/// Handles a peer's message; one that is malformed, meant for another member
/// or from another slot than the transport says is dropped.
static void
on_message(struct raft_core *c, const struct raft_event *ev)
{
	struct raft_msg m;

	if (raft_msg_decode(ev->message.bytes, ev->message.len, &m) !=
	    STATUS_OK)
		return;
	if (m.group == c->group && m.to == c->self &&
	    ((m.from ^ ev->message.from) & RAFT_SLOT_MASK) == 0 &&
	    m.from != c->self)
		dispatch_message(c, &m);
	raft_msg_clear(&m);
}

static void
on_tick(struct raft_core *c)
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
on_propose(struct raft_core *c, const struct raft_event *ev)
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
handle_event(struct raft_core *c, const struct raft_event *ev)
{
	switch (ev->kind) {
	case RAFT_EVENT_TICK:
		on_tick(c);
		break;
	case RAFT_EVENT_MESSAGE:
		on_message(c, ev);
		break;
	case RAFT_EVENT_PROPOSE:
		on_propose(c, ev);
		break;
	case RAFT_EVENT_SYNCED:
		on_synced(c, ev->synced.seq);
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
		raft_log_retain(c, ev->snapshot.index);
		break;
	case RAFT_EVENT_SNAPSHOT_INSTALLED:
		raft_snapshot_installed(
		    c, ev->snapshot.index, ev->snapshot.term);
		break;
	}
}

static void
begin_step(struct raft_core *c, uint64_t now_us, struct raft_effects *out)
{
	c->now_us = MAX(c->now_us, now_us);
	c->out = out;
	c->step_wrote = false;
}

static void
finish_step(struct raft_core *c)
{
	if (c->step_wrote)
		raft_emit(c, RAFT_EFFECT_SYNC)->sync.seq = c->write_seq;
	if (c->deadline_us != c->armed_us) {
		c->armed_us = c->deadline_us;
		raft_emit(c, RAFT_EFFECT_ARM_TIMER)->arm.at_us = c->deadline_us;
	}
	c->out = NULL;
}

/// Handles one event.
///
/// @param now_us  monotonic time; a time before the last one is ignored
/// @param out     the effects are appended to it; the caller carries them out
///                and clears it with raft_effects_clear()
void
raft_step(struct raft_core *c, uint64_t now_us, const struct raft_event *ev,
    struct raft_effects *out)
{
	begin_step(c, now_us, out);
	handle_event(c, ev);
	finish_step(c);
}

/// Provides the snapshot that RAFT_EFFECT_NEED_SNAPSHOT requested; the core
/// sends it in chunks. Ignored if the peer doesn't need one any more.
///
/// @param to     member id of the peer
/// @param bytes  copied
/// @param out    the effects are appended to it
void
raft_provide_snapshot(struct raft_core *c, uint64_t now_us, uint32_t to,
    uint64_t index, uint64_t term, const uint8_t *bytes, size_t len,
    struct raft_effects *out)
{
	struct raft_peer *p = raft_peer(c, to);

	if (c->role != RAFT_LEADER || p == NULL || p->progress != RAFT_SNAPSHOT)
		return;
	begin_step(c, now_us, out);
	raft_peer_drop_snapshot(p);
	p->snapshot = g_bytes_new(bytes, len);
	p->snapshot_index = index;
	p->snapshot_term = term;
	p->snapshot_offset = 0;
	p->snapshot_transfer_id = ++c->round;
	raft_send_snapshot(c, p);
	finish_step(c);
}

/// Creates a core from the state read from the disk. The caller gives
/// RAFT_EVENT_TICK at once; the first effects come from that step.
///
/// @param config  copied, with its entries
/// @param rnd     source of election times; must outlive the core
/// @return the core, to be released with raft_free()
struct raft_core *
raft_new(const struct raft_config *config, struct rnd *rnd, uint64_t now_us)
{
	struct raft_core *c = g_new0(struct raft_core, 1);

	assert(config->self != 0);
	c->group = config->group;
	c->self = config->self;
	c->election_us = config->election_us;
	c->heartbeat_us = config->heartbeat_us;
	c->rnd = rnd;
	c->limits = config->limits;
	if (c->limits.retained_entries == 0)
		c->limits.retained_entries = DEFAULT_RETAINED_ENTRIES;
	if (c->limits.retained_bytes == 0)
		c->limits.retained_bytes = DEFAULT_RETAINED_BYTES;
	if (c->limits.batch_entries == 0)
		c->limits.batch_entries = DEFAULT_BATCH_ENTRIES;
	if (c->limits.chunk_bytes == 0)
		c->limits.chunk_bytes = DEFAULT_CHUNK_BYTES;
	c->now_us = now_us;
	c->hard_state = config->hard_state;
	g_queue_init(&c->pending);
	c->proposals = g_array_new(FALSE, FALSE, sizeof(struct raft_waiter));
	c->reads = g_array_new(FALSE, FALSE, sizeof(struct raft_waiter));
	raft_log_init(c, config);
	raft_peers_refresh(c);
	c->role = RAFT_FOLLOWER;
	raft_reset_deadline(c);
	if (config->restarted) {
		raft_restart_begin(c);
		raft_reset_pre_vote_deadline(c);
	}
	return c;
}

/// Releases a core without reporting outcomes; NULL is allowed.
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

/// Member id of the leader of the current term, 0 if unknown.
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
