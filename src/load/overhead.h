#ifndef LOAD_OVERHEAD_H
#define LOAD_OVERHEAD_H

#include <jansson.h>

#include "load/run.h"

/// Measurement of the latency that an entry adds to a call, compared with
/// calling the backend server directly.
struct loadgen_overhead_settings {
	struct loadgen_address entry;
	struct loadgen_address service; ///< Port 0: no unary calls.
	struct loadgen_address runner;  ///< Port 0: no streams.
	const char *path;               ///< Of the unary calls.
	const char *model;
	uint32_t calls;      ///< Unary calls, over both paths.
	uint32_t streams;    ///< Streams, over both paths.
	uint32_t max_tokens; ///< Of each stream.
};

json_t *loadgen_overhead(const struct loadgen_overhead_settings *settings);

#endif
