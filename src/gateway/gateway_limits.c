#include "gateway/gateway_internal.h"

#include <stdlib.h>

/// Limits of requests per second that servers advertise, and this gateway's
/// part of them.

/// A server that advertises a limit of zero gets this many requests per second:
/// only a response can show that the limit has ended.
#define GATEWAY_MIN_LIMIT_PER_S 0.05

static void
set_limit(struct gateway *g, struct gateway_server *s, double per_s,
    const char *source)
{
	const uint64_t now = loop_now_us(g->loop);
	const double was = s->limit_per_s;

	if (per_s == was)
		return;
	s->limit_per_s = per_s;
	s->limit_since_us = now;
	logger_event(LOGGER_INFO, "server.limit",
	    "server=%s per_s=%g was_per_s=%g by=%s in_force=%u", s->instance.id,
	    per_s, was, source, gateway_signals_count(g, API_SIGNAL_LIMIT));
	balancer_set_limit(g->balancer, now, s->balancer_handle, per_s);
}

/// Sends a control process a message.
void
gateway_limits_send(struct gateway *g, handle_t link, const struct limitmsg *m)
{
	struct wire_msg msg = { .kind = WIRE_LIMITS };
	uint8_t *bytes;

	limitmsg_encode(m, &bytes, &msg.payload.len);
	msg.payload.data = bytes;
	(void)transport_send(g->links, link, &msg);
	free(bytes);
}

/// Sends the leader a message, if it takes such messages.
void
gateway_limits_send_to_leader(struct gateway *g, const struct limitmsg *m)
{
	const struct gateway_hub *leader =
	    g_hash_table_lookup(g->hubs, GUINT_TO_POINTER(g->leader));

	if (leader != NULL && leader->acks_limits)
		gateway_limits_send(g, leader->link, m);
}

/// Sends the leader a limit that a server has just advertised or lifted.
static void
send_limit(struct gateway *g, const struct gateway_server *s)
{
	struct limitmsg m;

	limitmsg_init(&m);
	limitmsg_add(&m, s->instance.id, s->limit_per_s);
	gateway_limits_send_to_leader(g, &m);
	limitmsg_clear(&m);
}

/// Tells a new leader of all limits that this gateway knows, and so that it
/// takes part in the turns.
void
gateway_limits_on_leader(struct gateway *g, handle_t link)
{
	GHashTableIter it;
	gpointer value;
	struct limitmsg m;

	limitmsg_init(&m);
	m.whole = true;
	g_hash_table_iter_init(&it, g->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct gateway_server *s = value;

		if (s->limit_per_s > 0)
			limitmsg_add(&m, s->instance.id, s->limit_per_s);
	}
	gateway_cold_fill(g, &m);
	gateway_limits_send(g, link, &m);
	limitmsg_clear(&m);
	gateway_brittle_on_leader(g, link);
}

/// Handles the leader's message: limits that other gateways reported, and this
/// gateway's number.
///
/// @param slot  of the sender
void
gateway_limits_on_message(
    struct gateway *g, uint32_t slot, const struct wire_bytes *bytes)
{
	struct gateway_hub *h =
	    g_hash_table_lookup(g->hubs, GUINT_TO_POINTER(slot));
	struct limitmsg m;

	if (h != NULL)
		h->acks_limits = true;
	limitmsg_init(&m);
	if (limitmsg_decode(bytes->data, bytes->len, &m) != STATUS_OK) {
		logger_event(LOGGER_WARN, "limits.unreadable", "reason=\"%s\"",
		    status_last());
		limitmsg_clear(&m);
		return;
	}
	if (m.n > 0 &&
	    (m.number != g->position.number || m.n != g->position.n)) {
		g->position =
		    (struct turns_position){ .number = m.number, .n = m.n };
		logger_event(LOGGER_INFO, "limits.numbered", "number=%u of=%u",
		    m.number, m.n);
		gateway_limits_apply_position(g);
	}
	for (guint i = 0; i < m.limits->len; i++) {
		const struct limitmsg_limit *limit =
		    &g_array_index(m.limits, struct limitmsg_limit, i);
		struct gateway_server *s =
		    g_hash_table_lookup(g->servers, limit->server);

		if (s != NULL)
			set_limit(g, s, limitmsg_per_s(limit), "control");
	}
	gateway_cold_on_message(g, &m);
	gateway_brittle_on_message(g, &m);
	limitmsg_clear(&m);
}

/// Passes this gateway's number and its clock to the balancer, after a change
/// of one of them.
void
gateway_limits_apply_position(struct gateway *g)
{
	balancer_set_position(
	    g->balancer, loop_now_us(g->loop), g->position, g->clock_offset_us);
}

/// Acts on the limit in a response's head, or on its absence.
void
gateway_limits_on_response(struct gateway *g, struct gateway_server *s,
    const struct gateway_server_response *h)
{
	const struct api_signals *signals = &h->response->signals;
	const double was = s->limit_per_s;

	if (signals->malformed[API_SIGNAL_LIMIT])
		return;
	if (signals->given[API_SIGNAL_LIMIT])
		set_limit(g, s,
		    MAX(signals->limit_per_s, GATEWAY_MIN_LIMIT_PER_S),
		    "server");
	else if (was > 0 && gateway_signals_end(h, s->limit_since_us))
		set_limit(g, s, 0, "server");
	if (s->limit_per_s != was)
		send_limit(g, s);
}
