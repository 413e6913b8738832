#ifndef FLEET_LISTDIFF_H
#define FLEET_LISTDIFF_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fleet/instance.h"

/// Revisions (fleet/listrev.h) of the list of servers as control sends it,
/// without I/O. Keeps the changes of the last minute, so that a process that is
/// behind gets what changed and not the whole list, from whichever process it
/// has its revision.

struct listdiff;

/// What a gateway needs to get to the newest revision.
struct listdiff_update {
	uint64_t since;       ///< revision that the changes follow; 0: the list
	const uint8_t *bytes; ///< by servermsg_encode() or
			      ///< hubmsg_servers_encode(); valid until the
			      ///< next revision
	size_t len; ///< 0: it has the newest revision
};

struct listdiff *listdiff_new(void);
void listdiff_free(struct listdiff *d);
void listdiff_reset(struct listdiff *d);
bool listdiff_set(struct listdiff *d, const GArray *servers, uint64_t number,
    uint64_t now_us);
bool listdiff_drain(struct listdiff *d, const struct instance *servers, guint n,
    uint64_t now_us);
const GArray *listdiff_servers(const struct listdiff *d);
uint64_t listdiff_revision(const struct listdiff *d);
bool listdiff_knows(const struct listdiff *d, uint64_t revision);
void listdiff_update(struct listdiff *d, uint64_t has, bool compact,
    struct listdiff_update *out);

#endif
