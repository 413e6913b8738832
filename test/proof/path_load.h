#ifndef PROOF_PATH_LOAD_H
#define PROOF_PATH_LOAD_H

#include <jansson.h>

#include "common/deploy.h"

/// Load on a deployment by the load command, which runs as a process of its
/// own.

struct load_plan {
	uint64_t seed;
	double rate_per_s;
	double duration_s;
	const char *mix;         ///< kinds of requests and their weights
	uint32_t token_permille; ///< scale of the lengths of responses; 0: 1000
	uint32_t resend;     ///< times that a request with a key is sent again
	uint32_t timeout_ms; ///< 0: 30 s
};

/// A run of the load command.
struct load_run {
	pid_t pid;
	char json[512]; ///< file of the figures
	char ids[512];  ///< file of the requests' ids and outcomes
};

/// How the requests of a run ended.
struct load_outcomes {
	int64_t sent;
	int64_t complete; ///< complete and correct
	int64_t wrong;    ///< response differs from the expected one
	int64_t cut; ///< connection closed before the response was complete
	int64_t refused;
	int64_t failed;
	int64_t timeout;
	int64_t no_entry;
	int64_t cut_elsewhere;      ///< cut, but not by the killed entry
	int64_t failed_completions; ///< of runners, ended with an error
	int64_t unknown;            ///< not idempotent, verdict "may have run"
	int64_t resumed;            ///< streams resumed at another entry
	int64_t not_run_yet_ran;    ///< ran, but with the verdict "not run"
	int64_t repeated; ///< runs at services beyond the first one of an id
};

void load_start(
    struct deploy *d, const struct load_plan *plan, struct load_run *out);
json_t *load_figures(struct load_run *run);
int64_t load_total(const json_t *figures, const char *end);
bool load_finish(struct deploy *d, struct load_run *run, uint16_t killed_port,
    struct load_outcomes *out);
void load_print(const char *what, const struct load_outcomes *ends);

#endif
