#ifndef FLEET_SP_H
#define FLEET_SP_H

#include <stdbool.h>
#include <stdint.h>

/// How many backend servers of a service each data centre should have: a core
/// without I/O. Reclaimable ones are cheap and go a data centre at once; the
/// others carry what is left then.

#define SP_MAX_ZONES 16

struct sp_zone {
	double price;      ///< of an on-demand server for a second
	uint32_t fixed;    ///< on-demand servers that take work or start
	uint32_t spot;     ///< reclaimable ones that take work
	uint32_t starting; ///< reclaimable ones that were ordered and accepted
	uint32_t coming;   ///< on-demand ones there or ordered, see `recalled`
	bool spot_dry;     ///< an order for reclaimable ones failed lately
	bool fixed_dry;    ///< an order for on-demand ones failed lately
};

struct sp_input {
	uint32_t n_zones;
	struct sp_zone zones[SP_MAX_ZONES];
	uint32_t min_servers; ///< in each data centre, both kinds together
	uint32_t max_servers;
	double spot_price; ///< as a share; 0: there are none
	double need;       ///< servers that the work keeps busy
	bool recalled;     ///< reclaimable ones were recalled lately
};

struct sp_order {
	uint32_t fixed;
	uint32_t spot;
};

struct sp_plan {
	struct sp_order zones[SP_MAX_ZONES];
};

/// Watches the reclaimable servers of one service and data centre for recalls.
struct sp_reserve {
	uint32_t had; ///< servers seen last
	uint64_t until_us;
};

bool sp_reserve_step(
    struct sp_reserve *r, uint64_t now_us, uint32_t have, uint32_t wanted);

void sp_plan(const struct sp_input *in, struct sp_plan *out);

#endif
