#include "proof/log_world.h"

#include "proof/log_check.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#define STEP_US 500
#define MAX_DOWNTIME_US 3000000
#define NORMAL_DELAY_US 2000

/// A message in the network or in the inbox of a paused node.
struct net_message {
	uint64_t at_us;  ///< Time of delivery.
	uint64_t number; ///< Order of messages with the same time.
	uint32_t from;
	uint32_t to;
	uint8_t *bytes;
	size_t len;
};

/// An append or read that was given to a node.
struct pending_operation {
	struct world_node *node;
	uint64_t id; ///< In the history.
	bool read;
};

/// Records the first violation of an invariant; later ones are ignored.
void
world_report_violation(struct world *w, const char *fmt, ...)
{
	va_list ap;

	if (w->violation != NULL)
		return;
	va_start(ap, fmt);
	w->violation = g_strdup_vprintf(fmt, ap);
	va_end(ap);
}

static gint
by_time(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct net_message *x = a;
	const struct net_message *y = b;

	(void)arg;
	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return (x->number > y->number) - (x->number < y->number);
}

static void
message_free(gpointer p)
{
	struct net_message *m = p;

	g_free(m->bytes);
	g_free(m);
}

static void
free_queued_message(gpointer p, gpointer arg)
{
	(void)arg;
	message_free(p);
}

static void
queue_message(
    struct world *w, uint32_t from, uint32_t to, const uint8_t *b, size_t len)
{
	struct net_message *m = g_new0(struct net_message, 1);

	m->at_us = w->now_us + STEP_US +
	    (uint64_t)rnd_exponential(w->rnd, w->delay_us);
	m->number = w->n_messages++;
	m->from = from;
	m->to = to;
	m->bytes = g_memdup2(b, len);
	m->len = len;
	g_sequence_insert_sorted(w->network, m, by_time, NULL);
}

static void
send_message(void *arg, uint32_t to, const uint8_t *bytes, size_t len)
{
	const struct world_node *n = arg;
	struct world *w = n->world;

	to &= RAFT_SLOT_MASK;
	if (to > WORLD_SLOTS || w->link_cut[n->slot][to])
		return;
	if (rnd_unit(w->rnd) >= w->drop_probability)
		queue_message(w, n->slot, to, bytes, len);
	if (rnd_unit(w->rnd) < w->repeat_probability)
		queue_message(w, n->slot, to, bytes, len);
}

static uint64_t
node_time(void *arg)
{
	const struct world_node *n = arg;

	return (uint64_t)((double)n->world->now_us * n->clock_rate);
}

static void
ignore_wake(void *arg, uint64_t at_us)
{
	(void)arg;
	(void)at_us;
}

static enum status
make_snapshot(void *arg, uint8_t **bytes, size_t *len)
{
	const struct world_node *n = arg;

	*len = n->list->len * sizeof(uint64_t);
	*bytes = malloc(*len + 1);
	memcpy(*bytes, n->list->data, *len);
	return STATUS_OK;
}

static enum status
load_snapshot(void *arg, const uint8_t *bytes, size_t len)
{
	struct world_node *n = arg;

	g_array_set_size(n->list, 0);
	g_array_append_vals(n->list, bytes, (guint)(len / sizeof(uint64_t)));
	check_prefix(n->world, n);
	return STATUS_OK;
}

static void
apply(void *arg, uint64_t index, const uint8_t *cmd, size_t len,
    uint8_t **result, size_t *result_len)
{
	struct world_node *n = arg;
	uint64_t value;

	memcpy(&value, cmd, sizeof(value));
	(void)len;
	g_array_append_val(n->list, value);
	check_commit(n->world, n);
	check_applied(n->world, n, index, value);
	*result_len = sizeof(uint64_t);
	*result = malloc(*result_len);
	value = n->list->len;
	memcpy(*result, &value, sizeof(value));
}

static void
role_changed(void *arg, enum raft_role role, uint32_t leader, uint64_t term)
{
	struct world_node *n = arg;

	if (role == RAFT_LEADER && n->replica != NULL)
		check_leader(n->world, n, leader, term);
}

static void
failed(void *arg, enum status status)
{
	struct world_node *n = arg;

	n->disk_failed = true;
	if (status != STATUS_IO)
		world_report_violation(n->world,
		    "unexpected disk failure slot=%u status=%s text=%s",
		    n->slot, status_name(status), status_last());
}

static struct replica_config
replica_config_of(struct world_node *n)
{
	struct replica_config c = { .folder = "data",
		.group = 1,
		.self = n->slot,
		.deployment = "budapest",
		.node = "control",
		.n_voters = n->world->n_initial_voters,
		.group_started = n->opened,
		.election_us = n->world->election_us,
		.heartbeat_us = n->world->election_us / 4,
		.auto_replace = true,
		.snapshot_bytes = 1500,
		.limits = { .retained_entries = 4,
		    .batch_entries = n->world->batch_entries,
		    .chunk_bytes = 100 },
		.timerq = n->timerq,
		.rnd = n->rnd,
		.os = log_disk_os(n->disk),
		.arg = n,
		.ops = { .send = send_message,
		    .apply = apply,
		    .snapshot_make = make_snapshot,
		    .snapshot_load = load_snapshot,
		    .role_changed = role_changed,
		    .failed = failed } };

	for (uint32_t i = 0; i < c.n_voters; i++)
		c.voters[i] = i + 1;
	return c;
}

/// Starts a node with its disk, unless it runs. After an injected disk failure
/// it is tried again later.
void
world_open(struct world *w, uint32_t slot)
{
	struct world_node *n = &w->nodes[slot];
	const struct replica_config c = replica_config_of(n);
	enum status status;

	if (n->replica != NULL)
		return;
	n->opened = true;
	g_array_set_size(n->list, 0);
	status = replica_open(&c, &n->replica);
	if (status == STATUS_OK)
		return;
	n->replica = NULL;
	n->disk_failed = false;
	n->resume_us = w->now_us + STEP_US;
	if (status != STATUS_IO)
		world_report_violation(w,
		    "unexpected failure to open slot=%u status=%s text=%s",
		    slot, status_name(status), status_last());
	log_disk_restart(n->disk, rnd_below(w->rnd, 2) == 0);
}

/// Stops a node between two steps.
///
/// @param power_loss  writes that weren't synced may be lost
void
world_crash(struct world *w, uint32_t slot, bool power_loss)
{
	struct world_node *n = &w->nodes[slot];

	if (n->replica != NULL) {
		w->n_crashes++;
		replica_close(n->replica);
		n->replica = NULL;
	}
	n->disk_failed = false;
	n->paused = false;
	g_queue_clear_full(&n->inbox, message_free);
	log_disk_restart(n->disk, power_loss);
}

static void
deliver(struct world *w, struct world_node *n, const struct net_message *m)
{
	if (n->replica == NULL || n->disk_failed || w->link_cut[m->from][m->to])
		return;
	replica_receive(n->replica, m->from, m->bytes, m->len);
	check_commit(w, n);
}

static void
deliver_due(struct world *w)
{
	for (;;) {
		GSequenceIter *it = g_sequence_get_begin_iter(w->network);
		struct net_message *m;
		struct world_node *n;

		if (g_sequence_iter_is_end(it))
			return;
		m = g_sequence_get(it);
		if (m->at_us > w->now_us)
			return;
		g_sequence_remove(it);
		n = &w->nodes[m->to];
		if (n->paused) {
			g_queue_push_tail(&n->inbox, m);
			continue;
		}
		deliver(w, n, m);
		message_free(m);
	}
}

static void
run_node(struct world *w, struct world_node *n)
{
	struct net_message *m;

	if (n->paused && w->now_us >= n->resume_us)
		n->paused = false;
	if (n->paused)
		return;
	if (n->replica == NULL) {
		if (n->opened && w->now_us >= n->resume_us)
			world_open(w, n->slot);
		return;
	}
	timerq_run(n->timerq);
	check_commit(w, n);
	while ((m = g_queue_pop_head(&n->inbox)) != NULL) {
		deliver(w, n, m);
		message_free(m);
	}
	if (n->disk_failed) {
		n->resume_us = w->now_us + rnd_below(w->rnd, MAX_DOWNTIME_US);
		world_crash(w, n->slot, rnd_below(w->rnd, 2) == 0);
	}
}

/// Runs all nodes for a time, or until the first violation.
void
world_run(struct world *w, uint64_t us)
{
	const uint64_t end = w->now_us + us;

	while (w->now_us < end && w->violation == NULL) {
		w->now_us += STEP_US;
		deliver_due(w);
		for (uint32_t slot = 1; slot <= WORLD_SLOTS; slot++)
			run_node(w, &w->nodes[slot]);
	}
}

/// Ends all faults and lets every node that ever ran start again.
void
world_heal(struct world *w)
{
	memset(w->link_cut, 0, sizeof(w->link_cut));
	w->drop_probability = 0;
	w->repeat_probability = 0;
	w->delay_us = NORMAL_DELAY_US;
	for (uint32_t slot = 1; slot <= WORLD_SLOTS; slot++) {
		struct world_node *n = &w->nodes[slot];

		n->paused = false;
		n->resume_us = 0;
		log_disk_fail_after(n->disk, -1);
		log_disk_fill(n->disk, false);
	}
}

static void
on_operation_done(
    void *arg, enum status status, const uint8_t *result, size_t len)
{
	struct pending_operation *p = arg;
	struct world *w = p->node->world;
	uint64_t version = p->node->list->len;

	if (!p->read && status == STATUS_OK && len == sizeof(version))
		memcpy(&version, result, sizeof(version));
	log_history_complete(w->history, p->id, status, version, w->now_us);
}

static struct pending_operation *
pending_new(struct world *w, uint32_t slot, bool read)
{
	struct pending_operation *p = g_new0(struct pending_operation, 1);

	p->node = &w->nodes[slot];
	p->id = log_history_call(w->history, read, w->now_us);
	p->read = read;
	g_ptr_array_add(w->pending, p);
	return p;
}

/// Appends a value through a node; ignored if the node is down or paused.
void
world_append(struct world *w, uint32_t slot)
{
	struct world_node *n = &w->nodes[slot];
	uint64_t command[6] = { 0 };
	struct pending_operation *p;

	if (n->replica == NULL || n->disk_failed || n->paused)
		return;
	p = pending_new(w, slot, false);
	command[0] = p->id;
	replica_propose(n->replica, (const uint8_t *)command,
	    sizeof(uint64_t) * (1 + rnd_below(w->rnd, 6)), on_operation_done,
	    p);
}

/// Reads the list at a node: at once if it holds the lease, else after a read
/// barrier. Ignored if the node is down or paused.
void
world_read(struct world *w, uint32_t slot)
{
	struct world_node *n = &w->nodes[slot];
	uint64_t id;

	if (n->replica == NULL || n->disk_failed || n->paused)
		return;
	if (!replica_is_ready(n->replica)) {
		replica_read_barrier(
		    n->replica, on_operation_done, pending_new(w, slot, true));
		return;
	}
	id = log_history_call(w->history, true, w->now_us);
	log_history_complete(
	    w->history, id, STATUS_OK, n->list->len, w->now_us);
}

/// A node that leads and holds its lease, or NULL.
struct world_node *
world_leader(struct world *w)
{
	for (uint32_t slot = 1; slot <= WORLD_SLOTS; slot++) {
		struct world_node *n = &w->nodes[slot];

		if (n->replica != NULL && !n->disk_failed && !n->paused &&
		    replica_is_ready(n->replica))
			return n;
	}
	return NULL;
}

static void
node_init(struct world *w, uint32_t slot)
{
	struct world_node *n = &w->nodes[slot];
	const struct timerq_source source = {
		.now_us = node_time, .wake_at = ignore_wake, .arg = n
	};

	n->world = w;
	n->slot = slot;
	n->rnd = rnd_new(w->seed * 31 + slot);
	n->disk = log_disk_new(w->rnd, 1000);
	n->clock_rate = 0.99 + 0.02 * rnd_unit(w->rnd);
	n->timerq = timerq_new(&source);
	n->list = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_queue_init(&n->inbox);
}

/// Creates a world whose nodes aren't started.
///
/// @return to be released with world_free()
struct world *
world_new(uint64_t seed)
{
	struct world *w = g_new0(struct world, 1);

	w->seed = seed;
	w->now_us = 1000000;
	w->rnd = rnd_new(seed);
	w->network = g_sequence_new(NULL);
	w->pending = g_ptr_array_new_with_free_func(g_free);
	w->n_initial_voters = rnd_below(w->rnd, 4) == 0 ? 5 : 3;
	w->delay_us = NORMAL_DELAY_US;
	w->election_us = 40000 << rnd_below(w->rnd, 3);
	w->batch_entries = 1 + (uint32_t)rnd_below(w->rnd, 4);
	w->history = log_history_new();
	w->leaders = g_array_new(FALSE, FALSE, sizeof(struct world_leader));
	w->applied_values = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	w->commits = g_array_new(FALSE, TRUE, sizeof(struct world_commit));
	w->list = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (uint32_t slot = 1; slot <= WORLD_SLOTS; slot++)
		node_init(w, slot);
	return w;
}

/// Releases a world.
void
world_free(struct world *w)
{
	for (uint32_t slot = 1; slot <= WORLD_SLOTS; slot++) {
		struct world_node *n = &w->nodes[slot];

		replica_close(n->replica);
		timerq_free(n->timerq);
		rnd_free(n->rnd);
		log_disk_free(n->disk);
		g_array_unref(n->list);
		g_queue_clear_full(&n->inbox, message_free);
	}
	g_sequence_foreach(w->network, free_queued_message, NULL);
	g_sequence_free(w->network);
	g_ptr_array_unref(w->pending);
	log_history_free(w->history);
	g_array_unref(w->leaders);
	g_array_unref(w->applied_values);
	g_array_unref(w->commits);
	g_array_unref(w->list);
	g_free(w->violation);
	rnd_free(w->rnd);
	g_free(w);
}
