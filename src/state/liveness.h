#ifndef STATE_LIVENESS_H
#define STATE_LIVENESS_H

#include <stdbool.h>
#include <stddef.h>

#include "state/catalog.h"

/// What the VM list says about backend servers: a decision without I/O. The
/// list lags, but what it shows comes in order.
///
/// A server that it shows as leaving is leaving. One that is leaving has
/// returned only when the list has shown it, then not, and then as live,
/// all since it was known to leave: a "live" alone may be old. A "leaving"
/// that was there before a server's present incarnation is not about it.

enum liveness_state {
	LIVENESS_ABSENT,
	LIVENESS_LIVE,
	LIVENESS_DRAINING,
};

struct liveness_item {
	const char *name;
	enum liveness_state state;
};

struct liveness;

/// Takes a command that is to be proposed.
typedef void (*liveness_propose_cb)(
    void *arg, const struct catalog_command *command);

struct liveness *liveness_new(void);
void liveness_free(struct liveness *l);
void liveness_update(struct liveness *l, const struct catalog *s,
    const struct liveness_item *items, size_t n, liveness_propose_cb propose,
    void *arg);

#endif
