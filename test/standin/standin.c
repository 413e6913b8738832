#include "standin.h"

#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

struct later {
	standin_callback cb;
	void *arg;
};

/// Current time of the monotonic clock.
uint64_t
standin_now_us(void)
{
	return (uint64_t)g_get_monotonic_time();
}

/// Integer under a key, or the fallback.
int64_t
standin_get_int(const json_t *object, const char *key, int64_t fallback)
{
	const json_t *v = json_object_get(object, key);

	if (json_is_boolean(v))
		return json_is_true(v) ? 1 : 0;
	return json_is_integer(v) ? json_integer_value(v) : fallback;
}

/// String under a key, or the fallback.
const char *
standin_get_str(const json_t *object, const char *key, const char *fallback)
{
	const json_t *v = json_object_get(object, key);

	return json_is_string(v) ? json_string_value(v) : fallback;
}

/// Draws whether something with this probability happens.
bool
standin_chance(struct standin_env *env, int64_t permille)
{
	if (permille <= 0)
		return false;
	return rnd_below(env->rnd, 1000) < (uint64_t)permille;
}

static void
on_later(evutil_socket_t fd, short what, void *arg)
{
	struct later l = *(struct later *)arg;

	(void)fd;
	(void)what;
	g_free(arg);
	l.cb(l.arg);
}

/// Calls `cb` once after `in_us` microseconds.
void
standin_call_after(
    struct standin_env *env, uint64_t in_us, standin_callback cb, void *arg)
{
	struct later *l = g_new0(struct later, 1);
	struct timeval tv = {
		.tv_sec = (time_t)(in_us / 1000000),
		.tv_usec = (suseconds_t)(in_us % 1000000),
	};

	l->cb = cb;
	l->arg = arg;
	(void)event_base_once(env->base, -1, EV_TIMEOUT, on_later, l, &tv);
}

/// Path of a request, without its query.
const char *
standin_request_path(struct evhttp_request *req)
{
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));

	return path != NULL ? path : "";
}

/// Whether a request has this method and exact path.
bool
standin_request_is(
    struct evhttp_request *req, enum evhttp_cmd_type method, const char *path)
{
	return evhttp_request_get_command(req) == method &&
	    strcmp(standin_request_path(req), path) == 0;
}

/// The part of the path after `prefix`; NULL when method or prefix differ.
const char *
standin_path_tail(
    struct evhttp_request *req, enum evhttp_cmd_type method, const char *prefix)
{
	const char *path = standin_request_path(req);

	if (evhttp_request_get_command(req) != method ||
	    !g_str_has_prefix(path, prefix))
		return NULL;
	return path + strlen(prefix);
}

/// Value of a request header, or the fallback.
const char *
standin_request_header(
    struct evhttp_request *req, const char *name, const char *fallback)
{
	const char *v =
	    evhttp_find_header(evhttp_request_get_input_headers(req), name);

	return v != NULL ? v : fallback;
}

/// Number from the query string of a request, or the fallback.
uint64_t
standin_query_number(
    struct evhttp_request *req, const char *key, uint64_t fallback)
{
	const char *query =
	    evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));
	struct evkeyvalq params;
	const char *v;

	if (query == NULL || evhttp_parse_query_str(query, &params) != 0)
		return fallback;
	v = evhttp_find_header(&params, key);
	if (v != NULL)
		fallback = g_ascii_strtoull(v, NULL, 10);
	evhttp_clear_headers(&params);
	return fallback;
}

/// Parses the body of a request.
///
/// @return new reference, owned by the caller; NULL when it isn't a JSON
///         object
json_t *
standin_body_json(struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	const size_t len = evbuffer_get_length(in);
	const char *bytes = (const char *)evbuffer_pullup(in, -1);
	json_t *body;

	if (len == 0)
		return NULL;
	body = json_loadb(bytes, len, 0, NULL);
	if (!json_is_object(body)) {
		json_decref(body);
		return NULL;
	}
	return body;
}

/// Sends a JSON response; takes over the reference to `body`.
void
standin_reply(struct evhttp_request *req, int status, json_t *body)
{
	struct evbuffer *out = evbuffer_new();
	char *text = json_dumps(body, JSON_COMPACT);

	(void)evhttp_add_header(evhttp_request_get_output_headers(req),
	    "Content-Type", "application/json");
	(void)evbuffer_add(out, text, strlen(text));
	evhttp_send_reply(req, status, NULL, out);
	free(text);
	json_decref(body);
	evbuffer_free(out);
}

/// Sends an error response: {"error":{"message","status"}}.
void
standin_reply_error(struct evhttp_request *req, int status, const char *why)
{
	standin_reply(req, status,
	    json_pack(
		"{s:{s:s,s:i}}", "error", "message", why, "status", status));
}

static struct bufferevent *
stream_of(struct evhttp_request *req)
{
	struct evhttp_connection *conn = evhttp_request_get_connection(req);

	if (conn == NULL)
		return NULL;
	return evhttp_connection_get_bufferevent(conn);
}

/// Sends each chunk at once, without waiting for earlier ones to be
/// acknowledged.
void
standin_no_delay(struct evhttp_request *req)
{
	struct bufferevent *b = stream_of(req);
	const int on = 1;

	if (b != NULL)
		(void)setsockopt(bufferevent_getfd(b), IPPROTO_TCP, TCP_NODELAY,
		    &on, sizeof(on));
}

/// Shuts down the connection of a request in the middle of its response.
/// Buffered output is lost, as when a machine fails.
void
standin_disconnect(struct evhttp_request *req)
{
	struct bufferevent *b = stream_of(req);

	if (b != NULL)
		(void)shutdown(bufferevent_getfd(b), SHUT_RDWR);
}

/// Calls `closed` when the caller closes the connection before the response
/// has ended. The callback owns the request and must end it with
/// evhttp_send_reply_end.
void
standin_watch_close(struct evhttp_request *req,
    void (*closed)(struct evhttp_connection *, void *), void *arg)
{
	struct bufferevent *b = stream_of(req);
	bufferevent_event_cb event_cb;
	bufferevent_data_cb write_cb;
	void *cb_arg;

	if (b == NULL)
		return;
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), closed, arg);
	// evhttp doesn't read while a request is being served, and so would
	// notice the closed connection only on a write.
	bufferevent_getcb(b, NULL, &write_cb, &event_cb, &cb_arg);
	bufferevent_setcb(b, NULL, write_cb, event_cb, cb_arg);
	(void)bufferevent_enable(b, EV_READ);
}

/// Ends standin_watch_close; must be called before the response ends.
void
standin_unwatch_close(struct evhttp_request *req)
{
	struct evhttp_connection *conn = evhttp_request_get_connection(req);

	if (conn != NULL)
		evhttp_connection_set_closecb(conn, NULL, NULL);
}
