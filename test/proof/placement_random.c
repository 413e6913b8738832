#include "proof/placement_random.h"

#include <stdio.h>

#include "common/cloudsim.h"

#define DAYS 4

static bool
run_day(struct rnd *r, enum cloudsim_day day)
{
	struct cloudsim_result o;
	bool holds;

	cloudsim_run(r, day, &o);
	holds = o.violations == 0 && o.short_ticks * 1000 <= o.ticks;
	if (day == CLOUDSIM_CALM)
		holds = holds && o.created == 0;
	(void)printf("day=%s holds=%d breaches=%llu over=%llu not_safe=%llu "
		     "ticks=%llu bought=%llu let_go=%llu reclaimed=%llu "
		     "refused=%llu\n",
	    day == CLOUDSIM_CALM ? "calm" : "reclaims", holds,
	    (unsigned long long)o.violations, (unsigned long long)o.short_ticks,
	    (unsigned long long)o.exposed_ticks, (unsigned long long)o.ticks,
	    (unsigned long long)o.created, (unsigned long long)o.drained,
	    (unsigned long long)o.reclaimed, (unsigned long long)o.refused);
	return holds;
}

/// Simulates days with refused starts and reclaims. Guards against a class over
/// its limit, a VM that is released undrained or drained before its minimum
/// lifetime, and demand above the live capacity in more than 1 of 1000 ticks.
/// On calm days it also guards against flapping: after the start-up no VM may
/// be created, so no VM was drained that is needed again.
int
proof_placement_random(uint64_t seed)
{
	struct rnd *r = rnd_new(seed);
	bool holds = true;

	for (int day = 0; day < DAYS; day++) {
		holds = run_day(r, CLOUDSIM_RECLAIMABLE) && holds;
		holds = run_day(r, CLOUDSIM_CALM) && holds;
	}
	(void)printf("holds=%d days=%d\n", holds, 2 * DAYS);
	rnd_free(r);
	return holds ? 0 : 1;
}
