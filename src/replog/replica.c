#include "replog/replica_internal.h"

#include "base/logger.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_SNAPSHOT_BYTES (4ULL << 20)

struct replica_waiter {
	replica_done_cb done;
	void *arg;
};

/// What waits for the next turn, or for the end of the step under way.
struct replica_input {
	struct raft_event event;
	uint8_t *bytes;
};

static void
input_free(struct replica_input *in)
{
	g_free(in->bytes);
	g_free(in);
}

/// Refuses everything from now on.
void
replica_fail(struct replica *g, enum status st)
{
	if (g->failed)
		return;
	g->failed = true;
	timerq_disarm(g->tick);
	timerq_disarm(g->join);
	g->config.ops.failed(g->config.arg, st);
}

static void
finish_wait(struct replica *g, uint64_t tag, enum status st,
    const uint8_t *bytes, size_t len)
{
	struct replica_waiter *w = g_hash_table_lookup(g->waits, &tag);
	struct replica_waiter copy;

	if (w == NULL)
		return;
	copy = *w;
	g_hash_table_remove(g->waits, &tag);
	copy.done(copy.arg, st, bytes, len);
}

/// Ends what waits, each with STATUS_TIMEOUT: for an owner that is about to
/// close the group and can still answer.
void
replica_cancel_waiters(struct replica *g)
{
	GArray *tags = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, g->waits);
	while (g_hash_table_iter_next(&it, &key, NULL))
		g_array_append_vals(tags, key, 1);
	for (guint i = 0; i < tags->len; i++)
		finish_wait(g, g_array_index(tags, uint64_t, i), STATUS_TIMEOUT,
		    NULL, 0);
	g_array_unref(tags);
}

static void
clear_result(struct replica *g)
{
	free(g->result);
	g->result = NULL;
	g->result_len = 0;
}

static void
apply(struct replica *g, const struct raft_entry *e)
{
	clear_result(g);
	g->applied = e->index;
	if (e->kind != RAFT_COMMAND)
		return;
	g->config.ops.apply(g->config.arg, e->index, e->data, e->len,
	    &g->result, &g->result_len);
}

static void
outcome(struct replica *g, const struct raft_effect *fx)
{
	const bool own =
	    fx->outcome.status == STATUS_OK && fx->outcome.index == g->applied;

	finish_wait(g, fx->outcome.tag, fx->outcome.status,
	    own ? g->result : NULL, own ? g->result_len : 0);
}

static enum status
install(struct replica *g, const struct raft_effect *fx)
{
	enum status st =
	    logstore_save_snapshot(g->disk, fx->install.index, fx->install.term,
		&fx->install.members, fx->install.bytes, fx->install.len);

	if (st == STATUS_OK)
		st = g->config.ops.snapshot_load(
		    g->config.arg, fx->install.bytes, fx->install.len);
	if (st != STATUS_OK)
		return st;
	clear_result(g);
	g->applied = fx->install.index;
	g->snapshot = fx->install.index;
	g->bytes_at_snapshot = logstore_bytes(g->disk);
	g->installed_term = fx->install.term;
	return STATUS_OK;
}

static enum status
carry_out(struct replica *g, const struct raft_effect *fx)
{
	const struct replica_ops *ops = &g->config.ops;

	switch (fx->kind) {
	case RAFT_EFFECT_HARD_STATE:
		return logstore_write_hard_state(g->disk, &fx->hard_state);
	case RAFT_EFFECT_APPEND:
		return logstore_append(g->disk, &fx->entry);
	case RAFT_EFFECT_SYNC:
		g->sync_seq = fx->sync.seq;
		timerq_arm_in(g->turn, 0);
		break;
	case RAFT_EFFECT_SEND:
		ops->send(g->config.arg, fx->send.to & RAFT_SLOT_MASK,
		    fx->send.bytes, fx->send.len);
		break;
	case RAFT_EFFECT_COMMIT:
		apply(g, &fx->entry);
		break;
	case RAFT_EFFECT_OUTCOME:
		outcome(g, fx);
		break;
	case RAFT_EFFECT_ROLE:
		ops->role_changed(g->config.arg, fx->role.role, fx->role.leader,
		    fx->role.term);
		break;
	case RAFT_EFFECT_ARM_TIMER:
		timerq_arm(g->tick, fx->arm.at_us);
		break;
	case RAFT_EFFECT_NEED_SNAPSHOT:
		g_array_append_val(g->need_snapshot, fx->need_snapshot.to);
		timerq_arm_in(g->turn, 0);
		break;
	case RAFT_EFFECT_INSTALL:
		return install(g, fx);
	}
	return STATUS_OK;
}

static void
carry_out_all(struct replica *g, struct raft_effects *fx)
{
	for (size_t i = 0; i < fx->n && !g->failed; i++) {
		const enum status st = carry_out(g, &fx->items[i]);

		if (st != STATUS_OK)
			replica_fail(g, st);
	}
	raft_effects_clear(fx);
}

static void
announce_ready(struct replica *g)
{
	const bool ready = replica_is_ready(g);

	if (ready == g->was_ready)
		return;
	g->was_ready = ready;
	if (ready)
		g->config.ops.role_changed(g->config.arg, raft_role(g->core),
		    raft_leader(g->core), raft_term(g->core));
}

/// Tells the core before it sees anything else, so that no entry covered by
/// the snapshot can be handed out after it.
static void
confirm_install(struct replica *g)
{
	const struct raft_event ev = { .kind = RAFT_EVENT_SNAPSHOT_INSTALLED,
		.snapshot = {
		    .index = g->snapshot, .term = g->installed_term } };

	g->installed_term = 0;
	raft_step(g->core, timerq_now_us(g->config.tm), &ev, &g->fx);
	carry_out_all(g, &g->fx);
}

/// Answers for a group that this process has no part in yet.
static void
refuse(struct replica *g, const struct raft_event *ev)
{
	if (ev->kind == RAFT_EVENT_PROPOSE)
		finish_wait(g, ev->propose.tag, STATUS_UNAVAILABLE, NULL, 0);
	else if (ev->kind == RAFT_EVENT_READ)
		finish_wait(g, ev->read.tag, STATUS_UNAVAILABLE, NULL, 0);
	else if (ev->kind == RAFT_EVENT_MEMBERS)
		finish_wait(g, ev->members.tag, STATUS_UNAVAILABLE, NULL, 0);
}

static void
step(struct replica *g, const struct raft_event *ev)
{
	if (g->failed)
		return;
	if (g->core == NULL) {
		refuse(g, ev);
		return;
	}
	assert(!g->busy);
	g->busy = true;
	raft_step(g->core, timerq_now_us(g->config.tm), ev, &g->fx);
	carry_out_all(g, &g->fx);
	if (!g->failed && g->installed_term != 0)
		confirm_install(g);
	if (!g->failed)
		announce_ready(g);
	g->busy = false;
}

static void
queue_event(struct replica *g, const struct raft_event *ev, uint8_t *bytes)
{
	struct replica_input *in = g_new0(struct replica_input, 1);

	in->event = *ev;
	in->bytes = bytes;
	g_queue_push_tail(&g->inputs, in);
	timerq_arm_in(g->turn, 0);
}

static void
on_tick(void *arg, uint64_t now_us)
{
	const struct raft_event ev = { .kind = RAFT_EVENT_TICK };

	(void)now_us;
	step(arg, &ev);
}

static void
run_inputs(struct replica *g)
{
	guint todo = g->inputs.length;

	while (todo-- > 0 && !g->failed) {
		struct replica_input *in = g_queue_pop_head(&g->inputs);
		const struct replica_input *next =
		    g_queue_peek_head(&g->inputs);

		if (in->event.kind == RAFT_EVENT_PROPOSE)
			in->event.propose.more = todo > 0 && next != NULL &&
			    next->event.kind == RAFT_EVENT_PROPOSE;
		step(g, &in->event);
		input_free(in);
	}
}

static void
sync_writes(struct replica *g)
{
	struct raft_event ev = { .kind = RAFT_EVENT_SYNCED };
	enum status st;

	if (g->failed || g->sync_seq == g->synced_seq)
		return;
	ev.synced.seq = g->sync_seq;
	st = logstore_sync(g->disk);
	if (st != STATUS_OK) {
		replica_fail(g, st);
		return;
	}
	g->synced_seq = ev.synced.seq;
	step(g, &ev);
}

static void
offer_snapshot(struct replica *g, uint32_t to)
{
	const uint64_t term = raft_term_at(g->core, g->applied);
	uint8_t *bytes = NULL;
	size_t len = 0;
	enum status st;

	st = g->config.ops.snapshot_make(g->config.arg, &bytes, &len);
	if (st != STATUS_OK) {
		logger_event(LOGGER_ERROR, "replog.snapshot_failed",
		    "group=%u error=%s", g->config.group, status_name(st));
		return;
	}
	g->busy = true;
	raft_provide_snapshot(g->core, timerq_now_us(g->config.tm), to,
	    g->applied, term, bytes, len, &g->fx);
	free(bytes);
	carry_out_all(g, &g->fx);
	g->busy = false;
}

static void
offer_snapshots(struct replica *g)
{
	while (g->need_snapshot->len > 0 && !g->failed) {
		const uint32_t to =
		    g_array_index(g->need_snapshot, uint32_t, 0);

		g_array_remove_index(g->need_snapshot, 0);
		if (g->applied > 0)
			offer_snapshot(g, to);
	}
}

static void
save_snapshot(struct replica *g)
{
	struct raft_event ev = { .kind = RAFT_EVENT_SNAPSHOT_MADE };
	uint8_t *bytes = NULL;
	size_t len = 0;
	enum status st;

	if (g->failed || g->applied <= g->snapshot ||
	    logstore_bytes(g->disk) <
		g->bytes_at_snapshot + g->config.snapshot_bytes)
		return;
	ev.snapshot.index = g->applied;
	ev.snapshot.term = raft_term_at(g->core, g->applied);
	st = g->config.ops.snapshot_make(g->config.arg, &bytes, &len);
	if (st == STATUS_OK)
		st = logstore_save_snapshot(g->disk, g->applied,
		    ev.snapshot.term, raft_members_at(g->core, g->applied),
		    bytes, len);
	free(bytes);
	if (st != STATUS_OK) {
		replica_fail(g, st);
		return;
	}
	g->snapshot = g->applied;
	g->bytes_at_snapshot = logstore_bytes(g->disk);
	step(g, &ev);
}

/// One turn: what came in, then one write and one sync for all of it.
static void
on_turn(void *arg, uint64_t now_us)
{
	struct replica *g = arg;

	(void)now_us;
	run_inputs(g);
	sync_writes(g);
	offer_snapshots(g);
	save_snapshot(g);
}

/// Hands over a message from a member.
void
replica_receive(
    struct replica *g, uint32_t from, const uint8_t *bytes, size_t len)
{
	struct raft_event ev = { .kind = RAFT_EVENT_MESSAGE };

	if (g->failed)
		return;
	if (len > 0 && bytes[0] == REPLICA_HELLO_MARK) {
		replica_on_hello(g, bytes, len);
		return;
	}
	ev.message.from = from;
	ev.message.len = len;
	if (g->busy) {
		uint8_t *copy = g_memdup2(bytes, len);

		ev.message.bytes = copy;
		queue_event(g, &ev, copy);
		return;
	}
	ev.message.bytes = bytes;
	step(g, &ev);
}

static uint64_t
add_wait(struct replica *g, replica_done_cb done, void *arg)
{
	struct replica_waiter *w = g_new(struct replica_waiter, 1);
	uint64_t *key = g_new(uint64_t, 1);

	w->done = done;
	w->arg = arg;
	*key = ++g->last_tag;
	g_hash_table_insert(g->waits, key, w);
	return *key;
}

/// Proposes a command, see replica_done_cb for the outcomes.
void
replica_propose(struct replica *g, const uint8_t *bytes, size_t len,
    replica_done_cb done, void *arg)
{
	struct raft_event ev = { .kind = RAFT_EVENT_PROPOSE };
	uint8_t *copy = g_memdup2(bytes, len);

	assert(len <= REPLICA_MAX_COMMAND_BYTES);
	ev.propose.tag = add_wait(g, done, arg);
	ev.propose.bytes = copy;
	ev.propose.len = len;
	queue_event(g, &ev, copy);
}

/// Asks for a read barrier.
void
replica_read_barrier(struct replica *g, replica_done_cb done, void *arg)
{
	struct raft_event ev = { .kind = RAFT_EVENT_READ };

	ev.read.tag = add_wait(g, done, arg);
	queue_event(g, &ev, NULL);
}

/// Changes the members by one step.
void
replica_change_member(struct replica *g, uint32_t id, bool voter, bool remove,
    replica_done_cb done, void *arg)
{
	struct raft_event ev = { .kind = RAFT_EVENT_MEMBERS };

	ev.members.tag = add_wait(g, done, arg);
	ev.members.id = id;
	ev.members.voter = voter;
	ev.members.remove = remove;
	queue_event(g, &ev, NULL);
}

/// Hands leadership over.
void
replica_transfer_leader(struct replica *g, uint32_t to)
{
	struct raft_event ev = { .kind = RAFT_EVENT_TRANSFER };

	ev.transfer.to = to;
	queue_event(g, &ev, NULL);
}

/// Starts the core from what the disk holds.
enum status
replica_start_core(struct replica *g, const struct logstore_loaded *loaded)
{
	const struct replica_config *config = &g->config;
	struct raft_config b = { .group = config->group,
		.self = g->identity.id,
		.hard_state = loaded->hard_state,
		.members = loaded->members,
		.snapshot_index = loaded->snapshot_index,
		.snapshot_term = loaded->snapshot_term,
		.entries = loaded->entries,
		.n_entries = loaded->n_entries,
		.election_us = config->election_us,
		.heartbeat_us = config->heartbeat_us,
		.limits = config->limits,
		.restarted = !loaded->fresh };
	enum status st;

	if (loaded->snapshot_index == 0)
		b.members = g->identity.initial;
	g->applied = loaded->snapshot_index;
	g->snapshot = loaded->snapshot_index;
	g->bytes_at_snapshot = 0;
	g->self = g->identity.id;
	if (loaded->snapshot_index > 0) {
		st = config->ops.snapshot_load(
		    config->arg, loaded->snapshot, loaded->snapshot_len);
		if (st != STATUS_OK)
			return st;
	}
	g->core = raft_new(&b, config->rnd, timerq_now_us(config->tm));
	timerq_arm_in(g->tick, 0);
	return STATUS_OK;
}

static struct logstore_identity
wanted_identity(const struct replica_config *config)
{
	struct logstore_identity want;

	memset(&want, 0, sizeof(want));
	(void)g_strlcpy(
	    want.deployment, config->deployment, sizeof(want.deployment));
	(void)g_strlcpy(want.node, config->node, sizeof(want.node));
	want.id = config->self;
	want.incarnation = rnd_u64(config->rnd);
	want.origin = LOGSTORE_ORIGIN_UNKNOWN;
	want.initial.n_voters = config->n_voters;
	memcpy(want.initial.voters, config->voters,
	    config->n_voters * sizeof(config->voters[0]));
	return want;
}

/// Opens the disk log of a group and starts to take part in it.
///
/// @param out  the group, to be closed with replica_close()
/// @return as logstore_open() and the snapshot_load callback
enum status
replica_open(const struct replica_config *config, struct replica **out)
{
	const struct logstore_identity want = wanted_identity(config);
	struct replica *g = g_new0(struct replica, 1);
	struct logstore_loaded loaded;
	enum status st;

	g->config = *config;
	if (g->config.snapshot_bytes == 0)
		g->config.snapshot_bytes = DEFAULT_SNAPSHOT_BYTES;
	g_queue_init(&g->inputs);
	g->waits =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	g->need_snapshot = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g->tick = timerq_timer_new(config->tm, on_tick, g);
	g->turn = timerq_timer_new(config->tm, on_turn, g);
	g->join = timerq_timer_new(config->tm, replica_on_join_timer, g);
	st = logstore_open(config->folder, config->group, &want, config->os,
	    &g->disk, &loaded);
	if (st == STATUS_OK) {
		g->identity = loaded.identity;
		g->self = loaded.identity.id;
		// Until the disks are agreed the settings may still change.
		if (g->identity.disks[0] == 0 && !config->late &&
		    g->identity.origin == LOGSTORE_ORIGIN_UNKNOWN)
			g->identity.initial = want.initial;
		if (g->identity.origin == LOGSTORE_ORIGIN_UNKNOWN)
			st = replica_join_start(g);
		else
			st = replica_start_core(g, &loaded);
		logstore_loaded_free(&loaded);
	}
	if (st != STATUS_OK) {
		replica_close(g);
		return st;
	}
	timerq_arm_in(g->join, 0);
	*out = g;
	return STATUS_OK;
}

/// Closes a group; what still waits is forgotten without a callback. NULL is
/// allowed.
void
replica_close(struct replica *g)
{
	struct replica_input *in;

	if (g == NULL)
		return;
	assert(!g->busy);
	timerq_timer_free(g->tick);
	timerq_timer_free(g->turn);
	timerq_timer_free(g->join);
	while ((in = g_queue_pop_head(&g->inputs)) != NULL)
		input_free(in);
	g_hash_table_unref(g->waits);
	g_array_unref(g->need_snapshot);
	clear_result(g);
	raft_effects_free(&g->fx);
	raft_free(g->core);
	logstore_close(g->disk);
	g_free(g);
}
