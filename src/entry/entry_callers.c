#include "entry/entry_internal.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define ENTRY_JSON "application/json"
#define ENTRY_REQUESTS_PATH "/v1/requests/"
#define ENTRY_DEFAULT_TIMEOUT_MS 60000
#define ENTRY_DEFAULT_OUTPUT_TOKENS 256
#define ENTRY_BYTES_PER_TOKEN 4
#define ENTRY_ANONYMOUS "anonymous"
#define ENTRY_RETRY_AFTER_S 1

static const char *
error_type(int status)
{
	switch (status) {
	case 400:
	case 404:
	case 413:
		return "invalid_request";
	case 401:
		return "unauthorised";
	case 409:
		return "conflict";
	case 429:
		return "over_share";
	case 503:
		return "unavailable";
	case 504:
		return "timeout";
	default:
		return "backend_server";
	}
}

/// Body of an error response, to be released with free().
static char *
error_json(
    int status, const char *id, enum verdict verdict, const char *message)
{
	json_t *o = json_pack("{s:{s:s, s:s, s:s, s:s}}", "error", "message",
	    message, "type", error_type(status), "verdict",
	    verdict_name(verdict), "request_id", id);
	char *text = json_dumps(o, JSON_COMPACT | JSON_PRESERVE_ORDER);

	json_decref(o);
	return text;
}

/// Sends a caller the error response of a request that failed.
///
/// @param id             request id, or "" when it got none
/// @param retry_after_s  0: not stated
void
entry_reply_error(struct entry *e, handle_t caller, int status, const char *id,
    enum verdict verdict, uint32_t retry_after_s, const char *message)
{
	char retry_after[16];
	struct httpd_header headers[HTTPD_MAX_HEADERS] = {
		{ "X-Request-Id", id },
		{ "X-Verdict", verdict_name(verdict) },
	};
	char *text = error_json(status, id, verdict, message);

	if (retry_after_s != 0) {
		(void)g_snprintf(
		    retry_after, sizeof(retry_after), "%u", retry_after_s);
		headers[2].name = "Retry-After";
		headers[2].value = retry_after;
	}
	httpd_reply(e->callers, caller, status, headers, ENTRY_JSON, text,
	    strlen(text));
	free(text);
}

/// Whether the load balancer before the entries should send requests here. An
/// entry whose data centre is to be reclaimed still serves requests that
/// arrive, but its health check fails so that no more are sent.
///
/// @param why  receives the reason when not
static bool
accepts_traffic(const struct entry *e, const char **why)
{
	const struct spec_data_centre *own;

	if (!entry_in_service(e, why))
		return false;
	own = catalog_data_centre(e->config, e->settings.data_centre);
	if (own == NULL || !own->reclaiming)
		return true;
	*why = "data centre is being reclaimed";
	return false;
}

static void
reply_health(struct entry *e, handle_t caller)
{
	const char *why;
	const bool ok = accepts_traffic(e, &why);
	json_t *o = json_pack("{s:s, s:s}", "status",
	    ok ? "ok" : "out of service", "reason", why);
	char *text = json_dumps(o, JSON_COMPACT);

	httpd_reply(e->callers, caller, ok ? 200 : 503, NULL, ENTRY_JSON, text,
	    strlen(text));
	free(text);
	json_decref(o);
}

/// A caller's query for an accepted request.
struct lookup {
	struct entry *entry;
	handle_t caller;
	char id[JOURNAL_ID_BYTES];
};

static void
on_lookup_done(void *arg, enum status status, const uint8_t *bytes, size_t len)
{
	struct lookup *l = arg;
	struct journal_result_view view;

	if (status != STATUS_OK ||
	    journal_result_decode(bytes, len, &view) != STATUS_OK)
		entry_reply_error(l->entry, l->caller, 503, l->id,
		    VERDICT_MAY_HAVE_RUN, ENTRY_RETRY_AFTER_S,
		    "the journal can't be asked at the moment");
	else if (!view.has_record)
		entry_reply_error(l->entry, l->caller, 404, l->id,
		    VERDICT_NOT_RUN, 0, "no accepted request of this id");
	else
		req_reply_record(l->entry, l->caller, &view.record);
	g_free(l);
}

static void
start_lookup(struct entry *e, handle_t caller, const char *id)
{
	const uint32_t group = journal_group_of_id(id);
	struct lookup *l;

	if (group == 0 || group >= ENTRY_GROUPS ||
	    strlen(id) >= JOURNAL_ID_BYTES) {
		entry_reply_error(e, caller, 404, "", VERDICT_NOT_RUN, 0,
		    "no accepted request of this id");
		return;
	}
	l = g_new0(struct lookup, 1);
	l->entry = e;
	l->caller = caller;
	(void)g_strlcpy(l->id, id, sizeof(l->id));
	entry_query(e, group, id, on_lookup_done, l);
}

/// Customer whose key this is, or NULL.
static const struct spec_customer *
customer_of_key(const struct entry *e, const char *key)
{
	size_t n;
	const struct spec_customer *c = catalog_customers(e->config, &n);
	char hash[24];

	(void)g_snprintf(hash, sizeof(hash), "%016" G_GINT64_MODIFIER "x",
	    (guint64)XXH64(key, strlen(key), 0));
	for (size_t i = 0; i < n; i++) {
		if (c[i].key_hash[0] != '\0' &&
		    strcmp(c[i].key_hash, hash) == 0)
			return &c[i];
	}
	return NULL;
}

/// Sets the customer of a request from its headers. A customer that has a key
/// must send it.
///
/// @return false when the key or the customer is unknown, or the key is missing
static bool
identify_customer(struct entry *e, handle_t caller, struct req *q)
{
	static const char bearer[] = "Bearer ";
	const char *auth = httpd_header(e->callers, caller, "Authorization");
	const char *name = httpd_header(e->callers, caller, "X-Customer");
	const struct spec_customer *c;

	if (auth != NULL && g_str_has_prefix(auth, bearer)) {
		c = customer_of_key(e, auth + sizeof(bearer) - 1);
		if (c == NULL)
			return false;
		(void)g_strlcpy(q->customer, c->name, sizeof(q->customer));
		return true;
	}
	if (name == NULL) {
		(void)g_strlcpy(
		    q->customer, ENTRY_ANONYMOUS, sizeof(q->customer));
		return true;
	}
	c = catalog_customer(e->config, name);
	if (c == NULL || c->key_hash[0] != '\0')
		return false;
	(void)g_strlcpy(q->customer, c->name, sizeof(q->customer));
	return true;
}

/// Text of a prompt as runners process and cache it: "prompt", or the messages
/// as lines `role: content`.
static GString *
prompt_text(const json_t *body)
{
	const json_t *messages = json_object_get(body, "messages");
	const char *prompt = json_string_value(json_object_get(body, "prompt"));
	GString *text = g_string_new(NULL);
	const json_t *m;
	size_t i;

	if (prompt != NULL)
		return g_string_append(text, prompt);
	json_array_foreach(messages, i, m)
	{
		const char *role =
		    json_string_value(json_object_get(m, "role"));
		const char *content =
		    json_string_value(json_object_get(m, "content"));

		g_string_append_printf(text, "%s: %s\n",
		    role != NULL ? role : "", content != NULL ? content : "");
	}
	return text;
}

static const char *
check_body(const json_t *body)
{
	const json_t *messages = json_object_get(body, "messages");
	const json_t *max = json_object_get(body, "max_tokens");

	if (!json_is_object(body))
		return "the body is not a JSON object";
	if (!json_is_string(json_object_get(body, "prompt")) &&
	    json_array_size(messages) == 0)
		return "the body has neither \"prompt\" nor \"messages\"";
	if (max != NULL &&
	    (!json_is_integer(max) || json_integer_value(max) < 1))
		return "\"max_tokens\" is not a number above 0";
	return NULL;
}

/// Parses the body of a completion request into the request's fields.
///
/// @return NULL, or what is wrong with the body (static text)
const char *
req_parse_completion(struct req *q)
{
	const char *problem;
	GString *text;

	q->json = json_loadb(
	    (const char *)q->body, q->len, JSON_REJECT_DUPLICATES, NULL);
	if (q->json == NULL)
		return "the body is not JSON";
	problem = check_body(q->json);
	if (problem != NULL)
		return problem;
	q->caller_streams = json_is_true(json_object_get(q->json, "stream"));
	q->output_tokens = ENTRY_DEFAULT_OUTPUT_TOKENS;
	if (json_object_get(q->json, "max_tokens") != NULL)
		q->output_tokens = (uint32_t)json_integer_value(
		    json_object_get(q->json, "max_tokens"));
	text = prompt_text(q->json);
	q->prompt_tokens = (uint32_t)(text->len / ENTRY_BYTES_PER_TOKEN) + 1;
	q->blocks = g_new(uint64_t, ENTRY_MAX_BLOCKS);
	q->n_blocks = balancer_hash_prompt(
	    text->str, text->len, q->blocks, ENTRY_MAX_BLOCKS);
	(void)g_string_free(text, TRUE);
	q->stream = assembler_new(q->id);
	q->response_text = g_string_new(NULL);
	return NULL;
}

static void
set_deadline(struct req *q)
{
	struct entry *e = q->entry;
	const char *header =
	    httpd_header(e->callers, q->caller, "X-Deadline-Ms");
	uint64_t ms = q->route.timeout_ms;

	if (ms == 0)
		ms = ENTRY_DEFAULT_TIMEOUT_MS;
	if (header != NULL) {
		const uint64_t requested_ms =
		    g_ascii_strtoull(header, NULL, 10);

		if (requested_ms > 0 && requested_ms < ms)
			ms = requested_ms;
	}
	q->arrived_us = loop_now_us(e->loop);
	q->deadline_us = q->arrived_us + ms * USEC_PER_MSEC;
}

/// Makes the id of a request. It names a journal group, chosen by the customer
/// and the idempotency key, so that a repeated key goes to the same group.
static void
make_id(struct req *q)
{
	struct entry *e = q->entry;
	char unique[JOURNAL_ID_BYTES];
	uint32_t group;

	(void)g_snprintf(unique, sizeof(unique), "%s:%" G_GUINT64_FORMAT,
	    e->settings.node, e->next_id);
	group = journal_group_of(q->customer,
	    q->key[0] != '\0' ? q->key : unique, JOURNAL_GROUP_COUNT);
	journal_make_id(
	    rnd_u64(loop_random(e->loop)), e->next_id++, group, q->id);
	q->version_hash = XXH64(q->id, strlen(q->id), 0);
}

/// Continues a stream that another entry handed off, if the caller sent its
/// resume token: `<request id>.<tokens>`. Journaled requests aren't handed off:
/// their ids are their records', and another run must not follow theirs.
///
/// @return false when the token is malformed, or the request is journaled
static bool
apply_resume_token(struct req *q)
{
	const char *token =
	    httpd_header(q->entry->callers, q->caller, "X-Resume-Token");
	const char *dot;

	if (token == NULL)
		return true;
	dot = strrchr(token, '.');
	if (q->journaled || dot == NULL ||
	    (size_t)(dot - token) >= sizeof(q->id))
		return false;
	(void)g_strlcpy(q->id, token, (gsize)(dot - token) + 1);
	assembler_free(q->stream);
	q->stream = assembler_new(q->id);
	assembler_resume(
	    q->stream, (uint32_t)g_ascii_strtoull(dot + 1, NULL, 10));
	return true;
}

static void
reject(struct req *q, int status, const char *message)
{
	q->entry->n_refused->value++;
	entry_reply_error(
	    q->entry, q->caller, status, q->id, VERDICT_NOT_RUN, 0, message);
	req_set_caller(q, HANDLE_NONE);
	req_free(q);
}

static void
read_headers(struct req *q)
{
	struct entry *e = q->entry;
	const char *key =
	    httpd_header(e->callers, q->caller, "Idempotency-Key");
	const char *type = httpd_header(e->callers, q->caller, "Content-Type");

	if (key != NULL)
		(void)g_strlcpy(q->key, key, sizeof(q->key));
	(void)g_strlcpy(q->content_type, type != NULL ? type : ENTRY_JSON,
	    sizeof(q->content_type));
}

/// Creates a request on a route, checks it and offers it to admission.
static void
receive_request(struct entry *e, handle_t caller,
    const struct httpd_request *req, const struct spec_route *route)
{
	const struct spec_pool *pool = catalog_pool(e->config, route->pool);
	struct req *q = req_new(e, caller);
	const char *problem = NULL;
	const char *key = httpd_header(e->callers, caller, "Idempotency-Key");

	e->n_requests->value++;
	q->route = *route;
	q->kind = pool != NULL ? pool->kind : SPEC_SERVER_SERVICE;
	q->journaled = route->mode == SPEC_MODE_ASYNC || !route->idempotent;
	q->body = g_memdup2(req->body, req->len);
	q->len = req->len;
	if (key != NULL && strlen(key) >= JOURNAL_KEY_BYTES) {
		reject(q, 400, "the idempotency key is too long");
		return;
	}
	read_headers(q);
	if (!identify_customer(e, caller, q)) {
		reject(q, 401, "unknown customer or key");
		return;
	}
	make_id(q);
	set_deadline(q);
	if (q->kind == SPEC_SERVER_RUNNER)
		problem = req_parse_completion(q);
	if (problem == NULL && q->kind == SPEC_SERVER_RUNNER &&
	    !apply_resume_token(q))
		problem = "bad resume token";
	if (problem != NULL) {
		reject(q, 400, problem);
		return;
	}
	(void)g_hash_table_insert(e->reqs_by_id, q->id, q);
	req_admit(q);
}

static void
on_request(void *arg, handle_t caller, const struct httpd_request *req)
{
	struct entry *e = arg;
	const size_t prefix = sizeof(ENTRY_REQUESTS_PATH) - 1;
	const struct spec_route *route;
	const char *why;

	if (e->stopping)
		httpd_close_after_response(e->callers, caller);
	if (strcmp(req->path, "/healthz") == 0) {
		reply_health(e, caller);
		return;
	}
	if (req->method == HTTPD_METHOD_GET &&
	    strncmp(req->path, ENTRY_REQUESTS_PATH, prefix) == 0) {
		start_lookup(e, caller, req->path + prefix);
		return;
	}
	if (!entry_in_service(e, &why)) {
		entry_reply_error(e, caller, 503, "", VERDICT_NOT_RUN,
		    ENTRY_RETRY_AFTER_S, why);
		return;
	}
	route = catalog_route(e->config, req->path);
	if (route == NULL || req->method != HTTPD_METHOD_POST) {
		entry_reply_error(e, caller, route == NULL ? 404 : 405, "",
		    VERDICT_NOT_RUN, 0, "no such route");
		return;
	}
	if (slotmap_count(e->requests) >= e->settings.max_streams) {
		e->n_refused->value++;
		entry_reply_error(e, caller, 503, "", VERDICT_NOT_RUN,
		    ENTRY_RETRY_AFTER_S, "too many requests in progress here");
		return;
	}
	receive_request(e, caller, req, route);
}

/// The caller disconnected, which does not end a request that was journaled and
/// has left the queue.
static void
on_caller_gone(void *arg, handle_t caller)
{
	struct entry *e = arg;
	struct req *q = g_hash_table_lookup(e->reqs_by_caller, &caller);

	if (q != NULL)
		req_caller_gone(q);
}

/// Opens the callers' HTTP interface.
///
/// @return STATUS_OK, else it isn't open and status_last() says why
enum status
entry_callers_start(struct entry *e)
{
	const struct httpd_config config = {
		.base = loop_event_base(e->loop),
		.max_body_bytes = e->settings.max_body_bytes,
		.idle_ms = e->settings.caller_idle_ms,
		.tls = e->keys != NULL ? tlsctx_server(e->keys) : NULL,
		.on_request = on_request,
		.on_disconnect = on_caller_gone,
		.arg = e,
	};

	e->callers = httpd_new(&config);
	return httpd_listen(
	    e->callers, e->settings.callers.host, e->settings.callers.port);
}
