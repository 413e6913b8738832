#include "rollout/rollout_schedule.h"

#include "base/timerq.h"
#include "rollout/rollout.h"

#include <glib.h>

/// Share of a pool's requests between the order and the deadline that a version
/// may get. Users allow a bad version 100; it is less since traffic may be
/// lower in the earlier part of that time.
#define EXPOSURE_PERMILLE 85

/// One step of the share takes this fraction (1/STEP_PARTS) of the time up to
/// the deadline.
#define STEP_PARTS 150

/// The full share is given a reserve before the deadline, for a change of
/// leader or an outage. The reserve is as long as EXPOSURE_PERMILLE permits,
/// within these limits.
#define RESERVE_MIN_US (1 * USEC_PER_SEC)
#define RESERVE_MAX_US (60 * USEC_PER_SEC)

/// Number of steps from a share to the full one.
static uint32_t
steps_left(uint32_t permille)
{
	uint32_t n = 0;

	for (; permille < ROLLOUT_FULL_PERMILLE; n++)
		permille *= ROLLOUT_SHARE_GROWTH;
	return n;
}

/// Reserve before the deadline: what EXPOSURE_PERMILLE of the time leaves after
/// the first share, the steps and the time until a share is in force.
static uint64_t
reserve_us(uint32_t first, uint64_t span_us, uint64_t settle_us)
{
	const uint64_t allowed = span_us * EXPOSURE_PERMILLE;
	uint64_t exposed = span_us * first + settle_us * ROLLOUT_FULL_PERMILLE;
	uint64_t reserve;

	for (uint32_t p = first * ROLLOUT_SHARE_GROWTH;
	     p < ROLLOUT_FULL_PERMILLE; p *= ROLLOUT_SHARE_GROWTH)
		exposed += span_us / STEP_PARTS * p;
	reserve =
	    allowed > exposed ? (allowed - exposed) / ROLLOUT_FULL_PERMILLE : 0;
	return CLAMP(reserve, RESERVE_MIN_US, RESERVE_MAX_US);
}

/// Schedule of a rollout in steps: the first share for most of the time, then
/// doubled in steps of 1/STEP_PARTS of the time up to the full share, which is
/// reached RESERVE_MIN_US to RESERVE_MAX_US before by_us.
///
/// @param first_permille  first share
/// @param from_us         when it was ordered
/// @param by_us           when it must be complete
/// @param settle_us       time until entries apply a share
struct rollout_schedule
rollout_schedule_steps(uint32_t first_permille, uint64_t from_us,
    uint64_t by_us, uint64_t settle_us)
{
	const uint64_t span_us = by_us - MIN(from_us, by_us);
	const uint64_t reserve = reserve_us(first_permille, span_us, settle_us);

	return (struct rollout_schedule){
		.first_permille = first_permille,
		.full_us = by_us - MIN(reserve, by_us),
		.step_us = span_us / STEP_PARTS,
	};
}

/// Share that a version should have now, in permille.
uint32_t
rollout_schedule_share(const struct rollout_schedule *s, uint64_t now_us)
{
	uint32_t permille = s->first_permille;

	if (now_us >= s->full_us)
		return ROLLOUT_FULL_PERMILLE;
	if (s->step_us == 0)
		return permille;
	while (steps_left(permille) > (s->full_us - now_us) / s->step_us + 1)
		permille *= ROLLOUT_SHARE_GROWTH;
	return permille;
}
