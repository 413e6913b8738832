#ifndef PLATFORM_API_MANIFEST_H
#define PLATFORM_API_MANIFEST_H

#include "fleet/fleetcfg.h"

enum status api_manifest_read(
    const char *text, size_t len, struct fleetcfg **out);
enum status api_manifest_check(
    const char *text, size_t len, struct fleetcfg **out);

#endif
