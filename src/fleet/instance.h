#ifndef FLEET_INSTANCE_H
#define FLEET_INSTANCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fleet/fleetcfg.h"

/// A backend server as the platform's list shows it.

#define INSTANCE_HOST_BYTES 48

struct instance {
	char id[FLEETCFG_NAME_BYTES]; ///< of this incarnation; addresses come
				      ///< again
	char service[FLEETCFG_NAME_BYTES];
	char zone[FLEETCFG_NAME_BYTES];
	char version[FLEETCFG_NAME_BYTES]; ///< of its software
	char host[INSTANCE_HOST_BYTES];
	uint16_t port;
	uint32_t slots;
	bool draining;      ///< takes no new work
	bool spot;          ///< may be reclaimed with its whole data centre
	uint32_t warmup_ms; ///< it is slow for so long after its start
};

#endif
