#ifndef LOAD_EXPERIMENT_H
#define LOAD_EXPERIMENT_H

#include <jansson.h>

#include "base/status.h"
#include "load/run.h"

/// Runs an experiment file: the same traces, one a seed, against each of its
/// arms, and compares every arm with the first.
///
/// @param file  JSON with "trace", "seeds" and "arms"
/// @param out   receives the results of each run and the comparison; set on
///              failure too; the caller owns it
/// @return      STATUS_INVALID when the file can't be read or has a bad value;
///              else the error of the first set-up call that failed
enum status loadgen_experiment(const char *file, json_t **out);

#endif
