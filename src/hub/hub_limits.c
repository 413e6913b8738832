#include "hub/hub_internal.h"

#include <stdlib.h>
#include <string.h>

/// A new leader gives out numbers after this time, when all live gateways have
/// reported to it: until then they keep those of the last leader.
#define HUB_LIMITS_SETTLE_US (2 * USEC_PER_SEC)
/// An end of a cold time that is later than known by less isn't passed on.
#define HUB_COLD_NEWS_US (300 * USEC_PER_MSEC)
/// Gateways report this often, and so are known to be live.
#define HUB_LIMITS_NUMBER_US (400 * USEC_PER_MSEC)

static void
send_message(
    struct hub *h, const struct hub_gateway *g, const struct limitmsg *m)
{
	struct wire_msg msg = { .kind = WIRE_LIMITS };
	uint8_t *bytes;

	limitmsg_encode(m, &bytes, &msg.payload.len);
	msg.payload.data = bytes;
	(void)transport_send(h->links, g->link, &msg);
	free(bytes);
}

/// Drops the limits and numbers of an earlier term as the leader. The gateways
/// tell a new leader what they know.
void
hub_limits_reset(struct hub *h)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_remove_all(h->limits);
	g_hash_table_remove_all(h->colds);
	g_hash_table_remove_all(h->brittles);
	h->next_numbers_us = loop_now_us(h->loop) + HUB_LIMITS_SETTLE_US;
	g_hash_table_iter_init(&it, h->gateways);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct hub_gateway *)value)->n_numbered = 0;
}

/// Records a limit, or that a server has none any more.
///
/// @return whether that is new
static bool
record_limit(struct hub *h, const struct limitmsg_limit *limit)
{
	const double per_s = limitmsg_per_s(limit);
	const double *known = g_hash_table_lookup(h->limits, limit->server);

	if (!limit->limited)
		return g_hash_table_remove(h->limits, limit->server);
	if (known != NULL && !(*known < per_s) && !(*known > per_s))
		return false;
	(void)g_hash_table_insert(h->limits, g_strdup(limit->server),
	    g_memdup2(&per_s, sizeof(per_s)));
	return true;
}

/// Records the limits in a message, and drops those that are known already:
/// many gateways learn of a limit at once, and each message is passed on to all
/// of them.
static void
apply(struct hub *h, struct limitmsg *m)
{
	guint n = 0;

	for (guint i = 0; i < m->limits->len; i++) {
		const struct limitmsg_limit limit =
		    g_array_index(m->limits, struct limitmsg_limit, i);

		if (record_limit(h, &limit))
			g_array_index(m->limits, struct limitmsg_limit, n++) =
			    limit;
	}
	g_array_set_size(m->limits, n);
}

/// Records the cold servers in a message, and drops those that are known
/// already.
static void
apply_colds(struct hub *h, struct limitmsg *m)
{
	const uint64_t now = loop_now_us(h->loop);
	guint n = 0;

	for (guint i = 0; i < m->colds->len; i++) {
		const struct limitmsg_cold c =
		    g_array_index(m->colds, struct limitmsg_cold, i);
		const uint64_t until_us = now + c.left_ms * USEC_PER_MSEC;
		const uint64_t *known = g_hash_table_lookup(h->colds, c.server);

		if (known != NULL && until_us < *known + HUB_COLD_NEWS_US)
			continue;
		(void)g_hash_table_insert(h->colds, g_strdup(c.server),
		    g_memdup2(&until_us, sizeof(until_us)));
		g_array_index(m->colds, struct limitmsg_cold, n++) = c;
	}
	g_array_set_size(m->colds, n);
}

/// Records which servers are brittle, and which aren't any more.
static void
apply_brittles(struct hub *h, const struct limitmsg *m)
{
	for (guint i = 0; i < m->brittles->len; i++) {
		const struct limitmsg_brittle *b =
		    &g_array_index(m->brittles, struct limitmsg_brittle, i);

		if (b->is_brittle)
			(void)g_hash_table_insert(h->brittles,
			    g_strdup(b->server),
			    g_memdup2(
				&b->max_refusals, sizeof(b->max_refusals)));
		else
			(void)g_hash_table_remove(h->brittles, b->server);
	}
}

/// Sends which servers are brittle. That is a message of its own, as older
/// gateways can't decode it.
static void
send_brittles(struct hub *h, const struct hub_gateway *g)
{
	GHashTableIter it;
	gpointer server;
	gpointer max_refusals;
	struct limitmsg m;

	limitmsg_init(&m);
	g_hash_table_iter_init(&it, h->brittles);
	while (g_hash_table_iter_next(&it, &server, &max_refusals))
		limitmsg_add_brittle(
		    &m, server, true, *(const uint32_t *)max_refusals);
	if (m.brittles->len > 0)
		send_message(h, g, &m);
	limitmsg_clear(&m);
}

/// Adds the servers that are cold to a message.
static void
fill_colds(const struct hub *h, struct limitmsg *m)
{
	const uint64_t now = loop_now_us(h->loop);
	GHashTableIter it;
	gpointer server;
	gpointer until_us;

	g_hash_table_iter_init(&it, h->colds);
	while (g_hash_table_iter_next(&it, &server, &until_us)) {
		const uint64_t left_ms =
		    timerq_ms_since(*(const uint64_t *)until_us, now);

		if (left_ms > 0)
			limitmsg_add_cold(m, server, (uint32_t)left_ms);
	}
}

/// Sends the changes in a message to all other gateways.
static void
pass_on(struct hub *h, const struct hub_gateway *from, const struct limitmsg *m)
{
	const struct limitmsg changes = {
		.limits = m->limits,
		.colds = m->colds,
		.speeds = m->speeds,
		.brittles = m->brittles,
	};
	const bool any = m->limits->len + m->colds->len + m->brittles->len > 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, h->gateways);
	while (any && g_hash_table_iter_next(&it, NULL, &value)) {
		const struct hub_gateway *g = value;

		if (g != from && g->knows_limits && hub_gateway_is_alive(h, g))
			send_message(h, g, &changes);
	}
}

/// Sends all limits, and the gateway's number if it has one.
static void
send_all(struct hub *h, const struct hub_gateway *g)
{
	GHashTableIter it;
	gpointer server;
	gpointer per_s;
	struct limitmsg m;

	limitmsg_init(&m);
	m.whole = true;
	m.number = g->number;
	m.n = g->n_numbered;
	g_hash_table_iter_init(&it, h->limits);
	while (g_hash_table_iter_next(&it, &server, &per_s))
		limitmsg_add(&m, server, *(const double *)per_s);
	fill_colds(h, &m);
	send_message(h, g, &m);
	limitmsg_clear(&m);
}

/// Handles a gateway's message.
void
hub_limits_on_message(
    struct hub *h, struct hub_gateway *g, const struct wire_bytes *bytes)
{
	struct limitmsg m;

	if (!hub_is_leader(h))
		return;
	limitmsg_init(&m);
	if (limitmsg_decode(bytes->data, bytes->len, &m) != STATUS_OK) {
		logger_event(LOGGER_WARN, "limits.unreadable", "reason=\"%s\"",
		    status_last());
		limitmsg_clear(&m);
		return;
	}
	apply(h, &m);
	apply_colds(h, &m);
	apply_brittles(h, &m);
	hub_speed_on_message(h, &m);
	g_array_set_size(m.speeds, 0);
	pass_on(h, g, &m);
	g->knows_limits = true;
	if (m.whole) {
		send_all(h, g);
		send_brittles(h, g);
	}
	limitmsg_clear(&m);
}

static gboolean
is_over(gpointer server, gpointer until_us, gpointer now)
{
	(void)server;
	return *(const uint64_t *)until_us <= *(const uint64_t *)now;
}

static void
drop_unlisted(GHashTable *of_servers, GHashTable *listed)
{
	GHashTableIter it;
	gpointer server;

	g_hash_table_iter_init(&it, of_servers);
	while (g_hash_table_iter_next(&it, &server, NULL)) {
		if (!g_hash_table_contains(listed, server))
			g_hash_table_iter_remove(&it);
	}
}

/// Drops what servers that the list doesn't show any more have said, and cold
/// times that have passed.
///
/// @param servers  struct instance
void
hub_limits_prune(struct hub *h, const GArray *servers)
{
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	uint64_t now = loop_now_us(h->loop);

	(void)g_hash_table_foreach_remove(h->colds, is_over, &now);
	for (guint i = 0; i < servers->len; i++)
		(void)g_hash_table_add(
		    listed, g_array_index(servers, struct instance, i).id);
	drop_unlisted(h->limits, listed);
	drop_unlisted(h->brittles, listed);
	g_hash_table_destroy(listed);
}

static gint
by_name(gconstpointer a, gconstpointer b)
{
	return strcmp(((const struct hub_gateway *)a)->name,
	    ((const struct hub_gateway *)b)->name);
}

/// Numbers the live gateways by their names, and tells those whose number
/// changed.
static void
number_gateways(struct hub *h)
{
	GList *sorted = NULL;
	GHashTableIter it;
	gpointer value;
	uint32_t n;
	uint32_t number = 0;

	g_hash_table_iter_init(&it, h->gateways);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (hub_gateway_is_alive(h, value))
			sorted = g_list_prepend(sorted, value);
	}
	sorted = g_list_sort(sorted, by_name);
	n = g_list_length(sorted);
	for (const GList *l = sorted; l != NULL; l = l->next, number++) {
		struct hub_gateway *g = l->data;
		struct limitmsg m;

		if (g->number == number && g->n_numbered == n)
			continue;
		g->number = number;
		g->n_numbered = n;
		if (!g->knows_limits)
			continue;
		limitmsg_init(&m);
		m.number = number;
		m.n = n;
		send_message(h, g, &m);
		limitmsg_clear(&m);
	}
	g_list_free(sorted);
}

/// Keeps the numbers of the gateways up to date.
void
hub_limits_tick(struct hub *h, uint64_t now_us)
{
	if (now_us < h->next_numbers_us)
		return;
	h->next_numbers_us = now_us + HUB_LIMITS_NUMBER_US;
	number_gateways(h);
}
