#ifndef FLEET_LISTCOPY_H
#define FLEET_LISTCOPY_H

#include <glib.h>
#include <stdint.h>

#include "fleet/feedmsg.h"

/// Copy of another process's list of servers, without I/O, kept up to date by
/// the process's updates.

struct listcopy;

/// What an update did to a copy.
enum listcopy_result {
	LISTCOPY_UNRELATED, ///< it doesn't follow the copy's revision
	LISTCOPY_SAME,
	LISTCOPY_CHANGED,
};

struct listcopy *listcopy_new(void);
void listcopy_free(struct listcopy *c);
uint64_t listcopy_revision(const struct listcopy *c, uint64_t source);
enum listcopy_result listcopy_apply(
    struct listcopy *c, uint64_t source, const struct feedmsg_update *u);
GArray *listcopy_servers(const struct listcopy *c);

#endif
