#include "gateway/gateway_internal.h"

#include <inttypes.h>
#include <stdlib.h>

#include "fleet/quota_queue.h"

/// Without a word of control by then, a request that waits for a grant is
/// decided here.
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

/// How long the request can still wait for a grant.
static struct quota_patience
patience_of(const struct gateway_request *q)
{
	const uint64_t held_us = loop_now_us(q->gateway->loop) - q->arrived_us;

	return quota_patience((uint64_t)q->route->target_ms * USEC_PER_MSEC,
	    (uint64_t)q->route->timeout_ms * USEC_PER_MSEC,
	    (uint64_t)q->call.deadline_ms * USEC_PER_MSEC, held_us);
}

/// Refuses a request over its customer's quota, and releases it.
///
/// @param retry_us  for the Retry-After header
static void
refuse(struct gateway_request *q, const struct quota_view *view,
    uint64_t retry_us, const char *by)
{
	struct gateway *g = q->gateway;
	const struct quota_limit limit = limit_of(q);
	const uint64_t now = loop_now_us(g->loop);
	const struct quota_patience p = patience_of(q);

	logger_event(LOGGER_INFO, "quota.over",
	    "request=%s customer=%s by=%s priority=%u units=%.0f "
	    "held_ms=%" PRIu64 " late=%s left=%.0f spent=%" PRIu64
	    " told_ms=%" PRIu64 " rate=%.0f burst=%.0f",
	    q->call.id, q->customer->name, by, q->route->priority,
	    quota_units(q), (now - q->arrived_us) / USEC_PER_MSEC,
	    p.late ? "yes" : "no",
	    quota_view_level(view, &limit, now, g->n_gateways),
	    view->spent - view->acked_spent,
	    (now - view->level_received_us) / USEC_PER_MSEC, limit.rate_per_s,
	    limit.burst);
	gateway_fail(q, 429, retry_us, "over the customer's quota");
}

static uint64_t
jitter_us(const struct gateway_request *q)
{
	return rnd_below(
	    loop_random(q->gateway->loop), GATEWAY_QUOTA_JITTER_US);
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
	refuse(q, view, result.wait_us + jitter_us(q), "estimate");
	return GATEWAY_QUOTA_REFUSED;
}

/// Sends a control process a message about a request's grant.
///
/// @param slot  of the process
/// @return whether the message is on its way
static bool
send_ask(struct gateway_request *q, uint32_t slot, enum hubmsg_ask_kind kind)
{
	struct gateway *g = q->gateway;
	const struct gateway_hub *hub =
	    g_hash_table_lookup(g->hubs, GUINT_TO_POINTER(slot));
	struct quota_view *view =
	    g_hash_table_lookup(g->quotas, q->customer->name);
	const struct quota_patience p = patience_of(q);
	struct wire_msg msg = { .kind = WIRE_QUOTA_ASK };
	struct hubmsg_ask out = {
		.tag = q->self,
		.units = (uint64_t)quota_units(q),
		.refused = kind == HUBMSG_ASK_GRANT ? view->refused : 0,
		.can_wait = true,
		.priority = q->route->priority,
		.wait_us = p.wait_us,
		.left_us = p.left_us,
		.late = p.late,
		.kind = kind,
	};
	uint8_t *bytes;
	bool sent;

	if (hub == NULL)
		return false;
	(void)g_strlcpy(out.customer, q->customer->name, sizeof(out.customer));
	hubmsg_ask_encode(&out, &bytes, &msg.payload.len);
	msg.payload.data = bytes;
	sent = transport_send(g->links, hub->link, &msg);
	free(bytes);
	if (sent && kind == HUBMSG_ASK_GRANT)
		view->refused = 0;
	return sent;
}

/// Asks the leader for a grant; the request waits for the answer.
///
/// @return whether the message is on its way
static bool
ask(struct gateway_request *q)
{
	const uint32_t leader = q->gateway->leader;

	if (!send_ask(q, leader, HUBMSG_ASK_GRANT))
		return false;
	q->quota_asked = leader;
	timerq_arm_in(q->timer, GATEWAY_ASK_TIMEOUT_US);
	return true;
}

/// Refuses a request that control's last refusal shows to have no chance.
///
/// @return whether it was refused and released
static bool
refuse_foreseen(struct gateway_request *q, struct quota_view *view)
{
	const uint64_t now = loop_now_us(q->gateway->loop);
	const struct quota_patience p = patience_of(q);
	const uint32_t priority = quota_priority(q->route->priority, p.late);
	const double units = quota_units(q);

	if (!quota_view_foresees_refusal(view, now, priority, units, p.wait_us))
		return false;
	quota_view_count_refused(view, units);
	refuse(q, view, view->refusal.room_at_us - now + jitter_us(q),
	    "last_answer");
	return true;
}

/// Takes the request's units from its customer's quota. While a grant is asked
/// for, the request waits; it goes on, or is refused, with the answer or
/// without a word of control for GATEWAY_ASK_TIMEOUT_US.
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
		refuse(q, view, result.wait_us + jitter_us(q), "last_answer");
		return GATEWAY_QUOTA_REFUSED;
	case QUOTA_ASK:
		break;
	}
	if (quota_view_is_offline(view, now))
		return take_offline(q, view);
	if (refuse_foreseen(q, view))
		return GATEWAY_QUOTA_REFUSED;
	return ask(q) ? GATEWAY_QUOTA_WAITS : take_offline(q, view);
}

/// Withdraws the ask of a request that is released or decided otherwise.
void
gateway_quota_forget(struct gateway_request *q)
{
	if (q->quota_asked == 0)
		return;
	(void)send_ask(q, q->quota_asked, HUBMSG_ASK_WITHDRAW);
	q->quota_asked = 0;
}

/// Goes on with a request that the leader hasn't answered.
void
gateway_quota_on_timeout(struct gateway_request *q)
{
	struct quota_view *view =
	    g_hash_table_lookup(q->gateway->quotas, q->customer->name);

	logger_event(LOGGER_INFO, "quota.no_answer",
	    "request=%s customer=%s leader=%u", q->call.id, q->customer->name,
	    q->quota_asked);
	gateway_quota_forget(q);
	if (take_offline(q, view) == GATEWAY_QUOTA_GRANTED)
		gateway_send(q);
}

static void
send_settle(struct gateway *g, const char *customer, uint64_t units,
    uint64_t silence_us)
{
	const struct gateway_hub *hub =
	    g_hash_table_lookup(g->hubs, GUINT_TO_POINTER(g->leader));
	struct wire_msg msg = { .kind = WIRE_QUOTA_ASK };
	struct hubmsg_ask out = {
		.units = units,
		.can_wait = true,
		.kind = HUBMSG_ASK_SETTLE,
		.silence_us = silence_us,
	};
	uint8_t *bytes;

	if (hub == NULL)
		return;
	(void)g_strlcpy(out.customer, customer, sizeof(out.customer));
	hubmsg_ask_encode(&out, &bytes, &msg.payload.len);
	msg.payload.data = bytes;
	(void)transport_send(g->links, hub->link, &msg);
	free(bytes);
}

/// Tells a new leader what passed here since the last one's word.
static void
settle(struct gateway *g)
{
	const uint64_t now = loop_now_us(g->loop);
	uint64_t told_us = 0;
	GHashTableIter it;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&it, g->quotas);
	while (g_hash_table_iter_next(&it, &name, &value)) {
		struct quota_view *v = value;
		const uint64_t units = quota_view_settle(v);

		told_us = MAX(told_us, v->level_received_us);
		if (units > 0)
			send_settle(g, name, units, 0);
	}
	if (told_us != 0)
		send_settle(g, "", 0, now - told_us);
}

/// Another process leads: it is told what passed meanwhile, and requests that
/// wait for an answer of the last leader ask that one.
void
gateway_quota_on_leader(struct gateway *g)
{
	settle(g);
	for (handle_t handle = slotmap_next(g->requests, HANDLE_NONE);
	     handle != HANDLE_NONE;
	     handle = slotmap_next(g->requests, handle)) {
		struct gateway_request *q = slotmap_get(g->requests, handle);

		if (q->quota_asked != 0 && q->quota_asked != g->leader)
			(void)ask(q);
	}
}

/// Applies the leader's answer to the customer's view.
static void
update_view(const struct gateway_request *q, struct quota_view *view,
    const struct hubmsg_answer *a, uint64_t now_us)
{
	const struct quota_result result = {
		.outcome =
		    a->granted || a->has_queue ? QUOTA_GRANTED : QUOTA_EXCEEDED,
		.wait_us = a->wait_us,
	};

	quota_view_on_answer(
	    view, now_us, (double)a->level, (double)a->demand_per_s, &result);
	if (q != NULL && a->has_queue && !a->granted && !a->queued)
		quota_view_on_refusal(view, now_us,
		    quota_priority(q->route->priority, patience_of(q).late),
		    quota_units(q), a->room_us);
}

/// Handles the leader's answer: the request that waits for it goes on, is
/// refused, or waits on.
void
gateway_quota_on_answer(struct gateway *g, const struct wire_bytes *bytes)
{
	struct hubmsg_answer a;
	struct gateway_request *q;
	struct quota_view *view;

	if (hubmsg_answer_decode(bytes->data, bytes->len, &a) != STATUS_OK) {
		logger_event(LOGGER_WARN, "quota.unreadable", "reason=\"%s\"",
		    status_last());
		return;
	}
	view = g_hash_table_lookup(g->quotas, a.customer);
	if (view == NULL)
		return;
	q = slotmap_get(g->requests, (handle_t)a.tag);
	// A grant that comes after the request was decided is lost.
	if (q != NULL && q->quota_asked == 0)
		q = NULL;
	update_view(q, view, &a, loop_now_us(g->loop));
	if (q == NULL)
		return;
	if (a.queued) {
		timerq_arm_in(q->timer,
		    MIN(a.wait_us, patience_of(q).wait_us) +
			GATEWAY_ASK_TIMEOUT_US);
		return;
	}
	q->quota_asked = 0;
	timerq_disarm(q->timer);
	if (a.granted)
		gateway_send(q);
	else
		refuse(q, view,
		    a.has_queue ? a.wait_us : a.wait_us + jitter_us(q),
		    "control");
}
