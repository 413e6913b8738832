#include "hub/hb_internal.h"

#include <string.h>

#include "fleet/qt.h"

static const struct lm_quota *
find(const GArray *quotas, const char *customer)
{
	for (guint i = 0; i < quotas->len; i++) {
		const struct lm_quota *q =
		    &g_array_index(quotas, struct lm_quota, i);

		if (strcmp(q->customer, customer) == 0)
			return q;
	}
	return NULL;
}

static struct qt_pool *
pool_of(struct hb *h, const struct fc_customer *c)
{
	struct qt_pool *p = g_hash_table_lookup(h->pools, c->name);
	const struct qt_limit limit = fc_quota(c, &h->settings.bounds);

	if (p != NULL)
		return p;
	p = g_new0(struct qt_pool, 1);
	qt_pool_start(p, &limit, loop_now_us(h->loop));
	(void)g_hash_table_insert(h->pools, g_strdup(c->name), p);
	return p;
}

/// Takes over what a gateway knew of a customer from an earlier leader, and
/// what it spent beyond.
static void
take_over(struct hb *h, const struct fc_customer *c, const struct lm_quota *q)
{
	const struct qt_limit limit = fc_quota(c, &h->settings.bounds);
	struct qt_pool *p = pool_of(h, c);

	qt_pool_known(p, (double)q->level);
	qt_pool_spend(p, &limit, loop_now_us(h->loop),
	    (double)(q->spent - MIN(q->counted, q->spent)));
}

/// Starts the buckets from what gateways reported lately: this process leads
/// from now on.
void
hb_quota_start(struct hb *h)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_remove_all(h->pools);
	g_hash_table_iter_init(&it, h->gateways);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct hb_gateway *g = value;

		g->counted = hb_gateway_lives(h, g);
		for (guint i = 0; g->counted && i < g->quotas->len; i++) {
			const struct lm_quota *q =
			    &g_array_index(g->quotas, struct lm_quota, i);
			const struct fc_customer *c = h->config == NULL
			    ? NULL
			    : fc_find_customer(h->config, q->customer);

			if (c != NULL && c->rate_per_s > 0)
				take_over(h, c, q);
		}
	}
}

/// Takes what a gateway spent since its last report to this leader.
///
/// @param quotas  of the new report; g->quotas are those of the last one
void
hb_quota_take(struct hb *h, struct hb_gateway *g, const GArray *quotas)
{
	const uint64_t now = loop_now_us(h->loop);

	if (!hb_leads(h) || h->config == NULL)
		return;
	for (guint i = 0; i < quotas->len; i++) {
		const struct lm_quota *q =
		    &g_array_index(quotas, struct lm_quota, i);
		const struct fc_customer *c =
		    fc_find_customer(h->config, q->customer);
		const struct lm_quota *last = find(g->quotas, q->customer);
		const uint64_t before = last != NULL ? last->spent : 0;
		struct qt_limit limit;

		if (c == NULL || c->rate_per_s <= 0)
			continue;
		if (!g->counted) {
			take_over(h, c, q);
			continue;
		}
		limit = fc_quota(c, &h->settings.bounds);
		qt_pool_spend(pool_of(h, c), &limit, now,
		    (double)(q->spent - MIN(before, q->spent)));
	}
	g->counted = true;
}

/// What a gateway is told of the quotas.
void
hb_quota_fill(struct hb *h, const struct hb_gateway *g, GArray *quotas)
{
	const uint64_t now = loop_now_us(h->loop);

	for (size_t i = 0; h->config != NULL && i < fc_n_customers(h->config);
	     i++) {
		const struct fc_customer *c = fc_customer(h->config, i);
		const struct lm_quota *last = find(g->quotas, c->name);
		const struct qt_limit limit = fc_quota(c, &h->settings.bounds);
		struct lm_quota out = { .spent = 0 };
		struct qt_pool *p;

		if (c->rate_per_s <= 0)
			continue;
		p = pool_of(h, c);
		qt_pool_spend(p, &limit, now, 0);
		(void)g_strlcpy(out.customer, c->name, sizeof(out.customer));
		out.level = (int64_t)p->level;
		out.counted = last != NULL ? last->spent : 0;
		g_array_append_val(quotas, out);
	}
}
