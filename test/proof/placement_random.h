#ifndef PROOF_PLACEMENT_RANDOM_H
#define PROOF_PLACEMENT_RANDOM_H

#include <stdint.h>

/// @return 0 when all simulated days hold, else 1
int proof_placement_random(uint64_t seed);

#endif
