#include "front/httpd_internal.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>

#include "base/logger.h"

/// Bytes that may follow a request while it is served. Beyond them the
/// connection isn't read, and the caller's disconnecting isn't seen.
#define HTTPD_MAX_PENDING_BYTES 65536
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

/// Sets how many bytes of the request at hand a connection holds.
static void
set_held(struct httpd_conn *hc, size_t bytes)
{
	hc->owner->held = hc->owner->held - hc->held + bytes;
	hc->held = bytes;
}

/// Forgets the request that was read, or a part of one.
static void
reset_request(struct httpd_conn *hc)
{
	reqhead_clear(&hc->head);
	reqhead_init(&hc->head);
	(void)evbuffer_drain(hc->body, evbuffer_get_length(hc->body));
	hc->searched = 0;
	set_held(hc, 0);
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
static void
refuse(struct httpd_conn *hc, int status, const char *why)
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

/// The connection whose unfinished request holds most, or NULL.
static struct httpd_conn *
largest_unfinished(const struct httpd *f)
{
	struct httpd_conn *largest = NULL;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, f->connections);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct httpd_conn *hc = p;

		if ((hc->state == HTTPD_CONN_HEAD ||
			hc->state == HTTPD_CONN_BODY) &&
		    hc->held > 0 &&
		    (largest == NULL || hc->held > largest->held))
			largest = hc;
	}
	return largest;
}

/// Counts what a connection holds. If all requests together hold too much, the
/// largest unfinished ones are refused.
static void
count_held(struct httpd_conn *hc, size_t bytes)
{
	struct httpd *f = hc->owner;
	struct httpd_conn *largest;

	set_held(hc, bytes);
	while (f->held > f->limits.max_held_bytes &&
	    (largest = largest_unfinished(f)) != NULL)
		refuse(largest, 503, "requests hold too much memory");
}

/// Passes the request that was read to evhtp: alone, and with a length.
static void
serve(struct httpd_conn *hc)
{
	struct evbuffer *in = input_of(hc);
	const size_t len = evbuffer_get_length(hc->body);
	struct evbuffer *request = evbuffer_new();

	(void)event_del(hc->timer);
	hc->state = HTTPD_CONN_SERVING;
	hc->served = true;
	if (len > 0)
		g_string_append_printf(
		    hc->head.text, "Content-Length: %zu\r\n", len);
	(void)evbuffer_add_printf(request, "%s\r\n", hc->head.text->str);
	(void)evbuffer_add_buffer(request, hc->body);
	(void)evbuffer_add_buffer(hc->pending, in);
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
		refuse(hc, h->refusal, h->why);
		return;
	}
	if (!h->is_chunked && h->length > l->max_body_bytes) {
		refuse(hc, 413, "the body is too long");
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
	if (!event_pending(hc->timer, EV_TIMEOUT, NULL))
		arm_timer(hc, f->limits.head_timeout_us);
	// The end may have begun in what was searched before.
	(void)evbuffer_ptr_set(in, &from,
	    hc->searched < 4 ? 0 : hc->searched - 3, EVBUFFER_PTR_SET);
	end = evbuffer_search(in, "\r\n\r\n", 4, &from);
	if (end.pos < 0 ? len > f->limits.max_head_bytes
			: (size_t)end.pos > f->limits.max_head_bytes) {
		refuse(hc, 431, "the head is too long");
		return false;
	}
	if (end.pos < 0) {
		hc->searched = len;
		count_held(hc, len);
		return false;
	}
	// The caller may have sent it just as the connection was to be closed
	// for being idle.
	if (f->closing_keepalive && hc->served) {
		evhtp_connection_free(hc->evhtp);
		return false;
	}
	len = (size_t)end.pos + 2;
	text = g_malloc(len + 1);
	(void)evbuffer_remove(in, text, len);
	(void)evbuffer_drain(in, 2);
	text[len] = '\0';
	reqhead_parse(&hc->head, text, len);
	g_free(text);
	begin_body(hc);
	if (hc->state == HTTPD_CONN_BODY)
		count_held(hc, len);
	return hc->state == HTTPD_CONN_BODY;
}

/// Moves data of a body of known length.
static void
read_length(struct httpd_conn *hc, struct evbuffer *in)
{
	const size_t n =
	    (size_t)MIN((uint64_t)evbuffer_get_length(in), hc->left);

	(void)evbuffer_remove_buffer(in, hc->body, n);
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
		if (data > 0)
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
		refuse(hc, 413, "the body is too long");
		return;
	}
	if (st == HTTP1_INVALID) {
		refuse(hc, 400, "the chunks can't be read");
		return;
	}
	if (st == HTTP1_DONE || (!hc->head.is_chunked && hc->left == 0)) {
		count_held(
		    hc, hc->head.text->len + evbuffer_get_length(hc->body));
		if (hc->state == HTTPD_CONN_BODY)
			serve(hc);
		return;
	}
	if (had > 0)
		arm_timer(hc, hc->owner->limits.body_idle_us);
	count_held(hc, hc->head.text->len + evbuffer_get_length(hc->body));
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

	switch (hc->state) {
	case HTTPD_CONN_HEAD:
	case HTTPD_CONN_BODY:
		read_request(hc);
		break;
	case HTTPD_CONN_SERVING:
		(void)evbuffer_add_buffer(hc->pending, in);
		if (evbuffer_get_length(hc->pending) > HTTPD_MAX_PENDING_BYTES)
			(void)bufferevent_disable(bev, EV_READ);
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
		refuse(hc, 408, "the head took too long");
	else if (hc->state == HTTPD_CONN_BODY)
		refuse(hc, 408, "the body took too long");
	else
		evhtp_connection_free(hc->evhtp);
}

/// Reads on after a response, with what came before it.
static void
on_resume(evutil_socket_t fd, short what, void *arg)
{
	struct httpd_conn *hc = arg;

	(void)fd;
	(void)what;
	(void)evbuffer_prepend_buffer(input_of(hc), hc->pending);
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
	set_held(hc, 0);
	reqhead_clear(&hc->head);
	evbuffer_free(hc->body);
	evbuffer_free(hc->pending);
	event_free(hc->timer);
	event_free(hc->resume);
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

/// Whether no part of a request has come since the last response.
bool
httpd_input_is_idle(const struct httpd_conn *hc)
{
	return hc->state == HTTPD_CONN_HEAD &&
	    evbuffer_get_length(input_of(hc)) == 0 &&
	    evbuffer_get_length(hc->pending) == 0;
}
