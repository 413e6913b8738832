#ifndef FLEET_SV_H
#define FLEET_SV_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fleet/fc.h"

/// A backend server as the platform's list shows it.

#define SV_HOST_BYTES 48

struct sv {
	char id[FC_NAME_BYTES]; ///< of this incarnation; addresses come again
	char service[FC_NAME_BYTES];
	char zone[FC_NAME_BYTES];
	char version[FC_NAME_BYTES]; ///< of its software
	char host[SV_HOST_BYTES];
	uint16_t port;
	uint32_t slots;
	bool draining;    ///< takes no new work
	bool spot;        ///< may be reclaimed with its whole data centre
	uint32_t cold_ms; ///< it is slow for so long after its start
};

#endif
