#ifndef BENCH_ROUTE_FAKE_H
#define BENCH_ROUTE_FAKE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "route/balancer.h"

/// A fake runner in simulated time: continuous batching with chunked
/// prefill, an LRU prefix cache of limited size, load reports and cache
/// events that come late.

#define FAKE_BLOCK_TOKENS 16

struct fake;

struct fake_params {
	uint32_t max_batch;
	uint32_t cache_blocks;
	uint32_t kv_tokens;    ///< Of running requests together.
	uint32_t chunk_tokens; ///< Prefill in one step.
	double step_us;
	double prefill_us; ///< A token.
	double decode_us;  ///< A running request.
	uint64_t lag_us;   ///< Of reports and events.
	double slow;       ///< Factor on every step.
};

struct fake_job {
	size_t id;
	const uint64_t *blocks;
	size_t n_blocks;
	uint32_t prompt_tokens;
	uint32_t output_tokens;
	uint32_t priority;
};

enum fake_event_kind {
	FAKE_FIRST, ///< First token.
	FAKE_END,
};

typedef void (*fake_cb)(void *arg, enum fake_event_kind kind, size_t id,
    uint64_t now_us, uint32_t cached_tokens);

struct fake_cache_event {
	uint64_t at_us;
	uint64_t block;
	bool evict;
};

struct fake *fake_new(const struct fake_params *params, fake_cb cb, void *arg);
void fake_free(struct fake *f);
void fake_submit(struct fake *f, uint64_t now_us, const struct fake_job *job);
uint64_t fake_next_us(const struct fake *f);
void fake_step(struct fake *f);
void fake_report(
    const struct fake *f, uint64_t now_us, struct balancer_report *report);
size_t fake_events(const struct fake *f, uint64_t now_us, size_t after,
    const struct fake_cache_event **events);

#endif
