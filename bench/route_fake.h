#ifndef BENCH_ROUTE_FAKE_H
#define BENCH_ROUTE_FAKE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "route/balancer.h"

/// A fake runner in simulated time: continuous batching with chunked prefill,
/// an LRU prefix cache of limited size, and load reports and cache events that
/// arrive with a delay.

#define FAKE_BLOCK_TOKENS 16

struct fake_runner;

/// Capacity and speed of a fake runner. Times are in microseconds.
struct fake_params {
	uint32_t max_batch; ///< Requests in a step.
	uint32_t cache_blocks;
	uint32_t kv_tokens;       ///< Of all running requests.
	uint32_t chunk_tokens;    ///< Most tokens prefilled in a step.
	double step_us;           ///< Each step, whatever its batch.
	double prefill_us;        ///< For each token prefilled in the step.
	double decode_us;         ///< For each request in decode.
	uint64_t report_delay_us; ///< Of load reports and cache events.
	double slowdown;          ///< Factor on the time of each step.
};

/// A request to a fake runner.
struct fake_job {
	size_t id;
	const uint64_t *blocks; ///< Of the prompt; must outlive the job.
	size_t n_blocks;
	uint32_t prompt_tokens;
	uint32_t output_tokens;
	uint32_t priority; ///< 0 is the highest.
};

enum fake_event_kind {
	FAKE_FIRST_TOKEN, ///< The first token was sent.
	FAKE_END,         ///< The last token was sent.
};

/// Receives an event of the request `id`; `cached_tokens` of its prompt were in
/// the cache.
typedef void (*fake_cb)(void *arg, enum fake_event_kind kind, size_t id,
    uint64_t now_us, uint32_t cached_tokens);

/// A block was stored in the cache, or evicted from it.
struct fake_cache_event {
	uint64_t at_us;
	uint64_t block;
	bool evict;
};

struct fake_runner *fake_new(
    const struct fake_params *params, fake_cb cb, void *arg);
void fake_free(struct fake_runner *f);
void fake_submit(
    struct fake_runner *f, uint64_t now_us, const struct fake_job *job);
uint64_t fake_next_us(const struct fake_runner *f);
void fake_step(struct fake_runner *f);
void fake_report(const struct fake_runner *f, uint64_t now_us,
    struct balancer_report *report);
size_t fake_events(const struct fake_runner *f, uint64_t now_us, size_t after,
    const struct fake_cache_event **events);

#endif
