#include "hub/hub_internal.h"

#include <stdlib.h>
#include <string.h>

#include "fleet/quota.h"

/// A customer's entry in a report.
///
/// @param likely  where it is in most cases: reports have the order of the
///                configuration's customers
static const struct hubmsg_quota *
find_quota(const GArray *quotas, const char *customer, size_t likely)
{
	for (guint n = 0; n < quotas->len; n++) {
		const struct hubmsg_quota *q = &g_array_index(
		    quotas, struct hubmsg_quota, (likely + n) % quotas->len);

		if (strcmp(q->customer, customer) == 0)
			return q;
	}
	return NULL;
}

/// A customer's bucket; the first call adds a full one.
static struct quota_bucket *
bucket_of(struct hub *h, const struct fleetcfg_customer *c)
{
	struct quota_bucket *p = g_hash_table_lookup(h->quota_buckets, c->name);
	const struct quota_limit limit =
	    fleetcfg_quota_limit(c, &h->settings.bounds);

	if (p != NULL)
		return p;
	p = g_new0(struct quota_bucket, 1);
	quota_bucket_init(p, &limit, loop_now_us(h->loop));
	(void)g_hash_table_insert(h->quota_buckets, g_strdup(c->name), p);
	return p;
}

/// Sets a bucket to the level that a gateway received from an earlier leader,
/// less what the gateway has spent that this level doesn't include.
static void
restore_bucket(struct hub *h, const struct fleetcfg_customer *c,
    const struct hubmsg_quota *q)
{
	const struct quota_limit limit =
	    fleetcfg_quota_limit(c, &h->settings.bounds);
	struct quota_bucket *p = bucket_of(h, c);

	quota_bucket_set_level(p, (double)q->level);
	quota_bucket_spend(p, &limit, loop_now_us(h->loop),
	    (double)(q->spent - MIN(q->acked_spent, q->spent)));
}

/// Rebuilds the buckets from the newest reports of the live gateways, as the
/// new leader.
void
hub_quota_start(struct hub *h)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_remove_all(h->quota_buckets);
	g_hash_table_iter_init(&it, h->gateways);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct hub_gateway *g = value;

		g->quotas_counted = hub_gateway_is_alive(h, g);
		for (guint i = 0; g->quotas_counted && i < g->quotas->len;
		     i++) {
			const struct hubmsg_quota *q =
			    &g_array_index(g->quotas, struct hubmsg_quota, i);
			const struct fleetcfg_customer *c = h->config == NULL
			    ? NULL
			    : fleetcfg_find_customer(h->config, q->customer);

			if (c != NULL && c->rate_per_s > 0)
				restore_bucket(h, c, q);
		}
	}
}

/// Takes what a gateway has spent since its previous report to this leader out
/// of the buckets.
///
/// @param quotas  struct hubmsg_quota of the new report; `g->quotas` are still
///                those of the previous one
void
hub_quota_on_report(struct hub *h, struct hub_gateway *g, const GArray *quotas)
{
	const uint64_t now = loop_now_us(h->loop);

	if (!hub_is_leader(h) || h->config == NULL)
		return;
	for (guint i = 0; i < quotas->len; i++) {
		const struct hubmsg_quota *q =
		    &g_array_index(quotas, struct hubmsg_quota, i);
		const struct fleetcfg_customer *c =
		    fleetcfg_find_customer(h->config, q->customer);
		const struct hubmsg_quota *last =
		    find_quota(g->quotas, q->customer, i);
		const uint64_t before = last != NULL ? last->spent : 0;
		struct quota_limit limit;
		double spent;

		if (c == NULL || c->rate_per_s <= 0)
			continue;
		if (!g->quotas_counted) {
			restore_bucket(h, c, q);
			continue;
		}
		limit = fleetcfg_quota_limit(c, &h->settings.bounds);
		spent = (double)(q->spent - MIN(before, q->spent));
		quota_bucket_want(bucket_of(h, c), now, spent);
		quota_bucket_spend(bucket_of(h, c), &limit, now, spent);
	}
	g->quotas_counted = true;
}

/// Appends the levels of all limited customers for a gateway.
///
/// @param quotas  struct hubmsg_quota are appended
void
hub_quota_fill(struct hub *h, const struct hub_gateway *g, GArray *quotas)
{
	const uint64_t now = loop_now_us(h->loop);
	const double share = hub_fleet_contact_share(h);

	for (size_t i = 0;
	     h->config != NULL && i < fleetcfg_n_customers(h->config); i++) {
		const struct fleetcfg_customer *c =
		    fleetcfg_customer(h->config, i);
		const struct hubmsg_quota *last =
		    find_quota(g->quotas, c->name, i);
		const struct quota_limit limit =
		    fleetcfg_quota_limit(c, &h->settings.bounds);
		struct hubmsg_quota out = { .spent = 0 };
		struct quota_bucket *p;

		if (c->rate_per_s <= 0)
			continue;
		p = bucket_of(h, c);
		quota_bucket_set_share(p, &limit, now, share);
		out.spent = (uint64_t)p->demand_per_s;
		(void)g_strlcpy(out.customer, c->name, sizeof(out.customer));
		out.level = (int64_t)p->level;
		out.acked_spent = last != NULL ? last->spent : 0;
		g_array_append_val(quotas, out);
	}
}

/// Answers a gateway's ask for a grant. A process that isn't the leader doesn't
/// answer; the gateway then decides by itself.
void
hub_quota_on_ask(struct hub *h, handle_t link, const struct wire_bytes *bytes)
{
	struct wire_msg msg = { .kind = WIRE_QUOTA_ANSWER };
	const uint64_t now = loop_now_us(h->loop);
	const struct fleetcfg_customer *c = NULL;
	struct hubmsg_answer answer = { .granted = true };
	struct hubmsg_ask ask;
	uint8_t *encoded;

	if (hubmsg_ask_decode(bytes->data, bytes->len, &ask) != STATUS_OK) {
		logger_event(LOGGER_WARN, "quota.unreadable", "reason=\"%s\"",
		    status_last());
		return;
	}
	if (!hub_is_leader(h) || h->config == NULL)
		return;
	c = fleetcfg_find_customer(h->config, ask.customer);
	if (c != NULL && c->rate_per_s > 0) {
		const struct quota_limit limit =
		    fleetcfg_quota_limit(c, &h->settings.bounds);
		struct quota_bucket *p = bucket_of(h, c);
		const bool was_pressed = quota_bucket_is_pressed(p, &limit);
		struct quota_result result;

		quota_bucket_want(p, now, (double)ask.refused);
		result = quota_bucket_ask(p, &limit, now, (double)ask.units);
		if (!was_pressed && quota_bucket_is_pressed(p, &limit))
			timerq_arm_in(h->push, 0);
		answer.granted = result.outcome == QUOTA_GRANTED;
		answer.wait_us = result.wait_us;
		answer.level = (int64_t)p->level;
		answer.demand_per_s = (uint64_t)p->demand_per_s;
	}
	answer.tag = ask.tag;
	(void)g_strlcpy(answer.customer, ask.customer, sizeof(answer.customer));
	hubmsg_answer_encode(&answer, &encoded, &msg.payload.len);
	msg.payload.data = encoded;
	(void)transport_send(h->links, link, &msg);
	free(encoded);
}
