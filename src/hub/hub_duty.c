#include "hub/hub_internal.h"

#include <inttypes.h>

/// A new holder waits so much longer than the lease, so that a call of the
/// last one, sent at its end, can't come after its own first.
#define HUB_LEASE_MARGIN_US (300 * USEC_PER_MSEC)

/// Gives the duties up: this process doesn't lead any more.
void
hub_duty_reset(struct hub *h)
{
	if (h->duty_valid_from_us != 0)
		logger_event(LOGGER_INFO, "duty.left", "fence=%" PRIu64,
		    hubstate_duty(h->state).fence);
	h->duty_valid_from_us = 0;
}

/// Whether this process may make the calls of the duties now.
bool
hub_duty_is_held(const struct hub *h)
{
	return hub_is_leader(h) && !h->stopping && h->duty_valid_from_us != 0 &&
	    hubstate_duty(h->state).holder == h->slot &&
	    loop_now_us(h->loop) >= h->duty_valid_from_us;
}

struct taking {
	struct hub *hb;
	uint32_t last;
};

static void
on_taken(void *arg, enum status status, const uint8_t *result, size_t len)
{
	struct taking *t = arg;
	struct hub *h = t->hb;
	const uint64_t lease =
	    (uint64_t)(h->settings.bounds.duty_lease_ms * USEC_PER_MSEC);
	const bool new_holder = t->last != 0 && t->last != h->slot;

	(void)result;
	(void)len;
	g_free(t);
	h->taking = false;
	if (status != STATUS_OK || hubstate_duty(h->state).holder != h->slot)
		return;
	hub_scale_reset(h);
	h->duty_valid_from_us = loop_now_us(h->loop);
	if (new_holder)
		h->duty_valid_from_us += lease + HUB_LEASE_MARGIN_US;
	logger_event(LOGGER_INFO, "duty.taken",
	    "fence=%" PRIu64 " waits_ms=%" PRIu64,
	    hubstate_duty(h->state).fence,
	    (h->duty_valid_from_us - loop_now_us(h->loop)) / USEC_PER_MSEC);
}

static void
take(struct hub *h)
{
	const struct hubstate_command c = {
		.kind = HUBSTATE_DUTY,
		.holder = h->slot,
	};
	struct taking *t = g_new0(struct taking, 1);

	t->hb = h;
	t->last = hubstate_duty(h->state).holder;
	h->taking = true;
	hub_propose(h, &c, on_taken, t);
}

/// The cloud has seen a higher fencing number: takes the duties anew.
void
hub_duty_on_fenced(struct hub *h)
{
	logger_event(LOGGER_WARN, "duty.refused", "fence=%" PRIu64,
	    hubstate_duty(h->state).fence);
	h->duty_valid_from_us = 0;
}

/// Takes the duties as the leader, and does them.
void
hub_duty_tick(struct hub *h, uint64_t now_us)
{
	if (h->duty_valid_from_us == 0 && !h->taking && !h->stopping)
		take(h);
	if (hub_duty_is_held(h) && h->settings.reports_usage)
		hub_usage_tick(h, now_us);
	if (hub_duty_is_held(h) && h->settings.scales)
		hub_scale_tick(h);
}
