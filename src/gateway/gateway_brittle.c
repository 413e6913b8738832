#include "gateway/gateway_internal.h"

/// Servers that say that they are brittle. The balancer keeps this gateway's
/// part of what they get at once; control tells the other gateways.

static void
set_brittle(struct gateway *g, struct gateway_server *s, bool is_brittle,
    uint32_t max_refusals, const char *source)
{
	const bool changes = is_brittle != s->is_brittle;
	struct balancer_server_stats stats = { .places = 0 };

	if (!changes && max_refusals == s->max_refusals)
		return;
	s->is_brittle = is_brittle;
	s->max_refusals = max_refusals;
	if (changes)
		s->brittle_since_us = loop_now_us(g->loop);
	balancer_set_brittle(
	    g->balancer, s->balancer_handle, is_brittle, max_refusals);
	(void)balancer_server_stats(
	    g->balancer, loop_now_us(g->loop), s->balancer_handle, &stats);
	logger_event(LOGGER_INFO, "server.brittle",
	    "server=%s brittle=%d max_refusals=%u places=%u by=%s in_force=%u",
	    s->instance.id, is_brittle, max_refusals, stats.places, source,
	    gateway_signals_count(g, API_SIGNAL_BRITTLE));
}

/// Tells a new leader which servers are brittle. That is a message of its own,
/// as older control processes can't decode it.
void
gateway_brittle_on_leader(struct gateway *g, handle_t link)
{
	GHashTableIter it;
	gpointer value;
	struct limitmsg m;

	limitmsg_init(&m);
	g_hash_table_iter_init(&it, g->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct gateway_server *s = value;

		if (s->is_brittle)
			limitmsg_add_brittle(
			    &m, s->instance.id, true, s->max_refusals);
	}
	if (m.brittles->len > 0)
		gateway_limits_send(g, link, &m);
	limitmsg_clear(&m);
}

/// Applies what other gateways have learned.
void
gateway_brittle_on_message(struct gateway *g, const struct limitmsg *m)
{
	for (guint i = 0; i < m->brittles->len; i++) {
		const struct limitmsg_brittle *b =
		    &g_array_index(m->brittles, struct limitmsg_brittle, i);
		struct gateway_server *s =
		    g_hash_table_lookup(g->servers, b->server);

		if (s != NULL)
			set_brittle(g, s, b->is_brittle,
			    b->is_brittle ? b->max_refusals : 0, "control");
	}
}

/// Acts on the signal in a response's head, or on its absence.
void
gateway_brittle_on_response(struct gateway *g, struct gateway_server *s,
    const struct gateway_server_response *h)
{
	const struct api_signals *signals = &h->response->signals;
	const bool was_brittle = s->is_brittle;
	const uint32_t was = s->max_refusals;
	struct limitmsg m;

	if (signals->malformed[API_SIGNAL_BRITTLE])
		return;
	if (signals->given[API_SIGNAL_BRITTLE])
		set_brittle(g, s, true, signals->max_refusals, "server");
	else if (was_brittle && gateway_signals_end(h, s->brittle_since_us))
		set_brittle(g, s, false, 0, "server");
	if (s->is_brittle == was_brittle && s->max_refusals == was)
		return;
	limitmsg_init(&m);
	limitmsg_add_brittle(
	    &m, s->instance.id, s->is_brittle, s->max_refusals);
	gateway_limits_send_to_leader(g, &m);
	limitmsg_clear(&m);
}

/// Passes what is known of a server to the balancer, which has a new entry for
/// it.
void
gateway_brittle_restore(struct gateway *g, const struct gateway_server *s)
{
	if (s->is_brittle)
		balancer_set_brittle(
		    g->balancer, s->balancer_handle, true, s->max_refusals);
}
