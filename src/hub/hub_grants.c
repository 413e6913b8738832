#include "hub/hub_quota.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/// Gateways' asks for grants: the queue before each customer's bucket
/// (fleet/quota_queue.h), its timer, and the answers.

static struct quota_limit
limit_of(const struct hub *h, const struct fleetcfg_customer *c)
{
	return fleetcfg_quota_limit(c, &h->settings.bounds);
}

/// @return whether the answer is on its way
static bool
send_answer(struct hub *h, handle_t link, struct hubmsg_answer *answer,
    const char *customer, const struct quota_bucket *bucket)
{
	struct wire_msg msg = { .kind = WIRE_QUOTA_ANSWER };
	uint8_t *encoded;
	bool sent;

	(void)g_strlcpy(answer->customer, customer, sizeof(answer->customer));
	if (bucket != NULL) {
		answer->level = (int64_t)bucket->level;
		answer->demand_per_s = (uint64_t)bucket->demand_per_s;
	}
	hubmsg_answer_encode(answer, &encoded, &msg.payload.len);
	msg.payload.data = encoded;
	sent = transport_send(h->links, link, &msg);
	free(encoded);
	return sent;
}

/// Answers an ask that the queue has decided. A grant whose answer can't be
/// sent returns its units.
static void
answer_decided(struct hub *h, const struct fleetcfg_customer *c,
    struct hub_quota *q, const struct quota_decision *d)
{
	const struct quota_limit limit = limit_of(h, c);
	const bool granted = d->kind == QUOTA_GRANT;
	struct hubmsg_answer answer = {
		.tag = d->ask.tag,
		.granted = granted,
		.wait_us = granted ? 0 : d->retry_us,
		.has_queue = true,
		.room_us = d->room_us,
	};
	struct hub_quotas *all = h->quotas;

	if (granted)
		(d->waited_us > 0 ? all->n_waited : all->n_granted)->value++;
	else
		(d->waited_us > 0 ? all->n_late : all->n_refused)->value++;
	if (d->waited_us > 0)
		logger_event(LOGGER_DEBUG, "quota.waited",
		    "customer=%s granted=%s units=%.0f priority=%u "
		    "waited_ms=%" PRIu64,
		    c->name, granted ? "yes" : "no", d->ask.units,
		    d->ask.priority, d->waited_us / USEC_PER_MSEC);
	if (!send_answer(
		h, (handle_t)d->ask.link, &answer, c->name, &q->bucket) &&
	    granted)
		quota_bucket_spend(
		    &q->bucket, &limit, loop_now_us(h->loop), -d->ask.units);
}

/// Decides on the asks of a customer that can be decided now.
///
/// @return when the next one may be; 0: none waits
static uint64_t
decide(struct hub *h, const struct fleetcfg_customer *c, struct hub_quota *q)
{
	const uint64_t now = loop_now_us(h->loop);
	const struct quota_limit limit = limit_of(h, c);

	for (;;) {
		const struct quota_decision d =
		    quota_queue_next(q->queue, &q->bucket, &limit, now);

		if (d.kind == QUOTA_NONE)
			break;
		answer_decided(h, c, q, &d);
	}
	return quota_queue_wake_us(q->queue, &q->bucket, &limit, now);
}

/// Decides on what waits, and arms the timer for what can't be decided yet. A
/// process that no longer leads decides on nothing: it may lose its lease at
/// any moment, also while it handles an ask, whose quota must stay valid then.
static void
decide_all(struct hub *h, uint64_t now_us)
{
	uint64_t wake_us = UINT64_MAX;
	uint64_t n_waiting = 0;
	GHashTableIter it;
	gpointer name;
	gpointer value;

	if (!hub_is_leader(h) || h->config == NULL) {
		timerq_arm(h->quotas->timer, now_us);
		return;
	}
	g_hash_table_iter_init(&it, h->quotas->by_customer);
	while (g_hash_table_iter_next(&it, &name, &value)) {
		const struct fleetcfg_customer *c =
		    fleetcfg_find_customer(h->config, name);
		uint64_t at_us;

		if (c == NULL)
			continue;
		at_us = decide(h, c, value);
		n_waiting += quota_queue_length(
		    ((const struct hub_quota *)value)->queue);
		if (at_us != 0)
			wake_us = MIN(wake_us, at_us);
	}
	h->quotas->n_waiting->value = n_waiting;
	if (wake_us != UINT64_MAX)
		timerq_arm(h->quotas->timer, MAX(wake_us, now_us + 1));
}

static void
drop_asks(struct hub *h)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, h->quotas->by_customer);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct hub_quota *q = value;

		quota_queue_free(q->queue);
		q->queue = quota_queue_new();
	}
	h->quotas->n_waiting->value = 0;
}

/// Asks to a process that no longer leads are dropped: their gateways ask the
/// new leader. Its buckets stay: its lease may be renewed before another leads,
/// and what it had granted still counts then.
static void
on_timer(void *arg, uint64_t now_us)
{
	struct hub *h = arg;

	if (hub_is_leader(h) && h->config != NULL) {
		decide_all(h, now_us);
		return;
	}
	drop_asks(h);
}

/// Answers an ask of an older gateway, which can't wait.
static void
answer_at_once(struct hub *h, const struct fleetcfg_customer *c,
    struct hub_quota *q, handle_t link, const struct hubmsg_ask *ask)
{
	const struct quota_limit limit = limit_of(h, c);
	const struct quota_result result = quota_bucket_ask(
	    &q->bucket, &limit, loop_now_us(h->loop), (double)ask->units);
	struct hubmsg_answer answer = {
		.tag = ask->tag,
		.granted = result.outcome == QUOTA_GRANTED,
		.wait_us = result.wait_us,
	};

	(void)send_answer(h, link, &answer, c->name, &q->bucket);
}

/// Puts an ask into the customer's queue, and answers if it isn't decided at
/// once that it waits: the gateway's time for an answer starts over.
static void
enqueue(struct hub *h, const struct fleetcfg_customer *c, struct hub_quota *q,
    handle_t link, const struct hubmsg_ask *ask)
{
	const struct quota_limit limit = limit_of(h, c);
	const struct quota_ask in = {
		.link = link,
		.tag = ask->tag,
		.units = (double)ask->units,
		.priority = ask->priority,
		.patience = {
			.wait_us = ask->wait_us,
			.left_us = ask->left_us,
			.late = ask->late,
		},
	};
	const struct quota_decision d = quota_queue_add(
	    q->queue, &q->bucket, &limit, loop_now_us(h->loop), &in);
	struct hubmsg_answer waits = {
		.tag = ask->tag,
		.wait_us = ask->wait_us,
		.has_queue = true,
		.queued = true,
	};

	if (d.kind != QUOTA_NONE)
		answer_decided(h, c, q, &d);
	decide_all(h, loop_now_us(h->loop));
	if (quota_queue_has(q->queue, link, ask->tag))
		(void)send_answer(h, link, &waits, c->name, &q->bucket);
}

/// Handles what a gateway let pass without a leader. For no customer, it tells
/// only for how long it had none, which concerns all of them.
static void
settle(struct hub *h, const struct hubmsg_ask *ask)
{
	const uint64_t now = loop_now_us(h->loop);
	const uint32_t n = hub_fleet_live(h);

	if (ask->units > 0)
		logger_event(LOGGER_INFO, "quota.settled",
		    "customer=%s units=%" PRIu64, ask->customer, ask->units);
	for (size_t i = 0; i < fleetcfg_n_customers(h->config); i++) {
		const struct fleetcfg_customer *c =
		    fleetcfg_customer(h->config, i);
		const struct quota_limit limit = limit_of(h, c);

		if (c->rate_per_s <= 0 ||
		    (ask->customer[0] != '\0' &&
			strcmp(ask->customer, c->name) != 0))
			continue;
		quota_bucket_settle(&hub_quota_of(h, c)->bucket, &limit, now,
		    (double)ask->units, ask->silence_us, n);
	}
}

/// Withdraws an ask, also that of a customer that is gone.
static void
withdraw(struct hub *h, handle_t link, const struct hubmsg_ask *ask)
{
	const struct hub_quota *q =
	    g_hash_table_lookup(h->quotas->by_customer, ask->customer);

	if (q != NULL && quota_queue_withdraw(q->queue, link, ask->tag))
		h->quotas->n_withdrawn->value++;
}

/// Handles a gateway's ask for a grant. A process that isn't the leader, or
/// whose configuration doesn't have the customer, doesn't answer; the gateway
/// then decides by itself.
void
hub_grants_on_ask(struct hub *h, handle_t link, const struct wire_bytes *bytes)
{
	const struct fleetcfg_customer *c;
	struct quota_limit limit;
	struct hubmsg_ask ask;
	struct hub_quota *q;
	bool was_pressed;

	if (hubmsg_ask_decode(bytes->data, bytes->len, &ask) != STATUS_OK) {
		logger_event(LOGGER_WARN, "quota.unreadable", "reason=\"%s\"",
		    status_last());
		return;
	}
	if (!hub_is_leader(h) || h->config == NULL)
		return;
	if (ask.kind == HUBMSG_ASK_SETTLE) {
		settle(h, &ask);
		return;
	}
	if (ask.kind == HUBMSG_ASK_WITHDRAW) {
		withdraw(h, link, &ask);
		return;
	}
	c = fleetcfg_find_customer(h->config, ask.customer);
	if (c == NULL) {
		h->quotas->n_unknown->value++;
		return;
	}
	if (c->rate_per_s <= 0) {
		struct hubmsg_answer answer = { .tag = ask.tag,
			.granted = true };

		(void)send_answer(h, link, &answer, ask.customer, NULL);
		return;
	}
	limit = limit_of(h, c);
	q = hub_quota_of(h, c);
	was_pressed = quota_bucket_is_pressed(&q->bucket, &limit);
	quota_bucket_want(
	    &q->bucket, loop_now_us(h->loop), (double)ask.refused);
	if (ask.can_wait)
		enqueue(h, c, q, link, &ask);
	else
		answer_at_once(h, c, q, link, &ask);
	if (!was_pressed && quota_bucket_is_pressed(&q->bucket, &limit))
		timerq_arm_in(h->push, 0);
}

/// Drops the asks of a gateway whose link is down.
void
hub_grants_on_link_down(struct hub *h, handle_t link)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, h->quotas->by_customer);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct hub_quota *q = value;

		quota_queue_drop_link(q->queue, link);
	}
}

static void
free_quota(gpointer p)
{
	struct hub_quota *q = p;

	quota_queue_free(q->queue);
	g_free(q);
}

/// Makes the table of quotas, to be released with hub_grants_stop().
void
hub_grants_start(struct hub *h)
{
	struct metrics_registry *registry = loop_counters(h->loop);
	struct hub_quotas *all = g_new0(struct hub_quotas, 1);

	all->by_customer =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_quota);
	all->timer = timerq_timer_new(loop_timers(h->loop), on_timer, h);
	all->n_waiting = metrics_gauge(registry, "ac_quota_waiting", "");
	all->n_granted =
	    metrics_counter(registry, "ac_quota_granted_total", "");
	all->n_waited =
	    metrics_counter(registry, "ac_quota_granted_after_wait_total", "");
	all->n_refused =
	    metrics_counter(registry, "ac_quota_refused_total", "");
	all->n_late =
	    metrics_counter(registry, "ac_quota_refused_after_wait_total", "");
	all->n_unknown =
	    metrics_counter(registry, "ac_quota_unknown_customer_total", "");
	all->n_withdrawn =
	    metrics_counter(registry, "ac_quota_withdrawn_total", "");
	h->quotas = all;
}

/// Releases the table of quotas.
void
hub_grants_stop(struct hub *h)
{
	timerq_timer_free(h->quotas->timer);
	g_hash_table_destroy(h->quotas->by_customer);
	g_free(h->quotas);
}
