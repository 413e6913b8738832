#ifndef FLEET_LISTREV_H
#define FLEET_LISTREV_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/instance.h"

/// Revisions of the list of servers: a number that grows at one process, and a
/// digest of the list, which is the same at all processes that hold the same
/// list. Has no I/O.

/// Digest of a list: the sum of its servers' digests, so that it is kept up to
/// date by adding and subtracting.
uint32_t listrev_digest_of(const struct instance *server);
bool listrev_same(const struct instance *a, const struct instance *b);

uint64_t listrev_make(uint64_t number, uint32_t digest);
uint32_t listrev_digest(uint64_t revision);
uint64_t listrev_number(uint64_t revision);

#endif
