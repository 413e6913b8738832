#ifndef STATE_LIVENESS_H
#define STATE_LIVENESS_H

#include <stdbool.h>
#include <stddef.h>

#include "state/catalog.h"

/// Derives from the platform's VM list which backend servers are draining and
/// which have returned; does no I/O. The list lags behind, but shows the states
/// of a server in their order.
///
/// A server that the list shows as draining is draining. A draining server has
/// returned only after the list has shown it, then has not, and then has shown
/// it as live, all since it was marked as draining: "live" alone may be out of
/// date. "Draining" that was shown since before a server's present incarnation
/// does not apply to it.

enum liveness_state {
	LIVENESS_ABSENT, ///< Not in the VM list.
	LIVENESS_LIVE,
	LIVENESS_DRAINING,
};

/// One backend server in the VM list.
struct liveness_item {
	const char *name; ///< Not owned.
	enum liveness_state state;
};

struct liveness;

/// Called with a command to propose to the catalog's group.
typedef void (*liveness_propose_cb)(
    void *arg, const struct catalog_command *command);

struct liveness *liveness_new(void);
void liveness_free(struct liveness *l);
void liveness_update(struct liveness *l, const struct catalog *s,
    const struct liveness_item *items, size_t n, liveness_propose_cb propose,
    void *arg);

#endif
