#include "fleet/duty.h"

#include <assert.h>
#include <glib.h>

/// A call expires within this fraction of the lease, so that it has ended well
/// before a new holder's first one.
#define CALL_LEASE_DIVISOR 2

/// Initializes the state of a process that doesn't hold the duties.
///
/// @param config  copied
void
duty_init(struct duty *d, const struct duty_config *config)
{
	assert(config->self != 0);
	*d = (struct duty){ .config = *config };
}

/// Ends the calls of this process, which isn't the leader any more.
///
/// @return whether it held the duties
bool
duty_reset(struct duty *d)
{
	const bool held = d->valid_from_us != 0;

	d->valid_from_us = 0;
	return held;
}

/// The cloud has refused a call because it has seen a higher fencing number:
/// only a new claim helps.
void
duty_on_fenced(struct duty *d)
{
	d->fenced = true;
	d->valid_from_us = 0;
}

/// When the calls of a holder that was replaced by `now_us` have expired.
static uint64_t
lease_end_us(const struct duty *d, uint64_t now_us)
{
	return now_us + d->config.lease_us + d->config.margin_us;
}

/// What the leader has to do for the duties now. If it is the holder already,
/// it goes on under the same fencing number: no other process can have called
/// since, while a new number could be overtaken by an own earlier call that
/// arrives late. It still waits for the holder before it; after a restart it
/// doesn't know how long that one has been replaced.
///
/// @param last  the last committed claim; the leader knows all of them
enum duty_action
duty_tick(struct duty *d, uint64_t now_us, const struct duty_claim *last)
{
	if (d->claiming || d->valid_from_us != 0)
		return DUTY_NONE;
	if (last->holder != d->config.self || d->fenced) {
		d->claiming = true;
		return DUTY_COMMIT_CLAIM;
	}
	if (last->fence != d->fence)
		d->wait_until_us = lease_end_us(d, now_us);
	d->fence = last->fence;
	d->valid_from_us = MAX(now_us, d->wait_until_us);
	return DUTY_BEGIN;
}

/// Ends a claim.
///
/// @param last_holder  holder when the claim was proposed; 0: none
/// @param committed    last committed claim, NULL if this one failed
/// @return whether this process is the holder, from valid_from_us on
bool
duty_on_claimed(struct duty *d, uint64_t now_us, uint32_t last_holder,
    const struct duty_claim *committed)
{
	d->claiming = false;
	if (committed == NULL || committed->holder != d->config.self)
		return false;
	d->fence = committed->fence;
	d->wait_until_us = last_holder == 0 ? now_us : lease_end_us(d, now_us);
	d->valid_from_us = d->wait_until_us;
	d->fenced = false;
	return true;
}

/// Whether a call may be made now, by a process that is the leader. If so, the
/// time is kept in checked_us: a call expires by it, not by when it is made, as
/// the process may be suspended in between.
///
/// @param now_us  taken before it was seen that the process is the leader
bool
duty_may_call(struct duty *d, uint64_t now_us, const struct duty_claim *last)
{
	if (d->valid_from_us == 0 || last->holder != d->config.self ||
	    now_us < d->valid_from_us)
		return false;
	d->checked_us = now_us;
	return true;
}

/// Longest time that a call may take, from checked_us until its last byte
/// leaves.
uint64_t
duty_call_timeout_us(const struct duty *d, uint64_t wanted_us)
{
	return MIN(wanted_us, d->config.lease_us / CALL_LEASE_DIVISOR);
}
