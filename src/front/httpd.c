#include "front/httpd.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/crypto.h>
#include <stdlib.h>
#include <string.h>

// evhtp's own headers need POSIX types declared before them.
#include <evhtp.h>

#include "base/metrics.h"
#include "base/logger.h"

#define HTTPD_BACKLOG 1024
#define HTTPD_MAX_KEEPALIVE_REQUESTS 0
/// A head that is longer goes to the library as it comes.
#define HTTPD_MAX_HEAD_BYTES 65536

/// What the library does with bytes; the same on all connections.
static bufferevent_data_cb library_read;

struct httpd {
	struct httpd_config config;
	evhtp_t *http;
	struct slotmap *open;
	GHashTable *connections; ///< evhtp_free() would leave them
	size_t unsent;           ///< answers that are whole but not yet written
	bool listening;
	bool closing_keepalive; ///< no connection outlives its next answer
};

/// One request not yet answered whole.
struct httpd_open_request {
	struct httpd *owner;
	evhtp_request_t *req;
	handle_t self;
	bool streaming;
	struct evbuffer *chunk;
};

static enum httpd_method
method_of(const evhtp_request_t *req)
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

static void
forget(struct httpd_open_request *open)
{
	if (open->chunk != NULL)
		evbuffer_free(open->chunk);
	slotmap_remove(open->owner->open, open->self);
}

/// The library is about to release the request: the caller has the whole
/// answer (then the handle is gone already) or has left.
static evhtp_res
on_fini(evhtp_request_t *req, void *arg)
{
	struct httpd_open_request *open = arg;
	struct httpd *f;
	handle_t self;

	(void)req;
	if (open == NULL)
		return EVHTP_RES_OK;
	f = open->owner;
	self = open->self;
	open->req = NULL;
	f->config.on_disconnect(f->config.arg, self);
	open = slotmap_get(f->open, self);
	if (open != NULL)
		forget(open);
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

static void
on_request(evhtp_request_t *req, void *arg)
{
	struct httpd *f = arg;
	struct httpd_request out = { .query = "" };
	struct httpd_open_request *open;
	void *item;
	handle_t self;

	self = slotmap_add(f->open, &item);
	open = item;
	open->owner = f;
	open->req = req;
	open->self = self;
	(void)evhtp_request_set_hook(
	    req, evhtp_hook_on_request_fini, (evhtp_hook)on_fini, open);
	set_no_delay(req);
	out.method = method_of(req);
	out.method_name = htparser_get_methodstr(req->conn->parser);
	out.path = req->uri->path->full;
	if (req->uri->query_raw != NULL)
		out.query = (const char *)req->uri->query_raw;
	out.len = evbuffer_get_length(req->buffer_in);
	out.body = evbuffer_pullup(req->buffer_in, -1);
	f->config.on_request(f->config.arg, self, &out);
}

static evhtp_res
on_connection_fini(evhtp_connection_t *conn, void *arg)
{
	struct httpd *f = arg;

	(void)g_hash_table_remove(f->connections, conn);
	return EVHTP_RES_OK;
}

/// Whether a request's length can be understood in one way only. Two lengths,
/// or a length beside chunks, would let one request hide in another.
static bool
framing_is_clear(const evhtp_request_t *req)
{
	const evhtp_kv_t *kv;
	unsigned lengths = 0;
	unsigned encodings = 0;

	TAILQ_FOREACH(kv, req->headers_in, next)
	{
		if (g_ascii_strcasecmp(kv->key, "Content-Length") == 0) {
			lengths++;
			if (kv->val[0] == '\0' ||
			    strspn(kv->val, "0123456789") != strlen(kv->val))
				return false;
		}
		if (g_ascii_strcasecmp(kv->key, "Transfer-Encoding") == 0) {
			encodings++;
			if (g_ascii_strcasecmp(kv->val, "chunked") != 0)
				return false;
		}
	}
	return lengths + encodings <= 1;
}

/// Refuses a request with unclear framing before its body is read. The
/// connection ends, so nothing behind the head is taken for a request.
static evhtp_res
on_headers(evhtp_request_t *req, evhtp_headers_t *headers, void *arg)
{
	static const char refusal[] =
	    "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n"
	    "Connection: close\r\n\r\n";
	const struct httpd *f = arg;

	(void)headers;
	// It crosses the close of an idle connection.
	if (f->closing_keepalive &&
	    (req->conn->flags & EVHTP_CONN_FLAG_KEEPALIVE))
		return EVHTP_RES_ERROR;
	if (framing_is_clear(req))
		return EVHTP_RES_OK;
	logger_event(LOGGER_WARN, "caller.bad_framing", "answer=400");
	(void)send(req->conn->sock, refusal, sizeof(refusal) - 1, MSG_NOSIGNAL);
	return EVHTP_RES_ERROR;
}

/// Holds bytes back until a request's head is whole. The library's parser
/// takes some heads that come in pieces for broken or reads another target.
static void
on_bytes(struct bufferevent *bev, void *arg)
{
	const evhtp_connection_t *conn = arg;
	struct evbuffer *in = bufferevent_get_input(bev);

	if (conn->request == NULL &&
	    evbuffer_get_length(in) < HTTPD_MAX_HEAD_BYTES &&
	    evbuffer_search(in, "\r\n\r\n", 4, NULL).pos < 0)
		return;
	library_read(bev, arg);
}

static evhtp_res
on_accepted(evhtp_connection_t *conn, void *arg)
{
	struct httpd *f = arg;
	bufferevent_data_cb write_cb;
	bufferevent_event_cb event_cb;
	void *cb_arg;

	bufferevent_getcb(
	    conn->bev, &library_read, &write_cb, &event_cb, &cb_arg);
	bufferevent_setcb(conn->bev, on_bytes, write_cb, event_cb, cb_arg);

	(void)g_hash_table_add(f->connections, conn);
	(void)evhtp_connection_set_hook(conn, evhtp_hook_on_connection_fini,
	    (evhtp_hook)on_connection_fini, f);
	(void)evhtp_connection_set_hook(
	    conn, evhtp_hook_on_headers, (evhtp_hook)on_headers, f);
	return EVHTP_RES_OK;
}

/// Makes a server that doesn't listen yet.
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
	f->http = evhtp_new(config->base, NULL);
	if (config->tls != NULL) {
		(void)SSL_CTX_up_ref(config->tls);
		f->http->ssl_ctx = config->tls;
	}
	f->connections = g_hash_table_new(NULL, NULL);
	evhtp_set_gencb(f->http, on_request, f);
	evhtp_set_post_accept_cb(f->http, on_accepted, f);
	evhtp_set_max_body_size(f->http, config->max_body_bytes);
	evhtp_set_max_keepalive_requests(f->http, HTTPD_MAX_KEEPALIVE_REQUESTS);
	evhtp_set_timeouts(f->http, &idle, &idle);
	return f;
}

static void
close_connections(struct httpd *f)
{
	GList *all = g_hash_table_get_keys(f->connections);

	for (const GList *l = all; l != NULL; l = l->next)
		evhtp_connection_free(l->data);
	g_list_free(all);
}

/// Releases a server; open requests are cut without callbacks.
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
		forget(open);
	}
	close_connections(f);
	evhtp_free(f->http);
	g_hash_table_destroy(f->connections);
	slotmap_free(f->open);
	g_free(f);
}

/// Listens at an address.
///
/// @param host  IP number
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

/// Takes no more connections; those that are open go on.
void
httpd_stop_listening(struct httpd *f)
{
	if (!f->listening)
		return;
	evhtp_unbind_socket(f->http);
	f->listening = false;
}

/// Closes the connections that are idle now, and each other one behind the
/// answer that it waits for.
void
httpd_drain(struct httpd *f)
{
	GList *all = g_hash_table_get_keys(f->connections);

	f->closing_keepalive = true;
	for (const GList *l = all; l != NULL; l = l->next) {
		evhtp_connection_t *conn = l->data;

		if (conn->request != NULL)
			evhtp_request_set_keepalive(conn->request, 0);
		else if (evbuffer_get_length(
			     bufferevent_get_input(conn->bev)) == 0)
			evhtp_connection_free(conn);
	}
	g_list_free(all);
}

/// Value of a request's header, or NULL.
const char *
httpd_header(struct httpd *f, handle_t handle, const char *name)
{
	const struct httpd_open_request *open = slotmap_get(f->open, handle);

	if (open == NULL)
		return NULL;
	return evhtp_header_find(open->req->headers_in, name);
}

/// Gives each header of a request, in the order in which they came.
void
httpd_foreach_header(
    struct httpd *f, handle_t handle, httpd_header_cb cb, void *arg)
{
	const struct httpd_open_request *open = slotmap_get(f->open, handle);
	const evhtp_kv_t *kv;

	if (open == NULL)
		return;
	TAILQ_FOREACH(kv, open->req->headers_in, next)
	cb(arg, kv->key, kv->val);
}

/// Whether a request shows a token (`Authorization: Bearer TOKEN`).
///
/// @param token  "": none is asked for
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
	// The time taken doesn't tell how much of a guess was right.
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

/// Adds a header to the answer that is still to be sent.
void
httpd_add_header(
    struct httpd *f, handle_t handle, const char *name, const char *value)
{
	const struct httpd_open_request *open = slotmap_get(f->open, handle);

	if (open != NULL)
		add_header(open->req, name, value);
}

/// Ends the connection once the answer, still to be sent, is out.
void
httpd_close_after_response(struct httpd *f, handle_t handle)
{
	const struct httpd_open_request *open = slotmap_get(f->open, handle);

	if (open != NULL)
		evhtp_request_set_keepalive(open->req, 0);
}

/// Cuts the connection of a request; what was answered so far can't be taken
/// for whole. The handle ends without the `on_disconnect` callback.
void
httpd_abort(struct httpd *f, handle_t handle)
{
	struct httpd_open_request *open = slotmap_get(f->open, handle);
	evhtp_request_t *req;

	if (open == NULL)
		return;
	req = open->req;
	(void)evhtp_request_unset_hook(req, evhtp_hook_on_request_fini);
	forget(open);
	// The library frees the connection when it meets its end.
	(void)shutdown(req->conn->sock, SHUT_RDWR);
}

/// The caller has the whole answer, or has left.
static evhtp_res
on_sent(evhtp_request_t *req, void *arg)
{
	struct httpd *f = arg;

	(void)req;
	f->unsent--;
	return EVHTP_RES_OK;
}

/// The answer is whole: the handle ends without the `on_disconnect` callback.
static evhtp_request_t *
detach(struct httpd *f, handle_t handle)
{
	struct httpd_open_request *open = slotmap_get(f->open, handle);
	evhtp_request_t *req;

	if (open == NULL)
		return NULL;
	req = open->req;
	if (f->closing_keepalive)
		evhtp_request_set_keepalive(req, 0);
	(void)evhtp_request_unset_hook(req, evhtp_hook_on_request_fini);
	(void)evhtp_request_set_hook(
	    req, evhtp_hook_on_request_fini, (evhtp_hook)on_sent, f);
	f->unsent++;
	forget(open);
	return req;
}

/// Answers a request whole; a handle that has ended does nothing.
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
	if (len > 0)
		(void)evbuffer_add(req->buffer_out, body, len);
	evhtp_send_reply(req, (evhtp_res)status);
}

/// Starts a streamed answer.
void
httpd_stream_start(struct httpd *f, handle_t handle, int status,
    const struct httpd_header *headers, const char *type)
{
	struct httpd_open_request *open = slotmap_get(f->open, handle);

	if (open == NULL)
		return;
	add_headers(open->req, headers, type);
	open->streaming = true;
	open->chunk = evbuffer_new();
	evhtp_send_reply_chunk_start(open->req, (evhtp_res)status);
}

/// Sends a piece of a streamed answer.
void
httpd_stream_data(
    struct httpd *f, handle_t handle, const void *bytes, size_t len)
{
	struct httpd_open_request *open = slotmap_get(f->open, handle);

	if (open == NULL || len == 0)
		return;
	g_assert(open->streaming);
	(void)evbuffer_add(open->chunk, bytes, len);
	evhtp_send_reply_chunk(open->req, open->chunk);
	(void)evbuffer_drain(open->chunk, evbuffer_get_length(open->chunk));
}

/// Ends a streamed answer.
void
httpd_stream_end(struct httpd *f, handle_t handle)
{
	evhtp_request_t *req = detach(f, handle);

	if (req == NULL)
		return;
	evhtp_send_reply_chunk_end(req);
}

/// Bytes that a slow caller has not taken yet.
size_t
httpd_unsent_bytes(struct httpd *f, handle_t handle)
{
	const struct httpd_open_request *open = slotmap_get(f->open, handle);

	if (open == NULL)
		return 0;
	return evbuffer_get_length(
	    bufferevent_get_output(evhtp_request_get_bev(open->req)));
}

/// Answers with the counters and histograms of this process.
void
httpd_reply_metrics(
    struct httpd *f, handle_t handle, const struct metrics_registry *set)
{
	size_t len;
	char *text = metrics_text(set, &len);

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

/// Number of requests whose callers don't have the whole answer yet.
size_t
httpd_unfinished_count(const struct httpd *f)
{
	return slotmap_count(f->open) + f->unsent;
}
