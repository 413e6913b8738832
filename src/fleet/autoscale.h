#ifndef FLEET_AUTOSCALE_H
#define FLEET_AUTOSCALE_H

#include <stdbool.h>
#include <stdint.h>

/// Plans how many backend servers of a service each data centre should have,
/// without I/O. Reclaimable (spot) servers are cheap, but all those of a data
/// centre may be reclaimed at once; on-demand servers carry the load then.

#define AUTOSCALE_MAX_ZONES 16

struct autoscale_zone {
	double price;       ///< of an on-demand server per second
	uint32_t on_demand; ///< on-demand servers that take work or start
	uint32_t spot;      ///< reclaimable servers that take work
	/// Reclaimable servers whose order was accepted.
	uint32_t spot_starting;
	/// On-demand servers that run or are ordered.
	uint32_t on_demand_expected;
	/// An order for reclaimable servers failed recently.
	bool spot_unavailable;
	/// An order for on-demand servers failed recently.
	bool on_demand_unavailable;
	/// Its servers get no requests: no more than the minimum is ordered
	/// there, and none counts for the need.
	bool closed;
};

struct autoscale_input {
	uint32_t n_zones;
	struct autoscale_zone zones[AUTOSCALE_MAX_ZONES];
	uint32_t min_servers; ///< in each data centre, both kinds together
	uint32_t max_servers; ///< in each data centre, both kinds together
	double spot_price; ///< as a share of `price`; 0: no reclaimable servers
	double needed_servers; ///< servers that the load requires
	bool spot_reclaimed;   ///< reclaimable servers were reclaimed recently
	bool need_is_guess;    ///< no load was measured yet: what runs is kept
};

struct autoscale_target {
	uint32_t on_demand; ///< on-demand servers
	uint32_t spot;      ///< reclaimable servers
};

struct autoscale_plan {
	struct autoscale_target zones[AUTOSCALE_MAX_ZONES];
};

/// Detects reclaims of the reclaimable servers of one service in one data
/// centre. Starts zeroed.
struct autoscale_reclaim_watch {
	uint32_t last_count;    ///< servers at the last step
	uint64_t hold_until_us; ///< on-demand servers are kept until then
};

bool autoscale_reclaim_watch_step(struct autoscale_reclaim_watch *r,
    uint64_t now_us, uint32_t have, uint32_t wanted);

void autoscale_plan(
    const struct autoscale_input *in, struct autoscale_plan *out);
void autoscale_limit_fall(
    const struct autoscale_input *in, struct autoscale_plan *plan);

#endif
