#include "back/httpc_internal.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <string.h>

/// Passes bytes that have just been added to an input buffer to the scanner.
static void
scan_input(struct httpc_conn *conn, struct evbuffer *in, size_t from, size_t n)
{
	struct evbuffer_ptr at;
	struct evbuffer_iovec part;

	if (evbuffer_ptr_set(in, &at, from, EVBUFFER_PTR_SET) != 0)
		return;
	while (n > 0 && evbuffer_peek(in, (ev_ssize_t)n, &at, &part, 1) > 0) {
		const size_t len = MIN(part.iov_len, n);

		respscan_feed(&conn->scan, part.iov_base, len);
		(void)evbuffer_ptr_set(in, &at, len, EVBUFFER_PTR_ADD);
		n -= len;
	}
}

/// Lets a call end later in this iteration of the loop: the buffer that the
/// caller of this function looks at is in use.
static void
refuse(struct httpc_active *a, const char *why)
{
	struct httpc *c = a->client;

	httpc_input_release(a);
	a->refused = true;
	a->error = why;
	(void)g_array_append_val(c->refused, a->handle);
	event_active(c->end_refused_event, EV_TIMEOUT, 0);
}

/// Bytes of a response in memory: what isn't parsed yet and what the owner of
/// the call keeps; all of it if the response is collected.
static size_t
response_bytes(const struct httpc_active *a)
{
	struct bufferevent *bev =
	    evhttp_connection_get_bufferevent(a->conn->evcon);
	const size_t unparsed =
	    bev != NULL ? evbuffer_get_length(bufferevent_get_input(bev)) : 0;

	return a->on_data != NULL ? unparsed + a->retained : a->received;
}

/// The call whose response holds most memory, or NULL.
static struct httpc_active *
largest_call(const struct httpc *c)
{
	struct httpc_active *largest = NULL;

	for (handle_t h = slotmap_next(c->calls, HANDLE_NONE); h != HANDLE_NONE;
	     h = slotmap_next(c->calls, h)) {
		struct httpc_active *a = slotmap_get(c->calls, h);

		if (largest == NULL || a->held > largest->held)
			largest = a;
	}
	return largest;
}

/// Updates what a call's response holds. If all responses together hold too
/// much, the largest ones are refused: sound responses are small beside those
/// of a server that sends without an end.
void
httpc_input_count(struct httpc_active *a)
{
	struct httpc *c = a->client;

	if (a->refused)
		return;
	c->held -= a->held;
	a->held = response_bytes(a);
	c->held += a->held;
	while (c->held > c->max_held)
		refuse(largest_call(c), "responses hold too much memory");
}

/// Stops counting a call.
void
httpc_input_release(struct httpc_active *a)
{
	a->client->held -= a->held;
	a->held = 0;
}

/// Called when bytes have arrived on a connection, before evhttp parses them,
/// and when it has parsed some.
static void
on_input(struct evbuffer *in, const struct evbuffer_cb_info *info, void *arg)
{
	struct httpc_conn *conn = arg;
	struct httpc_active *a = httpc_conn_call(conn);

	if (a == NULL || a->refused)
		return;
	if (info->n_added > 0) {
		a->received += info->n_added;
		scan_input(
		    conn, in, info->orig_size - info->n_deleted, info->n_added);
	}
	if (conn->scan.state == RESPSCAN_INVALID)
		refuse(a, conn->scan.error);
	else
		httpc_input_count(a);
}

/// Callback of an event: ends the calls that refuse() has noted.
void
httpc_input_end_refused(evutil_socket_t fd, short what, void *arg)
{
	struct httpc *c = arg;

	(void)fd;
	(void)what;
	for (guint i = 0; i < c->refused->len; i++) {
		const struct httpc_active *a = slotmap_get(
		    c->calls, g_array_index(c->refused, handle_t, i));

		if (a != NULL)
			httpc_finish_failed(a->conn, STATUS_IO);
	}
	g_array_set_size(c->refused, 0);
}

/// Lets the response to the call that a connection is about to send be checked.
void
httpc_input_check(struct httpc_conn *conn, const struct httpc_request *call,
    uint64_t max_body)
{
	struct bufferevent *bev =
	    evhttp_connection_get_bufferevent(conn->evcon);

	respscan_begin(
	    &conn->scan, strcmp(call->method, "HEAD") == 0, max_body);
	if (bev == NULL || conn->checks_input)
		return;
	conn->checks_input = true;
	(void)evbuffer_add_cb(bufferevent_get_input(bev), on_input, conn);
}
