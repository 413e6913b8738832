#ifndef COMMON_PLACEMENT_FAKE_H
#define COMMON_PLACEMENT_FAKE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/rnd.h"
#include "placement/placement.h"

/// A fake cloud for a day: demand with a daily rhythm and bursts, starts
/// that take time or are refused, single reclaims and whole waves.

#define PF_DATA_CENTRES 3
#define PF_TICK_US 10000000ULL
#define PF_SHORT_US (1800 * 1000000ULL)

struct pf_result {
	double cost;      ///< of the day, in the currency
	uint64_t ticks;   ///< of the day
	uint64_t over;    ///< with less live capacity than demand
	uint64_t exposed; ///< where one more lost data centre is too much
	uint64_t bought;  ///< VMs
	uint64_t let_go;  ///< by placement
	uint64_t reclaimed;
	uint64_t refused;
	uint64_t short_held; ///< let go less than PF_SHORT_US after the start
	uint64_t breaches;   ///< effects that must not be
};

enum pf_day {
	PF_RECLAIMABLE, ///< both kinds of classes, reclaims and refusals
	PF_ON_DEMAND,   ///< on-demand classes alone
	PF_CALM,        ///< level demand but for noise; nothing is reclaimed
};

void pf_run(struct rnd *r, enum pf_day day, struct pf_result *out);

#endif
