#ifndef LOAD_RUN_H
#define LOAD_RUN_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "base/status.h"
#include "load/figures.h"
#include "load/trace.h"

#define LD_MAX_TARGETS 64

struct ld_address {
	char host[48];
	uint16_t port;
};

struct ld_run_settings {
	uint32_t n_targets;
	struct ld_address targets[LD_MAX_TARGETS]; ///< Entries.
	uint32_t n_servers;
	struct ld_address servers[LD_MAX_TARGETS]; ///< Stand-ins, for counts.
	uint32_t workers;    ///< Closed loop of this many; 0: open arrivals.
	double duration_s;   ///< Closed loop: when it ends.
	uint32_t resend;     ///< Times a keyed request is sent again.
	uint32_t timeout_ms; ///< A caller's patience.
	uint32_t first_target_ms;
	uint32_t between_target_ms;
	bool check; ///< Exact answers of the stand-ins are expected.
	FILE *ids;  ///< One line for each ended request, or NULL.
};

enum status ld_address_parse(const char *text, struct ld_address *out);
struct ld_figures *ld_run(
    const struct ld_run_settings *settings, const struct ld_trace *trace);

#endif
