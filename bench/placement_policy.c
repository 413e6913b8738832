#include "bench/placement_policy.h"

#include <stdio.h>

#include "common/cloudsim.h"

#define DAYS 20

static double
run_days(uint64_t seed, const char *policy, enum cloudsim_day kind)
{
	struct cloudsim_result sum = { .cost = 0 };

	for (uint64_t day = 0; day < DAYS; day++) {
		struct rnd *rnd = rnd_new(seed * 1000 + day);
		struct cloudsim_result day_result;

		cloudsim_run(rnd, kind, &day_result);
		sum.cost += day_result.cost;
		sum.ticks += day_result.ticks;
		sum.short_ticks += day_result.short_ticks;
		sum.exposed_ticks += day_result.exposed_ticks;
		sum.created += day_result.created;
		sum.drained += day_result.drained;
		sum.reclaimed += day_result.reclaimed;
		sum.refused += day_result.refused;
		sum.short_held += day_result.short_held;
		rnd_free(rnd);
	}
	(void)printf(
	    "policy=%s cost_a_day=%.1f over_permille=%.2f "
	    "not_safe_permille=%.2f bought=%llu let_go=%llu reclaimed=%llu "
	    "refused=%llu short_held=%llu\n",
	    policy, sum.cost / DAYS,
	    1000.0 * (double)sum.short_ticks / (double)sum.ticks,
	    1000.0 * (double)sum.exposed_ticks / (double)sum.ticks,
	    (unsigned long long)sum.created, (unsigned long long)sum.drained,
	    (unsigned long long)sum.reclaimed, (unsigned long long)sum.refused,
	    (unsigned long long)sum.short_held);
	return sum.cost;
}

/// Simulated days of demand, refused orders and reclaimed VMs. Compares the
/// cost of reclaimable and on-demand VMs with that of on-demand VMs alone, both
/// planned by the same code for the same target.
int
bench_placement_policy(uint64_t seed)
{
	const double reclaimable_cost =
	    run_days(seed, "ours", CLOUDSIM_RECLAIMABLE);
	const double on_demand_cost =
	    run_days(seed, "on_demand", CLOUDSIM_ON_DEMAND);

	(void)printf("saved_percent=%.1f\n",
	    100 * (1 - reclaimable_cost / on_demand_cost));
	return 0;
}
