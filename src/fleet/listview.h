#ifndef FLEET_LISTVIEW_H
#define FLEET_LISTVIEW_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/feedmsg.h"
#include "fleet/instance.h"

/// What a process knows of the list of servers that it has: its revision, its
/// age, and whether an update may be applied to it. Holds no servers and has no
/// I/O.

struct listview {
	uint64_t source;   ///< run of the process that it is from; 0: own
			   ///< reading
	uint64_t revision; ///< 0: none, or something is missing in the list
	uint64_t fresh_us; ///< when the platform was last asked for it; 0: none
	uint32_t digest;   ///< of the servers that it has
	bool has_digest;   ///< the revision has one
	/// The largest age that it lately had when a newer one came.
	uint64_t usual_age_us;
};

/// What to do with an update.
enum listview_action {
	LISTVIEW_IGNORE,  ///< it is older, or doesn't follow the revision
	LISTVIEW_KEEP,    ///< the list is the same
	LISTVIEW_CHANGE,  ///< apply the changes
	LISTVIEW_REPLACE, ///< apply the servers, and remove all others
};

enum listview_action listview_begin(struct listview *v, uint64_t source,
    uint64_t fresh_us, uint64_t now_us, const struct feedmsg_update *u);
void listview_set(struct listview *v, const struct instance *before,
    const struct instance *after);
bool listview_end(struct listview *v, uint64_t source, uint64_t fresh_us,
    uint64_t now_us, const struct feedmsg_update *u);
void listview_end_reading(
    struct listview *v, uint64_t fresh_us, uint64_t now_us);
uint64_t listview_old_us(const struct listview *v, uint64_t least_us);
void listview_fill_ask(
    const struct listview *v, uint64_t now_us, struct feedmsg_ask *ask);

#endif
