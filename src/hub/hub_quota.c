#include "hub/hub_quota.h"

#include <string.h>

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

/// A customer's quota; the first call adds one with a full bucket.
struct hub_quota *
hub_quota_of(struct hub *h, const struct fleetcfg_customer *c)
{
	GHashTable *all = h->quotas->by_customer;
	struct hub_quota *q = g_hash_table_lookup(all, c->name);
	const struct quota_limit limit =
	    fleetcfg_quota_limit(c, &h->settings.bounds);

	if (q != NULL)
		return q;
	q = g_new0(struct hub_quota, 1);
	q->queue = quota_queue_new();
	quota_bucket_init(&q->bucket, &limit, loop_now_us(h->loop));
	(void)g_hash_table_insert(all, g_strdup(c->name), q);
	return q;
}

/// Sets a bucket to the level that a gateway received from an earlier leader,
/// less what the gateway has spent that this level doesn't include.
static void
restore_bucket(struct hub *h, const struct fleetcfg_customer *c,
    const struct hubmsg_quota *q)
{
	const struct quota_limit limit =
	    fleetcfg_quota_limit(c, &h->settings.bounds);
	struct quota_bucket *p = &hub_quota_of(h, c)->bucket;

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

	g_hash_table_remove_all(h->quotas->by_customer);
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

	// Reports also count while the lease has lapsed and nobody else leads.
	if (!h->was_leader || h->config == NULL)
		return;
	for (guint i = 0; i < quotas->len; i++) {
		const struct hubmsg_quota *q =
		    &g_array_index(quotas, struct hubmsg_quota, i);
		const struct fleetcfg_customer *c =
		    fleetcfg_find_customer(h->config, q->customer);
		const struct hubmsg_quota *last =
		    find_quota(g->quotas, q->customer, i);
		const uint64_t before = last != NULL ? last->spent : 0;
		struct quota_bucket *bucket;
		struct quota_limit limit;
		bool was_pressed;
		double spent;

		if (c == NULL || c->rate_per_s <= 0)
			continue;
		if (!g->quotas_counted) {
			restore_bucket(h, c, q);
			continue;
		}
		limit = fleetcfg_quota_limit(c, &h->settings.bounds);
		spent = (double)(q->spent - MIN(before, q->spent));
		bucket = &hub_quota_of(h, c)->bucket;
		was_pressed = quota_bucket_is_pressed(bucket, &limit);
		quota_bucket_want(bucket, now, spent);
		quota_bucket_spend(bucket, &limit, now, spent);
		if (!was_pressed && quota_bucket_is_pressed(bucket, &limit))
			timerq_arm_in(h->push, 0);
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
		p = &hub_quota_of(h, c)->bucket;
		quota_bucket_set_share(p, &limit, now, share);
		out.spent = (uint64_t)p->demand_per_s;
		(void)g_strlcpy(out.customer, c->name, sizeof(out.customer));
		out.level = (int64_t)p->level;
		out.acked_spent = last != NULL ? last->spent : 0;
		g_array_append_val(quotas, out);
	}
}
