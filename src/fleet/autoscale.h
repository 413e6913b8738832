#ifndef FLEET_AUTOSCALE_H
#define FLEET_AUTOSCALE_H

#include <stdbool.h>
#include <stdint.h>

/// How many backend servers of a service each data centre should have: a core
/// without I/O. Reclaimable ones are cheap and go a data centre at once; the
/// others carry what is left then.

#define AUTOSCALE_MAX_ZONES 16

struct autoscale_zone {
	double price;      ///< of an on-demand server for a second
	uint32_t fixed;    ///< on-demand servers that take work or start
	uint32_t spot;     ///< reclaimable ones that take work
	uint32_t starting; ///< reclaimable ones that were ordered and accepted
	uint32_t coming;   ///< on-demand ones there or ordered, see `recalled`
	bool spot_unavailable; ///< an order for reclaimable ones failed lately
	bool on_demand_unavailable; ///< an order for on-demand ones failed
				    ///< lately
};

struct autoscale_input {
	uint32_t n_zones;
	struct autoscale_zone zones[AUTOSCALE_MAX_ZONES];
	uint32_t min_servers; ///< in each data centre, both kinds together
	uint32_t max_servers;
	double spot_price; ///< as a share; 0: there are none
	double need;       ///< servers that the work keeps busy
	bool recalled;     ///< reclaimable ones were recalled lately
};

struct autoscale_target {
	uint32_t fixed;
	uint32_t spot;
};

struct autoscale_plan {
	struct autoscale_target zones[AUTOSCALE_MAX_ZONES];
};

/// Watches the reclaimable servers of one service and data centre for recalls.
struct autoscale_reclaim_watch {
	uint32_t had; ///< servers seen last
	uint64_t until_us;
};

bool autoscale_reclaim_watch_step(struct autoscale_reclaim_watch *r,
    uint64_t now_us, uint32_t have, uint32_t wanted);

void autoscale_plan(
    const struct autoscale_input *in, struct autoscale_plan *out);

#endif
