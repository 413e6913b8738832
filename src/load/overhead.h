#ifndef LOAD_OVERHEAD_H
#define LOAD_OVERHEAD_H

#include <jansson.h>

#include "load/run.h"

/// What an entry adds to a call, against calling the backend server itself.
struct loadgen_overhead_settings {
	struct loadgen_address entry;
	struct loadgen_address service; ///< port 0: no unary calls
	struct loadgen_address runner;  ///< port 0: no streams
	const char *path;               ///< of the unary calls
	const char *model;
	uint32_t calls;
	uint32_t streams;
	uint32_t max_tokens;
};

json_t *loadgen_overhead(const struct loadgen_overhead_settings *settings);

#endif
