#ifndef PLACEMENT_PLAN_H
#define PLACEMENT_PLAN_H

#include "placement/placement.h"

/// Request to the planner: how many VMs of each class keep a capacity after the
/// loss of any one data centre. The arrays are indexed by class.
struct plan {
	const struct placement_inputs *inputs;
	double tokens_per_s; ///< capacity to keep
	/// VMs that every plan includes.
	uint32_t min_vms[PLACEMENT_MAX_CLASSES];
	/// VMs that exist; keeping one counts as slightly cheaper than a new
	/// one.
	uint32_t current_vms[PLACEMENT_MAX_CLASSES];
	/// Most VMs that a plan may have; 0: the class can't be used.
	uint32_t max_vms[PLACEMENT_MAX_CLASSES];
};

bool plan_solve(const struct plan *q, uint32_t *target);
uint64_t plan_price(const struct placement_inputs *in, const uint32_t *target);

#endif
