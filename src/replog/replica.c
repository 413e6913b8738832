#include "replog/replica_internal.h"

#include "base/logger.h"

#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_SNAPSHOT_BYTES (4ULL << 20)

/// Callback of a proposal, read barrier or member change.
struct replica_waiter {
	replica_done_cb done;
	void *arg;
};

/// An event for the core that waits for the next run of run_timer.
struct replica_input {
	struct raft_event event;
	uint8_t *bytes; ///< Owned data of the event, or NULL.
};

static void
input_free(struct replica_input *in)
{
	g_free(in->bytes);
	g_free(in);
}

/// Stops the replica after a failure of its disk or state: until there is space
/// if the disk is full, else for good.
///
/// @param status  passed to the `failed` callback
void
replica_fail(struct replica *g, enum status status)
{
	if (g->failed)
		return;
	g->failed = true;
	timerq_disarm(g->core_timer);
	timerq_disarm(g->join_timer);
	if (status == STATUS_FULL)
		replica_suspend(g);
	else
		g->config.ops.failed(g->config.arg, status);
}

static void
complete_waiter(struct replica *g, uint64_t tag, enum status status,
    const uint8_t *bytes, size_t len)
{
	struct replica_waiter *w = g_hash_table_lookup(g->waiters, &tag);
	struct replica_waiter waiter;

	if (w == NULL)
		return;
	waiter = *w;
	g_hash_table_remove(g->waiters, &tag);
	waiter.done(waiter.arg, status, bytes, len);
}

/// Completes all waiters with STATUS_TIMEOUT. For an owner that is about to
/// close the replica and can still respond to its clients.
void
replica_cancel_waiters(struct replica *g)
{
	GArray *tags = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, g->waiters);
	while (g_hash_table_iter_next(&it, &key, NULL))
		g_array_append_vals(tags, key, 1);
	for (guint i = 0; i < tags->len; i++)
		complete_waiter(g, g_array_index(tags, uint64_t, i),
		    STATUS_TIMEOUT, NULL, 0);
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
apply_entry(struct replica *g, const struct raft_entry *e)
{
	// After a suspension the core starts again with what was synced, while
	// the state keeps all that was applied.
	if (e->index <= g->applied)
		return;
	clear_result(g);
	g->applied = e->index;
	if (e->kind != RAFT_COMMAND)
		return;
	g->config.ops.apply(g->config.arg, e->index, e->data, e->len,
	    &g->result, &g->result_len);
}

/// Completes a waiter; a proposal that was just applied gets its result.
static void
on_outcome(struct replica *g, const struct raft_effect *fx)
{
	const bool own =
	    fx->outcome.status == STATUS_OK && fx->outcome.index == g->applied;

	complete_waiter(g, fx->outcome.tag, fx->outcome.status,
	    own ? g->result : NULL, own ? g->result_len : 0);
}

static enum status
install_snapshot(struct replica *g, const struct raft_effect *fx)
{
	enum status status =
	    logstore_save_snapshot(g->disk, fx->install.index, fx->install.term,
		&fx->install.members, fx->install.bytes, fx->install.len);

	if (status == STATUS_OK && fx->install.index > g->applied) {
		status = g->config.ops.snapshot_load(
		    g->config.arg, fx->install.bytes, fx->install.len);
		clear_result(g);
		g->applied = fx->install.index;
	}
	if (status != STATUS_OK)
		return status;
	g->snapshot = fx->install.index;
	g->bytes_at_snapshot = logstore_bytes(g->disk);
	g->installed_term = fx->install.term;
	return STATUS_OK;
}

static enum status
carry_out_effect(struct replica *g, const struct raft_effect *fx)
{
	const struct replica_ops *ops = &g->config.ops;

	switch (fx->kind) {
	case RAFT_EFFECT_HARD_STATE:
		return logstore_write_hard_state(g->disk, &fx->hard_state);
	case RAFT_EFFECT_APPEND:
		return logstore_append(g->disk, &fx->entry);
	case RAFT_EFFECT_SYNC:
		g->sync_seq = fx->sync.seq;
		timerq_arm_in(g->run_timer, 0);
		break;
	case RAFT_EFFECT_SEND:
		ops->send(g->config.arg, fx->send.to & RAFT_SLOT_MASK,
		    fx->send.bytes, fx->send.len);
		break;
	case RAFT_EFFECT_COMMIT:
		apply_entry(g, &fx->entry);
		break;
	case RAFT_EFFECT_OUTCOME:
		on_outcome(g, fx);
		break;
	case RAFT_EFFECT_ROLE:
		ops->role_changed(g->config.arg, fx->role.role, fx->role.leader,
		    fx->role.term);
		break;
	case RAFT_EFFECT_ARM_TIMER:
		timerq_arm(g->core_timer, fx->arm.at_us);
		break;
	case RAFT_EFFECT_NEED_SNAPSHOT:
		g_array_append_val(g->need_snapshot, fx->need_snapshot.to);
		timerq_arm_in(g->run_timer, 0);
		break;
	case RAFT_EFFECT_INSTALL:
		return install_snapshot(g, fx);
	}
	return STATUS_OK;
}

static void
carry_out_effects(struct replica *g, struct raft_effects *fx)
{
	for (size_t i = 0; i < fx->n && !g->failed; i++) {
		const enum status status = carry_out_effect(g, &fx->items[i]);

		if (status != STATUS_OK)
			replica_fail(g, status);
	}
	raft_effects_clear(fx);
}

/// Logs that the lease of a process that is still the leader has expired.
static void
log_expired_lease(const struct replica *g)
{
	const uint64_t now = timerq_now_us(g->config.timerq);

	if (raft_role(g->core) != RAFT_LEADER)
		return;
	logger_event(LOGGER_WARN, "group.lease_expired",
	    "group=%u term=%" PRIu64 " quorum_silent_ms=%" PRIu64,
	    g->config.group, raft_term(g->core),
	    timerq_ms_since(now, raft_quorum_contact_us(g->core)));
}

/// Calls role_changed when a leader has become ready, and logs when it no
/// longer is.
static void
report_if_ready(struct replica *g)
{
	const bool ready = replica_is_ready(g);

	if (ready == g->was_ready)
		return;
	g->was_ready = ready;
	if (!ready)
		log_expired_lease(g);
	if (ready)
		g->config.ops.role_changed(g->config.arg, raft_role(g->core),
		    raft_leader(g->core), raft_term(g->core));
}

/// Reports an installed snapshot to the core before any other event, so that
/// no entry that the snapshot covers is emitted for application afterwards.
static void
confirm_install(struct replica *g)
{
	const struct raft_event ev = { .kind = RAFT_EVENT_SNAPSHOT_INSTALLED,
		.snapshot = {
		    .index = g->snapshot, .term = g->installed_term } };

	g->installed_term = 0;
	raft_step(g->core, timerq_now_us(g->config.timerq), &ev, &g->fx);
	carry_out_effects(g, &g->fx);
}

/// Completes the waiter of an event that no core handles.
static void
refuse_event(struct replica *g, const struct raft_event *ev)
{
	if (ev->kind == RAFT_EVENT_PROPOSE)
		complete_waiter(
		    g, ev->propose.tag, STATUS_UNAVAILABLE, NULL, 0);
	else if (ev->kind == RAFT_EVENT_READ)
		complete_waiter(g, ev->read.tag, STATUS_UNAVAILABLE, NULL, 0);
	else if (ev->kind == RAFT_EVENT_MEMBERS)
		complete_waiter(
		    g, ev->members.tag, STATUS_UNAVAILABLE, NULL, 0);
}

static void
step_core(struct replica *g, const struct raft_event *ev)
{
	if (g->failed || g->core == NULL) {
		refuse_event(g, ev);
		return;
	}
	assert(!g->busy);
	g->busy = true;
	raft_step(g->core, timerq_now_us(g->config.timerq), ev, &g->fx);
	carry_out_effects(g, &g->fx);
	if (!g->failed && g->installed_term != 0)
		confirm_install(g);
	if (!g->failed)
		report_if_ready(g);
	g->busy = false;
}

static void
queue_event(struct replica *g, const struct raft_event *ev, uint8_t *bytes)
{
	struct replica_input *in = g_new0(struct replica_input, 1);

	in->event = *ev;
	in->bytes = bytes;
	g_queue_push_tail(&g->inputs, in);
	timerq_arm_in(g->run_timer, 0);
}

static void
on_core_timer(void *arg, uint64_t now_us)
{
	const struct raft_event ev = { .kind = RAFT_EVENT_TICK };

	(void)now_us;
	step_core(arg, &ev);
}

static void
run_inputs(struct replica *g)
{
	guint remaining = g->inputs.length;

	while (remaining-- > 0) {
		struct replica_input *in = g_queue_pop_head(&g->inputs);
		const struct replica_input *next =
		    g_queue_peek_head(&g->inputs);

		if (in->event.kind == RAFT_EVENT_PROPOSE)
			in->event.propose.more = remaining > 0 &&
			    next != NULL &&
			    next->event.kind == RAFT_EVENT_PROPOSE;
		step_core(g, &in->event);
		input_free(in);
	}
}

static void
sync_writes(struct replica *g)
{
	struct raft_event ev = { .kind = RAFT_EVENT_SYNCED };
	enum status status;

	if (g->failed || g->sync_seq == g->synced_seq)
		return;
	ev.synced.seq = g->sync_seq;
	status = logstore_sync(g->disk);
	if (status != STATUS_OK) {
		replica_fail(g, status);
		return;
	}
	g->synced_seq = ev.synced.seq;
	step_core(g, &ev);
}

static void
provide_snapshot(struct replica *g, uint32_t to)
{
	const uint64_t term = raft_term_at(g->core, g->applied);
	uint8_t *bytes = NULL;
	size_t len = 0;
	enum status status;

	status = g->config.ops.snapshot_make(g->config.arg, &bytes, &len);
	if (status != STATUS_OK) {
		logger_event(LOGGER_ERROR, "replog.snapshot_failed",
		    "group=%u error=%s", g->config.group, status_name(status));
		return;
	}
	g->busy = true;
	raft_provide_snapshot(g->core, timerq_now_us(g->config.timerq), to,
	    g->applied, term, bytes, len, &g->fx);
	free(bytes);
	carry_out_effects(g, &g->fx);
	g->busy = false;
}

static void
provide_snapshots(struct replica *g)
{
	while (g->need_snapshot->len > 0 && !g->failed) {
		const uint32_t to =
		    g_array_index(g->need_snapshot, uint32_t, 0);

		g_array_remove_index(g->need_snapshot, 0);
		if (g->applied > 0)
			provide_snapshot(g, to);
	}
}

static void
save_snapshot(struct replica *g)
{
	struct raft_event ev = { .kind = RAFT_EVENT_SNAPSHOT_MADE };
	uint8_t *bytes = NULL;
	size_t len = 0;
	enum status status;

	if (g->failed || g->applied <= g->snapshot ||
	    raft_commit_index(g->core) < g->applied ||
	    logstore_bytes(g->disk) <
		g->bytes_at_snapshot + g->config.snapshot_bytes)
		return;
	ev.snapshot.index = g->applied;
	ev.snapshot.term = raft_term_at(g->core, g->applied);
	status = g->config.ops.snapshot_make(g->config.arg, &bytes, &len);
	if (status == STATUS_OK)
		status = logstore_save_snapshot(g->disk, g->applied,
		    ev.snapshot.term, raft_members_at(g->core, g->applied),
		    bytes, len);
	free(bytes);
	if (status != STATUS_OK) {
		replica_fail(g, status);
		return;
	}
	g->snapshot = g->applied;
	g->bytes_at_snapshot = logstore_bytes(g->disk);
	step_core(g, &ev);
}

/// Handles all queued events, then writes and syncs once for all of them.
static void
on_run_timer(void *arg, uint64_t now_us)
{
	struct replica *g = arg;

	(void)now_us;
	run_inputs(g);
	sync_writes(g);
	provide_snapshots(g);
	save_snapshot(g);
}

/// Handles a message from another process of the group.
///
/// @param from   slot of the sender, as the transport knows it
/// @param bytes  copied if they are needed after the call
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
	step_core(g, &ev);
}

static uint64_t
add_waiter(struct replica *g, replica_done_cb done, void *arg)
{
	struct replica_waiter *w = g_new(struct replica_waiter, 1);
	uint64_t *key = g_new(uint64_t, 1);

	w->done = done;
	w->arg = arg;
	*key = ++g->last_tag;
	g_hash_table_insert(g->waiters, key, w);
	return *key;
}

/// Proposes a command.
///
/// @param bytes  at most REPLICA_MAX_COMMAND_BYTES; copied
/// @param done   called with the outcome, never during this call
void
replica_propose(struct replica *g, const uint8_t *bytes, size_t len,
    replica_done_cb done, void *arg)
{
	struct raft_event ev = { .kind = RAFT_EVENT_PROPOSE };
	uint8_t *copy = g_memdup2(bytes, len);

	assert(len <= REPLICA_MAX_COMMAND_BYTES);
	ev.propose.tag = add_waiter(g, done, arg);
	ev.propose.bytes = copy;
	ev.propose.len = len;
	queue_event(g, &ev, copy);
}

/// Requests a read barrier: STATUS_OK once the state holds everything that was
/// committed when this was called, provided that this process led then.
///
/// @param done  called with the outcome, never during this call
void
replica_read_barrier(struct replica *g, replica_done_cb done, void *arg)
{
	struct raft_event ev = { .kind = RAFT_EVENT_READ };

	ev.read.tag = add_waiter(g, done, arg);
	queue_event(g, &ev, NULL);
}

/// Changes the members by one step.
///
/// @param id      member id
/// @param voter   promote the learner, which must have synced all; else add the
///                id as a learner
/// @param remove  remove the member; `voter` is ignored
/// @param done    called with the outcome, never during this call:
///                STATUS_UNAVAILABLE also while another change is under way or
///                for a learner that hasn't synced all; STATUS_CONFLICT for a
///                member that exists; STATUS_NOT_FOUND for the removal of none;
///                STATUS_INVALID for that of the last voter; STATUS_FULL
void
replica_change_member(struct replica *g, uint32_t id, bool voter, bool remove,
    replica_done_cb done, void *arg)
{
	struct raft_event ev = { .kind = RAFT_EVENT_MEMBERS };

	ev.members.tag = add_waiter(g, done, arg);
	ev.members.id = id;
	ev.members.voter = voter;
	ev.members.remove = remove;
	queue_event(g, &ev, NULL);
}

/// Transfers leadership; ignored if this process doesn't lead.
///
/// @param to  member id; 0: the active voter with the longest log
void
replica_transfer_leader(struct replica *g, uint32_t to)
{
	struct raft_event ev = { .kind = RAFT_EVENT_TRANSFER };

	ev.transfer.to = to;
	queue_event(g, &ev, NULL);
}

/// Starts the core from the content of the disk.
///
/// @return STATUS_OK, or the failure of the snapshot_load callback
enum status
replica_start_core(struct replica *g, const struct logstore_loaded *loaded)
{
	const struct replica_config *config = &g->config;
	struct raft_config core_config = { .group = config->group,
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
	enum status status;

	if (loaded->snapshot_index == 0)
		core_config.members = g->identity.initial;
	g->snapshot = loaded->snapshot_index;
	g->bytes_at_snapshot = 0;
	g->self = g->identity.id;
	if (loaded->snapshot_index > g->applied) {
		g->applied = loaded->snapshot_index;
		status = config->ops.snapshot_load(
		    config->arg, loaded->snapshot, loaded->snapshot_len);
		if (status != STATUS_OK)
			return status;
	}
	raft_free(g->core);
	g->core =
	    raft_new(&core_config, config->rnd, timerq_now_us(config->timerq));
	timerq_arm_in(g->core_timer, 0);
	return STATUS_OK;
}

static struct logstore_identity
wanted_identity(const struct replica_config *config)
{
	struct logstore_identity wanted;

	memset(&wanted, 0, sizeof(wanted));
	(void)g_strlcpy(
	    wanted.deployment, config->deployment, sizeof(wanted.deployment));
	(void)g_strlcpy(wanted.node, config->node, sizeof(wanted.node));
	wanted.id = config->self;
	wanted.incarnation = rnd_u64(config->rnd);
	wanted.origin = config->group_started ? LOGSTORE_ORIGIN_LATE
					      : LOGSTORE_ORIGIN_UNKNOWN;
	wanted.initial.n_voters = config->n_voters;
	memcpy(wanted.initial.voters, config->voters,
	    config->n_voters * sizeof(config->voters[0]));
	return wanted;
}

/// Opens the disk log and starts the core, or the search for the group if the
/// origin of the disk is unknown.
///
/// @return STATUS_OK, or an error of replica_open(); STATUS_OK too if the disk
///         turned out to be full later than logstore_open()
enum status
replica_open_disk(struct replica *g)
{
	const struct replica_config *config = &g->config;
	const struct logstore_identity wanted = wanted_identity(config);
	struct logstore_loaded loaded;
	enum status status;

	status = logstore_open(config->folder, config->group, &wanted,
	    config->os, &g->disk, &loaded);
	if (status != STATUS_OK)
		return status;
	g->identity = loaded.identity;
	g->self = loaded.identity.id;
	// The initial voters of the settings may still change until the disks
	// are pinned.
	if (g->identity.disks[0] == 0 && !config->group_started &&
	    g->identity.origin == LOGSTORE_ORIGIN_UNKNOWN)
		g->identity.initial = wanted.initial;
	if (replica_origin_is_open(g->identity.origin))
		status = replica_join_start(g);
	else
		status = replica_start_core(g, &loaded);
	logstore_loaded_free(&loaded);
	return status;
}

/// Opens the disk log of a group and starts to take part in the group. While
/// the disk is full the replica takes no part, and tries again by itself.
///
/// @param config  copied; `timerq`, `rnd` and both `arg`s (of the callbacks and
///                of `os`) must outlive the replica
/// @param out     the replica, to be closed with replica_close()
/// @return STATUS_OK, or the failure of logstore_open(), of writing the
///         identity or of the snapshot_load callback
enum status
replica_open(const struct replica_config *config, struct replica **out)
{
	struct replica *g = g_new0(struct replica, 1);
	enum status status;

	g->config = *config;
	if (g->config.snapshot_bytes == 0)
		g->config.snapshot_bytes = DEFAULT_SNAPSHOT_BYTES;
	g->self = config->self;
	g_queue_init(&g->inputs);
	g->waiters =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	g->need_snapshot = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g->core_timer = timerq_timer_new(config->timerq, on_core_timer, g);
	g->run_timer = timerq_timer_new(config->timerq, on_run_timer, g);
	g->join_timer =
	    timerq_timer_new(config->timerq, replica_on_join_timer, g);
	g->resume_timer =
	    timerq_timer_new(config->timerq, replica_on_resume_timer, g);
	status = replica_open_disk(g);
	if (status == STATUS_FULL) {
		replica_fail(g, status);
		status = STATUS_OK;
	}
	if (status != STATUS_OK) {
		replica_close(g);
		return status;
	}
	if (!g->failed)
		timerq_arm_in(g->join_timer, 0);
	*out = g;
	return STATUS_OK;
}

/// Closes a replica; pending waiters are dropped without a callback. NULL is
/// allowed.
void
replica_close(struct replica *g)
{
	struct replica_input *in;

	if (g == NULL)
		return;
	assert(!g->busy);
	timerq_timer_free(g->core_timer);
	timerq_timer_free(g->run_timer);
	timerq_timer_free(g->join_timer);
	timerq_timer_free(g->resume_timer);
	while ((in = g_queue_pop_head(&g->inputs)) != NULL)
		input_free(in);
	g_hash_table_unref(g->waiters);
	g_array_unref(g->need_snapshot);
	clear_result(g);
	raft_effects_free(&g->fx);
	raft_free(g->core);
	logstore_close(g->disk);
	g_free(g);
}
