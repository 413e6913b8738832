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

struct loadgen_run_settings {
	uint32_t n_targets;
	struct loadgen_address targets[LOADGEN_MAX_TARGETS]; ///< Entries.
	uint32_t n_servers;
	struct loadgen_address
	    servers[LOADGEN_MAX_TARGETS]; ///< Stand-ins, for counts.
	uint32_t workers;    ///< Closed loop of this many; 0: open arrivals.
	double duration_s;   ///< Closed loop: when it ends.
	uint32_t resend;     ///< Times a keyed request is sent again.
	uint32_t timeout_ms; ///< A caller's patience.
	uint32_t ttft_target_ms;
	uint32_t inter_token_target_ms;
	bool check; ///< Exact answers of the stand-ins are expected.
	FILE *ids;  ///< One line for each ended request, or NULL.
};

enum status loadgen_address_parse(
    const char *text, struct loadgen_address *out);
struct loadgen_results *loadgen_run(const struct loadgen_run_settings *settings,
    const struct loadgen_trace *trace);

#endif
