#ifndef BENCH_ROUTE_TRACE_H
#define BENCH_ROUTE_TRACE_H

#include <stddef.h>
#include <stdint.h>

/// Traces of two workloads. A seed gives every policy the same trace.

/// Kind of requests in a trace.
enum workload {
	WORKLOAD_VANILLA, ///< Long shared histories and short questions.
	WORKLOAD_CARPET,  ///< Growing chats, and long contracts.
};

/// One request; times are in microseconds from the start of the trace.
struct trace_request {
	uint64_t at_us;
	uint32_t customer;
	uint32_t priority;
	uint64_t target_us; ///< Target of the time to first token.
	uint64_t *blocks;   ///< Hashes of the prompt's blocks.
	size_t n_blocks;
	uint32_t output_tokens;
};

struct trace {
	struct trace_request *requests; ///< In order of at_us.
	size_t n;
	uint64_t end_us; ///< Of the arrivals; later turns may follow.
};

#define TRACE_CUSTOMERS 5

struct trace *trace_new(
    enum workload workload, uint64_t seed, double rate_per_s, uint64_t end_us);
void trace_free(struct trace *t);

#endif
