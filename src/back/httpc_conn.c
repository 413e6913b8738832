#include "back/httpc_internal.h"

#include <assert.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/bufferevent_ssl.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <openssl/ssl.h>
#include <string.h>
#include <sys/socket.h>

#define HTTPC_MAX_IDLE_PER_ADDRESS 64
/// Idle connections are closed after this, the default of evhttp.
#define HTTPC_IDLE_S 50
/// Calls have limits of their own, which are shorter.
#define HTTPC_CALL_S (24 * 60 * 60)
/// An idle connection is not reused from this time before the end that the
/// server announced (Keep-Alive: timeout): it could be closed while the request
/// is in flight.
#define HTTPC_IDLE_MARGIN_US 700000

/// Makes the kernel drop what it hasn't sent when the connection is closed.
void
httpc_conn_reset_on_close(const struct httpc_conn *conn)
{
	const struct linger now = { .l_onoff = 1 };
	struct bufferevent *bev =
	    evhttp_connection_get_bufferevent(conn->evcon);

	if (bev != NULL && bufferevent_getfd(bev) >= 0)
		(void)setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER,
		    &now, sizeof(now));
}

/// Closes a connection now; not within a callback of evhttp.
void
httpc_conn_free(struct httpc_conn *conn)
{
	if (conn->evcon != NULL)
		evhttp_connection_free(conn->evcon);
	g_free(conn->key);
	g_free(conn);
}

/// Callback of an event: closes what httpc_conn_free_later() left.
void
httpc_conn_free_dead(evutil_socket_t fd, short what, void *arg)
{
	struct httpc *c = arg;

	(void)fd;
	(void)what;
	for (guint i = 0; i < c->dead_conns->len; i++)
		httpc_conn_free(g_ptr_array_index(c->dead_conns, i));
	g_ptr_array_set_size(c->dead_conns, 0);
}

/// Schedules a connection to be freed on the next iteration of the loop, since
/// evhttp may still use it in the callback that is running.
void
httpc_conn_free_later(struct httpc_conn *conn)
{
	assert(!conn->pooled);
	if (conn->dead)
		return;
	conn->dead = true;
	conn->call = HANDLE_NONE;
	g_ptr_array_add(conn->client->dead_conns, conn);
	event_active(conn->client->free_dead_event, EV_TIMEOUT, 0);
}

/// Idle connections of a key; creates an empty queue when there is none.
static GQueue *
idle_queue(struct httpc *c, const char *key)
{
	GQueue *q = g_hash_table_lookup(c->idle, key);

	if (q == NULL) {
		q = g_queue_new();
		g_hash_table_insert(c->idle, g_strdup(key), q);
	}
	return q;
}

/// Whether bytes have followed a complete response. They belong to no request,
/// so the connection can't be reused.
static bool
has_stray_bytes(const struct httpc_conn *conn)
{
	struct bufferevent *bev =
	    evhttp_connection_get_bufferevent(conn->evcon);

	return conn->scan.is_surplus ||
	    (bev != NULL &&
		evbuffer_get_length(bufferevent_get_input(bev)) > 0);
}

/// Reads how long the server keeps the idle connection: `Keep-Alive:
/// timeout=S`.
static void
set_reuse_limit(struct httpc_conn *conn, struct evhttp_request *req)
{
	const char *value = evhttp_find_header(
	    evhttp_request_get_input_headers(req), "Keep-Alive");
	const char *at = value == NULL ? NULL : strstr(value, "timeout=");

	conn->unused_after_us = 0;
	if (at == NULL)
		return;
	conn->unused_after_us = g_get_monotonic_time() - HTTPC_IDLE_MARGIN_US +
	    (int64_t)g_ascii_strtoull(at + strlen("timeout="), NULL, 10) *
		G_USEC_PER_SEC;
}

/// Replaces the library's limit on the time between two bytes.
static void
limit_silence(struct httpc_conn *conn, int s)
{
	evhttp_connection_set_timeout(conn->evcon, s);
}

/// Returns a connection to the pool after a complete response, or closes it if
/// it can't be used again.
void
httpc_conn_release(struct httpc_conn *conn, struct evhttp_request *req)
{
	GQueue *q = idle_queue(conn->client, conn->key);

	set_reuse_limit(conn, req);
	conn->call = HANDLE_NONE;
	if (conn->single_use || q->length >= HTTPC_MAX_IDLE_PER_ADDRESS ||
	    has_stray_bytes(conn)) {
		httpc_conn_free_later(conn);
		return;
	}
	limit_silence(conn, HTTPC_IDLE_S);
	conn->pooled = true;
	g_queue_push_head(q, conn);
}

/// Takes a connection out of the pool.
///
/// @return NULL when none is idle
static struct httpc_conn *
take_pooled(struct httpc *c, const char *key)
{
	struct httpc_conn *conn = g_queue_pop_head(idle_queue(c, key));

	if (conn != NULL)
		conn->pooled = false;
	return conn;
}

/// Whether a connection is established.
bool
httpc_conn_is_connected(const struct httpc_conn *conn)
{
	struct bufferevent *bev;
	struct sockaddr_storage peer;
	socklen_t len = sizeof(peer);
	evutil_socket_t fd;

	bev = evhttp_connection_get_bufferevent(conn->evcon);
	fd = bev == NULL ? -1 : bufferevent_getfd(bev);
	if (fd < 0)
		return false;
	return getpeername(fd, (struct sockaddr *)&peer, &len) == 0;
}

static struct evhttp_connection *
make_evcon(struct httpc *c, const struct httpc_request *call)
{
	struct bufferevent *bev;

	if (call->tls == NULL)
		return evhttp_connection_base_new(
		    c->base, NULL, call->host, call->port);
	bev = bufferevent_openssl_socket_new(c->base, -1, SSL_new(call->tls),
	    BUFFEREVENT_SSL_CONNECTING, BEV_OPT_CLOSE_ON_FREE);
	return evhttp_connection_base_bufferevent_new(
	    c->base, NULL, bev, call->host, call->port);
}

/// A connection for a call: an idle one of the pool or a new one.
///
/// @return NULL when none can be made
struct httpc_conn *
httpc_conn_get(struct httpc *c, const struct httpc_request *call)
{
	char *key = g_strdup_printf("%s:%u", call->host, call->port);
	struct httpc_conn *conn = NULL;

	while (!call->new_connection) {
		conn = take_pooled(c, key);
		if (conn == NULL || conn->unused_after_us == 0 ||
		    g_get_monotonic_time() < conn->unused_after_us)
			break;
		httpc_conn_free_later(conn);
	}
	if (conn != NULL) {
		g_free(key);
		limit_silence(conn, HTTPC_CALL_S);
		return conn;
	}
	c->n_opened++;
	conn = g_new0(struct httpc_conn, 1);
	conn->client = c;
	conn->key = key;
	conn->single_use = call->new_connection;
	conn->evcon = make_evcon(c, call);
	if (conn->evcon == NULL) {
		httpc_conn_free(conn);
		return NULL;
	}
	evhttp_connection_set_max_headers_size(
	    conn->evcon, RESPSCAN_MAX_HEAD_BYTES);
	limit_silence(conn, HTTPC_CALL_S);
	return conn;
}

/// The call in flight on a connection, or NULL.
struct httpc_active *
httpc_conn_call(const struct httpc_conn *conn)
{
	return slotmap_get(conn->client->calls, conn->call);
}

/// Takes a connection out of the pool and closes it, unless it is in use.
void
httpc_conn_discard(struct httpc_conn *conn)
{
	if (!conn->pooled)
		return;
	(void)g_queue_remove(idle_queue(conn->client, conn->key), conn);
	conn->pooled = false;
	httpc_conn_free_later(conn);
}
