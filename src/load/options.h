#ifndef LOAD_OPTIONS_H
#define LOAD_OPTIONS_H

#include <jansson.h>

#include "base/status.h"
#include "load/run.h"
#include "load/trace.h"

/// Settings of a run, from the command line or an experiment file.
struct loadgen_options {
	struct loadgen_trace_settings trace;
	struct loadgen_run_settings run;
	char customers[256]; ///< Storage of trace.customers.
	char model[64];      ///< Storage of trace.model.
};

void loadgen_options_default(struct loadgen_options *o);
enum status loadgen_options_read(
    const json_t *object, struct loadgen_options *o);
enum status loadgen_options_servers(
    const json_t *arm, struct loadgen_run_settings *settings);

#endif
