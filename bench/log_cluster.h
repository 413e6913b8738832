#ifndef BENCH_LOG_CLUSTER_H
#define BENCH_LOG_CLUSTER_H

#include "base/rnd.h"
#include "base/timerq.h"
#include "replog/replica.h"

#include <glib.h>

/// A replicated log of three members in one process, with real files and real
/// syncs, and messages passed in memory. All members share one disk and one
/// thread, so their syncs run one after the other.

#define CLUSTER_MEMBERS 3

struct cluster;

struct member {
	struct cluster *cluster;
	uint32_t id;
	char *folder;
	struct replica *replica;
	uint64_t applied; ///< Commands, those in a loaded snapshot included.
};

struct cluster {
	struct timerq *tm;
	struct rnd *rnd;
	GQueue queue;                               ///< Messages in flight.
	struct member members[CLUSTER_MEMBERS + 1]; ///< By ID, from 1.
	uint64_t snapshot_bytes; ///< Of log before a snapshot; 0: default.
	char *root;              ///< Folder of all members' folders.
	GArray *latencies;       ///< uint64_t microseconds, of each command.
	uint64_t in_flight;      ///< Commands.
	uint64_t failed;
	uint64_t n_messages;
	uint64_t message_bytes;
};

uint64_t cluster_clock_us(void *arg);
void cluster_start(struct cluster *c, uint64_t seed, uint64_t snapshot_bytes);
void cluster_stop(struct cluster *c);
void cluster_open(struct cluster *c, uint32_t id);
void cluster_close(struct cluster *c, uint32_t id);
void cluster_erase_disk(struct cluster *c, uint32_t id);
void cluster_poll(struct cluster *c);
/// Runs the cluster until a member leads, holds its lease and may serve
/// requests; returns that member.
struct replica *cluster_leader(struct cluster *c);
uint64_t cluster_quantile(GArray *values, double q);

#endif
