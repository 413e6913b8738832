#include "runner.h"

#include "text.h"

#include <string.h>

#define KEPT_TEXTS 512
#define CHUNK_BYTES 512

/// Finds a version by name in the settings; "" stands for the first loaded
/// one.
///
/// @return borrowed reference, or NULL
json_t *
runner_version(struct runner *r, const char *name)
{
	json_t *list = json_object_get(r->env->settings, "versions");
	json_t *v;
	size_t i;

	json_array_foreach(list, i, v)
	{
		if (name[0] == '\0'
			? runner_loaded(v)
			: strcmp(standin_get_str(v, "name", ""), name) == 0)
			return v;
	}
	return NULL;
}

/// Whether a version's weights are loaded.
bool
runner_loaded(const json_t *version)
{
	return standin_get_int(version, "loaded", 1) != 0;
}

static struct version_state *
version_state(struct runner *r, const char *name)
{
	struct version_state *s = g_hash_table_lookup(r->versions, name);

	if (s != NULL)
		return s;
	s = g_new0(struct version_state, 1);
	s->first_us = standin_now_us();
	(void)g_hash_table_insert(r->versions, g_strdup(name), s);
	return s;
}

/// An attempt at a request that runs or waits in the engine, or NULL.
struct job *
runner_find_job(struct runner *r, const char *id)
{
	for (guint i = 0; i < r->engine->running->len; i++) {
		struct job *j = g_ptr_array_index(r->engine->running, i);

		if (strcmp(j->id, id) == 0)
			return j;
	}
	for (GList *l = r->engine->waiting->head; l != NULL; l = l->next) {
		struct job *j = l->data;

		if (strcmp(j->id, id) == 0)
			return j;
	}
	return NULL;
}

/// Keeps the text of an attempt, so that its KV cache can be exported.
void
runner_remember(struct runner *r, const struct job *j)
{
	if (!g_hash_table_contains(r->recent, j->id))
		g_queue_push_tail(r->recent_ids, g_strdup(j->id));
	(void)g_hash_table_insert(
	    r->recent, g_strdup(j->id), g_strdup(j->text->str));
	if (r->recent_ids->length > KEPT_TEXTS) {
		char *oldest = g_queue_pop_head(r->recent_ids);

		(void)g_hash_table_remove(r->recent, oldest);
		g_free(oldest);
	}
}

static void
job_free(struct job *j)
{
	g_free(j->id);
	g_free(j->version);
	g_free(j->prompt);
	g_string_free(j->text, TRUE);
	g_free(j);
}

static void
send_text(struct job *j, const char *text)
{
	struct evbuffer *buf = evbuffer_new();

	(void)evbuffer_add(buf, text, strlen(text));
	evhttp_send_reply_chunk(j->req, buf);
	evbuffer_free(buf);
}

static void
send_chunk(struct job *j, const char *id, uint32_t offset, const char *text)
{
	char chunk[CHUNK_BYTES];

	(void)g_snprintf(chunk, sizeof(chunk),
	    "data: {\"id\":\"%s\",\"object\":\"chat.completion.chunk\","
	    "\"model\":\"%s\",\"attempt\":%llu,\"offset\":%u,\"choices\":"
	    "[{\"index\":0,\"delta\":{\"content\":\"%s\"},"
	    "\"finish_reason\":null}]}\n\n",
	    id, j->version, (unsigned long long)j->attempt, offset, text);
	send_text(j, chunk);
}

/// Sends a chunk of the next request in the batch to this one's caller.
static void
send_crossed(struct runner *r, struct job *j)
{
	char token[TEXT_TOKEN_BYTES + 1];
	const struct job *other = j;

	for (guint i = 0; i < r->engine->running->len; i++) {
		other = g_ptr_array_index(r->engine->running, i);
		if (other != j)
			break;
	}
	text_token(other->prompt_hash ^ 1, j->next, token);
	send_chunk(j, other != j ? other->id : "r-other", j->next, token);
}

static void
on_token(void *owner, struct job *j, const char *text)
{
	struct runner *r = owner;
	const bool misbehave = j->next + 1 == j->hostile_at;

	if (misbehave)
		r->engine->stats.hostile[j->hostile]++;
	if (misbehave && j->hostile == HOSTILE_CROSSED && j->stream)
		send_crossed(r, j);
	if (j->stream)
		send_chunk(j, j->id, j->next, text);
	if (misbehave && j->hostile == HOSTILE_DUPLICATE && j->stream)
		send_chunk(j, j->id, j->next, text);
	if (misbehave && j->hostile == HOSTILE_CUT)
		standin_disconnect(j->req);
}

static void
send_usage(struct job *j)
{
	char chunk[CHUNK_BYTES];

	(void)g_snprintf(chunk, sizeof(chunk),
	    "data: {\"id\":\"%s\",\"object\":\"chat.completion.chunk\","
	    "\"model\":\"%s\",\"attempt\":%llu,\"offset\":%u,\"choices\":"
	    "[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],"
	    "\"usage\":{\"prompt_tokens\":%u,\"completion_tokens\":%u,"
	    "\"cached_tokens\":%u,\"recomputed_tokens\":%u}}\n\n"
	    "data: [DONE]\n\n",
	    j->id, j->version, (unsigned long long)j->attempt, j->n_tokens,
	    j->prompt_tokens, j->n_tokens, j->cached_tokens,
	    j->prefilled_tokens);
	send_text(j, chunk);
}

static void
send_complete(struct job *j)
{
	const bool crossed = j->hostile == HOSTILE_CROSSED;
	const size_t response_bytes =
	    (size_t)(j->n_tokens - j->resume_from) * TEXT_TOKEN_BYTES;

	standin_reply(j->req, 200,
	    json_pack("{s:s,s:s,s:s,s:[{s:i,s:{s:s,s:s},s:s}],"
		      "s:{s:i,s:i,s:i,s:i}}",
		"id", crossed ? "r-other" : j->id, "object", "chat.completion",
		"model", j->version, "choices", "index", 0, "message", "role",
		"assistant", "content",
		j->text->str + j->text->len - response_bytes, "finish_reason",
		"stop", "usage", "prompt_tokens", (int)j->prompt_tokens,
		"completion_tokens", (int)j->n_tokens, "cached_tokens",
		(int)j->cached_tokens, "recomputed_tokens",
		(int)j->prefilled_tokens));
}

static void
on_end(void *owner, struct job *j)
{
	struct runner *r = owner;

	version_state(r, j->version)->responses++;
	runner_remember(r, j);
	standin_unwatch_close(j->req);
	if (!j->stream) {
		send_complete(j);
	} else {
		if (j->hostile != HOSTILE_NO_END)
			send_usage(j);
		evhttp_send_reply_end(j->req);
	}
	job_free(j);
}

/// Ends an attempt before its response is complete.
static void
stop_job(struct runner *r, struct job *j)
{
	engine_remove(r->engine, j);
	runner_remember(r, j);
	standin_unwatch_close(j->req);
	standin_disconnect(j->req);
	if (j->stream)
		evhttp_send_reply_end(j->req);
	else
		standin_reply_error(j->req, 503, "cancelled");
	job_free(j);
}

static void
on_closed(struct evhttp_connection *conn, void *arg)
{
	struct job *j = arg;

	(void)conn;
	stop_job(j->owner, j);
}

static void
count_attempt(struct runner *r, const char *id)
{
	const guint n = GPOINTER_TO_UINT(g_hash_table_lookup(r->attempts, id));

	(void)g_hash_table_insert(
	    r->attempts, g_strdup(id), GUINT_TO_POINTER(n + 1));
}

/// Draws which fault of the version and which hostile behaviour of the server
/// hit this job, and at which token.
static void
draw_faults(struct runner *r, struct job *j, const json_t *version)
{
	struct version_state *s = version_state(r, j->version);
	const struct fault_load load = {
		.route = standin_request_path(j->req),
		.responses = s->responses,
		.up_us = standin_now_us() - s->first_us,
		.running = r->engine->running->len + r->engine->waiting->length,
	};
	const uint32_t left = j->n_tokens - MIN(j->n_tokens, j->resume_from);

	j->act = fault_choose(r->env, version, &load);
	j->hostile = hostile_draw(r->env);
	if (j->act == FAULT_CUT)
		j->hostile = HOSTILE_CUT;
	j->hostile_at = j->resume_from + 1;
	if (left > 0)
		j->hostile_at += (uint32_t)rnd_below(r->env->rnd, left);
}

static struct job *
job_new(struct runner *r, struct evhttp_request *req, const json_t *body)
{
	struct job *j = g_new0(struct job, 1);
	const int64_t max_tokens =
	    standin_get_int(body, "max_tokens", TEXT_DEFAULT_MAX_TOKENS);

	j->owner = r;
	j->req = req;
	j->id = g_strdup(standin_request_header(req, "X-Request-Id", "none"));
	j->attempt = g_ascii_strtoull(
	    standin_request_header(req, "X-Attempt", "0"), NULL, 10);
	j->resume_from = (uint32_t)g_ascii_strtoull(
	    standin_request_header(req, "X-Resume-From", "0"), NULL, 10);
	j->priority = g_ascii_strtoull(
	    standin_request_header(req, "X-Priority", "5"), NULL, 10);
	j->prompt = text_prompt(body);
	j->prompt_len = strlen(j->prompt);
	j->prompt_hash = text_hash(j->prompt, j->prompt_len);
	j->prompt_tokens = text_prompt_tokens(j->prompt_len);
	j->n_tokens =
	    text_response_tokens(j->prompt_hash, (uint32_t)MAX(max_tokens, 1));
	j->resume_from = MIN(j->resume_from, j->n_tokens);
	j->stream = standin_get_int(body, "stream", 0) != 0;
	return j;
}

static void
start_stream(struct job *j)
{
	(void)evhttp_add_header(evhttp_request_get_output_headers(j->req),
	    "Content-Type", "text/event-stream");
	(void)evhttp_add_header(
	    evhttp_request_get_output_headers(j->req), "X-Request-Id", j->id);
	evhttp_send_reply_start(j->req, 200, NULL);
}

static void
start_job(struct runner *r, struct evhttp_request *req, const json_t *body,
    const json_t *version)
{
	struct job *j = job_new(r, req, body);

	j->version = g_strdup(standin_get_str(version, "name", ""));
	draw_faults(r, j, version);
	count_attempt(r, j->id);
	if (j->act == FAULT_FAIL) {
		r->engine->stats.failed++;
		version_state(r, j->version)->responses++;
		standin_reply_error(req, 500, "the engine failed");
		j->text = g_string_new(NULL);
		job_free(j);
		return;
	}
	if (j->stream)
		start_stream(j);
	standin_watch_close(req, on_closed, j);
	engine_add(r->engine, j);
}

static void
handle_completion(struct runner *r, struct evhttp_request *req)
{
	json_t *body = standin_body_json(req);
	json_t *version;

	r->engine->stats.requests++;
	if (body == NULL) {
		standin_reply_error(req, 400, "a JSON object is expected");
		return;
	}
	version = runner_version(r, standin_get_str(body, "model", ""));
	if (version == NULL || !runner_loaded(version)) {
		standin_reply_error(req, 404, "no such version loaded");
	} else if (!engine_has_room(r->engine)) {
		r->engine->stats.refused++;
		(void)evhttp_add_header(
		    evhttp_request_get_output_headers(req), "Retry-After", "1");
		standin_reply_error(req, 429, "the queue is full");
	} else {
		start_job(r, req, body, version);
	}
	json_decref(body);
}

static void
cancel_request(struct runner *r, struct evhttp_request *req, const char *id)
{
	struct job *j = runner_find_job(r, id);
	int64_t n = 0;

	while (j != NULL) {
		stop_job(r, j);
		n++;
		j = runner_find_job(r, id);
	}
	if (n == 0)
		standin_reply_error(req, 404, "no such request at work");
	else
		standin_reply(req, 200, json_pack("{s:I}", "cancelled", n));
}

static void
record_load(struct runner *r)
{
	const struct load_report before = r->reports[0];
	struct load_report now = {
		.sequence = before.sequence + 1,
		.at_us = standin_now_us(),
		.running = r->engine->running->len,
		.waiting = r->engine->waiting->length,
		.used_tokens = engine_used_tokens(r->engine),
		.generated = r->engine->stats.generated_tokens,
	};

	if (now.at_us > before.at_us)
		now.tokens_per_s = (now.generated - before.generated) *
		    1000000 / (now.at_us - before.at_us);
	r->reports[1] = before;
	r->reports[0] = now;
}

static void
on_report_time(void *arg)
{
	struct runner *r = arg;
	const int64_t lag =
	    standin_get_int(r->env->settings, "load_lag_ms", 100);

	record_load(r);
	standin_call_after(
	    r->env, (uint64_t)MAX(lag, 1) * 1000, on_report_time, r);
}

/// Lists versions.
///
/// @param with_state  false: names of the loaded ones; true: objects of all,
///                    with whether they are loaded
/// @return            new JSON list, owned by the caller
json_t *
runner_versions(struct runner *r, bool with_state)
{
	json_t *list = json_object_get(r->env->settings, "versions");
	json_t *out = json_array();
	json_t *v;
	size_t i;

	json_array_foreach(list, i, v)
	{
		if (with_state)
			(void)json_array_append_new(out,
			    json_pack("{s:s,s:b}", "name",
				standin_get_str(v, "name", ""), "loaded",
				(int)runner_loaded(v)));
		else if (runner_loaded(v))
			(void)json_array_append_new(
			    out, json_string(standin_get_str(v, "name", "")));
	}
	return out;
}

static void
report_load(struct runner *r, struct evhttp_request *req)
{
	const json_t *settings = r->env->settings;
	const struct load_report *l = &r->reports[1];

	if (standin_get_int(settings, "load_lag_ms", 100) == 0) {
		record_load(r);
		l = &r->reports[0];
	}
	standin_reply(req, 200,
	    json_pack("{s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:o,s:b}", "server",
		standin_get_str(settings, "name", ""), "sequence",
		(json_int_t)l->sequence, "age_ms",
		(json_int_t)((standin_now_us() - l->at_us) / 1000), "running",
		(json_int_t)l->running, "waiting", (json_int_t)l->waiting,
		"kv_used_tokens", (json_int_t)l->used_tokens, "kv_total_tokens",
		(json_int_t)standin_get_int(settings, "kv_total_tokens", 65536),
		"tokens_per_s", (json_int_t)l->tokens_per_s, "versions",
		runner_versions(r, false), "leaving",
		(int)standin_get_int(settings, "leaving", 0)));
}

static void
runner_request(void *self, struct evhttp_request *req)
{
	struct runner *r = self;
	const char *tail;

	if (standin_request_is(req, EVHTTP_REQ_POST, "/v1/chat/completions") ||
	    standin_request_is(req, EVHTTP_REQ_POST, "/v1/completions"))
		handle_completion(r, req);
	else if (standin_request_is(req, EVHTTP_REQ_GET, "/load"))
		report_load(r, req);
	else if (standin_request_is(req, EVHTTP_REQ_GET, "/cache_events"))
		standin_reply(req, 200,
		    cache_events(r->engine->cache,
			standin_query_number(req, "after", 0)));
	else if (standin_request_is(req, EVHTTP_REQ_GET, "/state"))
		orders_reply_state(r, req);
	else if (standin_request_is(req, EVHTTP_REQ_POST, "/orders"))
		orders_handle(r, req);
	else if (standin_request_is(req, EVHTTP_REQ_POST, "/kv/export"))
		kv_export(r, req);
	else if (standin_request_is(req, EVHTTP_REQ_POST, "/kv/import"))
		kv_import(r, req);
	else if ((tail = standin_path_tail(req, EVHTTP_REQ_GET, "/kv/")) !=
	    NULL)
		kv_send(r, req, tail);
	else if ((tail = standin_path_tail(
		      req, EVHTTP_REQ_DELETE, "/v1/requests/")) != NULL)
		cancel_request(r, req, tail);
	else
		standin_reply_error(req, 404, "no such call");
}

static void
runner_changed(void *self)
{
	struct runner *r = self;

	engine_configure(r->engine, r->env->settings);
	if (standin_get_int(r->env->settings, "clear_cache", 0))
		cache_clear(r->engine->cache);
	(void)json_object_del(r->env->settings, "clear_cache");
	r->kv_us =
	    (uint64_t)standin_get_int(r->env->settings, "kv_us_per_token", 1);
}

static void *
runner_start(struct standin_env *env)
{
	struct runner *r = g_new0(struct runner, 1);
	const struct engine_hooks hooks = {
		.token = on_token,
		.end = on_end,
		.owner = r,
	};

	r->env = env;
	r->engine = engine_new(env, &hooks);
	r->versions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	r->attempts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	r->recent =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	r->recent_ids = g_queue_new();
	r->kvs = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)json_decref);
	r->orders = json_array();
	r->adapters = json_array();
	runner_changed(r);
	on_report_time(r);
	return r;
}

static json_t *
attempts_by_request(struct runner *r)
{
	json_t *out = json_object();
	GHashTableIter it;
	gpointer key;
	gpointer n;

	g_hash_table_iter_init(&it, r->attempts);
	while (g_hash_table_iter_next(&it, &key, &n))
		(void)json_object_set_new(
		    out, key, json_integer(GPOINTER_TO_UINT(n)));
	return out;
}

static json_t *
responses_by_version(struct runner *r)
{
	json_t *out = json_object();
	GHashTableIter it;
	gpointer key;
	gpointer item;

	g_hash_table_iter_init(&it, r->versions);
	while (g_hash_table_iter_next(&it, &key, &item))
		(void)json_object_set_new(out, key,
		    json_integer(
			(json_int_t)((struct version_state *)item)->responses));
	return out;
}

static json_t *
runner_stats(void *self, struct evhttp_request *req)
{
	struct runner *r = self;
	const struct engine_stats *s = &r->engine->stats;
	json_t *hostile = json_object();

	for (int h = HOSTILE_DUPLICATE; h < HOSTILE_KINDS; h++)
		(void)json_object_set_new(hostile,
		    hostile_name((enum hostile)h),
		    json_integer((json_int_t)s->hostile[h]));
	return json_pack(
	    "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:i,s:i,s:I,s:o,s:O,s:o,s:o}",
	    "requests", (json_int_t)s->requests, "refused",
	    (json_int_t)s->refused, "finished", (json_int_t)s->finished,
	    "cancelled", (json_int_t)s->cancelled, "failed",
	    (json_int_t)s->failed, "generated_tokens",
	    (json_int_t)s->generated_tokens, "prefilled_tokens",
	    (json_int_t)s->prefilled_tokens, "cached_tokens",
	    (json_int_t)s->cached_tokens, "resumed_tokens",
	    (json_int_t)s->resumed_tokens, "running",
	    (int)r->engine->running->len, "waiting",
	    (int)r->engine->waiting->length, "cache_blocks",
	    (json_int_t)cache_count(r->engine->cache), "hostile", hostile,
	    "orders", r->orders, "answers", responses_by_version(r), "runs",
	    standin_query_number(req, "runs", 0) != 0 ? attempts_by_request(r)
						      : json_object());
}

/// A runner: serves completions with a simulated model engine.
const struct standin_kind standin_runner = {
	.name = "runner",
	.start = runner_start,
	.request = runner_request,
	.changed = runner_changed,
	.stats = runner_stats,
};
