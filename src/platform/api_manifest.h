#ifndef PLATFORM_API_MANIFEST_H
#define PLATFORM_API_MANIFEST_H

#include "fleet/fleetcfg.h"

/// Reads a manifest, the operator's whole configuration.
///
/// @param out  receives it with one reference
/// @return STATUS_OK, or STATUS_INVALID with a mistake in status_last()
enum status api_manifest_read(
    const char *text, size_t len, struct fleetcfg **out);

#endif
