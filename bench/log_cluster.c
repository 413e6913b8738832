#include "bench/log_cluster.h"

#include <glib/gstdio.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define STATE_BYTES (256U << 10)

/// A message in flight between two members.
struct message {
	uint32_t from;
	uint32_t to;
	uint8_t *bytes;
	size_t len;
};

/// Monotonic time in microseconds; `arg` is unused.
uint64_t
cluster_clock_us(void *arg)
{
	struct timespec ts;

	(void)arg;
	(void)clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * USEC_PER_SEC + (uint64_t)ts.tv_nsec / 1000;
}

static void
ignore_wake_time(void *arg, uint64_t at_us)
{
	(void)arg;
	(void)at_us;
}

static void
send_message(void *arg, uint32_t to, const uint8_t *bytes, size_t len)
{
	const struct member *m = arg;
	struct message *msg = g_new(struct message, 1);

	m->cluster->n_messages++;
	m->cluster->message_bytes += len;
	msg->from = m->id;
	msg->to = to;
	msg->bytes = g_memdup2(bytes, len);
	msg->len = len;
	g_queue_push_tail(&m->cluster->queue, msg);
}

static void
apply(void *arg, uint64_t index, const uint8_t *cmd, size_t len,
    uint8_t **result, size_t *result_len)
{
	struct member *m = arg;

	(void)index;
	(void)cmd;
	(void)len;
	(void)result;
	(void)result_len;
	m->applied++;
}

static enum status
make_snapshot(void *arg, uint8_t **bytes, size_t *len)
{
	const struct member *m = arg;

	*len = STATE_BYTES;
	*bytes = calloc(1, STATE_BYTES);
	memcpy(*bytes, &m->applied, sizeof(m->applied));
	return STATUS_OK;
}

static enum status
load_snapshot(void *arg, const uint8_t *bytes, size_t len)
{
	struct member *m = arg;

	if (len < sizeof(m->applied))
		return STATUS_CORRUPT;
	memcpy(&m->applied, bytes, sizeof(m->applied));
	return STATUS_OK;
}

static void
role_changed(void *arg, enum raft_role role, uint32_t leader, uint64_t term)
{
	(void)arg;
	(void)role;
	(void)leader;
	(void)term;
}

static void
exit_with_error(void *arg, enum status status)
{
	(void)arg;
	(void)fprintf(stderr, "%s: %s\n", status_name(status), status_last());
	exit(1);
}

/// Starts a member on its present folder; exits the program on an error.
void
cluster_open(struct cluster *c, uint32_t id)
{
	struct member *m = &c->members[id];
	struct replica_config config = { .folder = m->folder,
		.group = 1,
		.self = id,
		.deployment = "bench",
		.node = m->folder,
		.n_voters = CLUSTER_MEMBERS,
		.election_us = 300 * USEC_PER_MSEC,
		.heartbeat_us = 50 * USEC_PER_MSEC,
		.auto_replace = true,
		.snapshot_bytes = c->snapshot_bytes,
		.timerq = c->tm,
		.rnd = c->rnd,
		.arg = m,
		.ops = { .send = send_message,
		    .apply = apply,
		    .snapshot_make = make_snapshot,
		    .snapshot_load = load_snapshot,
		    .role_changed = role_changed,
		    .failed = exit_with_error } };

	for (uint32_t i = 0; i < CLUSTER_MEMBERS; i++)
		config.voters[i] = i + 1;
	m->applied = 0;
	if (replica_open(&config, &m->replica) != STATUS_OK)
		exit_with_error(m, STATUS_IO);
}

static void
deliver(struct cluster *c)
{
	struct message *msg;

	while ((msg = g_queue_pop_head(&c->queue)) != NULL) {
		struct replica *replica = c->members[msg->to].replica;

		if (replica != NULL)
			replica_receive(
			    replica, msg->from, msg->bytes, msg->len);
		g_free(msg->bytes);
		g_free(msg);
	}
}

/// Runs the timers that are due and delivers all messages in flight.
void
cluster_poll(struct cluster *c)
{
	timerq_run(c->tm);
	deliver(c);
}

struct replica *
cluster_leader(struct cluster *c)
{
	for (;;) {
		for (uint32_t id = 1; id <= CLUSTER_MEMBERS; id++) {
			if (c->members[id].replica != NULL &&
			    replica_is_ready(c->members[id].replica))
				return c->members[id].replica;
		}
		cluster_poll(c);
	}
}

static void
remove_folder(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		char *child = g_build_filename(path, name, NULL);

		remove_folder(child);
		g_free(child);
	}
	if (dir != NULL)
		g_dir_close(dir);
	(void)g_remove(path);
}

/// Stops a member without notice to the others.
void
cluster_close(struct cluster *c, uint32_t id)
{
	replica_close(c->members[id].replica);
	c->members[id].replica = NULL;
}

/// Deletes the folder of a stopped member, as if it lost its disk.
void
cluster_erase_disk(struct cluster *c, uint32_t id)
{
	remove_folder(c->members[id].folder);
}

static gint
compare_values(gconstpointer a, gconstpointer b)
{
	const uint64_t x = *(const uint64_t *)a;
	const uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

/// Returns the `q` quantile of an array of uint64_t, 0 when it is empty. Sorts
/// the array.
uint64_t
cluster_quantile(GArray *values, double q)
{
	if (values->len == 0)
		return 0;
	g_array_sort(values, compare_values);
	return g_array_index(
	    values, uint64_t, (guint)(q * (double)(values->len - 1)));
}

/// Starts three members on new folders below the current folder.
void
cluster_start(struct cluster *c, uint64_t seed, uint64_t snapshot_bytes)
{
	const struct timerq_source source = { .now_us = cluster_clock_us,
		.wake_at = ignore_wake_time };
	char name[] = "bench-log-XXXXXX";

	memset(c, 0, sizeof(*c));
	if (g_mkdtemp(name) == NULL)
		exit_with_error(
		    NULL, status_fail(STATUS_IO, "mkdtemp %s", name));
	c->root = g_strdup(name);
	c->tm = timerq_new(&source);
	c->rnd = rnd_new(seed);
	c->snapshot_bytes = snapshot_bytes;
	c->latencies = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_queue_init(&c->queue);
	for (uint32_t id = 1; id <= CLUSTER_MEMBERS; id++) {
		c->members[id].cluster = c;
		c->members[id].id = id;
		c->members[id].folder = g_strdup_printf("%s/%u", c->root, id);
		cluster_open(c, id);
	}
}

/// Stops the members and removes their folders.
void
cluster_stop(struct cluster *c)
{
	for (uint32_t id = 1; id <= CLUSTER_MEMBERS; id++) {
		replica_close(c->members[id].replica);
		c->members[id].replica = NULL;
		g_free(c->members[id].folder);
	}
	deliver(c);
	timerq_free(c->tm);
	rnd_free(c->rnd);
	g_array_unref(c->latencies);
	remove_folder(c->root);
	g_free(c->root);
}
