#ifndef COMMON_CLOUDSIM_H
#define COMMON_CLOUDSIM_H

#include <stdbool.h>
#include <stdint.h>

#include "base/rnd.h"
#include "placement/placement.h"

/// Simulates a cloud for a day: demand with a daily cycle and bursts, VM starts
/// that take time or are refused, reclaims of single VMs and of all reclaimable
/// VMs of a data centre.

#define CLOUDSIM_DATA_CENTRES 3
#define CLOUDSIM_TICK_US 10000000ULL
/// A VM drained sooner than this after its creation counts as short_held.
#define CLOUDSIM_SHORT_US (1800 * 1000000ULL)

struct cloudsim_result {
	double cost;            ///< of the day, in the currency
	uint64_t ticks;         ///< of the day
	uint64_t short_ticks;   ///< ticks with less live capacity than demand
	uint64_t exposed_ticks; ///< ticks that would not survive a data
				///< centre's loss
	uint64_t created;       ///< VMs created
	uint64_t drained;       ///< VMs drained by placement
	uint64_t reclaimed;     ///< VMs
	uint64_t refused;       ///< starts of VMs
	uint64_t short_held;    ///< VMs drained within CLOUDSIM_SHORT_US
	uint64_t violations;    ///< effects that break placement's rules
};

enum cloudsim_day {
	CLOUDSIM_RECLAIMABLE, ///< both kinds of classes, reclaims and refusals
	CLOUDSIM_ON_DEMAND,   ///< on-demand classes alone
	CLOUDSIM_CALM, ///< constant demand with noise; nothing is reclaimed
};

void cloudsim_run(
    struct rnd *r, enum cloudsim_day day, struct cloudsim_result *out);

#endif
