#include "gateway/gateway_internal.h"

#include <inttypes.h>
#include <stdlib.h>

/// A grant that control hasn't answered by then is decided here.
#define GATEWAY_ASK_TIMEOUT_US (250 * USEC_PER_MSEC)
/// Retry-After while control has said nothing of a customer's quota yet, and
/// the random time that is added for each caller.
#define GATEWAY_NO_QUOTA_RETRY_US (600 * USEC_PER_MSEC)
#define GATEWAY_NO_QUOTA_JITTER_US (600 * USEC_PER_MSEC)
/// Largest random time that is added to the Retry-After of a customer over its
/// quota, so that callers refused together don't retry together.
#define GATEWAY_QUOTA_JITTER_US (200 * USEC_PER_MSEC)

/// Units of its customer's quota that a request takes: 1, or its tokens.
static double
quota_units(const struct gateway_request *q)
{
	if (!q->customer->quota_in_tokens)
		return 1;
	if (!q->call.has_tokens)
		return q->customer->default_tokens;
	return (double)q->call.quota_tokens;
}

static struct quota_limit
limit_of(const struct gateway_request *q)
{
	return fleetcfg_quota_limit(q->customer, &q->gateway->settings.bounds);
}

/// Refuses a request over its customer's quota, and releases it.
static void
refuse(struct gateway_request *q, const struct quota_view *view,
    uint64_t wait_us, const char *by)
{
	struct gateway *g = q->gateway;
	const struct quota_limit limit = limit_of(q);
	const uint64_t now = loop_now_us(g->loop);

	logger_event(LOGGER_INFO, "quota.over",
	    "request=%s customer=%s by=%s units=%.0f left=%.0f spent=%" PRIu64
	    " told_ms=%" PRIu64 " rate=%.0f burst=%.0f",
	    q->call.id, q->customer->name, by, quota_units(q),
	    quota_view_level(view, &limit, now, g->n_gateways),
	    view->spent - view->acked_spent,
	    (now - view->level_received_us) / USEC_PER_MSEC, limit.rate_per_s,
	    limit.burst);
	wait_us += rnd_below(loop_random(g->loop), GATEWAY_QUOTA_JITTER_US);
	gateway_fail(q, 429, wait_us, "over the customer's quota");
}

/// Decides on a request while control can't be asked.
static enum gateway_quota
take_offline(struct gateway_request *q, struct quota_view *view)
{
	const struct quota_limit limit = limit_of(q);
	const struct quota_result result = quota_take_offline(view, &limit,
	    loop_now_us(q->gateway->loop), q->gateway->n_gateways,
	    quota_units(q), rnd_unit(loop_random(q->gateway->loop)));

	if (result.outcome == QUOTA_GRANTED)
		return GATEWAY_QUOTA_GRANTED;
	refuse(q, view, result.wait_us, "estimate");
	return GATEWAY_QUOTA_REFUSED;
}

/// Asks the leader for a grant.
///
/// @return whether the message is on its way
static bool
ask(struct gateway_request *q, struct quota_view *view)
{
	struct gateway *g = q->gateway;
	const struct gateway_hub *leader =
	    g_hash_table_lookup(g->hubs, GUINT_TO_POINTER(g->leader));
	struct wire_msg msg = { .kind = WIRE_QUOTA_ASK };
	struct hubmsg_ask out = {
		.tag = q->self,
		.units = (uint64_t)quota_units(q),
		.refused = view->refused,
	};
	uint8_t *bytes;
	bool sent;

	if (leader == NULL)
		return false;
	(void)g_strlcpy(out.customer, q->customer->name, sizeof(out.customer));
	hubmsg_ask_encode(&out, &bytes, &msg.payload.len);
	msg.payload.data = bytes;
	sent = transport_send(g->links, leader->link, &msg);
	free(bytes);
	if (sent)
		view->refused = 0;
	return sent;
}

/// Takes the request's units from its customer's quota. While a grant is asked
/// for, the request waits; it goes on, or is refused, with the answer or after
/// GATEWAY_ASK_TIMEOUT_US.
enum gateway_quota
gateway_quota_take(struct gateway_request *q)
{
	struct gateway *g = q->gateway;
	const struct quota_limit limit = limit_of(q);
	const uint64_t now = loop_now_us(g->loop);
	struct quota_view *view;
	struct quota_result result;

	if (limit.rate_per_s <= 0)
		return GATEWAY_QUOTA_GRANTED;
	view = g_hash_table_lookup(g->quotas, q->customer->name);
	if (view == NULL) {
		gateway_fail(q, 503,
		    GATEWAY_NO_QUOTA_RETRY_US +
			rnd_below(
			    loop_random(g->loop), GATEWAY_NO_QUOTA_JITTER_US),
		    "no word on the quota yet");
		return GATEWAY_QUOTA_REFUSED;
	}
	result = quota_take(view, &limit, now, g->n_gateways, quota_units(q));
	switch (result.outcome) {
	case QUOTA_GRANTED:
		if (quota_should_report(view, &limit))
			gateway_schedule_report(g);
		return GATEWAY_QUOTA_GRANTED;
	case QUOTA_EXCEEDED:
		refuse(q, view, result.wait_us, "last_answer");
		return GATEWAY_QUOTA_REFUSED;
	case QUOTA_ASK:
		break;
	}
	if (quota_view_is_offline(view, now) || !ask(q, view))
		return take_offline(q, view);
	q->waits_for_quota = true;
	timerq_arm_in(q->timer, GATEWAY_ASK_TIMEOUT_US);
	return GATEWAY_QUOTA_WAITS;
}

/// Goes on with a request that the leader hasn't answered.
void
gateway_quota_on_timeout(struct gateway_request *q)
{
	struct quota_view *view =
	    g_hash_table_lookup(q->gateway->quotas, q->customer->name);

	q->waits_for_quota = false;
	logger_event(LOGGER_INFO, "quota.no_answer",
	    "request=%s customer=%s leader=%u", q->call.id, q->customer->name,
	    q->gateway->leader);
	if (take_offline(q, view) == GATEWAY_QUOTA_GRANTED)
		gateway_send(q);
}

/// Handles the leader's answer: the request that waits for it goes on or is
/// refused.
void
gateway_quota_on_answer(struct gateway *g, const struct wire_bytes *bytes)
{
	struct hubmsg_answer a;
	struct gateway_request *q;
	struct quota_view *view;
	struct quota_result result;

	if (hubmsg_answer_decode(bytes->data, bytes->len, &a) != STATUS_OK) {
		logger_event(LOGGER_WARN, "quota.unreadable", "reason=\"%s\"",
		    status_last());
		return;
	}
	result = (struct quota_result){
		.outcome = a.granted ? QUOTA_GRANTED : QUOTA_EXCEEDED,
		.wait_us = a.wait_us,
	};
	view = g_hash_table_lookup(g->quotas, a.customer);
	if (view == NULL)
		return;
	quota_view_on_answer(view, loop_now_us(g->loop), (double)a.level,
	    (double)a.demand_per_s, &result);
	q = slotmap_get(g->requests, (handle_t)a.tag);
	// A grant that comes after the request was decided is lost.
	if (q == NULL || !q->waits_for_quota)
		return;
	q->waits_for_quota = false;
	timerq_disarm(q->timer);
	if (a.granted)
		gateway_send(q);
	else
		refuse(q, view, a.wait_us, "control");
}
