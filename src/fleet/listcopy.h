#ifndef FLEET_LISTCOPY_H
#define FLEET_LISTCOPY_H

#include <glib.h>
#include <stdint.h>

#include "fleet/feedmsg.h"
#include "fleet/listview.h"

/// Copy of another process's list of servers, without I/O, kept up to date by
/// the process's updates.

struct listcopy;

/// What an update did to a copy.
enum listcopy_result {
	LISTCOPY_UNRELATED, ///< it doesn't follow the copy's revision
	LISTCOPY_SAME,
	LISTCOPY_CHANGED,
	LISTCOPY_INCOMPLETE, ///< changed, and the whole list is needed
};

struct listcopy *listcopy_new(void);
void listcopy_free(struct listcopy *c);
const struct listview *listcopy_view(const struct listcopy *c);
enum listcopy_result listcopy_apply(struct listcopy *c, uint64_t source,
    uint64_t fresh_us, uint64_t now_us, const struct feedmsg_update *u);
GArray *listcopy_servers(const struct listcopy *c);

#endif
