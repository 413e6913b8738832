#ifndef ROLLOUT_ROLLOUT_SCHEDULE_H
#define ROLLOUT_ROLLOUT_SCHEDULE_H

#include <stdint.h>

/// Schedule of a version's share during its rollout. A core without I/O.

/// A share is raised by this factor at each step.
#define ROLLOUT_SHARE_GROWTH 2

struct rollout_schedule {
	uint32_t first_permille;
	uint64_t full_us; ///< time from which on the version gets all
	uint64_t step_us; ///< length of each step before; 0: no steps
};

struct rollout_schedule rollout_schedule_steps(uint32_t first_permille,
    uint64_t from_us, uint64_t by_us, uint64_t settle_us);
uint32_t rollout_schedule_share(
    const struct rollout_schedule *s, uint64_t now_us);

#endif
