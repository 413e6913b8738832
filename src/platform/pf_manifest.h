#ifndef PLATFORM_PF_MANIFEST_H
#define PLATFORM_PF_MANIFEST_H

#include "fleet/fc.h"

/// Reads a manifest, the operator's whole configuration.
///
/// @param out  receives it with one reference
/// @return ST_OK, or ST_INVALID with a mistake in st_last()
enum st pf_manifest_read(const char *text, size_t len, struct fc **out);

#endif
