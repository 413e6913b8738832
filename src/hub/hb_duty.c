#include "hub/hb_internal.h"

#include <inttypes.h>

/// A new holder waits so much longer than the lease, so that a call of the
/// last one, sent at its end, can't come after its own first.
#define HB_LEASE_MARGIN_US (300 * USEC_PER_MSEC)

/// Gives the duties up: this process doesn't lead any more.
void
hb_duty_reset(struct hb *h)
{
	if (h->duty_from_us != 0)
		logger_event(LOGGER_INFO, "duty.left", "fence=%" PRIu64,
		    hs_duty(h->state).fence);
	h->duty_from_us = 0;
}

/// Whether this process may make the calls of the duties now.
bool
hb_duty_holds(const struct hb *h)
{
	return hb_leads(h) && !h->stopping && h->duty_from_us != 0 &&
	    hs_duty(h->state).holder == h->slot &&
	    loop_now_us(h->loop) >= h->duty_from_us;
}

struct taking {
	struct hb *hb;
	uint32_t last;
};

static void
on_taken(void *arg, enum status status, const uint8_t *result, size_t len)
{
	struct taking *t = arg;
	struct hb *h = t->hb;
	const uint64_t lease =
	    (uint64_t)(h->settings.bounds.duty_lease_ms * USEC_PER_MSEC);
	const bool new_holder = t->last != 0 && t->last != h->slot;

	(void)result;
	(void)len;
	g_free(t);
	h->taking = false;
	if (status != STATUS_OK || hs_duty(h->state).holder != h->slot)
		return;
	hb_scale_reset(h);
	h->duty_from_us = loop_now_us(h->loop);
	if (new_holder)
		h->duty_from_us += lease + HB_LEASE_MARGIN_US;
	logger_event(LOGGER_INFO, "duty.taken",
	    "fence=%" PRIu64 " waits_ms=%" PRIu64, hs_duty(h->state).fence,
	    (h->duty_from_us - loop_now_us(h->loop)) / USEC_PER_MSEC);
}

static void
take(struct hb *h)
{
	const struct hs_command c = {
		.kind = HS_DUTY,
		.holder = h->slot,
	};
	struct taking *t = g_new0(struct taking, 1);

	t->hb = h;
	t->last = hs_duty(h->state).holder;
	h->taking = true;
	hb_propose(h, &c, on_taken, t);
}

/// The cloud has seen a higher fencing number: takes the duties anew.
void
hb_duty_refused(struct hb *h)
{
	logger_event(LOGGER_WARN, "duty.refused", "fence=%" PRIu64,
	    hs_duty(h->state).fence);
	h->duty_from_us = 0;
}

/// Takes the duties as the leader, and does them.
void
hb_duty_tick(struct hb *h, uint64_t now_us)
{
	if (h->duty_from_us == 0 && !h->taking && !h->stopping)
		take(h);
	if (hb_duty_holds(h) && h->settings.reports_usage)
		hb_usage_tick(h, now_us);
	if (hb_duty_holds(h) && h->settings.scales)
		hb_scale_tick(h);
}
