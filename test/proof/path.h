#ifndef PROOF_PATH_H
#define PROOF_PATH_H

#include <stdint.h>

/// Tests of the request path on deployments of real processes.
///
/// @return 0 when all checks hold, else 1
int proof_path_thin(uint64_t seed);
int proof_path_hostile(uint64_t seed);
int proof_path_kill(uint64_t seed);
int proof_path_leaving(uint64_t seed);
int proof_path_once(uint64_t seed);
int proof_path_rolling(uint64_t seed);

#endif
