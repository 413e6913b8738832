#ifndef FLEET_SIZING_H
#define FLEET_SIZING_H

#include <stdbool.h>
#include <stdint.h>

/// Computes how many backend servers a service needs from the load that arrives
/// and the speed of the servers, without I/O.

struct sizing {
	double servers;      ///< needed servers; 0: not known yet
	double fast_average; ///< busy servers, averaged over the last seconds
	double slow_average; ///< busy servers, averaged over a longer time
	uint64_t start_us;   ///< when load was first seen; 0: never
	uint64_t last_us;    ///< last sample
};

/// Load since the last sample.
struct sizing_sample {
	double tokens;       ///< prompt tokens to compute
	double tokens_per_s; ///< computed by one server; 0: not known
	double busy_s;       ///< seconds that requests spent at servers
	double concurrency_per_server; ///< requests in parallel
};

void sizing_init(struct sizing *s, double need);
bool sizing_has_samples(const struct sizing *s);
bool sizing_is_measured(const struct sizing *s, uint64_t now_us);
void sizing_update(
    struct sizing *s, uint64_t now_us, const struct sizing_sample *sample);

#endif
