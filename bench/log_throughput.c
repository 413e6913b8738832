#include "bench/log_cluster.h"

#include <inttypes.h>
#include <stdio.h>
#include <time.h>

#define COMMAND_BYTES 200
#define RESTART_COMMANDS 15000
#define PHASE_US (2 * USEC_PER_SEC)
#define IDLE_POLL_US 1000

int bench_log_throughput(uint64_t seed);

struct command {
	struct cluster *cluster;
	uint64_t proposed_us;
};

static void
on_done(void *arg, enum status status, const uint8_t *result, size_t len)
{
	struct command *cmd = arg;
	struct cluster *c = cmd->cluster;
	const uint64_t elapsed_us = cluster_clock_us(NULL) - cmd->proposed_us;

	(void)result;
	(void)len;
	c->in_flight--;
	if (status == STATUS_OK)
		g_array_append_val(c->latencies, elapsed_us);
	else
		c->failed++;
	g_free(cmd);
}

static void
propose(struct cluster *c, struct replica *leader)
{
	static const uint8_t bytes[COMMAND_BYTES];
	struct command *cmd = g_new(struct command, 1);

	cmd->cluster = c;
	cmd->proposed_us = cluster_clock_us(NULL);
	c->in_flight++;
	replica_propose(leader, bytes, sizeof(bytes), on_done, cmd);
}

/// Measures throughput and latency with `concurrent` commands in flight.
static void
measure_load(struct cluster *c, uint64_t concurrent)
{
	struct replica *leader = cluster_leader(c);
	const uint64_t start = cluster_clock_us(NULL);
	uint64_t elapsed_us;

	g_array_set_size(c->latencies, 0);
	c->failed = 0;
	while (cluster_clock_us(NULL) < start + PHASE_US) {
		while (c->in_flight < concurrent)
			propose(c, leader);
		cluster_poll(c);
	}
	while (c->in_flight > 0)
		cluster_poll(c);
	elapsed_us = cluster_clock_us(NULL) - start;
	(void)printf("concurrent=%" PRIu64
		     " commands_per_s=%.0f p50_us=%" PRIu64 " p99_us=%" PRIu64
		     " failed=%" PRIu64 "\n",
	    concurrent,
	    (double)c->latencies->len * (double)USEC_PER_SEC /
		(double)elapsed_us,
	    cluster_quantile(c->latencies, 0.5),
	    cluster_quantile(c->latencies, 0.99), c->failed);
	(void)fflush(stdout);
}

static uint64_t
per_s(uint64_t n)
{
	return n * USEC_PER_SEC / PHASE_US;
}

/// Measures messages, bytes and processor time of an idle group.
static void
measure_idle(struct cluster *c)
{
	uint64_t end;
	clock_t cpu_ticks;

	(void)cluster_leader(c);
	end = cluster_clock_us(NULL) + PHASE_US;
	c->n_messages = 0;
	c->message_bytes = 0;
	cpu_ticks = clock();
	while (cluster_clock_us(NULL) < end) {
		cluster_poll(c);
		g_usleep(IDLE_POLL_US);
	}
	cpu_ticks = clock() - cpu_ticks;
	(void)printf("idle messages_per_s=%" PRIu64 " bytes_per_s=%" PRIu64
		     " core_percent=%.2f\n",
	    per_s(c->n_messages), per_s(c->message_bytes),
	    100.0 * (double)cpu_ticks / CLOCKS_PER_SEC /
		((double)PHASE_US / (double)USEC_PER_SEC));
	(void)fflush(stdout);
}

static void
propose_all(struct cluster *c, uint64_t commands)
{
	struct replica *leader = cluster_leader(c);

	for (uint64_t i = 0; i < commands; i++) {
		propose(c, leader);
		if (i % 64 == 0)
			cluster_poll(c);
	}
	while (c->in_flight > 0)
		cluster_poll(c);
}

static void
measure_restart(struct cluster *c)
{
	uint64_t open_us = 0;
	uint64_t start;
	struct replica_status s;

	for (uint32_t id = 1; id <= CLUSTER_MEMBERS; id++) {
		cluster_close(c, id);
	}
	start = cluster_clock_us(NULL);
	for (uint32_t id = 1; id <= CLUSTER_MEMBERS; id++) {
		cluster_open(c, id);
		if (id == 1)
			open_us = cluster_clock_us(NULL) - start;
	}
	replica_status(cluster_leader(c), &s);
	(void)printf("restart commands=%u snapshot_bytes=%" PRIu64
		     " snapshot_index=%" PRIu64 " open_one_us=%" PRIu64
		     " leader_ready_us=%" PRIu64 "\n",
	    RESTART_COMMANDS, c->snapshot_bytes, s.snapshot, open_us,
	    cluster_clock_us(NULL) - start);
	(void)fflush(stdout);
}

/// Commands a second and the time to their commit, then the time of a restart.
/// The files are created in the current folder.
int
bench_log_throughput(uint64_t seed)
{
	static const uint64_t concurrent[] = { 1, 16, 256, 2048 };
	static const uint64_t snapshot_sizes[] = { 1ULL << 40, 1ULL << 20 };
	struct cluster c;

	cluster_start(&c, seed, 0);
	measure_idle(&c);
	for (size_t i = 0; i < G_N_ELEMENTS(concurrent); i++)
		measure_load(&c, concurrent[i]);
	cluster_stop(&c);
	for (size_t i = 0; i < G_N_ELEMENTS(snapshot_sizes); i++) {
		cluster_start(&c, seed, snapshot_sizes[i]);
		propose_all(&c, RESTART_COMMANDS);
		measure_restart(&c);
		cluster_stop(&c);
	}
	return 0;
}
