#include "hub/hub_internal.h"

#include <inttypes.h>

/// A new holder waits for the lease and this margin before its first call, so
/// that a call that the previous holder sent at the end of its lease can't
/// arrive after it.
#define HUB_LEASE_MARGIN_US (300 * USEC_PER_MSEC)

/// Stops acting on the duties: this process is no longer the leader.
void
hub_duty_reset(struct hub *h)
{
	if (h->duty_valid_from_us != 0)
		logger_event(LOGGER_INFO, "duty.left", "fence=%" PRIu64,
		    hubstate_duty(h->state).fence);
	h->duty_valid_from_us = 0;
}

/// Whether this process may make the calls of the duties now: it is the leader
/// and the holder, and the previous holder's lease is over.
bool
hub_duty_is_held(const struct hub *h)
{
	return hub_is_leader(h) && !h->stopping && h->duty_valid_from_us != 0 &&
	    hubstate_duty(h->state).holder == h->slot &&
	    loop_now_us(h->loop) >= h->duty_valid_from_us;
}

/// A command that makes this process the holder, until it is committed.
struct duty_claim {
	struct hub *hub;
	uint32_t last_holder; ///< slot; 0: none
};

static void
on_duty_committed(
    void *arg, enum status status, const uint8_t *result, size_t len)
{
	struct duty_claim *claim = arg;
	struct hub *h = claim->hub;
	const uint64_t lease_us =
	    (uint64_t)(h->settings.bounds.duty_lease_ms * USEC_PER_MSEC);
	const bool new_holder =
	    claim->last_holder != 0 && claim->last_holder != h->slot;

	(void)result;
	(void)len;
	g_free(claim);
	h->claiming_duty = false;
	if (status != STATUS_OK || hubstate_duty(h->state).holder != h->slot)
		return;
	hub_scale_reset(h);
	h->duty_valid_from_us = loop_now_us(h->loop);
	if (new_holder)
		h->duty_valid_from_us += lease_us + HUB_LEASE_MARGIN_US;
	logger_event(LOGGER_INFO, "duty.taken",
	    "fence=%" PRIu64 " waits_ms=%" PRIu64,
	    hubstate_duty(h->state).fence,
	    (h->duty_valid_from_us - loop_now_us(h->loop)) / USEC_PER_MSEC);
}

static void
claim_duty(struct hub *h)
{
	const struct hubstate_command c = {
		.kind = HUBSTATE_DUTY,
		.holder = h->slot,
	};
	struct duty_claim *claim = g_new0(struct duty_claim, 1);

	claim->hub = h;
	claim->last_holder = hubstate_duty(h->state).holder;
	h->claiming_duty = true;
	hub_propose(h, &c, on_duty_committed, claim);
}

/// The cloud has refused a call because it has seen a higher fencing number.
/// The next tick claims the duties again, which gives a higher one.
void
hub_duty_on_fenced(struct hub *h)
{
	logger_event(LOGGER_WARN, "duty.refused", "fence=%" PRIu64,
	    hubstate_duty(h->state).fence);
	h->duty_valid_from_us = 0;
}

/// Claims the duties as the leader, and carries out those that are enabled.
void
hub_duty_tick(struct hub *h, uint64_t now_us)
{
	if (h->duty_valid_from_us == 0 && !h->claiming_duty && !h->stopping)
		claim_duty(h);
	if (hub_duty_is_held(h) && h->settings.reports_usage)
		hub_usage_tick(h, now_us);
	if (hub_duty_is_held(h) && h->settings.scales)
		hub_scale_tick(h);
}
