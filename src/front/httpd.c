#include "front/httpd_internal.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <openssl/crypto.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>

#include "base/logger.h"
#include "base/metrics.h"

#define HTTPD_BACKLOG 1024
/// A draining server waits this long, many round trips, for a first byte.
#define HTTPD_FIRST_BYTE_US 100000
#define HTTPD_MAX_KEEPALIVE_REQUESTS 0 ///< no limit
/// Limits of a server until httpd_set_limits().
#define HTTPD_MAX_HEAD_BYTES 65536
#define HTTPD_HEAD_TIMEOUT_US 10000000
#define HTTPD_STATUS_OK 200
#define HTTPD_STATUS_NO_CONTENT 204
#define HTTPD_STATUS_NOT_MODIFIED 304
#define HTTPD_MAX_HELD_BYTES ((size_t)64 << 20)
#define HTTPD_MAX_UNSENT_BYTES ((size_t)64 << 20)
#define HTTPD_MAX_CONNECTIONS 4096

/// One request whose response is not complete.
struct httpd_open_request {
	struct httpd *owner;
	evhtp_request_t *req;
	handle_t handle;
	bool streaming;
	bool drops_data; ///< the streamed response can't have a body
	struct evbuffer *chunk;
};

static enum httpd_method
get_method(const evhtp_request_t *req)
{
	switch (evhtp_request_get_method((evhtp_request_t *)req)) {
	case htp_method_GET:
		return HTTPD_METHOD_GET;
	case htp_method_POST:
		return HTTPD_METHOD_POST;
	case htp_method_PUT:
		return HTTPD_METHOD_PUT;
	case htp_method_DELETE:
		return HTTPD_METHOD_DELETE;
	default:
		return HTTPD_METHOD_OTHER;
	}
}

static bool
is_head(const evhtp_request_t *req)
{
	return evhtp_request_get_method((evhtp_request_t *)req) ==
	    htp_method_HEAD;
}

/// Whether responses of a status have no body, whatever the request.
static bool
is_bodiless(int status)
{
	return status < HTTPD_STATUS_OK || status == HTTPD_STATUS_NO_CONTENT ||
	    status == HTTPD_STATUS_NOT_MODIFIED;
}

/// Releases an open request; its handle becomes invalid.
static void
release_open_request(struct httpd_open_request *open)
{
	if (open->chunk != NULL)
		evbuffer_free(open->chunk);
	slotmap_remove(open->owner->open, open->handle);
}

/// evhtp is about to release a request that has no complete response, since
/// the caller disconnected. (detach() replaces this hook when the response is
/// complete.)
static evhtp_res
on_fini(evhtp_request_t *req, void *arg)
{
	struct httpd_open_request *open = arg;
	struct httpd *f;
	handle_t handle;

	(void)req;
	if (open == NULL)
		return EVHTP_RES_OK;
	f = open->owner;
	handle = open->handle;
	open->req = NULL;
	f->config.on_disconnect(f->config.arg, handle);
	open = slotmap_get(f->open, handle);
	if (open != NULL)
		release_open_request(open);
	return EVHTP_RES_OK;
}

static void
set_no_delay(evhtp_request_t *req)
{
	const int one = 1;
	const evhtp_connection_t *conn = evhtp_request_get_connection(req);

	(void)setsockopt(
	    conn->sock, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

/// Adds the header fields that were kept from evhtp.
static void
add_kept_fields(const struct httpd_conn *hc, evhtp_request_t *req)
{
	for (guint i = 0; i < hc->head.kept_fields->len; i++) {
		const struct reqhead_field *field = &g_array_index(
		    hc->head.kept_fields, struct reqhead_field, i);

		evhtp_headers_add_header(req->headers_in,
		    evhtp_header_new(field->name, field->value, 1, 1));
	}
}

/// Creates the handle of a request, which has arrived with its whole body, and
/// passes the request to the owner of the server.
static void
on_request(evhtp_request_t *req, void *arg)
{
	struct httpd *f = arg;
	struct httpd_request out = { .query = "" };
	struct httpd_open_request *open;
	const struct httpd_conn *hc;
	void *item;
	handle_t handle;

	handle = slotmap_add(f->open, &item);
	open = item;
	open->owner = f;
	open->req = req;
	open->handle = handle;
	(void)evhtp_request_set_hook(
	    req, evhtp_hook_on_request_fini, (evhtp_hook)on_fini, open);
	set_no_delay(req);
	hc = g_hash_table_lookup(f->connections, req->conn);
	add_kept_fields(hc, req);
	out.method = get_method(req);
	out.method_name = htparser_get_methodstr(req->conn->parser);
	out.path = req->uri->path->full;
	if (req->uri->query_raw != NULL)
		out.query = (const char *)req->uri->query_raw;
	out.target = hc->head.target;
	out.len = evbuffer_get_length(req->buffer_in);
	out.body = evbuffer_pullup(req->buffer_in, -1);
	f->config.on_request(f->config.arg, handle, &out);
}

/// Forgets a connection that evhtp is about to release.
static evhtp_res
on_connection_fini(evhtp_connection_t *conn, void *arg)
{
	struct httpd *f = arg;

	struct httpd_conn *hc = g_hash_table_lookup(f->connections, conn);

	(void)g_hash_table_remove(f->connections, conn);
	if (hc != NULL)
		httpd_input_free(hc);
	return EVHTP_RES_OK;
}

/// Installs the callbacks of a new connection.
static evhtp_res
on_accepted(evhtp_connection_t *conn, void *arg)
{
	struct httpd *f = arg;

	if (!httpd_room_accept(f))
		return EVHTP_RES_ERROR;
	httpd_input_accept(f, conn);
	(void)evhtp_connection_set_hook(conn, evhtp_hook_on_connection_fini,
	    (evhtp_hook)on_connection_fini, f);
	return EVHTP_RES_OK;
}

/// Creates a server that doesn't listen yet.
///
/// @param config  copied
/// @return to be released with httpd_free()
struct httpd *
httpd_new(const struct httpd_config *config)
{
	struct httpd *f = g_new0(struct httpd, 1);
	const struct timeval idle = {
		.tv_sec = config->idle_ms / 1000,
		.tv_usec = (suseconds_t)(config->idle_ms % 1000) * 1000,
	};

	f->config = *config;
	f->open = slotmap_new(sizeof(struct httpd_open_request));
	f->limits = (struct httpd_limits){
		.max_head_bytes = HTTPD_MAX_HEAD_BYTES,
		.max_body_bytes = config->max_body_bytes,
		.head_timeout_us = HTTPD_HEAD_TIMEOUT_US,
		.body_idle_us = (uint64_t)config->idle_ms * 1000,
		.max_held_bytes = HTTPD_MAX_HELD_BYTES,
		.max_unsent_bytes = HTTPD_MAX_UNSENT_BYTES,
		.max_connections = HTTPD_MAX_CONNECTIONS,
	};
	f->shed = event_new(config->base, -1, 0, httpd_room_shed_unsent, f);
	f->http = evhtp_new(config->base, f);
	if (config->tls != NULL) {
		(void)SSL_CTX_up_ref(config->tls);
		f->http->ssl_ctx = config->tls;
	}
	f->connections = g_hash_table_new(NULL, NULL);
	evhtp_set_gencb(f->http, on_request, f);
	evhtp_set_post_accept_cb(f->http, on_accepted, f);
	evhtp_set_max_keepalive_requests(f->http, HTTPD_MAX_KEEPALIVE_REQUESTS);
	evhtp_set_timeouts(f->http, &idle, &idle);
	return f;
}

/// Sets what callers may send.
void
httpd_set_limits(struct httpd *f, const struct httpd_limits *limits)
{
	f->limits = *limits;
}

/// Cost in bytes of the requests that are read or served.
size_t
httpd_held_bytes(const struct httpd *f)
{
	return f->held;
}

static void
close_connections(struct httpd *f)
{
	GList *all = g_hash_table_get_keys(f->connections);

	for (const GList *l = all; l != NULL; l = l->next)
		evhtp_connection_free(l->data);
	g_list_free(all);
}

/// Releases a server and closes its connections; no callback is called. NULL is
/// allowed.
void
httpd_free(struct httpd *f)
{
	if (f == NULL)
		return;
	httpd_stop_listening(f);
	for (handle_t h = slotmap_next(f->open, HANDLE_NONE); h != HANDLE_NONE;
	     h = slotmap_next(f->open, h)) {
		struct httpd_open_request *open = slotmap_get(f->open, h);

		(void)evhtp_request_unset_hook(
		    open->req, evhtp_hook_on_request_fini);
		release_open_request(open);
	}
	close_connections(f);
	evhtp_free(f->http);
	event_free(f->shed);
	g_hash_table_destroy(f->connections);
	slotmap_free(f->open);
	g_free(f);
}

/// Listens on an address.
///
/// @param host  IP address, numeric
/// @return STATUS_OK or STATUS_IO
enum status
httpd_listen(struct httpd *f, const char *host, uint16_t port)
{
	char address[80];

	(void)g_snprintf(address, sizeof(address), "%s%s",
	    strchr(host, ':') != NULL ? "ipv6:" : "", host);
	if (evhtp_bind_socket(f->http, address, port, HTTPD_BACKLOG) != 0)
		return status_fail(
		    STATUS_IO, "can't listen at %s:%u", host, port);
	f->listening = true;
	return STATUS_OK;
}

/// Accepts no more connections; open ones are kept, those that wait to be
/// accepted are reset.
void
httpd_stop_listening(struct httpd *f)
{
	if (!f->listening)
		return;
	evhtp_unbind_socket(f->http);
	f->listening = false;
}

/// Whether a socket has something to read, or a listener a connection to
/// accept.
static bool
is_readable(evutil_socket_t fd)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };

	return poll(&p, 1, 0) > 0;
}

/// Accepts no more connections once none waits to be accepted.
///
/// @return false: some do; call it again when they are accepted
bool
httpd_stop_accepting(struct httpd *f)
{
	if (f->listening && is_readable(evconnlistener_get_fd(f->http->server)))
		return false;
	httpd_stop_listening(f);
	return true;
}

/// Whether a caller loses nothing if its connection is closed now.
static bool
is_closable(const struct httpd_conn *hc)
{
	// A caller that has just connected is about to send.
	if (!hc->served &&
	    httpd_room_now_us() - hc->moved_us < HTTPD_FIRST_BYTE_US)
		return false;
	return httpd_input_is_idle(hc) && !is_readable(hc->evhtp->sock);
}

/// Closes the idle connections now, and each other one after the response in
/// progress. Connections that are left may become idle: call it again.
void
httpd_drain(struct httpd *f)
{
	GList *all = g_hash_table_get_values(f->connections);

	f->closing_keepalive = true;
	for (const GList *l = all; l != NULL; l = l->next) {
		const struct httpd_conn *hc = l->data;

		if (hc->evhtp->request != NULL)
			evhtp_request_set_keepalive(hc->evhtp->request, 0);
		else if (is_closable(hc))
			evhtp_connection_free(hc->evhtp);
	}
	g_list_free(all);
}

/// Refuses the requests that have come in part and of which nothing more is
/// there to be read.
static void
refuse_unfinished(struct httpd *f)
{
	GList *all = g_hash_table_get_values(f->connections);

	for (const GList *l = all; l != NULL; l = l->next) {
		struct httpd_conn *hc = l->data;

		if (httpd_input_is_unfinished(hc) &&
		    !is_readable(hc->evhtp->sock))
			httpd_input_refuse(hc, 503, "stopping");
	}
	g_list_free(all);
}

/// Takes the next step of the end of a server whose owner refuses requests by
/// now: connections are accepted until none waits, requests that have arrived
/// are passed on, those that have come in part are refused, and connections
/// are closed. Call it again, with time for events between, until it returns
/// true.
///
/// @return whether no connection is left
bool
httpd_finish(struct httpd *f)
{
	httpd_drain(f);
	if (!httpd_stop_accepting(f))
		return false;
	refuse_unfinished(f);
	return g_hash_table_size(f->connections) == 0;
}

/// Value of a request's header, or NULL; valid until the handle ends.
const char *
httpd_header(struct httpd *f, handle_t handle, const char *name)
{
	const struct httpd_open_request *open = slotmap_get(f->open, handle);

	if (open == NULL)
		return NULL;
	return evhtp_header_find(open->req->headers_in, name);
}

/// Calls `cb` for each header of a request, in the order received. Trailers
/// aren't among them.
void
httpd_foreach_header(
    struct httpd *f, handle_t handle, httpd_header_cb cb, void *arg)
{
	const struct httpd_open_request *open = slotmap_get(f->open, handle);
	const evhtp_kv_t *kv;

	if (open == NULL)
		return;
	TAILQ_FOREACH(kv, open->req->headers_in, next)
	{
		// evhtp appends trailers, without their values.
		if (kv->key != NULL && kv->val != NULL)
			cb(arg, kv->key, kv->val);
	}
}

/// Whether a request carries a token (`Authorization: Bearer TOKEN`).
///
/// @param token  "": no token is required
bool
httpd_check_bearer(struct httpd *f, handle_t handle, const char *token)
{
	static const char bearer[] = "Bearer ";
	const char *given = httpd_header(f, handle, "Authorization");

	if (token[0] == '\0')
		return true;
	if (given == NULL || !g_str_has_prefix(given, bearer))
		return false;
	given += sizeof(bearer) - 1;
	// Constant-time comparison: the duration reveals nothing of the token.
	return strlen(given) == strlen(token) &&
	    CRYPTO_memcmp(given, token, strlen(token)) == 0;
}

static void
add_header(evhtp_request_t *req, const char *name, const char *value)
{
	evhtp_headers_add_header(
	    req->headers_out, evhtp_header_new(name, value, 1, 1));
}

static void
add_length(evhtp_request_t *req, size_t len)
{
	char text[24];

	(void)g_snprintf(text, sizeof(text), "%zu", len);
	add_header(req, "Content-Length", text);
}

static void
add_headers(
    evhtp_request_t *req, const struct httpd_header *headers, const char *type)
{
	if (type != NULL)
		add_header(req, "Content-Type", type);
	if (headers == NULL)
		return;
	for (int i = 0; i < HTTPD_MAX_HEADERS && headers[i].name != NULL; i++)
		add_header(req, headers[i].name, headers[i].value);
}

/// Closes the connection after the response, and says so in the head unless
/// that is sent. A caller that isn't told may send its next request on the
/// connection and lose it.
static void
announce_close(const struct httpd_open_request *open)
{
	evhtp_request_t *req = open->req;

	evhtp_request_set_keepalive(req, 0);
	if (!open->streaming &&
	    evhtp_header_find(req->headers_out, "Connection") == NULL)
		add_header(req, "Connection", "close");
}

/// Adds a header to a response that has not been started.
void
httpd_add_header(
    struct httpd *f, handle_t handle, const char *name, const char *value)
{
	const struct httpd_open_request *open = slotmap_get(f->open, handle);

	if (open != NULL)
		add_header(open->req, name, value);
}

/// Closes the connection after the response, which has not been started.
void
httpd_close_after_response(struct httpd *f, handle_t handle)
{
	const struct httpd_open_request *open = slotmap_get(f->open, handle);

	if (open != NULL)
		announce_close(open);
}

/// Closes the connection of a request, so that the caller can't take a partial
/// response for a complete one. The handle ends without the `on_disconnect`
/// callback.
void
httpd_abort(struct httpd *f, handle_t handle)
{
	struct httpd_open_request *open = slotmap_get(f->open, handle);
	evhtp_request_t *req;

	if (open == NULL)
		return;
	req = open->req;
	(void)evhtp_request_unset_hook(req, evhtp_hook_on_request_fini);
	release_open_request(open);
	httpd_input_stop(f, req->conn);
	// evhtp frees the connection when it reads the end of file.
	(void)shutdown(req->conn->sock, SHUT_RDWR);
}

/// A complete response was written, or its caller disconnected.
static evhtp_res
on_sent(evhtp_request_t *req, void *arg)
{
	struct httpd *f = arg;

	f->unsent--;
	httpd_input_on_response(f, req->conn);
	return EVHTP_RES_OK;
}

/// Ends the handle of a request whose response is complete, without the
/// `on_disconnect` callback.
///
/// @return the request to send, or NULL when the handle has ended
static evhtp_request_t *
detach(struct httpd *f, handle_t handle)
{
	struct httpd_open_request *open = slotmap_get(f->open, handle);
	const struct httpd_conn *hc;
	evhtp_request_t *req;

	if (open == NULL)
		return NULL;
	req = open->req;
	hc = g_hash_table_lookup(f->connections, req->conn);
	if (f->closing_keepalive || (hc != NULL && hc->is_last))
		announce_close(open);
	(void)evhtp_request_unset_hook(req, evhtp_hook_on_request_fini);
	(void)evhtp_request_set_hook(
	    req, evhtp_hook_on_request_fini, (evhtp_hook)on_sent, f);
	f->unsent++;
	release_open_request(open);
	return req;
}

/// Sends a complete response. One that can't have a body is sent without it;
/// for HEAD with the length that it would have.
///
/// @param headers  ended by a NULL name unless HTTPD_MAX_HEADERS long; or NULL
/// @param type     content type, or NULL
void
httpd_reply(struct httpd *f, handle_t handle, int status,
    const struct httpd_header *headers, const char *type, const void *body,
    size_t len)
{
	evhtp_request_t *req = detach(f, handle);

	if (req == NULL)
		return;
	add_headers(req, headers, type);
	if (len > 0 && !is_bodiless(status)) {
		if (is_head(req))
			add_length(req, len);
		else
			(void)evbuffer_add(req->buffer_out, body, len);
	}
	evhtp_send_reply(req, (evhtp_res)status);
}

/// Starts a response in chunked encoding; parameters as in httpd_reply(). One
/// that can't have a body is sent without its chunks.
void
httpd_stream_start(struct httpd *f, handle_t handle, int status,
    const struct httpd_header *headers, const char *type)
{
	struct httpd_open_request *open = slotmap_get(f->open, handle);

	if (open == NULL)
		return;
	add_headers(open->req, headers, type);
	if (f->closing_keepalive)
		announce_close(open);
	open->streaming = true;
	open->drops_data = is_head(open->req) || is_bodiless(status);
	open->chunk = evbuffer_new();
	evhtp_send_reply_chunk_start(open->req, (evhtp_res)status);
}

/// Sends a chunk of a streamed response; `bytes` are copied.
void
httpd_stream_data(
    struct httpd *f, handle_t handle, const void *bytes, size_t len)
{
	struct httpd_open_request *open = slotmap_get(f->open, handle);

	if (open == NULL || len == 0)
		return;
	g_assert(open->streaming);
	if (open->drops_data)
		return;
	(void)evbuffer_add(open->chunk, bytes, len);
	evhtp_send_reply_chunk(open->req, open->chunk);
	(void)evbuffer_drain(open->chunk, evbuffer_get_length(open->chunk));
}

/// Ends a streamed response.
void
httpd_stream_end(struct httpd *f, handle_t handle)
{
	evhtp_request_t *req = detach(f, handle);

	if (req == NULL)
		return;
	evhtp_send_reply_chunk_end(req);
}

/// Bytes of the response that wait in the send buffer of the connection.
size_t
httpd_unsent_bytes(struct httpd *f, handle_t handle)
{
	const struct httpd_open_request *open = slotmap_get(f->open, handle);

	if (open == NULL)
		return 0;
	return evbuffer_get_length(
	    bufferevent_get_output(evhtp_request_get_bev(open->req)));
}

/// Sends the metrics of a registry as a complete response, in Prometheus's text
/// format.
void
httpd_reply_metrics(
    struct httpd *f, handle_t handle, const struct metrics_registry *registry)
{
	size_t len;
	char *text = metrics_text(registry, &len);

	httpd_reply(
	    f, handle, 200, NULL, "text/plain; version=0.0.4", text, len);
	free(text);
}

/// Number of connections, idle ones included.
size_t
httpd_connection_count(const struct httpd *f)
{
	return g_hash_table_size(f->connections);
}

/// Number of requests whose responses are not yet complete and written.
size_t
httpd_unfinished_count(const struct httpd *f)
{
	return slotmap_count(f->open) + f->unsent;
}
