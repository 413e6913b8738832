#include "standin.h"

#include <glib.h>
#include <string.h>
#include <unistd.h>

#define CRASH_EXIT 9
#define WINDOW_MS 4000
#define REFUSALS_US 1000000

/// A backend server as the platform runs them: it serves requests for one
/// instance id, puts its identity into the headers of each response, and sends
/// server-sent events for paths that contain /stream/.
struct backend {
	struct standin_env *env;
	int64_t runs;    ///< Requests that were run, not refused.
	int64_t checks;  ///< Health checks among the arrivals.
	int64_t running; ///< Requests that work, if a setting gives that time.
	int64_t most_running; ///< Since the settings last changed.
	GArray *refusals;     ///< uint64_t: when it had no room for a request
	GArray *arrivals; ///< uint64_t: times of requests since the settings
			  ///< last changed.
};

/// A stream of events in flight.
struct stream {
	struct backend *b;
	struct evhttp_request *req;
	int64_t next; ///< Id of the next event.
	bool closed;  ///< The caller has closed the connection.
};

static void *
backend_start(struct standin_env *env)
{
	struct backend *b = g_new0(struct backend, 1);

	b->env = env;
	b->arrivals = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	b->refusals = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return b;
}

static void
backend_changed(void *self)
{
	struct backend *b = self;

	(void)g_array_set_size(b->arrivals, 0);
	(void)g_array_set_size(b->refusals, 0);
	b->checks = 0;
	b->most_running = b->running;
}

static void
add_header(struct evhttp_request *req, const char *name, const char *value)
{
	(void)evhttp_add_header(
	    evhttp_request_get_output_headers(req), name, value);
}

/// Adds what the server says of itself, if a setting gives it a value.
static void
add_signal(const struct backend *b, struct evhttp_request *req,
    const char *name, const char *setting)
{
	const char *value = standin_get_str(b->env->settings, setting, "");

	if (value[0] != '\0')
		add_header(req, name, value);
}

/// Adds the headers that every response carries: the request's id, the
/// server's own id, and what it says of itself.
static void
add_identity_headers(const struct backend *b, struct evhttp_request *req)
{
	add_signal(b, req, "Server-Limit", "limit");
	add_signal(b, req, "Server-Leaving", "leaving");
	add_signal(b, req, "Server-Brittle", "brittle");
	if (strcmp(standin_request_path(req), "/health") == 0)
		add_signal(b, req, "X-Acaciahinge-Cold-Ms", "cold_ms");
	add_header(req, "X-Acaciahinge-Request-Id",
	    standin_request_header(req, "X-Acaciahinge-Request-Id", ""));
	add_header(req, "X-Acaciahinge-Server-Stamp",
	    standin_get_str(b->env->settings, "id", ""));
	add_header(req, "X-Acaciahinge-Instance-Id",
	    standin_get_str(b->env->settings, "id", ""));
}

static void
on_closed(struct evhttp_connection *conn, void *arg)
{
	struct stream *s = arg;

	(void)conn;
	s->closed = true;
}

static void
send_event(void *arg)
{
	struct stream *s = arg;
	const json_t *settings = s->b->env->settings;
	const int64_t cut = standin_get_int(settings, "cut_after", 0);
	struct evbuffer *out;

	if (s->closed) {
		g_free(s);
		return;
	}
	if (cut > 0 && s->next > cut) {
		standin_unwatch_close(s->req);
		standin_disconnect(s->req);
		g_free(s);
		return;
	}
	if (s->next > standin_get_int(settings, "events", 5)) {
		standin_unwatch_close(s->req);
		evhttp_send_reply_end(s->req);
		g_free(s);
		return;
	}
	out = evbuffer_new();
	(void)evbuffer_add_printf(
	    out, "id: %d\ndata: token%d\n\n", (int)s->next, (int)s->next);
	evhttp_send_reply_chunk(s->req, out);
	evbuffer_free(out);
	s->next++;
	standin_call_after(s->b->env,
	    (uint64_t)standin_get_int(settings, "gap_ms", 20) * 1000,
	    send_event, s);
}

static void
start_stream(struct backend *b, struct evhttp_request *req)
{
	struct stream *s = g_new0(struct stream, 1);

	s->b = b;
	s->req = req;
	s->next = 1 +
	    (int64_t)g_ascii_strtoull(
		standin_request_header(req, "Last-Event-Id", "0"), NULL, 10);
	add_identity_headers(b, req);
	add_header(req, "Content-Type", "text/event-stream");
	evhttp_send_reply_start(req, 200, "OK");
	standin_watch_close(req, on_closed, s);
	send_event(s);
}

static void
send_response(struct backend *b, struct evhttp_request *req)
{
	struct evbuffer *out = evbuffer_new();
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	const size_t len = evbuffer_get_length(in);
	const int padding =
	    (int)standin_get_int(b->env->settings, "padding", 0);

	add_identity_headers(b, req);
	add_header(req, "Content-Type", "text/plain");
	(void)evbuffer_add_printf(out,
	    "%s customer=%s key=%s hold=%s body=%zu server=%s\n",
	    evhttp_request_get_uri(req),
	    standin_request_header(req, "X-Acaciahinge-Tenant", "-"),
	    standin_request_header(req, "Authorization", "-"),
	    standin_request_header(req, "X-Acaciahinge-Hold", "-"), len,
	    standin_get_str(b->env->settings, "id", ""));
	if (padding > 0)
		(void)evbuffer_add_printf(out, "%0*d\n", padding, 0);
	evhttp_send_reply(req,
	    (int)standin_get_int(b->env->settings, "status", 200), "OK", out);
	evbuffer_free(out);
}

/// A request that works for a time.
struct work {
	struct backend *b;
	struct evhttp_request *req;
	bool closed; ///< The caller has closed the connection.
};

static void
on_work_closed(struct evhttp_connection *conn, void *arg)
{
	struct work *w = arg;

	(void)conn;
	w->closed = true;
}

static void
finish_work(void *arg)
{
	struct work *w = arg;

	w->b->running--;
	if (!w->closed) {
		standin_unwatch_close(w->req);
		send_response(w->b, w->req);
	}
	g_free(w);
}

/// Responds after the time that the setting "work_ms" gives.
static void
start_work(struct backend *b, struct evhttp_request *req, int64_t ms)
{
	struct work *w = g_new0(struct work, 1);

	w->b = b;
	w->req = req;
	b->running++;
	b->most_running = MAX(b->most_running, b->running);
	standin_watch_close(req, on_work_closed, w);
	standin_call_after(b->env, (uint64_t)ms * 1000, finish_work, w);
}

/// Whether a server that works on a limited number of requests at a time, by
/// the setting "places", has none left.
static bool
is_full(struct backend *b, uint64_t now_us)
{
	const int64_t places =
	    standin_get_int(b->env->settings, "places", INT64_MAX);

	if (b->running < places)
		return standin_get_int(b->env->settings, "full", 0) != 0;
	(void)g_array_append_val(b->refusals, now_us);
	return true;
}

/// Whether the prompt has the part in the setting "crash_on".
static bool
has_crashing_part(const struct backend *b, struct evhttp_request *req)
{
	const char *part = standin_get_str(b->env->settings, "crash_on", "");
	const char *prompt =
	    standin_request_header(req, "X-Acaciahinge-Prompt-Prefix", "");
	bool found = false;
	char **parts;

	if (part[0] == '\0')
		return false;
	parts = g_strsplit(prompt, ",", -1);
	for (char **p = parts; *p != NULL; p++)
		found |=
		    g_str_has_prefix(*p, part) && (*p)[strlen(part)] == ':';
	g_strfreev(parts);
	return found;
}

static void
backend_request(void *self, struct evhttp_request *req)
{
	struct backend *b = self;
	const char *id = standin_get_str(b->env->settings, "id", "");
	const uint64_t now = standin_now_us();
	int64_t work_ms;

	if (strcmp(standin_request_header(
		       req, "X-Acaciahinge-Expect-Instance", id),
		id) != 0) {
		add_identity_headers(b, req);
		standin_reply_error(req, 421, "another server has the address");
		return;
	}
	(void)g_array_append_val(b->arrivals, now);
	if (strcmp(standin_request_path(req), "/health") == 0)
		b->checks++;
	if (is_full(b, now)) {
		add_identity_headers(b, req);
		add_signal(b, req, "Retry-After", "retry_after");
		add_header(req, "X-Acaciahinge-Not-Run", "1");
		standin_reply_error(req, 503, "full");
		return;
	}
	b->runs++;
	if (has_crashing_part(b, req))
		_exit(CRASH_EXIT);
	if (standin_get_int(b->env->settings, "mute", 0) != 0)
		return;
	if (standin_get_int(b->env->settings, "lose", 0) != 0) {
		standin_disconnect(req);
		return;
	}
	work_ms = standin_get_int(b->env->settings, "work_ms", 0);
	if (strstr(standin_request_path(req), "/stream/") != NULL)
		start_stream(b, req);
	else if (work_ms > 0)
		start_work(b, req, work_ms);
	else
		send_response(b, req);
}

/// Most of the given times that lie within a window.
static uint32_t
most_in_window(const GArray *times, uint64_t window_us)
{
	uint32_t most = 0;
	guint first = 0;

	for (guint i = 0; i < times->len; i++) {
		const uint64_t at = g_array_index(times, uint64_t, i);

		while (at - g_array_index(times, uint64_t, first) >= window_us)
			first++;
		most = MAX(most, i - first + 1);
	}
	return most;
}

static json_t *
backend_stats(void *self, struct evhttp_request *req)
{
	const struct backend *b = self;

	// Of the arrivals four seconds if no setting says otherwise.
	const uint64_t window_us = (uint64_t)standin_get_int(b->env->settings,
				       "window_ms", WINDOW_MS) *
	    1000;

	(void)req;
	return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I}", "runs",
	    (json_int_t)b->runs, "asked_for_work",
	    (json_int_t)b->arrivals->len - b->checks, "arrived",
	    (json_int_t)b->arrivals->len, "most_in_window",
	    (json_int_t)most_in_window(b->arrivals, window_us),
	    "most_refused_in_second",
	    (json_int_t)most_in_window(b->refusals, REFUSALS_US),
	    "most_running", (json_int_t)b->most_running);
}

const struct standin_kind standin_backend = {
	.name = "backend",
	.start = backend_start,
	.request = backend_request,
	.changed = backend_changed,
	.stats = backend_stats,
};
