#include "replog/rl_core.h"

#include "base/inv.h"

#include <assert.h>
#include <string.h>

#define DEFAULT_TRAIL_ENTRIES 1024
#define DEFAULT_BATCH_ENTRIES 1024
#define DEFAULT_PIECE_BYTES (128U << 10)

/// Adds an effect to the step under way.
struct rl_effect *
rl_emit(struct rl_core *c, enum rl_effect_kind kind)
{
	struct rl_effects *out = c->out;
	struct rl_effect *fx;

	if (out->n == out->room) {
		out->room = out->room == 0 ? 16 : 2 * out->room;
		out->items = g_renew(struct rl_effect, out->items, out->room);
	}
	fx = &out->items[out->n++];
	memset(fx, 0, sizeof(*fx));
	fx->kind = kind;
	return fx;
}

/// Releases the effects of the last step, keeping the room for the next.
void
rl_effects_clear(struct rl_effects *fx)
{
	for (size_t i = 0; i < fx->n; i++) {
		if (fx->items[i].kind == RL_FX_SEND)
			g_free(fx->items[i].send.bytes);
		else if (fx->items[i].kind == RL_FX_INSTALL)
			g_free(fx->items[i].install.bytes);
	}
	fx->n = 0;
}

/// Releases the effects and their room.
void
rl_effects_free(struct rl_effects *fx)
{
	rl_effects_clear(fx);
	g_free(fx->items);
	fx->items = NULL;
	fx->room = 0;
}

static uint8_t *
encode(const struct rl_core *c, uint32_t to, struct rl_msg *m, size_t *len)
{
	m->group = c->group;
	m->from = c->self;
	m->to = to;
	if (m->term == 0)
		m->term = c->hard.term;
	return rl_msg_encode(m, len);
}

/// Sends a message that promises nothing about the disk.
void
rl_send(struct rl_core *c, uint32_t to, struct rl_msg *m)
{
	struct rl_effect *fx;
	size_t len;
	uint8_t *bytes = encode(c, to, m, &len);

	fx = rl_emit(c, RL_FX_SEND);
	fx->send.to = to;
	fx->send.bytes = bytes;
	fx->send.len = len;
}

/// Sends a message once all that was written so far is synced.
void
rl_promise(struct rl_core *c, uint32_t to, struct rl_msg *m)
{
	struct rl_pending *p;

	if (c->synced_seq >= c->write_seq) {
		rl_send(c, to, m);
		return;
	}
	p = g_new0(struct rl_pending, 1);
	p->kind = RL_PENDING_SEND;
	p->seq = c->write_seq;
	p->to = to;
	p->bytes = encode(c, to, m, &p->len);
	g_queue_push_tail(&c->pending, p);
}

/// Notes that this step writes; the step will end with a sync.
uint64_t
rl_mark_write(struct rl_core *c)
{
	if (!c->wrote) {
		c->wrote = true;
		c->write_seq++;
	}
	return c->write_seq;
}

/// Asks for the write of term and vote.
void
rl_write_hard(struct rl_core *c)
{
	struct rl_effect *fx = rl_emit(c, RL_FX_HARD);

	fx->hard = c->hard;
	(void)rl_mark_write(c);
}

/// Reports the end of a proposal, read or change.
void
rl_outcome(struct rl_core *c, uint64_t tag, enum st status, uint64_t index)
{
	struct rl_effect *fx = rl_emit(c, RL_FX_OUTCOME);

	fx->outcome.tag = tag;
	fx->outcome.status = status;
	fx->outcome.index = index;
}

/// Reports role, leader and term.
void
rl_emit_role(struct rl_core *c)
{
	struct rl_effect *fx = rl_emit(c, RL_FX_ROLE);

	fx->role.role = c->role;
	fx->role.leader = c->leader;
	fx->role.term = c->hard.term;
}

/// What is known of a member, or NULL if it is none.
struct rl_peer *
rl_peer(struct rl_core *c, uint32_t id)
{
	for (size_t i = 0; i < c->n_peers; i++) {
		if (c->peers[i].id == id)
			return &c->peers[i];
	}
	return NULL;
}

/// Releases one entry of the queue of what waits for a sync.
void
rl_pending_free(struct rl_pending *p)
{
	g_free(p->bytes);
	g_free(p);
}

static void
fulfil(struct rl_core *c, struct rl_pending *p)
{
	struct rl_effect *fx;

	switch (p->kind) {
	case RL_PENDING_SEND:
		fx = rl_emit(c, RL_FX_SEND);
		fx->send.to = p->to;
		fx->send.bytes = p->bytes;
		fx->send.len = p->len;
		p->bytes = NULL;
		break;
	case RL_PENDING_VOTE:
		if (c->role == RL_CANDIDATE && c->hard.term == p->term)
			c->self_granted = true;
		break;
	case RL_PENDING_LOG:
		c->synced_index = MAX(c->synced_index, p->index);
		break;
	}
}

static void
synced(struct rl_core *c, uint64_t seq)
{
	c->synced_seq = MAX(c->synced_seq, seq);
	for (;;) {
		struct rl_pending *p = g_queue_peek_head(&c->pending);

		if (p == NULL || p->seq > c->synced_seq)
			break;
		(void)g_queue_pop_head(&c->pending);
		fulfil(c, p);
		rl_pending_free(p);
	}
	if (c->role == RL_CANDIDATE)
		rl_count_votes(c);
	if (c->role == RL_LEADER)
		rl_leader_commit(c);
}

static void
dispatch(struct rl_core *c, const struct rl_msg *m)
{
	switch (m->kind) {
	case RL_MSG_PRE_VOTE:
	case RL_MSG_PRE_VOTE_REPLY:
	case RL_MSG_VOTE:
	case RL_MSG_VOTE_REPLY:
		rl_on_election_msg(c, m);
		break;
	case RL_MSG_APPEND:
		rl_on_append(c, m);
		break;
	case RL_MSG_APPEND_REPLY:
		rl_on_append_reply(c, m);
		break;
	case RL_MSG_SNAPSHOT:
		rl_on_snapshot(c, m);
		break;
	case RL_MSG_SNAPSHOT_REPLY:
		rl_on_snapshot_reply(c, m);
		break;
	case RL_MSG_TIMEOUT_NOW:
		rl_on_timeout_now(c, m);
		break;
	}
}

static void
message(struct rl_core *c, const struct rl_event *ev)
{
	struct rl_msg m;

	if (rl_msg_decode(ev->message.bytes, ev->message.len, &m) != ST_OK)
		return;
	if (m.group == c->group && m.to == c->self &&
	    ((m.from ^ ev->message.from) & RL_SLOT_MASK) == 0 &&
	    m.from != c->self)
		dispatch(c, &m);
	rl_msg_clear(&m);
}

static void
tick(struct rl_core *c)
{
	c->armed_us = 0;
	if (c->now_us < c->deadline_us)
		return;
	if (c->role == RL_LEADER)
		rl_leader_tick(c);
	else
		rl_election_tick(c);
}

static void
command(struct rl_core *c, const struct rl_event *ev)
{
	if (c->role != RL_LEADER || c->transferring) {
		rl_outcome(c, ev->propose.tag, ST_UNAVAILABLE, 0);
	} else {
		rl_propose(c, ev->propose.tag, RL_COMMAND, ev->propose.bytes,
		    ev->propose.len);
	}
	if (c->role == RL_LEADER && !ev->propose.more)
		rl_broadcast(c, false);
}

static void
handle(struct rl_core *c, const struct rl_event *ev)
{
	switch (ev->kind) {
	case RL_EV_TICK:
		tick(c);
		break;
	case RL_EV_MESSAGE:
		message(c, ev);
		break;
	case RL_EV_PROPOSE:
		command(c, ev);
		break;
	case RL_EV_SYNCED:
		synced(c, ev->synced.seq);
		break;
	case RL_EV_READ:
		rl_read(c, ev->read.tag);
		break;
	case RL_EV_MEMBERS:
		rl_change_members(c, ev);
		break;
	case RL_EV_TRANSFER:
		rl_transfer(c, ev->transfer.to);
		break;
	case RL_EV_SNAPSHOT_MADE:
		if (ev->snapshot.index > c->limits.trail_entries)
			rl_log_trim(
			    c, ev->snapshot.index - c->limits.trail_entries);
		break;
	case RL_EV_SNAPSHOT_IN:
		rl_snapshot_installed(c, ev->snapshot.index, ev->snapshot.term);
		break;
	}
}

static void
begin(struct rl_core *c, uint64_t now_us, struct rl_effects *out)
{
	c->now_us = MAX(c->now_us, now_us);
	c->out = out;
	c->wrote = false;
}

static void
finish(struct rl_core *c)
{
	if (c->wrote)
		rl_emit(c, RL_FX_SYNC)->sync.seq = c->write_seq;
	if (c->deadline_us != c->armed_us) {
		c->armed_us = c->deadline_us;
		rl_emit(c, RL_FX_ARM)->arm.at_us = c->deadline_us;
	}
	c->out = NULL;
}

/// Takes one event and gives its effects, added to `out`.
///
/// @param now_us  monotonic time; a step back is ignored
void
rl_step(struct rl_core *c, uint64_t now_us, const struct rl_event *ev,
    struct rl_effects *out)
{
	begin(c, now_us, out);
	handle(c, ev);
	finish(c);
}

/// Hands over snapshot bytes for a peer, asked for by RL_FX_NEED_SNAPSHOT.
void
rl_offer_snapshot(struct rl_core *c, uint64_t now_us, uint32_t to,
    uint64_t index, uint64_t term, const uint8_t *bytes, size_t len,
    struct rl_effects *out)
{
	struct rl_peer *p = rl_peer(c, to);

	if (c->role != RL_LEADER || p == NULL || p->progress != RL_SNAPSHOT)
		return;
	begin(c, now_us, out);
	rl_peer_drop_snapshot(p);
	p->snapshot = g_bytes_new(bytes, len);
	p->snapshot_index = index;
	p->snapshot_term = term;
	p->snapshot_offset = 0;
	p->snapshot_offer = ++c->round;
	rl_send_snapshot(c, p);
	finish(c);
}

/// Makes a core from what was read from the disk. The caller gives
/// RL_EV_TICK at once; the first effects come from that step.
struct rl_core *
rl_new(const struct rl_boot *boot, struct rnd *rnd, uint64_t now_us)
{
	struct rl_core *c = g_new0(struct rl_core, 1);

	assert(boot->self != 0);
	c->group = boot->group;
	c->self = boot->self;
	c->election_us = boot->election_us;
	c->heartbeat_us = boot->heartbeat_us;
	c->rnd = rnd;
	c->limits = boot->limits;
	if (c->limits.trail_entries == 0)
		c->limits.trail_entries = DEFAULT_TRAIL_ENTRIES;
	if (c->limits.batch_entries == 0)
		c->limits.batch_entries = DEFAULT_BATCH_ENTRIES;
	if (c->limits.piece_bytes == 0)
		c->limits.piece_bytes = DEFAULT_PIECE_BYTES;
	c->now_us = now_us;
	c->hard = boot->hard;
	g_queue_init(&c->pending);
	c->proposals = g_array_new(FALSE, FALSE, sizeof(struct rl_waiting));
	c->reads = g_array_new(FALSE, FALSE, sizeof(struct rl_waiting));
	rl_log_init(c, boot);
	rl_peers_refresh(c);
	c->role = RL_FOLLOWER;
	rl_reset_deadline(c);
	if (boot->restarted) {
		rl_restart_begin(c);
		rl_reset_pre_vote_deadline(c);
	}
	return c;
}

/// Releases a core; NULL is allowed.
void
rl_free(struct rl_core *c)
{
	struct rl_pending *p;

	if (c == NULL)
		return;
	while ((p = g_queue_pop_head(&c->pending)) != NULL)
		rl_pending_free(p);
	for (size_t i = 0; i < c->n_peers; i++)
		rl_peer_drop_snapshot(&c->peers[i]);
	rl_receive_clear(c);
	g_array_unref(c->proposals);
	g_array_unref(c->reads);
	rl_log_free(c);
	g_free(c);
}

/// Role in the current term.
enum rl_role
rl_role(const struct rl_core *c)
{
	return c->role;
}

/// Leader of the current term, 0 if unknown.
uint32_t
rl_leader(const struct rl_core *c)
{
	return c->leader;
}

/// Current term.
uint64_t
rl_term(const struct rl_core *c)
{
	return c->hard.term;
}

/// Highest index known to be committed.
uint64_t
rl_commit_index(const struct rl_core *c)
{
	return c->commit;
}
