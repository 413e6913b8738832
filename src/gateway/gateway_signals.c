#include "gateway/gateway_internal.h"

#include <inttypes.h>

/// A pause that a server asks for is prolonged at random by up to one part in
/// this many.
#define GATEWAY_RETURN_JITTER 4

/// Logs a malformed signal, once for each server and signal, and counts it.
static void
note_malformed(
    struct gateway *g, struct gateway_server *s, enum api_signal signal)
{
	g->n_malformed_signals->value++;
	if (s->malformed_logged[signal])
		return;
	s->malformed_logged[signal] = true;
	logger_event(LOGGER_WARN, "signal.malformed", "server=%s header=%s",
	    s->instance.id, api_signal_name(signal));
}

static void
on_leaving(struct gateway *g, struct gateway_server *s)
{
	const uint64_t now = loop_now_us(g->loop);

	if (s->signalled_leaving)
		return;
	s->signalled_leaving = true;
	balancer_set_draining(
	    g->balancer, now, s->balancer_handle, BALANCER_BY_SERVER);
	logger_event(LOGGER_INFO, "server.leaving",
	    "server=%s by=response in_force=%u", s->instance.id,
	    gateway_signals_count(g, API_SIGNAL_LEAVING));
}

/// The server has asked for a pause. Up to a quarter of it is added at
/// random, so that gateways don't return together.
static void
on_retry_after(
    struct gateway *g, struct gateway_server *s, uint64_t retry_after_us)
{
	const uint64_t now = loop_now_us(g->loop);
	const uint64_t wait_us = retry_after_us +
	    rnd_below(loop_random(g->loop),
		retry_after_us / GATEWAY_RETURN_JITTER + 1);

	balancer_pause(g->balancer, now, s->balancer_handle, now + wait_us);
	logger_event(LOGGER_INFO, "server.paused",
	    "server=%s retry_after_ms=%" PRIu64 " for_ms=%" PRIu64
	    " in_force=%u",
	    s->instance.id, retry_after_us / USEC_PER_MSEC,
	    wait_us / USEC_PER_MSEC,
	    gateway_signals_count(g, API_SIGNAL_RETRY_AFTER));
}

/// Whether a response without a signal shows that the signal has ended: the
/// server itself has answered a request that was sent when the signal was known
/// here. The head of an earlier one can be older than the signal.
bool
gateway_signals_end(const struct gateway_server_response *h, uint64_t since_us)
{
	return h->response->stamped && h->status >= 200 && h->status < 300 &&
	    h->sent_us > since_us;
}

/// Acts on the signals of a backend server in the head of a response.
///
/// @param server   its id; one that isn't listed is ignored
/// @param sent_us  when the request was sent
void
gateway_signals_apply(struct gateway *g, const char *server,
    const struct api_response *response, int http_status, uint64_t sent_us)
{
	struct gateway_server *s = g_hash_table_lookup(g->servers, server);
	const struct api_signals *signals = &response->signals;
	const struct gateway_server_response h = {
		.response = response,
		.status = http_status,
		.sent_us = sent_us,
	};

	// Another server has the address.
	if (s == NULL || http_status == GATEWAY_HTTP_MISDIRECTED)
		return;
	for (int i = 0; i < API_N_SIGNALS; i++) {
		if (signals->malformed[i])
			note_malformed(g, s, (enum api_signal)i);
		if (signals->given[i])
			g->n_signals[i]->value++;
	}
	gateway_limits_on_response(g, s, &h);
	gateway_brittle_on_response(g, s, &h);
	if (response->has_cold)
		gateway_cold_on_health(g, s, response->cold_ms);
	else if (response->stamped)
		gateway_cold_on_response(g, s);
	if (signals->leaving)
		on_leaving(g, s);
	if ((http_status == 503 || http_status == 429) &&
	    signals->retry_after_us > 0)
		on_retry_after(g, s, signals->retry_after_us);
}

/// Acts on the signals in the head of an attempt's response.
void
gateway_signals_on_head(const struct gateway_request *q)
{
	gateway_signals_apply(
	    q->gateway, q->server, &q->response, q->status, q->attempt_sent_us);
}

/// Number of servers for which a signal is in force at this gateway.
uint32_t
gateway_signals_count(const struct gateway *g, enum api_signal signal)
{
	const uint64_t now = loop_now_us(g->loop);
	uint32_t n = 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct gateway_server *s = value;
		struct balancer_server_stats stats = { .load = 0 };

		(void)balancer_server_stats(
		    g->balancer, now, s->balancer_handle, &stats);
		n += (signal == API_SIGNAL_LIMIT && s->limit_per_s > 0) ||
		    (signal == API_SIGNAL_BRITTLE && s->is_brittle) ||
		    (signal == API_SIGNAL_LEAVING && s->signalled_leaving) ||
		    (signal == API_SIGNAL_RETRY_AFTER &&
			stats.paused_until_us > now);
	}
	return n;
}
