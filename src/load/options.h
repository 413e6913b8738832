#ifndef LOAD_OPTIONS_H
#define LOAD_OPTIONS_H

#include <jansson.h>

#include "base/status.h"
#include "load/run.h"
#include "load/trace.h"

/// What a run is made of, from the command line or an experiment file.
struct ld_options {
	struct ld_trace_settings trace;
	struct ld_run_settings run;
	char customers[256];
	char model[64];
};

void ld_options_default(struct ld_options *o);
enum status ld_options_read(const json_t *object, struct ld_options *o);
enum status ld_options_servers(
    const json_t *arm, struct ld_run_settings *settings);

#endif
