#include "proof/log_world.h"

#include "proof/log_check.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#define STEP_US 500
#define QUIET_US 3000000
#define CALM_DELAY_US 2000

struct letter {
	uint64_t at_us;
	uint64_t number;
	uint32_t from;
	uint32_t to;
	uint8_t *bytes;
	size_t len;
};

struct pending {
	struct world_node *node;
	uint64_t id;
	bool read;
};

/// Records the first breach.
void
world_breach(struct world *w, const char *fmt, ...)
{
	va_list ap;

	if (w->breach != NULL)
		return;
	va_start(ap, fmt);
	w->breach = g_strdup_vprintf(fmt, ap);
	va_end(ap);
}

static gint
by_time(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct letter *x = a;
	const struct letter *y = b;

	(void)arg;
	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return (x->number > y->number) - (x->number < y->number);
}

static void
letter_free(gpointer p)
{
	struct letter *l = p;

	g_free(l->bytes);
	g_free(l);
}

static void
free_posted(gpointer p, gpointer arg)
{
	(void)arg;
	letter_free(p);
}

static void
post(struct world *w, uint32_t from, uint32_t to, const uint8_t *b, size_t len)
{
	struct letter *l = g_new0(struct letter, 1);

	l->at_us = w->now_us + STEP_US +
	    (uint64_t)rnd_exponential(w->rnd, w->delay_us);
	l->number = w->n_letters++;
	l->from = from;
	l->to = to;
	l->bytes = g_memdup2(b, len);
	l->len = len;
	g_sequence_insert_sorted(w->network, l, by_time, NULL);
}

static void
send_letter(void *arg, uint32_t to, const uint8_t *bytes, size_t len)
{
	const struct world_node *n = arg;
	struct world *w = n->world;

	to &= RAFT_SLOT_MASK;
	if (to > WORLD_SLOTS || w->cut[n->slot][to])
		return;
	if (rnd_unit(w->rnd) >= w->drop)
		post(w, n->slot, to, bytes, len);
	if (rnd_unit(w->rnd) < w->repeat)
		post(w, n->slot, to, bytes, len);
}

static uint64_t
node_time(void *arg)
{
	const struct world_node *n = arg;

	return (uint64_t)((double)n->world->now_us * n->rate);
}

static void
no_wake(void *arg, uint64_t at_us)
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

	n->died = true;
	if (status != STATUS_IO)
		world_breach(n->world, "disk slot=%u status=%s text=%s",
		    n->slot, status_name(status), status_last());
}

static struct replica_config
config_of(struct world_node *n)
{
	struct replica_config c = { .folder = "data",
		.group = 1,
		.self = n->slot,
		.deployment = "budapest",
		.node = "control",
		.n_voters = n->world->n_founders,
		.election_us = n->world->election_us,
		.heartbeat_us = n->world->election_us / 4,
		.repair = true,
		.snapshot_bytes = 1500,
		.limits = { .retained_entries = 4,
		    .batch_entries = n->world->batch_entries,
		    .chunk_bytes = 100 },
		.tm = n->tm,
		.rnd = n->rnd,
		.os = log_disk_os(n->disk),
		.arg = n,
		.ops = { .send = send_letter,
		    .apply = apply,
		    .snapshot_make = make_snapshot,
		    .snapshot_load = load_snapshot,
		    .role_changed = role_changed,
		    .failed = failed } };

	for (uint32_t i = 0; i < c.n_voters; i++)
		c.voters[i] = i + 1;
	return c;
}

/// Starts a node on the disk that it has.
void
world_open(struct world *w, uint32_t slot)
{
	struct world_node *n = &w->nodes[slot];
	const struct replica_config c = config_of(n);
	enum status st;

	if (n->replica != NULL)
		return;
	n->opened = true;
	g_array_set_size(n->list, 0);
	st = replica_open(&c, &n->replica);
	if (st == STATUS_OK)
		return;
	n->replica = NULL;
	n->died = false;
	n->back_us = w->now_us + STEP_US;
	if (st != STATUS_IO)
		world_breach(w, "open slot=%u status=%s text=%s", slot,
		    status_name(st), status_last());
	log_disk_restart(n->disk, rnd_below(w->rnd, 2) == 0);
}

/// Stops a node between two steps, or lets it fall with its power.
void
world_crash(struct world *w, uint32_t slot, bool power)
{
	struct world_node *n = &w->nodes[slot];

	if (n->replica != NULL) {
		w->n_crashes++;
		replica_close(n->replica);
		n->replica = NULL;
	}
	n->died = false;
	n->frozen = false;
	g_queue_clear_full(&n->mail, letter_free);
	log_disk_restart(n->disk, power);
}

static void
deliver(struct world *w, struct world_node *n, const struct letter *l)
{
	if (n->replica != NULL && !n->died && !w->cut[l->from][l->to])
		replica_receive(n->replica, l->from, l->bytes, l->len);
}

static void
deliver_due(struct world *w)
{
	for (;;) {
		GSequenceIter *it = g_sequence_get_begin_iter(w->network);
		struct letter *l;
		struct world_node *n;

		if (g_sequence_iter_is_end(it))
			return;
		l = g_sequence_get(it);
		if (l->at_us > w->now_us)
			return;
		g_sequence_remove(it);
		n = &w->nodes[l->to];
		if (n->frozen) {
			g_queue_push_tail(&n->mail, l);
			continue;
		}
		deliver(w, n, l);
		letter_free(l);
	}
}

static void
run_node(struct world *w, struct world_node *n)
{
	struct letter *l;

	if (n->frozen && w->now_us >= n->back_us)
		n->frozen = false;
	if (n->frozen)
		return;
	if (n->replica == NULL) {
		if (n->opened && w->now_us >= n->back_us)
			world_open(w, n->slot);
		return;
	}
	timerq_run(n->tm);
	while ((l = g_queue_pop_head(&n->mail)) != NULL) {
		deliver(w, n, l);
		letter_free(l);
	}
	if (n->died) {
		n->back_us = w->now_us + rnd_below(w->rnd, QUIET_US);
		world_crash(w, n->slot, rnd_below(w->rnd, 2) == 0);
	}
}

/// Lets time pass, until the first breach.
void
world_run(struct world *w, uint64_t us)
{
	const uint64_t end = w->now_us + us;

	while (w->now_us < end && w->breach == NULL) {
		w->now_us += STEP_US;
		deliver_due(w);
		for (uint32_t slot = 1; slot <= WORLD_SLOTS; slot++)
			run_node(w, &w->nodes[slot]);
	}
}

/// Ends all faults and starts every node that ever ran.
void
world_heal(struct world *w)
{
	memset(w->cut, 0, sizeof(w->cut));
	w->drop = 0;
	w->repeat = 0;
	w->delay_us = CALM_DELAY_US;
	for (uint32_t slot = 1; slot <= WORLD_SLOTS; slot++) {
		struct world_node *n = &w->nodes[slot];

		n->frozen = false;
		n->back_us = 0;
		log_disk_fail_after(n->disk, -1);
	}
}

static void
answered(void *arg, enum status status, const uint8_t *result, size_t len)
{
	struct pending *p = arg;
	struct world *w = p->node->world;
	uint64_t version = p->node->list->len;

	if (!p->read && status == STATUS_OK && len == sizeof(version))
		memcpy(&version, result, sizeof(version));
	log_history_answer(w->history, p->id, status, version, w->now_us);
}

static struct pending *
pending_new(struct world *w, uint32_t slot, bool read)
{
	struct pending *p = g_new0(struct pending, 1);

	p->node = &w->nodes[slot];
	p->id = log_history_call(w->history, read, w->now_us);
	p->read = read;
	g_ptr_array_add(w->pending, p);
	return p;
}

/// Appends a value through a node.
void
world_append(struct world *w, uint32_t slot)
{
	struct world_node *n = &w->nodes[slot];
	uint64_t command[6] = { 0 };
	struct pending *p;

	if (n->replica == NULL || n->died || n->frozen)
		return;
	p = pending_new(w, slot, false);
	command[0] = p->id;
	replica_propose(n->replica, (const uint8_t *)command,
	    sizeof(uint64_t) * (1 + rnd_below(w->rnd, 6)), answered, p);
}

/// Reads through a node, at once if it holds the lease.
void
world_read(struct world *w, uint32_t slot)
{
	struct world_node *n = &w->nodes[slot];
	uint64_t id;

	if (n->replica == NULL || n->died || n->frozen)
		return;
	if (!replica_is_ready(n->replica)) {
		replica_read_barrier(
		    n->replica, answered, pending_new(w, slot, true));
		return;
	}
	id = log_history_call(w->history, true, w->now_us);
	log_history_answer(w->history, id, STATUS_OK, n->list->len, w->now_us);
}

/// A node that leads and holds its lease, or NULL.
struct world_node *
world_leader(struct world *w)
{
	for (uint32_t slot = 1; slot <= WORLD_SLOTS; slot++) {
		struct world_node *n = &w->nodes[slot];

		if (n->replica != NULL && !n->died && !n->frozen &&
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
		.now_us = node_time, .wake_at = no_wake, .arg = n
	};

	n->world = w;
	n->slot = slot;
	n->rnd = rnd_new(w->seed * 31 + slot);
	n->disk = log_disk_new(w->rnd, 1000);
	n->rate = 0.99 + 0.02 * rnd_unit(w->rnd);
	n->tm = timerq_new(&source);
	n->list = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_queue_init(&n->mail);
}

/// Makes nodes without starting them.
struct world *
world_new(uint64_t seed)
{
	struct world *w = g_new0(struct world, 1);

	w->seed = seed;
	w->now_us = 1000000;
	w->rnd = rnd_new(seed);
	w->network = g_sequence_new(NULL);
	w->pending = g_ptr_array_new_with_free_func(g_free);
	w->n_founders = rnd_below(w->rnd, 4) == 0 ? 5 : 3;
	w->delay_us = CALM_DELAY_US;
	w->election_us = 40000 << rnd_below(w->rnd, 3);
	w->batch_entries = 1 + (uint32_t)rnd_below(w->rnd, 4);
	w->history = log_history_new();
	w->leaders =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	w->applied = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	w->terms = g_array_new(FALSE, TRUE, sizeof(uint64_t));
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
		timerq_free(n->tm);
		rnd_free(n->rnd);
		log_disk_free(n->disk);
		g_array_unref(n->list);
		g_queue_clear_full(&n->mail, letter_free);
	}
	g_sequence_foreach(w->network, free_posted, NULL);
	g_sequence_free(w->network);
	g_ptr_array_unref(w->pending);
	log_history_free(w->history);
	g_hash_table_unref(w->leaders);
	g_array_unref(w->applied);
	g_array_unref(w->terms);
	g_array_unref(w->list);
	g_free(w->breach);
	rnd_free(w->rnd);
	g_free(w);
}
