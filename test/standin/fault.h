#ifndef STANDIN_FAULT_H
#define STANDIN_FAULT_H

#include "standin.h"

/// Fault that a bad version injects into a request.
enum fault_act {
	FAULT_NONE,
	FAULT_FAIL, ///< Responds with 500.
	FAULT_SLOW, ///< Waits before each token or response.
	FAULT_CUT,  ///< Closes the connection partway.
};

/// State of a server on which a fault may depend.
struct fault_load {
	const char *route;
	uint64_t responses; ///< that this version has sent so far
	uint64_t up_us;     ///< since the version's first request
	uint64_t running;   ///< requests in flight
};

/// Protocol error that a hostile server makes in one response.
enum hostile {
	HOSTILE_NONE,
	HOSTILE_DUPLICATE, ///< A chunk is sent twice.
	HOSTILE_CROSSED,   ///< A chunk of another request is mixed in.
	HOSTILE_CUT,       ///< The connection is closed.
	HOSTILE_LATE,      ///< The response pauses, then goes on.
	HOSTILE_NO_END,    ///< The body ends without an end marker.
	HOSTILE_STALL, ///< Nothing more is sent, but the connection stays open.
	HOSTILE_KINDS,
};

enum fault_act fault_choose(struct standin_env *env, const json_t *version,
    const struct fault_load *load);
enum hostile hostile_draw(struct standin_env *env);
const char *hostile_name(enum hostile h);

#endif
