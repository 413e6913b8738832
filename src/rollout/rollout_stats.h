#ifndef ROLLOUT_ROLLOUT_STATS_H
#define ROLLOUT_ROLLOUT_STATS_H

#include "rollout/rollout.h"

/// Evidence: histograms of what answers showed, in a cell for each version,
/// route and load of the server. Counts of many entries add up.

#define ROLLOUT_STATS_BUCKETS 64
#define ROLLOUT_STATS_LOADS 4

/// Bucket i of a time holds up to its base times ROLLOUT_STATS_BUCKET_GROWTH to
/// the i.
#define ROLLOUT_STATS_BUCKET_GROWTH 1.15
#define ROLLOUT_STATS_TTFT_BASE_US 2000.0
#define ROLLOUT_STATS_INTER_TOKEN_BASE_US 200.0

/// After this many answers the recent counts are halved.
#define ROLLOUT_STATS_RECENT_RESPONSES 8192

typedef uint32_t rollout_stats_hist[ROLLOUT_N_METRICS][ROLLOUT_STATS_BUCKETS];

struct rollout_stats_cell {
	uint64_t pool;
	uint64_t version;
	uint64_t route;
	uint8_t load;
	rollout_stats_hist total; ///< all that was counted
	rollout_stats_hist
	    recent;              ///< halved now and then: what is usual of late
	rollout_stats_hist sent; ///< entry: part of the total that control has
};

struct rollout_stats;

typedef void (*rollout_stats_cb)(void *arg, struct rollout_stats_cell *cell);

struct rollout_stats *rollout_stats_new(void);
void rollout_stats_free(struct rollout_stats *ev);
void rollout_stats_add(
    struct rollout_stats *ev, const struct rollout_count *count);
void rollout_stats_record(
    struct rollout_stats *ev, const struct rollout_response *a);
struct rollout_stats_cell *rollout_stats_find(const struct rollout_stats *ev,
    uint64_t version, uint64_t route, uint8_t load);
void rollout_stats_each(
    const struct rollout_stats *ev, rollout_stats_cb cb, void *arg);
void rollout_stats_drop(struct rollout_stats *ev, uint64_t version);
uint8_t rollout_stats_load_bucket(uint32_t load_permille);
uint64_t rollout_stats_sum(const uint32_t *buckets, uint32_t from);

#endif
