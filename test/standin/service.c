#include "fault.h"
#include "standin.h"

#include <event2/bufferevent.h>
#include <glib.h>
#include <math.h>
#include <string.h>

/// Record of one request id: how often the request ran, and its response.
struct record {
	uint64_t runs;
	int status;
	char *path;
	char *body;
};

struct service {
	struct standin_env *env;
	GHashTable *records; ///< request id -> struct record
	char *last_id;       ///< Id of the last request, for crossed responses.
	uint64_t started_us;
	uint64_t requests;
	uint64_t responses;
	uint64_t running;
	uint64_t repeated; ///< Runs after the first under one id.
};

/// A request in flight; it ends after its latency.
struct work {
	struct service *s;
	struct evhttp_request *req;
	char *id;
	enum hostile hostile;
	enum fault_act act;
	bool runs; ///< False: the connection is closed before it runs.
};

static void
record_free(gpointer item)
{
	struct record *r = item;

	g_free(r->path);
	g_free(r->body);
	g_free(r);
}

static void *
service_start(struct standin_env *env)
{
	struct service *s = g_new0(struct service, 1);

	s->env = env;
	s->started_us = standin_now_us();
	s->records =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, record_free);
	s->last_id = g_strdup("r-other");
	return s;
}

static void
service_changed(void *self)
{
	(void)self;
}

static struct record *
run_once(struct service *s, const char *id, const char *path)
{
	struct record *r = g_hash_table_lookup(s->records, id);

	if (r == NULL) {
		r = g_new0(struct record, 1);
		r->status = 200;
		r->path = g_strdup(path);
		(void)g_hash_table_insert(s->records, g_strdup(id), r);
	} else {
		s->repeated++;
	}
	r->runs++;
	g_free(r->body);
	r->body = g_strdup_printf(
	    "{\"request_id\":\"%s\",\"path\":\"%s\",\"confirmation\":"
	    "\"C-%08x\",\"run\":%llu}",
	    id, path, g_str_hash(id), (unsigned long long)r->runs);
	return r;
}

static void
send_response(struct work *w, int status, const char *id, const char *body)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(w->req);
	struct evbuffer *buf = evbuffer_new();

	(void)evhttp_add_header(out, "Content-Type", "application/json");
	(void)evhttp_add_header(out, "X-Request-Id", id);
	(void)evbuffer_add(buf, body, strlen(body));
	evhttp_send_reply(w->req, status, NULL, buf);
	evbuffer_free(buf);
}

/// Closes a request's connection without a response.
static void
drop_connection(struct work *w)
{
	standin_disconnect(w->req);
	send_response(w, 200, w->id, "");
}

/// Responds with another request's id and body.
static void
send_crossed(struct work *w)
{
	char *body = g_strdup_printf("{\"request_id\":\"%s\"}", w->s->last_id);

	send_response(w, 200, w->s->last_id, body);
	g_free(body);
}

static void
finish(struct work *w)
{
	struct service *s = w->s;
	struct record *r;

	if (!w->runs) {
		drop_connection(w);
		return;
	}
	r = run_once(s, w->id, standin_request_path(w->req));
	if (standin_chance(s->env,
		standin_get_int(s->env->settings, "cut_after_permille", 0)))
		w->hostile = HOSTILE_CUT;
	if (w->act == FAULT_FAIL ||
	    standin_chance(s->env,
		standin_get_int(s->env->settings, "fail_after_permille", 0)))
		r->status = 500;
	if (w->hostile == HOSTILE_CUT || w->hostile == HOSTILE_NO_END ||
	    w->act == FAULT_CUT)
		drop_connection(w);
	else if (w->hostile == HOSTILE_CROSSED)
		send_crossed(w);
	else
		send_response(w, r->status, w->id, r->body);
	s->responses++;
}

static void
on_done(void *arg)
{
	struct work *w = arg;
	struct service *s = w->s;

	finish(w);
	s->running--;
	g_free(s->last_id);
	s->last_id = w->id;
	g_free(w);
}

static uint64_t
latency_us(struct service *s, const struct work *w)
{
	const json_t *settings = s->env->settings;
	const double median =
	    (double)standin_get_int(settings, "latency_us", 500);
	const double sigma =
	    (double)standin_get_int(settings, "latency_sigma_permille", 0) /
	    1000;
	uint64_t us = (uint64_t)median;

	if (sigma > 0)
		us = (uint64_t)rnd_lognormal(s->env->rnd, median, sigma);
	if (w->hostile == HOSTILE_LATE)
		us +=
		    (uint64_t)standin_get_int(settings, "late_ms", 500) * 1000;
	if (w->hostile == HOSTILE_STALL)
		us += (uint64_t)standin_get_int(settings, "stall_ms", 3600000) *
		    1000;
	if (w->act == FAULT_SLOW)
		us +=
		    (uint64_t)standin_get_int(settings, "slow_ms", 200) * 1000;
	return us;
}

static void
accept_work(struct service *s, struct evhttp_request *req, const char *id)
{
	const json_t *settings = s->env->settings;
	const json_t *version =
	    json_array_get(json_object_get(settings, "versions"), 0);
	const struct fault_load load = {
		.route = standin_request_path(req),
		.responses = s->responses,
		.up_us = standin_now_us() - s->started_us,
		.running = s->running,
	};
	struct work *w = g_new0(struct work, 1);
	uint64_t us;

	*w = (struct work){
		.s = s,
		.req = req,
		.id = g_strdup(id),
		.hostile = hostile_draw(s->env),
		.act = fault_choose(s->env, version, &load),
		.runs = !standin_chance(s->env,
		    standin_get_int(settings, "cut_before_permille", 0)),
	};
	s->running++;
	us = latency_us(s, w);
	if (us == 0)
		on_done(w);
	else
		standin_call_after(s->env, us, on_done, w);
}

static void
send_record(struct service *s, struct evhttp_request *req, const char *id)
{
	const struct record *r = g_hash_table_lookup(s->records, id);

	if (!standin_get_int(s->env->settings, "lookup", 1))
		standin_reply_error(req, 404, "no lookup here");
	else if (r == NULL)
		standin_reply_error(req, 404, "this request never ran");
	else
		standin_reply(req, 200,
		    json_pack("{s:I,s:i,s:s}", "runs", (json_int_t)r->runs,
			"status", r->status, "body", r->body));
}

static void
report_load(struct service *s, struct evhttp_request *req)
{
	standin_reply(req, 200,
	    json_pack("{s:s,s:I,s:i,s:I,s:i,s:i,s:i,s:i,s:[s],s:b}", "server",
		standin_get_str(s->env->settings, "name", ""), "sequence",
		(json_int_t)standin_now_us(), "age_ms", 0, "running",
		(json_int_t)s->running, "waiting", 0, "kv_used_tokens", 0,
		"kv_total_tokens", 0, "tokens_per_s", 0, "versions",
		standin_get_str(
		    json_array_get(
			json_object_get(s->env->settings, "versions"), 0),
		    "name", "v1"),
		"leaving",
		(int)standin_get_int(s->env->settings, "leaving", 0)));
}

static void
service_request(void *self, struct evhttp_request *req)
{
	struct service *s = self;
	const char *id = standin_path_tail(req, EVHTTP_REQ_GET, "/runs/");

	if (id != NULL) {
		send_record(s, req, id);
		return;
	}
	if (standin_request_is(req, EVHTTP_REQ_GET, "/load")) {
		report_load(s, req);
		return;
	}
	if (evhttp_request_get_command(req) != EVHTTP_REQ_POST) {
		standin_reply_error(req, 404, "no such call");
		return;
	}
	s->requests++;
	id = standin_request_header(req, "X-Request-Id", NULL);
	if (id == NULL)
		standin_reply_error(req, 400, "X-Request-Id is missing");
	else if (standin_chance(s->env,
		     standin_get_int(
			 s->env->settings, "fail_before_permille", 0)))
		standin_reply_error(req, 503, "refused before it ran");
	else
		accept_work(s, req, id);
}

/// Number of runs of each request id, grouped by path.
static json_t *
runs_by_path(const struct service *s)
{
	json_t *out = json_object();
	GHashTableIter it;
	gpointer id;
	gpointer item;

	g_hash_table_iter_init(&it, s->records);
	while (g_hash_table_iter_next(&it, &id, &item)) {
		const struct record *r = item;

		if (json_object_get(out, r->path) == NULL)
			(void)json_object_set_new(out, r->path, json_object());
		(void)json_object_set_new(json_object_get(out, r->path), id,
		    json_integer((json_int_t)r->runs));
	}
	return out;
}

static json_t *
service_stats(void *self, struct evhttp_request *req)
{
	struct service *s = self;
	json_t *runs = standin_query_number(req, "runs", 0) != 0
	    ? runs_by_path(s)
	    : json_object();

	return json_pack("{s:I,s:I,s:I,s:I,s:I,s:o}", "requests",
	    (json_int_t)s->requests, "answers", (json_int_t)s->responses,
	    "running", (json_int_t)s->running, "ids",
	    (json_int_t)g_hash_table_size(s->records), "repeated",
	    (json_int_t)s->repeated, "runs", runs);
}

/// An ordinary HTTP service that counts the runs of each request id, so that
/// tests find requests that ran twice.
const struct standin_kind standin_service = {
	.name = "service",
	.start = service_start,
	.request = service_request,
	.changed = service_changed,
	.stats = service_stats,
};
