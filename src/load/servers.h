#ifndef LOAD_SERVERS_H
#define LOAD_SERVERS_H

#include <jansson.h>

#include "load/run.h"

/// Sums of the counts of the stand-ins of backend servers.
json_t *loadgen_servers_read(const struct loadgen_run_settings *settings);
json_t *loadgen_servers_since(const json_t *before, const json_t *after);

#endif
