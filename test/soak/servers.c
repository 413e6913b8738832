#include "soak.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>

#define WORK_MIN_US (5 * USEC_PER_MSEC)
#define WORK_SPREAD_US 30000
#define EVENT_GAP_US (25 * USEC_PER_MSEC)
/// Extra time beyond SOAK_DRAIN_US before requests at a draining server count
/// as a violation: a gateway reads the list late, and requests are under way.
#define DRAIN_SLACK_US (700 * USEC_PER_MSEC)

/// One run of a request at a server.
struct run {
	struct soak *soak;
	struct soak_server *server;
	struct evhttp_request *http;
	struct event *timer;
	struct evhttp_connection *conn;
	char id[SOAK_ID_BYTES];
	char server_id[SOAK_ID_BYTES];
	enum soak_behaviour behaviour;
	uint32_t events;
	uint32_t next;
	bool stream;
	bool started;
};

static void
add_header(struct evhttp_request *http, const char *name, const char *value)
{
	(void)evhttp_add_header(
	    evhttp_request_get_output_headers(http), name, value);
}

static const char *
header(struct evhttp_request *http, const char *name)
{
	const char *v =
	    evhttp_find_header(evhttp_request_get_input_headers(http), name);

	return v != NULL ? v : "";
}

static void
run_free(struct run *r)
{
	if (r->conn != NULL)
		evhttp_connection_set_closecb(r->conn, NULL, NULL);
	event_free(r->timer);
	g_free(r);
}

static void
on_closed(struct evhttp_connection *conn, void *arg)
{
	struct run *r = arg;

	(void)conn;
	r->conn = NULL;
	run_free(r);
}

/// Ends a run by closing its connection.
static void
cut_run(struct run *r)
{
	struct evhttp_connection *conn = r->conn;

	r->conn = NULL;
	if (conn != NULL) {
		evhttp_connection_set_closecb(conn, NULL, NULL);
		evhttp_connection_free(conn);
	}
	event_free(r->timer);
	g_free(r);
}

static void
schedule_work(struct run *r, uint64_t in_us)
{
	const struct timeval tv = {
		.tv_sec = (time_t)(in_us / USEC_PER_SEC),
		.tv_usec = (suseconds_t)(in_us % USEC_PER_SEC),
	};

	(void)evtimer_add(r->timer, &tv);
}

static void
send_event(struct run *r)
{
	struct evbuffer *out;

	if (!r->started) {
		r->started = true;
		add_header(r->http, "Content-Type", "text/event-stream");
		evhttp_send_reply_start(r->http, 200, "OK");
	}
	if (r->next > r->events) {
		evhttp_send_reply_end(r->http);
		run_free(r);
		return;
	}
	if (r->behaviour == SOAK_CUTS && r->next > r->events / 2) {
		cut_run(r);
		return;
	}
	out = evbuffer_new();
	(void)evbuffer_add_printf(
	    out, "id: %u\ndata: %s %u\n\n", r->next, r->id, r->next);
	evhttp_send_reply_chunk(r->http, out);
	evbuffer_free(out);
	r->next++;
	schedule_work(r, EVENT_GAP_US);
}

static void
send_plain(struct run *r)
{
	struct evbuffer *out = evbuffer_new();

	(void)evbuffer_add_printf(out, "%s at %s", r->id, r->server_id);
	evhttp_send_reply(
	    r->http, r->behaviour == SOAK_FAILS ? 500 : 200, "done", out);
	evbuffer_free(out);
	run_free(r);
}

static void
on_work(evutil_socket_t fd, short what, void *arg)
{
	struct run *r = arg;

	(void)fd;
	(void)what;
	if (r->behaviour == SOAK_HANGS)
		return;
	if (r->stream)
		send_event(r);
	else if (r->behaviour == SOAK_CUTS)
		cut_run(r);
	else
		send_plain(r);
}

static void
refuse(struct evhttp_request *http, int status)
{
	add_header(http, "X-Acaciahinge-Not-Run", "1");
	evhttp_send_reply(http, status, "not run", NULL);
}

static void
check_drain(struct soak_server *v, const struct soak_request *q)
{
	struct soak *s = v->soak;
	const struct soak_process *g = &s->gateways[q->gateway];
	const uint64_t now = soak_now_us(s);

	if (v->draining_us == 0 ||
	    now < v->draining_us + SOAK_DRAIN_US + DRAIN_SLACK_US ||
	    now < s->any_fault_us + SOAK_CONTACT_US ||
	    now < g->last_fault_us + SOAK_CONTACT_US)
		return;
	soak_violation(s, "drain: %s reached %s %.1f s after it began to drain",
	    q->id, v->id,
	    (double)(now - v->draining_us) / (double)USEC_PER_SEC);
}

static void
on_request(struct evhttp_request *http, void *arg)
{
	struct soak_server *v = arg;
	struct soak *s = v->soak;
	const char *id = header(http, "X-Acaciahinge-Request-Id");
	struct soak_request *q = g_hash_table_lookup(s->requests, id);
	const char *expected = header(http, "X-Acaciahinge-Expect-Instance");
	const char *last = header(http, "Last-Event-Id");
	struct run *r;

	if (strcmp(expected, v->id) != 0) {
		refuse(http, 421);
		return;
	}
	if (v->behaviour == SOAK_FULL) {
		refuse(http, 503);
		return;
	}
	if (q == NULL) {
		soak_violation(s,
		    "unasked: '%s' reached %s but no caller sent it", id,
		    v->id);
		refuse(http, 400);
		return;
	}
	if (strcmp(header(http, "X-Acaciahinge-Tenant"), "depot") != 0 ||
	    header(http, "Authorization")[0] != '\0')
		soak_violation(s, "unasked: %s ran for customer '%s', key '%s'",
		    id, header(http, "X-Acaciahinge-Tenant"),
		    header(http, "Authorization"));
	check_drain(v, q);
	soak_request_record_run(s, q, v);
	r = g_new0(struct run, 1);
	r->soak = s;
	r->server = v;
	r->http = http;
	r->behaviour = v->behaviour;
	r->stream = q->kind == SOAK_STREAM || q->kind == SOAK_ONCE;
	r->events = q->events;
	r->next = (uint32_t)strtoul(last, NULL, 10) + 1;
	(void)g_strlcpy(r->id, id, sizeof(r->id));
	(void)g_strlcpy(r->server_id, v->id, sizeof(r->server_id));
	add_header(http, "X-Acaciahinge-Request-Id", id);
	add_header(http, "X-Acaciahinge-Server-Stamp", v->id);
	r->conn = evhttp_request_get_connection(http);
	evhttp_connection_set_closecb(r->conn, on_closed, r);
	r->timer = evtimer_new(loop_event_base(s->loop), on_work, r);
	schedule_work(r, WORK_MIN_US + soak_random_below(s, WORK_SPREAD_US));
}

/// Restarts a server under a new id.
void
soak_server_boot(struct soak_server *v)
{
	v->boots++;
	v->behaviour = SOAK_NORMAL;
	v->draining_us = 0;
	v->listed = true;
	(void)g_snprintf(v->id, sizeof(v->id), "i-%u-%u", v->number, v->boots);
}

/// Starts all servers.
void
soak_servers_start(struct soak *s)
{
	char host[SOAK_HOST_BYTES];

	for (uint32_t i = 0; i < s->n_servers; i++) {
		struct soak_server *v = &s->servers[i];

		v->soak = s;
		v->number = i;
		soak_server_boot(v);
		soak_host_address(s, SOAK_SERVER_LISTENS_AT + i, host);
		v->http = evhttp_new(loop_event_base(s->loop));
		evhttp_set_gencb(v->http, on_request, v);
		if (evhttp_bind_socket(v->http, host, SOAK_PORT) != 0)
			g_error("can't listen at %s:%d", host, SOAK_PORT);
	}
}

void
soak_servers_stop(struct soak *s)
{
	for (uint32_t i = 0; i < s->n_servers; i++)
		evhttp_free(s->servers[i].http);
}
