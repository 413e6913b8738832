#ifndef PLACEMENT_PLAN_H
#define PLACEMENT_PLAN_H

#include "placement/placement.h"

/// Question to the planner: VMs of each class for a capacity that is left
/// after the loss of any one data centre.
struct plan {
	const struct placement_inputs *world;
	double tokens_per_s; ///< to be left
	/// At least these are in every plan.
	uint32_t least[PLACEMENT_MAX_CLASSES];
	/// These stand already; keeping one counts as a bit cheaper.
	uint32_t have[PLACEMENT_MAX_CLASSES];
	uint32_t most[PLACEMENT_MAX_CLASSES];
};

bool plan_solve(const struct plan *q, uint32_t *target);
uint64_t plan_price(const struct placement_inputs *w, const uint32_t *target);

#endif
