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
	/// Time left in which it is slow after its start.
	uint32_t warmup_left_ms;
};

#endif
