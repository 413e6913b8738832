#ifndef ROLLOUT_ROLLOUT_STATS_H
#define ROLLOUT_ROLLOUT_STATS_H

#include "rollout/rollout.h"

/// Rollout stats: histograms of response metrics, in a cell for each version,
/// route and bucket of server load. Counts of many entries add up.

#define ROLLOUT_STATS_BUCKETS 64
#define ROLLOUT_STATS_LOADS 4

/// Bucket i of a time metric begins at the metric's base times
/// ROLLOUT_STATS_BUCKET_GROWTH to the power of i; shorter times are in bucket
/// 0.
#define ROLLOUT_STATS_BUCKET_GROWTH 1.15
#define ROLLOUT_STATS_TTFT_BASE_US 2000.0
#define ROLLOUT_STATS_INTER_TOKEN_BASE_US 200.0

/// The recent counts of a metric are halved when their sum exceeds this.
#define ROLLOUT_STATS_RECENT_RESPONSES 8192

typedef uint32_t rollout_stats_hist[ROLLOUT_N_METRICS][ROLLOUT_STATS_BUCKETS];

struct rollout_stats_cell {
	uint64_t pool;
	uint64_t version;
	uint64_t route;
	uint8_t load;
	rollout_stats_hist total_hist; ///< all that was counted
	/// Like total_hist, but halved repeatedly so that it shows recent
	/// behaviour.
	rollout_stats_hist recent_hist;
	/// At an entry: part of total_hist that was put into reports.
	rollout_stats_hist reported_hist;
};

struct rollout_stats;

typedef void (*rollout_stats_cb)(void *arg, struct rollout_stats_cell *cell);

struct rollout_stats *rollout_stats_new(void);
void rollout_stats_free(struct rollout_stats *stats);
void rollout_stats_add(
    struct rollout_stats *stats, const struct rollout_count *count);
void rollout_stats_record(
    struct rollout_stats *stats, const struct rollout_response *response);
struct rollout_stats_cell *rollout_stats_find(const struct rollout_stats *stats,
    uint64_t version, uint64_t route, uint8_t load);
void rollout_stats_each(
    const struct rollout_stats *stats, rollout_stats_cb cb, void *arg);
void rollout_stats_drop(struct rollout_stats *stats, uint64_t version);
uint8_t rollout_stats_load_bucket(uint32_t load_permille);
uint64_t rollout_stats_sum(const uint32_t *buckets, uint32_t from);

#endif
