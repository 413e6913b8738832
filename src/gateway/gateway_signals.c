#include "gateway/gateway_internal.h"

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

/// Takes note of what a backend server says of itself in the head of a
/// response.
void
gateway_signals_on_head(const struct gateway_request *q)
{
	struct gateway *g = q->gateway;
	struct gateway_server *s = g_hash_table_lookup(g->servers, q->server);
	const struct api_signals *signals = &q->response.signals;

	if (s == NULL)
		return;
	for (int i = 0; i < API_N_SIGNALS; i++) {
		if (signals->malformed[i])
			note_malformed(g, s, (enum api_signal)i);
		if (signals->given[i])
			g->n_signals[i]->value++;
	}
	if (signals->malformed[API_SIGNAL_LIMIT] ||
	    signals->limit_per_s == s->limit_per_s)
		return;
	logger_event(LOGGER_INFO, "server.limit",
	    "server=%s per_s=%g was_per_s=%g", s->instance.id,
	    signals->limit_per_s, s->limit_per_s);
	s->limit_per_s = signals->limit_per_s;
}
