#ifndef PLATFORM_PF_MANIFEST_H
#define PLATFORM_PF_MANIFEST_H

#include "fleet/fc.h"

/// Reads a manifest, the operator's whole configuration.
///
/// @param out  receives it with one reference
/// @return STATUS_OK, or STATUS_INVALID with a mistake in status_last()
enum status pf_manifest_read(const char *text, size_t len, struct fc **out);

#endif
