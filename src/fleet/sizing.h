#ifndef FLEET_SIZING_H
#define FLEET_SIZING_H

#include <stdbool.h>
#include <stdint.h>

/// How many backend servers a service needs, from the work that arrives and
/// from how fast servers do it: a core without I/O.

struct sizing {
	double need;       ///< servers; 0: not known yet
	double fast;       ///< servers kept busy, over the last seconds
	double slow;       ///< the same over a longer time
	uint64_t start_us; ///< 0: no sample yet
	uint64_t last_us;
};

/// What arrived since the last step.
struct sizing_sample {
	double tokens;       ///< of prompts, to be computed
	double tokens_per_s; ///< that one server computes; 0: not known
	double busy_s;       ///< seconds that requests spent at servers
	double concurrency_per_server; ///< that one server works on
};

void sizing_init(struct sizing *s, double need);
bool sizing_has_samples(const struct sizing *s);
void sizing_update(
    struct sizing *s, uint64_t now_us, const struct sizing_sample *sample);

#endif
