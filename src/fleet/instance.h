#ifndef FLEET_INSTANCE_H
#define FLEET_INSTANCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fleet/fleetcfg.h"

/// A backend server as the platform's list shows it.

#define INSTANCE_HOST_BYTES 48

struct instance {
	char id[FLEETCFG_NAME_BYTES]; ///< of this start; addresses are reused
	char service[FLEETCFG_NAME_BYTES];
	char zone[FLEETCFG_NAME_BYTES];
	char version[FLEETCFG_NAME_BYTES]; ///< of its software
	char host[INSTANCE_HOST_BYTES];
	uint16_t port;
	uint32_t slots; ///< requests that it works on at a time
	bool draining;  ///< takes no new work
	bool spot; ///< may be reclaimed, with all others of its data centre
	/// Time left in which it is cold, when the list was read.
	uint32_t cold_left_ms;
	/// When that ends, in milliseconds since 1970; 0: it isn't cold.
	uint64_t cold_until_ms;
	/// Usual time of work there, in percent of its service's; 0: not
	/// known. Not from the platform: the leader adds it.
	uint32_t pace_percent;
};

/// Sets the end of a server's cold time from the time left.
///
/// @param now_us  since 1970
static inline void
instance_set_cold_end(struct instance *s, uint64_t now_us)
{
	s->cold_until_ms =
	    s->cold_left_ms == 0 ? 0 : now_us / 1000 + s->cold_left_ms;
}

#endif
