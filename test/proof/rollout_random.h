#ifndef PROOF_ROLLOUT_RANDOM_H
#define PROOF_ROLLOUT_RANDOM_H

#include <stdint.h>

int proof_rollout_random(uint64_t seed);
int proof_rollout_bounds(uint64_t seed);
int proof_rollout_whole(uint64_t seed);
int proof_rollout_later(uint64_t seed);

#endif
