#include "bench/placement_policy.h"

#include <stdio.h>

#include "common/placement_fake.h"

#define DAYS 20

static double
run_days(uint64_t seed, const char *policy, enum pf_day kind)
{
	struct pf_result sum = { .cost = 0 };

	for (uint64_t day = 0; day < DAYS; day++) {
		struct rnd *r = rnd_new(seed * 1000 + day);
		struct pf_result o;

		pf_run(r, kind, &o);
		sum.cost += o.cost;
		sum.ticks += o.ticks;
		sum.short_ticks += o.short_ticks;
		sum.exposed_ticks += o.exposed_ticks;
		sum.created += o.created;
		sum.drained += o.drained;
		sum.reclaimed += o.reclaimed;
		sum.refused += o.refused;
		sum.short_held += o.short_held;
		rnd_free(r);
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

/// Days of demand, refusals and reclaims: reclaimable and on-demand VMs
/// against on-demand ones alone, planned by the same core for the same
/// target.
int
bench_placement_policy(uint64_t seed)
{
	const double ours = run_days(seed, "ours", PF_RECLAIMABLE);
	const double dear = run_days(seed, "on_demand", PF_ON_DEMAND);

	(void)printf("saved_percent=%.1f\n", 100 * (1 - ours / dear));
	return 0;
}
