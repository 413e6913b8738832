#include "hub/hub_internal.h"

#include <inttypes.h>

/// A new holder waits for the lease and this margin before its first call, so
/// that a call that the previous holder sent at the end of its lease can't
/// arrive after it.
#define HUB_LEASE_MARGIN_US (300 * USEC_PER_MSEC)

/// Prepares the duties of a process that starts.
void
hub_duty_start(struct hub *h)
{
	const struct duty_config config = {
		.self = h->slot,
		.lease_us = (uint64_t)(h->settings.bounds.duty_lease_ms *
		    USEC_PER_MSEC),
		.margin_us = HUB_LEASE_MARGIN_US,
	};

	duty_init(&h->duty, &config);
}

static struct duty_claim
last_claim(const struct hub *h)
{
	const struct hubstate_duty d = hubstate_duty(h->state);

	return (struct duty_claim){ .holder = d.holder, .fence = d.fence };
}

/// Stops acting on the duties: this process is no longer the leader.
void
hub_duty_reset(struct hub *h)
{
	if (duty_reset(&h->duty))
		logger_event(LOGGER_INFO, "duty.left", "fence=%" PRIu64,
		    hubstate_duty(h->state).fence);
}

/// Whether this process may make the calls of the duties now: it is the leader
/// and the holder, and the previous holder's lease is over. Calls that follow
/// expire by the time of this check, also if the process is suspended in
/// between.
bool
hub_duty_is_held(struct hub *h)
{
	// Taken first, so that no part of the check is older.
	const uint64_t now = loop_now_us(h->loop);
	const struct duty_claim last = last_claim(h);

	return hub_is_leader(h) && !h->stopping &&
	    duty_may_call(&h->duty, now, &last);
}

/// Longest time that a call of the duties may take, from the last check.
uint64_t
hub_duty_call_timeout_us(const struct hub *h, uint64_t wanted_us)
{
	return duty_call_timeout_us(&h->duty, wanted_us);
}

/// A command that makes this process the holder, until it is committed.
struct pending_claim {
	struct hub *hub;
	uint32_t last_holder; ///< slot; 0: none
};

static void
begin_duty(struct hub *h)
{
	const uint64_t now = loop_now_us(h->loop);
	const uint64_t from_us = MAX(h->duty.valid_from_us, now);

	hub_scale_reset(h);
	logger_event(LOGGER_INFO, "duty.taken",
	    "fence=%" PRIu64 " waits_ms=%" PRIu64,
	    hubstate_duty(h->state).fence, (from_us - now) / USEC_PER_MSEC);
}

static void
on_duty_committed(
    void *arg, enum status status, const uint8_t *result, size_t len)
{
	struct pending_claim *claim = arg;
	struct hub *h = claim->hub;
	const struct duty_claim committed = last_claim(h);
	const bool held = duty_on_claimed(&h->duty, loop_now_us(h->loop),
	    claim->last_holder, status == STATUS_OK ? &committed : NULL);

	(void)result;
	(void)len;
	g_free(claim);
	if (held)
		begin_duty(h);
}

static void
claim_duty(struct hub *h)
{
	const struct hubstate_command c = {
		.kind = HUBSTATE_DUTY,
		.holder = h->slot,
	};
	struct pending_claim *claim = g_new0(struct pending_claim, 1);

	claim->hub = h;
	claim->last_holder = hubstate_duty(h->state).holder;
	hub_propose(h, &c, on_duty_committed, claim);
}

/// The cloud has refused a call because it has seen a higher fencing number.
/// The next tick claims the duties again, which gives a higher one.
void
hub_duty_on_fenced(struct hub *h)
{
	logger_event(LOGGER_WARN, "duty.refused", "fence=%" PRIu64,
	    hubstate_duty(h->state).fence);
	duty_on_fenced(&h->duty);
}

/// Claims the duties as the leader, and carries out those that are enabled.
void
hub_duty_tick(struct hub *h, uint64_t now_us)
{
	const struct duty_claim last = last_claim(h);

	switch (h->stopping ? DUTY_NONE : duty_tick(&h->duty, now_us, &last)) {
	case DUTY_NONE:
		break;
	case DUTY_COMMIT_CLAIM:
		claim_duty(h);
		break;
	case DUTY_BEGIN:
		begin_duty(h);
		break;
	}
	if (hub_duty_is_held(h) && h->settings.reports_usage)
		hub_usage_tick(h, now_us);
	if (hub_is_leader(h) && h->settings.scales)
		hub_scale_tick(h, hub_duty_is_held(h));
}
