#include "back/httpc_internal.h"

#include <assert.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#define HTTPC_MAX_BODY_BYTES (16UL * 1024 * 1024)
#define HTTPC_MAX_HELD_BYTES (32UL * 1024 * 1024)
#define HTTPC_STATUS_CONTINUE 100

/// Time on the clock that also counts suspended time.
static uint64_t
boot_time_us(void)
{
	struct timespec ts;

	(void)clock_gettime(CLOCK_BOOTTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

static void
free_timers(struct httpc_active *a)
{
	if (a->timeout != NULL)
		event_free(a->timeout);
	if (a->connect_timeout != NULL)
		event_free(a->connect_timeout);
	a->timeout = NULL;
	a->connect_timeout = NULL;
}

/// Ends a call: calls its on_end and releases its handle.
static void
finish(struct httpc_active *a, const struct httpc_result *result)
{
	struct httpc *c = a->client;
	const handle_t handle = a->handle;
	// A call that fails while it is started is reported by httpc_send().
	const httpc_end_cb on_end = a->starting ? NULL : a->on_end;
	void *const arg = a->arg;

	free_timers(a);
	httpc_input_release(a);
	a->on_data = NULL;
	a->on_head = NULL;
	a->on_end = NULL;
	a->ended = true;
	c->n_callbacks++;
	if (on_end != NULL)
		on_end(arg, result);
	c->n_callbacks--;
	slotmap_remove(c->calls, handle);
}

/// Verdict on a call without a complete response. The state of the connection
/// doesn't tell: one that was reset looks as if it had never been up.
static enum verdict
verdict_of_lost(const struct httpc_active *a)
{
	return a->is_sent && !a->conn->expired ? VERDICT_MAY_HAVE_RUN
					       : VERDICT_NOT_RUN;
}

static void
on_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct httpc_active *a = arg;
	struct httpc_conn *conn = a->conn;
	const struct httpc_result result = {
		.status = STATUS_TIMEOUT,
		.verdict = verdict_of_lost(a),
		.http_status = a->http_status,
		.content_type = "",
	};

	(void)fd;
	(void)what;
	if (a->expires_us != 0)
		httpc_conn_reset_on_close(conn);
	httpc_conn_free_later(conn);
	finish(a, &result);
}

/// Called when bytes are queued for a connection, right before they are sent:
/// when the request is made, or when the connection is up.
static void
on_output(struct evbuffer *out, const struct evbuffer_cb_info *info, void *arg)
{
	struct httpc_conn *conn = arg;
	struct httpc_active *a = httpc_conn_call(conn);

	(void)out;
	if (info->n_added == 0 || a == NULL)
		return;
	a->is_sent = true;
	if (a->expires_us == 0 || boot_time_us() < a->expires_us)
		return;
	// The buffer can't be changed here. The write that follows fails, which
	// ends the call.
	conn->expired = true;
	(void)shutdown(
	    bufferevent_getfd(evhttp_connection_get_bufferevent(conn->evcon)),
	    SHUT_RDWR);
}

/// The connection is not up in time, so nothing can have reached the server.
static void
on_connect_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct httpc_active *a = arg;
	struct httpc_conn *conn = a->conn;
	const struct httpc_result result = {
		.status = STATUS_UNAVAILABLE,
		.verdict = VERDICT_NOT_RUN,
		.content_type = "",
	};

	(void)fd;
	(void)what;
	if (a->is_sent || httpc_conn_is_connected(conn))
		return;
	httpc_conn_free_later(conn);
	finish(a, &result);
}

/// Lets evhttp read on after an interim response. It does so for 100 only, and
/// would add the headers to those of the next response.
static void
skip_interim(struct evhttp_request *req)
{
	req->response_code = HTTPC_STATUS_CONTINUE;
	evhttp_clear_headers(evhttp_request_get_input_headers(req));
}

/// Removes the Connection headers of a response and the headers that they name.
/// evhttp would take a response without a length for an empty one if its
/// connection isn't said to close.
static void
remove_connection_headers(struct evhttp_request *req)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
	const char *value;

	while ((value = evhttp_find_header(headers, "Connection")) != NULL) {
		gchar **names = g_strsplit(value, ",", -1);

		(void)evhttp_remove_header(headers, "Connection");
		for (gchar **n = names; *n != NULL; n++) {
			while (
			    evhttp_remove_header(headers, g_strstrip(*n)) == 0)
				;
		}
		g_strfreev(names);
	}
}

/// Called when all headers of a response have been read.
static int
on_headers(struct evhttp_request *req, void *arg)
{
	struct httpc_conn *conn = arg;
	struct httpc_active *a = httpc_conn_call(conn);

	if (a == NULL || a->refused)
		return -1;
	if (respscan_is_interim(evhttp_request_get_response_code(req))) {
		skip_interim(req);
		return 0;
	}
	if (conn->scan.state == RESPSCAN_UNTIL_CLOSE)
		remove_connection_headers(req);
	a->http_status = evhttp_request_get_response_code(req);
	a->response = req;
	conn->client->n_callbacks++;
	if (a->on_head != NULL)
		a->on_head(a->arg, a->http_status);
	conn->client->n_callbacks--;
	a = httpc_conn_call(conn);
	if (a != NULL)
		a->response = NULL;
	return a == NULL ? -1 : 0;
}

static void
on_chunk(struct evhttp_request *req, void *arg)
{
	struct httpc_conn *conn = arg;
	struct httpc_active *a = httpc_conn_call(conn);
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	const size_t len = evbuffer_get_length(in);

	if (a == NULL || a->on_data == NULL || len == 0 || a->refused)
		return;
	conn->client->n_callbacks++;
	a->on_data(a->arg, evbuffer_pullup(in, -1), len);
	conn->client->n_callbacks--;
}

/// Ends the call of a connection without a complete response and frees the
/// connection.
void
httpc_finish_failed(struct httpc_conn *conn, enum status status)
{
	struct httpc_active *a = httpc_conn_call(conn);
	const struct httpc_result result = {
		.status = conn->expired ? STATUS_TIMEOUT : status,
		.verdict = verdict_of_lost(a),
		.http_status = a->http_status,
		.content_type = "",
		.error = a->error,
	};

	httpc_conn_free_later(conn);
	finish(a, &result);
}

static void
on_done(struct evhttp_request *req, void *arg)
{
	struct httpc_conn *conn = arg;
	struct httpc_active *a = httpc_conn_call(conn);
	struct httpc_result result = { .status = STATUS_OK,
		.verdict = VERDICT_RAN };
	struct evbuffer *in;
	const char *type;

	if (a == NULL)
		return;
	// evhttp passes no request when the connection was lost, and one
	// without a status when the connection could not be made.
	if (req == NULL) {
		httpc_finish_failed(conn, STATUS_IO);
		return;
	}
	if (evhttp_request_get_response_code(req) == 0) {
		httpc_finish_failed(conn, STATUS_UNAVAILABLE);
		return;
	}
	if (a->refused || !respscan_may_end(&conn->scan)) {
		httpc_finish_failed(conn, STATUS_IO);
		return;
	}
	in = evhttp_request_get_input_buffer(req);
	type = evhttp_find_header(
	    evhttp_request_get_input_headers(req), "Content-Type");
	result.http_status = evhttp_request_get_response_code(req);
	result.until_close = conn->scan.state == RESPSCAN_UNTIL_CLOSE;
	result.content_type = type != NULL ? type : "";
	result.len = evbuffer_get_length(in);
	result.body = evbuffer_pullup(in, -1);
	a->response = req;
	httpc_conn_release(conn, req);
	finish(a, &result);
}

static void
add_headers(struct evhttp_request *req, const struct httpc_request *call)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	char host[64];
	char length[24];

	for (size_t i = 0; i < call->n_extra_headers; i++)
		(void)evhttp_add_header(headers, call->extra_headers[i].name,
		    call->extra_headers[i].value);
	(void)g_snprintf(host, sizeof(host), "%s:%u", call->host, call->port);
	if (evhttp_find_header(headers, "Host") == NULL)
		(void)evhttp_add_header(headers, "Host", host);
	// evhttp adds Content-Length only for some methods.
	(void)g_snprintf(length, sizeof(length), "%zu", call->len);
	if (call->len > 0)
		(void)evhttp_add_header(headers, "Content-Length", length);
	if (call->new_connection)
		(void)evhttp_add_header(headers, "Connection", "close");
	for (int i = 0; i < HTTPC_MAX_HEADERS; i++) {
		const struct httpc_header *h = &call->headers[i];

		if (h->name == NULL)
			break;
		(void)evhttp_add_header(headers, h->name, h->value);
	}
	if (call->len > 0)
		(void)evbuffer_add(evhttp_request_get_output_buffer(req),
		    call->body, call->len);
}

static enum evhttp_cmd_type
parse_method(const char *name)
{
	if (strcmp(name, "POST") == 0)
		return EVHTTP_REQ_POST;
	if (strcmp(name, "PUT") == 0)
		return EVHTTP_REQ_PUT;
	if (strcmp(name, "DELETE") == 0)
		return EVHTTP_REQ_DELETE;
	if (strcmp(name, "HEAD") == 0)
		return EVHTTP_REQ_HEAD;
	if (strcmp(name, "PATCH") == 0)
		return EVHTTP_REQ_PATCH;
	if (strcmp(name, "OPTIONS") == 0)
		return EVHTTP_REQ_OPTIONS;
	return EVHTTP_REQ_GET;
}

static struct event *
arm_timeout(struct httpc_active *a, uint64_t timeout_us, event_callback_fn cb)
{
	const struct timeval tv = {
		.tv_sec = (time_t)(timeout_us / 1000000),
		.tv_usec = (suseconds_t)(timeout_us % 1000000),
	};
	struct event *e;

	if (timeout_us == 0)
		return NULL;
	e = evtimer_new(a->client->base, cb, a);
	(void)evtimer_add(e, &tv);
	return e;
}

/// Lets a call expire, see struct httpc_request.
static void
set_expiry(struct httpc_active *a, const struct httpc_request *call)
{
	a->expires_us = call->timeout_us +
	    (call->expires_from_us != 0 ? call->expires_from_us
					: boot_time_us());
}

/// Watches what is about to be sent on a connection.
static void
watch_output(struct httpc_conn *conn)
{
	struct bufferevent *bev =
	    evhttp_connection_get_bufferevent(conn->evcon);

	if (bev == NULL || conn->checks_output)
		return;
	conn->checks_output = true;
	(void)evbuffer_add_cb(bufferevent_get_output(bev), on_output, conn);
}

/// Creates a client on an event loop, to be released with httpc_free().
struct httpc *
httpc_new(struct event_base *base)
{
	struct httpc *c = g_new0(struct httpc, 1);

	c->base = base;
	c->max_held = HTTPC_MAX_HELD_BYTES;
	c->calls = slotmap_new(sizeof(struct httpc_active));
	c->idle = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->dead_conns = g_ptr_array_new();
	c->free_dead_event = event_new(base, -1, 0, httpc_conn_free_dead, c);
	c->refused = g_array_new(FALSE, FALSE, sizeof(handle_t));
	c->end_refused_event =
	    event_new(base, -1, 0, httpc_input_end_refused, c);
	return c;
}

/// Releases a client, outside of its callbacks; calls in flight are cancelled
/// without a callback. NULL is allowed.
void
httpc_free(struct httpc *c)
{
	GHashTableIter it;
	gpointer q;

	if (c == NULL)
		return;
	assert(c->n_callbacks == 0);
	for (handle_t h = slotmap_next(c->calls, HANDLE_NONE); h != HANDLE_NONE;
	     h = slotmap_next(c->calls, h))
		httpc_cancel(c, h);
	httpc_conn_free_dead(-1, 0, c);
	g_hash_table_iter_init(&it, c->idle);
	while (g_hash_table_iter_next(&it, NULL, &q)) {
		struct httpc_conn *conn;

		while ((conn = g_queue_pop_head(q)) != NULL)
			httpc_conn_free(conn);
		g_queue_free(q);
	}
	g_hash_table_destroy(c->idle);
	g_ptr_array_free(c->dead_conns, TRUE);
	event_free(c->free_dead_event);
	(void)g_array_free(c->refused, TRUE);
	event_free(c->end_refused_event);
	slotmap_free(c->calls);
	g_free(c);
}

/// Starts a call. `call` and what it points to may be released on return.
///
/// @return its handle, or HANDLE_NONE when it could not be started (not run; no
///         callback follows)
handle_t
httpc_send(struct httpc *c, const struct httpc_request *call)
{
	struct httpc_conn *conn = httpc_conn_get(c, call);
	struct evhttp_request *req;
	struct httpc_active *a;
	handle_t handle;
	void *item;

	assert(call->on_end != NULL);
	if (conn == NULL)
		return HANDLE_NONE;
	handle = slotmap_add(c->calls, &item);
	conn->call = handle;
	a = item;
	a->client = c;
	a->handle = handle;
	a->conn = conn;
	a->on_head = call->on_head;
	a->on_data = call->on_data;
	a->on_end = call->on_end;
	a->arg = call->arg;
	a->max_body =
	    call->max_body != 0 ? call->max_body : HTTPC_MAX_BODY_BYTES;
	evhttp_connection_set_max_body_size(
	    conn->evcon, (ev_ssize_t)a->max_body);
	httpc_input_check(conn, call, a->max_body);
	watch_output(conn);
	req = evhttp_request_new(on_done, conn);
	evhttp_request_set_header_cb(req, on_headers);
	if (call->on_data != NULL)
		evhttp_request_set_chunked_cb(req, on_chunk);
	add_headers(req, call);
	a->timeout = arm_timeout(a, call->timeout_us, on_timeout);
	if (call->expires && call->timeout_us != 0)
		set_expiry(a, call);
	if (!httpc_conn_is_connected(conn))
		a->connect_timeout =
		    arm_timeout(a, call->connect_us, on_connect_timeout);
	a->starting = true;
	if (evhttp_make_request(
		conn->evcon, req, parse_method(call->method), call->path) != 0)
		// evhttp has released the request.
		httpc_cancel(c, handle);
	// Without a descriptor for the connection, evhttp has ended the call.
	a = slotmap_get(c->calls, handle);
	if (a == NULL)
		return HANDLE_NONE;
	a->starting = false;
	return handle;
}

/// Cancels a call; no callback follows. Its connection is closed, by which the
/// server notices. One whose on_end runs has ended by itself.
void
httpc_cancel(struct httpc *c, handle_t handle)
{
	struct httpc_active *a = slotmap_get(c->calls, handle);

	if (a == NULL || a->ended)
		return;
	free_timers(a);
	httpc_input_release(a);
	if (a->expires_us != 0)
		httpc_conn_reset_on_close(a->conn);
	httpc_conn_free_later(a->conn);
	slotmap_remove(c->calls, handle);
}

/// Closes the connection of a call that has just ended, within its on_end. For
/// a response that isn't the request's: what else arrives there can't be told
/// from the response to a later request.
void
httpc_discard(struct httpc *c, handle_t handle)
{
	const struct httpc_active *a = slotmap_get(c->calls, handle);

	if (a != NULL)
		httpc_conn_discard(a->conn);
}

/// Header of the response, within on_head or on_end of that call.
///
/// @return its value, valid until that callback returns, or NULL
const char *
httpc_response_header(struct httpc *c, handle_t handle, const char *name)
{
	const struct httpc_active *a = slotmap_get(c->calls, handle);

	if (a == NULL || a->response == NULL)
		return NULL;
	return evhttp_find_header(
	    evhttp_request_get_input_headers(a->response), name);
}

/// Calls `cb` for each header of the response, within on_head or on_end of that
/// call.
void
httpc_foreach_response_header(
    struct httpc *c, handle_t handle, httpc_header_cb cb, void *arg)
{
	const struct httpc_active *a = slotmap_get(c->calls, handle);
	const struct evkeyval *kv;

	if (a == NULL || a->response == NULL)
		return;
	for (kv = evhttp_request_get_input_headers(a->response)->tqh_first;
	     kv != NULL; kv = kv->next.tqe_next)
		cb(arg, kv->key, kv->value);
}

/// Bounds the memory of all responses in flight together; 32 MiB if it isn't
/// called. Beyond it the largest ones end with STATUS_IO.
void
httpc_set_max_held(struct httpc *c, size_t bytes)
{
	c->max_held = bytes;
}

/// Says how many bytes of a response the owner of the call keeps from on_data,
/// which count among those that the response holds.
void
httpc_set_retained(struct httpc *c, handle_t handle, size_t bytes)
{
	struct httpc_active *a = slotmap_get(c->calls, handle);

	if (a == NULL || a->ended)
		return;
	a->retained = bytes;
	httpc_input_count(a);
}

/// Bytes that the responses in flight hold.
size_t
httpc_held_bytes(const struct httpc *c)
{
	return c->held;
}

/// Number of connections opened so far.
uint64_t
httpc_connections_opened(const struct httpc *c)
{
	return c->n_opened;
}
