#include "rollout/rollout_schedule.h"

#include "base/timerq.h"
#include "rollout/rollout.h"

#include <glib.h>

/// Part of a pool's requests, between the order and the deadline, that a
/// version may get: less than the 100 that users allow a bad one, since traffic
/// may be less in the earlier part.
#define EXPOSE_PERMILLE 85

/// Part of the time up to a deadline that one step of the share takes.
#define STEP_PARTS 150

/// All of the share is given so long before a deadline, for a change of leader
/// or an outage: as long as EXPOSE_PERMILLE leaves room for, within these.
#define RESERVE_MIN_US (1 * USEC_PER_SEC)
#define RESERVE_MAX_US (60 * USEC_PER_SEC)

static uint32_t
steps_left(uint32_t permille)
{
	uint32_t n = 0;

	for (; permille < ROLLOUT_FULL_PERMILLE; n++)
		permille *= ROLLOUT_SHARE_GROWTH;
	return n;
}

/// What EXPOSE_PERMILLE of the time leaves beside the first share, the steps
/// and the time until a share is in force.
static uint64_t
reserve_us(uint32_t first, uint64_t span_us, uint64_t settle_us)
{
	const uint64_t allowed = span_us * EXPOSE_PERMILLE;
	uint64_t given = span_us * first + settle_us * ROLLOUT_FULL_PERMILLE;
	uint64_t left;

	for (uint32_t p = first * ROLLOUT_SHARE_GROWTH;
	     p < ROLLOUT_FULL_PERMILLE; p *= ROLLOUT_SHARE_GROWTH)
		given += span_us / STEP_PARTS * p;
	left = allowed > given ? (allowed - given) / ROLLOUT_FULL_PERMILLE : 0;
	return CLAMP(left, RESERVE_MIN_US, RESERVE_MAX_US);
}

/// Schedule of a move in steps: its first share for most of the time, then
/// doubled up to all of it some time before the end.
///
/// @param from_us    when it was ordered
/// @param by_us      when it must be complete
/// @param settle_us  time for a share to be in force
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

/// Share that is due, in permille.
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
