#ifndef LOAD_EXPERIMENT_H
#define LOAD_EXPERIMENT_H

#include <jansson.h>

#include "base/status.h"
#include "load/run.h"

/// Runs an experiment file: the same traces against each of its arms.
///
/// @param out  receives the figures of each run and the paired differences
enum status loadgen_experiment(const char *file, json_t **out);

#endif
