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

/// Called when bytes have arrived on a connection, before evhttp parses them.
static void
on_input(struct evbuffer *in, const struct evbuffer_cb_info *info, void *arg)
{
	struct httpc_conn *conn = arg;
	struct httpc *c = conn->client;

	if (info->n_added == 0 || conn->call == HANDLE_NONE ||
	    conn->scan.state == RESPSCAN_INVALID)
		return;
	scan_input(conn, in, info->orig_size - info->n_deleted, info->n_added);
	if (conn->scan.state != RESPSCAN_INVALID)
		return;
	// The buffer is in use here, so the call ends later in this iteration
	// of the loop.
	(void)g_array_append_val(c->refused, conn->call);
	event_active(c->end_refused_event, EV_TIMEOUT, 0);
}

/// Callback of an event: ends the calls whose response was found to be none.
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
			httpc_finish_failed(
			    a->conn, STATUS_IO, VERDICT_MAY_HAVE_RUN);
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
