#ifndef LOAD_RUN_H
#define LOAD_RUN_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "base/status.h"
#include "load/results.h"
#include "load/trace.h"

#define LOADGEN_MAX_TARGETS 64

struct loadgen_address {
	char host[48];
	uint16_t port;
};

/// Settings of a run.
struct loadgen_run_settings {
	uint32_t n_targets;
	struct loadgen_address targets[LOADGEN_MAX_TARGETS]; ///< Entries.
	uint32_t n_servers;
	/// Stand-ins of backend servers whose counts are read.
	struct loadgen_address servers[LOADGEN_MAX_TARGETS];
	/// Callers that each send when their last request ended; 0: requests
	/// are sent at the times of the trace.
	uint32_t closed_loop_workers;
	double duration_s; ///< Closed loop: no request starts after it.
	/// Times that a request that was refused, or failed and has an
	/// idempotency key, is sent again.
	uint32_t max_resends;
	uint32_t timeout_ms; ///< Of a caller, from when the request was due.
	uint32_t ttft_target_ms;
	uint32_t inter_token_target_ms;
	bool verify_text; ///< The exact responses of stand-ins are expected.
	FILE *ids_file;   ///< Receives a line for each request, or NULL.
};

enum status loadgen_address_parse(
    const char *text, struct loadgen_address *out);
struct loadgen_results *loadgen_run(const struct loadgen_run_settings *settings,
    const struct loadgen_trace *trace);

#endif
