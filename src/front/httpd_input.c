#include "front/httpd_internal.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>

#include "base/logger.h"

/// Bytes that may follow a request while it is served. Beyond them the
/// connection isn't read.
#define HTTPD_MAX_PENDING_BYTES 16384
/// What a header field costs beside its bytes, in each of its copies.
#define HTTPD_FIELD_COST 128
/// The shortest field, with its end of line.
#define HTTPD_SHORTEST_FIELD_BYTES 4
/// A refused connection is read on for this long: closing it with unread bytes
/// would reset it before the caller has the response.
#define HTTPD_LINGER_US 1000000
#define HTTPD_RETRY_AFTER_S 1

/// The callbacks that evhtp installs, the same on all connections.
static bufferevent_data_cb evhtp_read_cb;
static bufferevent_data_cb evhtp_write_cb;

static struct evbuffer *
input_of(const struct httpd_conn *hc)
{
	return bufferevent_get_input(hc->evhtp->bev);
}

static void
arm_timer(struct httpd_conn *hc, uint64_t timeout_us)
{
	const struct timeval tv = {
		.tv_sec = (time_t)(timeout_us / 1000000),
		.tv_usec = (suseconds_t)(timeout_us % 1000000),
	};

	(void)event_add(hc->timer, &tv);
}

/// Forgets the request that was read, or a part of one.
static void
reset_request(struct httpd_conn *hc)
{
	reqhead_clear(&hc->head);
	reqhead_init(&hc->head);
	(void)evbuffer_drain(hc->body, evbuffer_get_length(hc->body));
	hc->searched = 0;
	hc->head_cost = 0;
	hc->begun_us = 0;
	httpd_room_set_held(hc, evbuffer_get_length(hc->pending));
}

static const char *
reason_phrase(int status)
{
	switch (status) {
	case 400:
		return "Bad Request";
	case 408:
		return "Request Timeout";
	case 413:
		return "Content Too Large";
	case 414:
		return "URI Too Long";
	case 417:
		return "Expectation Failed";
	case 431:
		return "Request Header Fields Too Large";
	case 501:
		return "Not Implemented";
	case 503:
		return "Service Unavailable";
	case 505:
		return "HTTP Version Not Supported";
	default:
		return "";
	}
}

/// Responds to a request that wasn't read to its end, and closes the
/// connection.
void
httpd_input_refuse(struct httpd_conn *hc, int status, const char *why)
{
	struct evbuffer *out = bufferevent_get_output(hc->evhtp->bev);

	logger_event(LOGGER_WARN, "caller.refused", "status=%d reason=\"%s\"",
	    status, why);
	reset_request(hc);
	hc->state = HTTPD_CONN_CLOSING;
	(void)evbuffer_drain(input_of(hc), evbuffer_get_length(input_of(hc)));
	(void)evbuffer_add_printf(
	    out, "HTTP/1.1 %d %s\r\n", status, reason_phrase(status));
	if (status == 503)
		(void)evbuffer_add_printf(
		    out, "Retry-After: %d\r\n", HTTPD_RETRY_AFTER_S);
	(void)evbuffer_add_printf(
	    out, "Content-Length: 0\r\nConnection: close\r\n\r\n");
	arm_timer(hc, HTTPD_LINGER_US);
}

/// Moves bytes by copying them: moving small parts would keep a buffer of a
/// page for each.
static void
move_bytes(struct evbuffer *to, struct evbuffer *from, size_t n)
{
	struct evbuffer_iovec part;

	while (n > 0 && evbuffer_peek(from, -1, NULL, &part, 1) > 0) {
		const size_t len = MIN(n, part.iov_len);

		(void)evbuffer_add(to, part.iov_base, len);
		(void)evbuffer_drain(from, len);
		n -= len;
	}
}

/// Stops reading behind the request that is served. The caller's disconnecting
/// is still seen.
static void
stop_reading(struct httpd_conn *hc)
{
	(void)bufferevent_disable(hc->evhtp->bev, EV_READ);
	(void)event_add(hc->closed, NULL);
}

/// Forgets what came behind the request that is served; the connection is
/// closed after the response.
void
httpd_input_drop_pending(struct httpd_conn *hc)
{
	const size_t len = evbuffer_get_length(hc->pending);

	logger_event(LOGGER_WARN, "caller.closed",
	    "reason=\"requests sent ahead hold too much memory\"");
	(void)evbuffer_drain(hc->pending, len);
	httpd_room_set_held(hc, hc->held - len);
	hc->is_last = true;
	if (hc->evhtp->request != NULL)
		evhtp_request_set_keepalive(hc->evhtp->request, 0);
	stop_reading(hc);
}

/// Sets the time limits of a connection: nothing has to come from a caller that
/// waits for its response.
static void
limit_silence(struct httpd_conn *hc, bool is_waiting)
{
	const uint32_t ms = hc->owner->config.idle_ms;
	const struct timeval idle = {
		.tv_sec = ms / 1000,
		.tv_usec = (suseconds_t)(ms % 1000) * 1000,
	};

	bufferevent_set_timeouts(
	    hc->evhtp->bev, is_waiting ? NULL : &idle, &idle);
}

/// Passes the request that was read to evhtp: alone, and with a length.
static void
serve(struct httpd_conn *hc)
{
	struct evbuffer *in = input_of(hc);
	const size_t len = evbuffer_get_length(hc->body);
	struct evbuffer *request = evbuffer_new();

	(void)event_del(hc->timer);
	limit_silence(hc, true);
	hc->state = HTTPD_CONN_SERVING;
	hc->served = true;
	if (len > 0)
		g_string_append_printf(
		    hc->head.text, "Content-Length: %zu\r\n", len);
	(void)evbuffer_add_printf(request, "%s\r\n", hc->head.text->str);
	(void)evbuffer_add_buffer(request, hc->body);
	move_bytes(hc->pending, in, evbuffer_get_length(in));
	httpd_room_count_held(hc, hc->held + evbuffer_get_length(hc->pending));
	(void)evbuffer_prepend_buffer(in, request);
	evbuffer_free(request);
	// This may release the connection.
	evhtp_read_cb(hc->evhtp->bev, hc->evhtp);
}

/// The head at hand is complete: begins to read the body.
static void
begin_body(struct httpd_conn *hc)
{
	const struct httpd_limits *l = &hc->owner->limits;
	const struct reqhead *h = &hc->head;
	struct bufferevent *bev = hc->evhtp->bev;

	if (h->refusal != 0) {
		httpd_input_refuse(hc, h->refusal, h->why);
		return;
	}
	if (!h->is_chunked && h->length > l->max_body_bytes) {
		httpd_input_refuse(hc, 413, "the body is too long");
		return;
	}
	hc->state = HTTPD_CONN_BODY;
	hc->left = h->length;
	if (h->is_chunked)
		http1_chunks_begin(
		    &hc->chunks, l->max_body_bytes, l->max_head_bytes);
	if (h->expects_continue && evbuffer_get_length(input_of(hc)) == 0)
		(void)evbuffer_add_printf(bufferevent_get_output(bev),
		    "HTTP/1.1 100 Continue\r\n\r\n");
	arm_timer(hc, l->body_idle_us);
}

/// Skips the empty lines that may come before a request (RFC 9112, 2.2).
static void
skip_empty_lines(struct evbuffer *in)
{
	char start[2];

	while (evbuffer_copyout(in, start, sizeof(start)) == sizeof(start) &&
	    start[0] == '\r' && start[1] == '\n')
		(void)evbuffer_drain(in, sizeof(start));
}

/// Reads a head as far as it has come.
///
/// @return whether there is more to do with what has come
static bool
read_head(struct httpd_conn *hc, struct evbuffer *in)
{
	struct httpd *f = hc->owner;
	struct evbuffer_ptr from;
	struct evbuffer_ptr end;
	char *text;
	size_t len;

	if (hc->searched == 0)
		skip_empty_lines(in);
	len = evbuffer_get_length(in);
	if (len == 0)
		return false;
	if (hc->begun_us == 0)
		hc->begun_us = httpd_room_now_us();
	if (!event_pending(hc->timer, EV_TIMEOUT, NULL))
		arm_timer(hc, f->limits.head_timeout_us);
	// The end may have begun in what was searched before.
	(void)evbuffer_ptr_set(in, &from,
	    hc->searched < 4 ? 0 : hc->searched - 3, EVBUFFER_PTR_SET);
	end = evbuffer_search(in, "\r\n\r\n", 4, &from);
	if (end.pos < 0 ? len > f->limits.max_head_bytes
			: (size_t)end.pos > f->limits.max_head_bytes) {
		httpd_input_refuse(hc, 431, "the head is too long");
		return false;
	}
	if (end.pos < 0) {
		hc->searched = len;
		httpd_room_count_held(hc, len);
		return false;
	}
	len = (size_t)end.pos + 2;
	text = g_malloc(len + 1);
	(void)evbuffer_remove(in, text, len);
	(void)evbuffer_drain(in, 2);
	text[len] = '\0';
	reqhead_parse(&hc->head, text, len);
	g_free(text);
	hc->head_cost = len + hc->head.n_fields * HTTPD_FIELD_COST;
	begin_body(hc);
	if (hc->state == HTTPD_CONN_BODY)
		httpd_room_count_held(hc, hc->head_cost);
	return hc->state == HTTPD_CONN_BODY;
}

/// Moves data of a body of known length.
static void
read_length(struct httpd_conn *hc, struct evbuffer *in)
{
	const size_t n =
	    (size_t)MIN((uint64_t)evbuffer_get_length(in), hc->left);

	if (hc->owner->config.drops_bodies)
		(void)evbuffer_drain(in, n);
	else
		move_bytes(hc->body, in, n);
	hc->left -= n;
}

/// Moves data of a body in chunks.
///
/// @return HTTP1_DONE when it is complete
static enum http1_status
read_chunks(struct httpd_conn *hc, struct evbuffer *in)
{
	enum http1_status st = HTTP1_MORE;
	struct evbuffer_iovec part;

	while (st == HTTP1_MORE && evbuffer_peek(in, -1, NULL, &part, 1) > 0) {
		size_t used = 0;
		size_t data = 0;

		st = http1_chunks_feed(
		    &hc->chunks, part.iov_base, part.iov_len, &used, &data);
		// Copied: moving many short parts would keep a buffer for each.
		if (data > 0 && !hc->owner->config.drops_bodies)
			(void)evbuffer_add(hc->body, part.iov_base, data);
		(void)evbuffer_drain(in, used);
	}
	return st;
}

/// Reads a body as far as it has come, and passes a complete request on.
static void
read_body(struct httpd_conn *hc, struct evbuffer *in)
{
	const size_t had = evbuffer_get_length(in);
	enum http1_status st = HTTP1_MORE;

	if (hc->head.is_chunked)
		st = read_chunks(hc, in);
	else
		read_length(hc, in);
	if (st == HTTP1_TOO_LONG) {
		httpd_input_refuse(hc, 413, "the body is too long");
		return;
	}
	if (st == HTTP1_INVALID) {
		httpd_input_refuse(hc, 400, "the chunks can't be read");
		return;
	}
	if (st == HTTP1_DONE || (!hc->head.is_chunked && hc->left == 0)) {
		httpd_room_count_held(
		    hc, hc->head_cost + evbuffer_get_length(hc->body));
		if (hc->state == HTTPD_CONN_BODY)
			serve(hc);
		return;
	}
	if (had > 0)
		arm_timer(hc, hc->owner->limits.body_idle_us);
	httpd_room_count_held(
	    hc, hc->head_cost + evbuffer_get_length(hc->body));
}

/// Reads what has come, up to the end of a request.
static void
read_request(struct httpd_conn *hc)
{
	struct evbuffer *in = input_of(hc);

	if (hc->state == HTTPD_CONN_HEAD && !read_head(hc, in))
		return;
	if (hc->state == HTTPD_CONN_BODY)
		read_body(hc, in);
}

/// Called when bytes have come. evhtp gets complete requests only, one at a
/// time.
static void
on_bytes(struct bufferevent *bev, void *arg)
{
	const evhtp_connection_t *conn = arg;
	const struct httpd *f = conn->htp->arg;
	struct httpd_conn *hc = g_hash_table_lookup(f->connections, conn);
	struct evbuffer *in = bufferevent_get_input(bev);
	const size_t len = evbuffer_get_length(in);

	hc->moved_us = httpd_room_now_us();
	switch (hc->state) {
	case HTTPD_CONN_HEAD:
	case HTTPD_CONN_BODY:
		read_request(hc);
		break;
	case HTTPD_CONN_SERVING:
		move_bytes(hc->pending, in, len);
		httpd_room_count_held(hc, hc->held + len);
		if (evbuffer_get_length(hc->pending) > HTTPD_MAX_PENDING_BYTES)
			stop_reading(hc);
		break;
	case HTTPD_CONN_CLOSING:
		(void)evbuffer_drain(in, evbuffer_get_length(in));
		break;
	}
}

/// Called when all output was written. evhtp would close a connection without
/// a request.
static void
on_written(struct bufferevent *bev, void *arg)
{
	const evhtp_connection_t *conn = arg;

	if (conn->request != NULL)
		evhtp_write_cb(bev, arg);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct httpd_conn *hc = arg;

	(void)fd;
	(void)what;
	if (hc->state == HTTPD_CONN_HEAD)
		httpd_input_refuse(hc, 408, "the head took too long");
	else if (hc->state == HTTPD_CONN_BODY)
		httpd_input_refuse(hc, 408, "the body took too long");
	else
		evhtp_connection_free(hc->evhtp);
}

/// The caller has left while its connection wasn't read.
static void
on_closed(evutil_socket_t fd, short what, void *arg)
{
	struct httpd_conn *hc = arg;

	(void)fd;
	(void)what;
	evhtp_connection_free(hc->evhtp);
}

/// Reads on after a response, with what came before it.
static void
on_resume(evutil_socket_t fd, short what, void *arg)
{
	struct httpd_conn *hc = arg;

	(void)fd;
	(void)what;
	(void)event_del(hc->closed);
	limit_silence(hc, false);
	if (hc->is_last) {
		// What follows isn't the begin of a request.
		hc->state = HTTPD_CONN_CLOSING;
		(void)shutdown(hc->evhtp->sock, SHUT_WR);
		(void)bufferevent_enable(hc->evhtp->bev, EV_READ);
		arm_timer(hc, HTTPD_LINGER_US);
		return;
	}
	(void)evbuffer_prepend_buffer(input_of(hc), hc->pending);
	httpd_room_set_held(hc, 0);
	(void)bufferevent_enable(hc->evhtp->bev, EV_READ);
	read_request(hc);
}

/// Begins to read requests on a new connection.
void
httpd_input_accept(struct httpd *f, evhtp_connection_t *conn)
{
	struct httpd_conn *hc = g_new0(struct httpd_conn, 1);
	bufferevent_event_cb event_cb;
	void *cb_arg;

	hc->owner = f;
	hc->evhtp = conn;
	hc->body = evbuffer_new();
	hc->pending = evbuffer_new();
	hc->timer = evtimer_new(f->config.base, on_timer, hc);
	hc->resume = event_new(f->config.base, -1, 0, on_resume, hc);
	hc->closed = event_new(f->config.base, bufferevent_getfd(conn->bev),
	    EV_CLOSED | EV_PERSIST, on_closed, hc);
	hc->moved_us = httpd_room_now_us();
	httpd_room_watch_output(hc);
	reqhead_init(&hc->head);
	bufferevent_getcb(
	    conn->bev, &evhtp_read_cb, &evhtp_write_cb, &event_cb, &cb_arg);
	bufferevent_setcb(conn->bev, on_bytes, on_written, event_cb, cb_arg);
	(void)g_hash_table_insert(f->connections, conn, hc);
}

/// Releases what httpd_input_accept() made.
void
httpd_input_free(struct httpd_conn *hc)
{
	httpd_room_forget(hc);
	reqhead_clear(&hc->head);
	evbuffer_free(hc->body);
	evbuffer_free(hc->pending);
	event_free(hc->timer);
	event_free(hc->resume);
	event_free(hc->closed);
	g_free(hc);
}

/// A response was written: the next request may be read.
void
httpd_input_on_response(struct httpd *f, evhtp_connection_t *conn)
{
	struct httpd_conn *hc = g_hash_table_lookup(f->connections, conn);

	if (hc == NULL || hc->state != HTTPD_CONN_SERVING)
		return;
	reset_request(hc);
	hc->state = HTTPD_CONN_HEAD;
	// evhtp hasn't finished with the last request yet.
	event_active(hc->resume, EV_TIMEOUT, 0);
}

/// Reads on only to see the end of a connection that was shut down.
void
httpd_input_stop(struct httpd *f, evhtp_connection_t *conn)
{
	struct httpd_conn *hc = g_hash_table_lookup(f->connections, conn);

	hc->state = HTTPD_CONN_CLOSING;
	(void)bufferevent_enable(conn->bev, EV_READ);
}

/// What the request that costs most holds, in bytes, within limits of its head
/// and of its body.
size_t
httpd_longest_request(size_t max_head_bytes, size_t max_body_bytes)
{
	return max_body_bytes + max_head_bytes +
	    max_head_bytes / HTTPD_SHORTEST_FIELD_BYTES * HTTPD_FIELD_COST;
}

/// Whether no part of a request has come since the last response.
bool
httpd_input_is_idle(const struct httpd_conn *hc)
{
	return hc->state == HTTPD_CONN_HEAD &&
	    evbuffer_get_length(input_of(hc)) == 0 &&
	    evbuffer_get_length(hc->pending) == 0;
}

/// Whether a request has come in part.
bool
httpd_input_is_unfinished(const struct httpd_conn *hc)
{
	return hc->begun_us != 0 &&
	    (hc->state == HTTPD_CONN_HEAD || hc->state == HTTPD_CONN_BODY);
}
