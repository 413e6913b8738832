#include "gateway/gateway_internal.h"

#include <string.h>

#include "platform/api_names.h"

/// Sends the attempts of other gateways that don't reach a server
/// (gateway_relay.c). What is counted is counted there; what the server says of
/// itself is obeyed here, too. An attempt is sent to the server that it names,
/// and nowhere else.

#define GATEWAY_RELAYED_CONNECT_US (400 * USEC_PER_MSEC)
#define GATEWAY_RELAYED_MAX_BYTES (4U << 20)
/// Largest response to a stream's request that isn't a stream.
#define GATEWAY_RELAYED_MAX_ERROR (1U << 20)
/// Part of the memory for requests of other gateways, and for responses that
/// they haven't read.
#define GATEWAY_RELAYED_SHARE 16
/// Part of the descriptors for their connections.
#define GATEWAY_RELAYED_FDS_SHARE 16
#define GATEWAY_RELAYED_CONNECTIONS 16

/// An attempt of another gateway.
struct relayed {
	struct gateway *gateway;
	gint64 caller; ///< the other gateway's request
	handle_t call;
	char server[FLEETCFG_NAME_BYTES];
	struct api_request request;
	uint64_t sent_us;
	bool is_stream;      ///< events are passed on one by one
	bool new_connection; ///< to the server
	bool head_sent;
	bool too_long;
	GString *body; ///< of a response to a stream's request that is none
};

static void
relayed_free(gpointer p)
{
	struct relayed *r = p;

	httpc_cancel(r->gateway->http, r->call);
	(void)g_string_free(r->body, TRUE);
	g_free(r);
}

static void
forget(struct relayed *r)
{
	(void)g_hash_table_remove(r->gateway->relayed, &r->caller);
}

/// Refuses an attempt that wasn't sent.
static void
refuse(struct gateway *g, handle_t caller, const char *why)
{
	httpd_add_header(g->relay, caller, API_HDR_RELAY_REFUSED, why);
	httpd_reply(g->relay, caller, 503, NULL, NULL, NULL, 0);
}

static size_t
max_connections(const struct gateway *g)
{
	return MAX(GATEWAY_RELAYED_CONNECTIONS,
	    g->settings.max_fds / GATEWAY_RELAYED_FDS_SHARE);
}

/// Why this gateway sends nothing to a server for another one; NULL: it does.
static const char *
refusal(const struct gateway *g, const struct gateway_server *s)
{
	const char *why;

	// A connection too many would be closed without an answer.
	if (!gateway_is_ready(g, &why) ||
	    g_hash_table_size(g->relayed) >= max_connections(g) / 2)
		return API_RELAY_GATEWAY;
	if (s == NULL)
		return API_RELAY_CLOSED;
	if (gateway_reach_is_lost(g, s))
		return gateway_reach_is_cut(g, s->instance.service)
		    ? API_RELAY_GATEWAY
		    : API_RELAY_LOST;
	if (balancer_is_draining(g->balancer, s->balancer_handle, NULL) ||
	    gateway_evac_covers(g, s->instance.zone) ||
	    !balancer_is_open(
		g->balancer, loop_now_us(g->loop), s->balancer_handle))
		return API_RELAY_CLOSED;
	return NULL;
}

static void
pass_headers(struct relayed *r)
{
	struct gateway *g = r->gateway;
	struct api_headers *headers =
	    api_headers_from_response(g->http, r->call);
	const struct httpc_header *h = api_headers_array(headers);

	for (size_t i = 0; i < api_headers_count(headers); i++)
		httpd_add_header(
		    g->relay, (handle_t)r->caller, h[i].name, h[i].value);
	api_headers_free(headers);
}

static void
on_head(void *arg, int http_status)
{
	struct relayed *r = arg;
	struct gateway *g = r->gateway;
	struct api_response response;

	api_response_read(g->http, r->call, &response);
	gateway_signals_apply(g, r->server, &response, http_status, r->sent_us);
	if (r->new_connection)
		gateway_reach_succeeded(g, r->server);
	if (!r->is_stream || http_status != 200)
		return;
	r->head_sent = true;
	pass_headers(r);
	httpd_stream_start(
	    g->relay, (handle_t)r->caller, http_status, NULL, NULL);
}

static void
on_data(void *arg, const uint8_t *bytes, size_t len)
{
	struct relayed *r = arg;

	if (r->head_sent)
		httpd_stream_data(
		    r->gateway->relay, (handle_t)r->caller, bytes, len);
	else if (r->body->len + len <= GATEWAY_RELAYED_MAX_ERROR)
		(void)g_string_append_len(
		    r->body, (const char *)bytes, (gssize)len);
	else
		r->too_long = true;
}

/// The connection to the server was lost. Its crashes are found by the gateway
/// that reaches it.
static void
on_lost(const struct relayed *r)
{
	struct gateway *g = r->gateway;
	const struct gateway_server *s =
	    g_hash_table_lookup(g->servers, r->server);
	const int i = s == NULL || g->config == NULL
	    ? -1
	    : fleetcfg_find_service(g->config, s->instance.service);
	struct gateway_request attempt = { .gateway = g, .call = r->request };

	if (i < 0)
		return;
	attempt.service = fleetcfg_service(g->config, (size_t)i);
	(void)g_strlcpy(attempt.server, r->server, sizeof(attempt.server));
	gateway_crashes_on_lost(&attempt);
}

static void
pass_response(struct relayed *r, const struct httpc_result *result)
{
	struct httpd *f = r->gateway->relay;
	const handle_t caller = (handle_t)r->caller;

	pass_headers(r);
	if (result->until_close)
		httpd_add_header(f, caller, API_HDR_RELAY_UNFRAMED, "1");
	if (r->is_stream)
		httpd_reply(f, caller, result->http_status, NULL, NULL,
		    r->body->str, r->body->len);
	else
		httpd_reply(f, caller, result->http_status, NULL, NULL,
		    result->body, result->len);
}

static void
on_end(void *arg, const struct httpc_result *result)
{
	struct relayed *r = arg;
	struct gateway *g = r->gateway;
	const handle_t caller = (handle_t)r->caller;
	const bool is_ok = result->status == STATUS_OK && !r->too_long;

	if (result->status == STATUS_UNAVAILABLE)
		gateway_reach_failed(g, r->server);
	if (result->status != STATUS_OK && result->verdict != VERDICT_NOT_RUN)
		on_lost(r);
	if (is_ok && !r->head_sent)
		pass_response(r, result);
	else if (is_ok && !result->until_close)
		httpd_stream_end(g->relay, caller);
	else if (result->verdict == VERDICT_NOT_RUN)
		refuse(g, caller, API_RELAY_LOST);
	else
		httpd_abort(g->relay, caller);
	r->call = HANDLE_NONE;
	forget(r);
}

static void
send_to(struct relayed *r, const struct gateway_server *s,
    const struct httpd_request *req)
{
	struct gateway *g = r->gateway;
	struct api_headers *headers =
	    api_headers_from_relay(g->relay, (handle_t)r->caller);
	const struct httpc_request call = {
		.method = req->method_name,
		.host = s->instance.host,
		.port = s->instance.port,
		.path = req->target,
		.body = req->body,
		.len = req->len,
		.extra_headers = api_headers_array(headers),
		.n_extra_headers = api_headers_count(headers),
		.new_connection = r->new_connection,
		.connect_us = GATEWAY_RELAYED_CONNECT_US,
		.max_body = r->is_stream ? 0 : GATEWAY_RELAYED_MAX_BYTES,
		.on_head = on_head,
		.on_data = r->is_stream ? on_data : NULL,
		.on_end = on_end,
		.arg = r,
	};

	balancer_count_request(g->balancer, r->sent_us, s->balancer_handle);
	r->call = httpc_send(g->http, &call);
	api_headers_free(headers);
}

static void
on_request(void *arg, handle_t caller, const struct httpd_request *req)
{
	struct gateway *g = arg;
	const char *mode = httpd_header(g->relay, caller, API_HDR_RELAY);
	const char *id =
	    httpd_header(g->relay, caller, API_HDR_EXPECT_INSTANCE);
	const struct gateway_server *s =
	    id == NULL ? NULL : g_hash_table_lookup(g->servers, id);
	const char *why = refusal(g, s);
	struct relayed *r;

	if (mode == NULL || why != NULL) {
		refuse(g, caller, mode == NULL ? API_RELAY_CLOSED : why);
		return;
	}
	r = g_new0(struct relayed, 1);
	r->gateway = g;
	r->caller = (gint64)caller;
	r->body = g_string_new(NULL);
	r->sent_us = loop_now_us(g->loop);
	r->is_stream = strcmp(mode, API_RELAY_STREAM) == 0 ||
	    strcmp(mode, API_RELAY_STREAM_ONCE) == 0;
	r->new_connection = strcmp(mode, API_RELAY_PLAIN_ONCE) == 0 ||
	    strcmp(mode, API_RELAY_STREAM_ONCE) == 0;
	(void)g_strlcpy(r->server, id, sizeof(r->server));
	api_request_read(g->relay, caller, &r->request);
	r->request.key = NULL;
	g->n_relayed->value++;
	logger_event(LOGGER_INFO, "relay.sent", "request=%s server=%s",
	    r->request.id, r->server);
	(void)g_hash_table_insert(g->relayed, &r->caller, r);
	send_to(r, s, req);
	if (r->call != HANDLE_NONE)
		return;
	refuse(g, caller, API_RELAY_GATEWAY);
	forget(r);
}

/// The other gateway has given the attempt up: cancels it at the server.
static void
on_gone(void *arg, handle_t caller)
{
	struct gateway *g = arg;
	const gint64 key = (gint64)caller;

	(void)g_hash_table_remove(g->relayed, &key);
}

/// Sets what other gateways may send.
///
/// @param limits  those of callers
void
gateway_relayed_set_limits(struct gateway *g, struct httpd_limits limits)
{
	const size_t bytes =
	    bootstrap_memory_share(&g->settings, GATEWAY_RELAYED_SHARE);

	if (g->relay == NULL)
		return;
	// The other gateway adds headers to those of its caller.
	limits.max_head_bytes *= 2;
	limits.max_held_bytes = MIN(limits.max_held_bytes, bytes);
	limits.max_unsent_bytes = bytes;
	limits.max_connections = max_connections(g);
	httpd_set_limits(g->relay, &limits);
}

/// Listens for attempts of other gateways. Without the port there are none.
void
gateway_relayed_start(struct gateway *g)
{
	const uint16_t port = gateway_relay_port(g);

	g->relayed = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, relayed_free);
	g->relay = gateway_accept_new_server(g, on_request, on_gone);
	if (httpd_listen(g->relay, g->settings.host, port) == STATUS_OK)
		return;
	logger_event(LOGGER_WARN, "relay.no_port", "port=%u reason=\"%s\"",
	    port, status_last());
	httpd_free(g->relay);
	g->relay = NULL;
}

/// Cancels the attempts of other gateways.
void
gateway_relayed_stop(struct gateway *g)
{
	if (g->relayed != NULL)
		g_hash_table_destroy(g->relayed);
	httpd_free(g->relay);
}
