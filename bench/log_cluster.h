#ifndef BENCH_LOG_CLUSTER_H
#define BENCH_LOG_CLUSTER_H

#include "base/rnd.h"
#include "base/timerq.h"
#include "replog/replica.h"

#include <glib.h>

/// Three members in one process, on real files with real syncs, with messages
/// in memory. All three disks are one, and their syncs follow each other.

#define CLUSTER_MEMBERS 3

struct cluster;

struct member {
	struct cluster *cluster;
	uint32_t id;
	char *folder;
	struct replica *replica;
	uint64_t applied;
};

struct cluster {
	struct timerq *tm;
	struct rnd *rnd;
	GQueue queue;
	struct member members[CLUSTER_MEMBERS + 1];
	uint64_t snapshot_bytes;
	char *root;
	GArray *latencies; ///< uint64_t microseconds.
	uint64_t in_flight;
	uint64_t failed;
	uint64_t n_messages;
	uint64_t message_bytes;
};

uint64_t cluster_clock_us(void *arg);
void cluster_start(struct cluster *c, uint64_t seed, uint64_t snapshot_bytes);
void cluster_stop(struct cluster *c);
void cluster_open(struct cluster *c, uint32_t id);
void cluster_close(struct cluster *c, uint32_t id);
void cluster_wipe(struct cluster *c, uint32_t id);
void cluster_turn(struct cluster *c);
/// Waits until a member leads, holds its lease, and may answer.
struct replica *cluster_leader(struct cluster *c);
uint64_t cluster_quantile(GArray *values, double q);

#endif
