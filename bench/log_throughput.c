#include "bench/log_cluster.h"

#include <inttypes.h>
#include <stdio.h>
#include <time.h>

#define COMMAND_BYTES 200
#define RESTART_COMMANDS 15000
#define PHASE_US (2 * USEC_PER_SEC)
#define IDLE_TURN_US 1000

int bench_log_throughput(uint64_t seed);

struct command {
	struct cluster *cluster;
	uint64_t at_us;
};

static void
on_done(void *arg, enum status status, const uint8_t *result, size_t len)
{
	struct command *cmd = arg;
	struct cluster *c = cmd->cluster;
	const uint64_t took = cluster_clock_us(NULL) - cmd->at_us;

	(void)result;
	(void)len;
	c->in_flight--;
	if (status == STATUS_OK)
		g_array_append_val(c->latencies, took);
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
	cmd->at_us = cluster_clock_us(NULL);
	c->in_flight++;
	replica_propose(leader, bytes, sizeof(bytes), on_done, cmd);
}

/// Keeps a number of commands under way for a time.
static void
load_phase(struct cluster *c, uint64_t concurrent)
{
	struct replica *leader = cluster_leader(c);
	const uint64_t start = cluster_clock_us(NULL);
	uint64_t took;

	g_array_set_size(c->latencies, 0);
	c->failed = 0;
	while (cluster_clock_us(NULL) < start + PHASE_US) {
		while (c->in_flight < concurrent)
			propose(c, leader);
		cluster_turn(c);
	}
	while (c->in_flight > 0)
		cluster_turn(c);
	took = cluster_clock_us(NULL) - start;
	(void)printf("concurrent=%" PRIu64
		     " commands_per_s=%.0f p50_us=%" PRIu64 " p99_us=%" PRIu64
		     " failed=%" PRIu64 "\n",
	    concurrent,
	    (double)c->latencies->len * (double)USEC_PER_SEC / (double)took,
	    cluster_quantile(c->latencies, 0.5),
	    cluster_quantile(c->latencies, 0.99), c->failed);
	(void)fflush(stdout);
}

static uint64_t
per_s(uint64_t n)
{
	return n * USEC_PER_SEC / PHASE_US;
}

/// What a group costs that does nothing.
static void
idle_phase(struct cluster *c)
{
	uint64_t end;
	clock_t spent;

	(void)cluster_leader(c);
	end = cluster_clock_us(NULL) + PHASE_US;
	c->n_messages = 0;
	c->message_bytes = 0;
	spent = clock();
	while (cluster_clock_us(NULL) < end) {
		cluster_turn(c);
		g_usleep(IDLE_TURN_US);
	}
	spent = clock() - spent;
	(void)printf("idle messages_per_s=%" PRIu64 " bytes_per_s=%" PRIu64
		     " core_percent=%.2f\n",
	    per_s(c->n_messages), per_s(c->message_bytes),
	    100.0 * (double)spent / CLOCKS_PER_SEC /
		((double)PHASE_US / (double)USEC_PER_SEC));
	(void)fflush(stdout);
}

static void
fill(struct cluster *c, uint64_t commands)
{
	struct replica *leader = cluster_leader(c);

	for (uint64_t i = 0; i < commands; i++) {
		propose(c, leader);
		if (i % 64 == 0)
			cluster_turn(c);
	}
	while (c->in_flight > 0)
		cluster_turn(c);
}

static void
restart(struct cluster *c)
{
	uint64_t opened = 0;
	uint64_t start;
	struct replica_status s;

	for (uint32_t id = 1; id <= CLUSTER_MEMBERS; id++) {
		cluster_close(c, id);
	}
	start = cluster_clock_us(NULL);
	for (uint32_t id = 1; id <= CLUSTER_MEMBERS; id++) {
		cluster_open(c, id);
		if (id == 1)
			opened = cluster_clock_us(NULL) - start;
	}
	replica_status(cluster_leader(c), &s);
	(void)printf("restart commands=%u snapshot_bytes=%" PRIu64
		     " snapshot_index=%" PRIu64 " open_one_us=%" PRIu64
		     " leader_ready_us=%" PRIu64 "\n",
	    RESTART_COMMANDS, c->snapshot_bytes, s.snapshot, opened,
	    cluster_clock_us(NULL) - start);
	(void)fflush(stdout);
}

/// Commands a second and time to committed, then the time of a restart. The
/// files are made in the current folder.
int
bench_log_throughput(uint64_t seed)
{
	static const uint64_t concurrent[] = { 1, 16, 256, 2048 };
	static const uint64_t snapshots[] = { 1ULL << 40, 1ULL << 20 };
	struct cluster c;

	cluster_start(&c, seed, 0);
	idle_phase(&c);
	for (size_t i = 0; i < G_N_ELEMENTS(concurrent); i++)
		load_phase(&c, concurrent[i]);
	cluster_stop(&c);
	for (size_t i = 0; i < G_N_ELEMENTS(snapshots); i++) {
		cluster_start(&c, seed, snapshots[i]);
		fill(&c, RESTART_COMMANDS);
		restart(&c);
		cluster_stop(&c);
	}
	return 0;
}
