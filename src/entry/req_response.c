#include "entry/entry_internal.h"

#include <stdlib.h>
#include <string.h>

#define REQ_JSON "application/json"
#define REQ_EVENTS "text/event-stream"
/// While a caller leaves more than this of its stream unread, tokens are not
/// passed on to it.
#define REQ_MAX_UNSENT_BYTES (1UL << 20)

static bool
is_chat(const struct req *q)
{
	return json_object_get(q->json, "prompt") == NULL;
}

static void
open_stream(struct req *q)
{
	const struct httpd_header headers[HTTPD_MAX_HEADERS] = {
		{ "X-Request-Id", q->id },
		{ "Cache-Control", "no-cache" },
	};

	q->stream_open = true;
	httpd_stream_start(
	    q->entry->callers, q->caller, 200, headers, REQ_EVENTS);
}

static void
append_json_escaped(GString *out, const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		const unsigned char c = (unsigned char)text[i];

		if (c == '"' || c == '\\')
			g_string_append_c(out, '\\');
		if (c < ' ')
			g_string_append_printf(out, "\\u%04x", c);
		else
			g_string_append_c(out, (char)c);
	}
}

/// Passes the next token on to a streaming caller, or appends it to the text of
/// the response.
void
req_on_token(struct req *q, const struct assembler_event *ev)
{
	struct entry *e = q->entry;
	GString *line;

	if (!q->caller_streams || q->journaled) {
		g_string_append_len(
		    q->response_text, ev->token.text, (gssize)ev->token.len);
		return;
	}
	if (!q->stream_open)
		open_stream(q);
	if (httpd_unsent_bytes(e->callers, q->caller) > REQ_MAX_UNSENT_BYTES)
		return;
	line = g_string_sized_new(ev->token.len + 192);
	g_string_append_printf(line,
	    "data: {\"id\":\"%s\",\"object\":\"%s\",\"model\":\"%s\","
	    "\"choices\":[{\"index\":0,%s\"",
	    q->id, is_chat(q) ? "chat.completion.chunk" : "text_completion",
	    q->target.version,
	    is_chat(q) ? "\"delta\":{\"content\":" : "\"text\":");
	append_json_escaped(line, ev->token.text, ev->token.len);
	g_string_append_printf(
	    line, "\"%s,\"finish_reason\":null}]}\n\n", is_chat(q) ? "}" : "");
	httpd_stream_data(e->callers, q->caller, line->str, line->len);
	(void)g_string_free(line, TRUE);
}

static json_t *
usage_json(const struct req *q)
{
	return json_pack("{s:i, s:i}", "prompt_tokens",
	    (int)q->end_event.complete.prompt_tokens, "completion_tokens",
	    (int)q->end_event.complete.tokens);
}

static void
end_stream(struct req *q)
{
	struct entry *e = q->entry;
	json_t *o;
	char *text;
	char *line;

	if (!q->stream_open)
		open_stream(q);
	o = json_pack("{s:s, s:s, s:s, s:[{s:i, s:{}, s:s}], s:o}", "id", q->id,
	    "object", "chat.completion.chunk", "model", q->target.version,
	    "choices", "index", 0, "delta", "finish_reason", q->finish_reason,
	    "usage", usage_json(q));
	text = json_dumps(o, JSON_COMPACT | JSON_PRESERVE_ORDER);
	line = g_strdup_printf("data: %s\n\ndata: [DONE]\n\n", text);
	httpd_stream_data(e->callers, q->caller, line, strlen(line));
	httpd_stream_end(e->callers, q->caller);
	g_free(line);
	free(text);
	json_decref(o);
}

/// Complete response as one JSON object, to be released with free().
static char *
completion_json(const struct req *q)
{
	json_t *choice;
	json_t *o;
	char *text;

	if (is_chat(q))
		choice = json_pack("{s:i, s:{s:s, s:s%}, s:s}", "index", 0,
		    "message", "role", "assistant", "content",
		    q->response_text->str, q->response_text->len,
		    "finish_reason", q->finish_reason);
	else
		choice = json_pack("{s:i, s:s%, s:s}", "index", 0, "text",
		    q->response_text->str, q->response_text->len,
		    "finish_reason", q->finish_reason);
	o = json_pack("{s:s, s:s, s:s, s:[o], s:o}", "id", q->id, "object",
	    is_chat(q) ? "chat.completion" : "text_completion", "model",
	    q->target.version, "choices", choice, "usage", usage_json(q));
	text = json_dumps(o, JSON_COMPACT | JSON_PRESERVE_ORDER);
	json_decref(o);
	return text;
}

/// Counts a completed request in the SLO counters and the latency metrics.
static void
record_slo(struct req *q)
{
	struct entry *e = q->entry;
	const uint64_t now = loop_now_us(e->loop);
	const uint64_t first_us =
	    (q->first_token_us != 0 ? q->first_token_us : now) - q->arrived_us;
	struct slo_request slo = {
		.customer = q->customer,
		.route = q->route.path,
		.version = q->target.version,
		.totals = {
			.requests = 1,
			.tokens = q->end_event.complete.tokens,
			.recomputed_tokens = q->recomputed,
		},
	};

	if (first_us > q->route.first_token_ms * USEC_PER_MSEC)
		slo.totals.ttft_missed = 1;
	if (q->attempt_tokens > 1 &&
	    q->inter_token_sum_us / (q->attempt_tokens - 1) >
		q->route.between_tokens_ms * USEC_PER_MSEC)
		slo.totals.inter_token_missed = 1;
	slo_record(e->slo, &slo);
	metrics_observe(e->unary_hist, now - q->arrived_us);
	retry_record_latency(e->retries, q->route.path, now - q->sent_us);
}

static void
reply_body(
    struct req *q, int status, const char *type, const void *body, size_t len)
{
	const struct httpd_header headers[HTTPD_MAX_HEADERS] = {
		{ "X-Request-Id", q->id },
	};

	httpd_reply(
	    q->entry->callers, q->caller, status, headers, type, body, len);
}

/// Ends a request whose response from a runner is complete: sends the rest to
/// the caller and releases the request.
void
req_complete(struct req *q)
{
	record_slo(q);
	if (q->caller_streams && !q->journaled && q->caller != HANDLE_NONE) {
		end_stream(q);
	} else if (q->caller != HANDLE_NONE) {
		char *text = completion_json(q);

		reply_body(q, 200, REQ_JSON, text, strlen(text));
		free(text);
	}
	req_set_caller(q, HANDLE_NONE);
	req_free(q);
}

/// Ends a request by sending the caller the response of a service, a runner's
/// 4xx or a recorded response, unchanged.
void
req_reply_service(struct req *q)
{
	record_slo(q);
	if (q->caller != HANDLE_NONE)
		reply_body(q, q->response_status,
		    q->response_type[0] != '\0' ? q->response_type : NULL,
		    q->response, q->response_len);
	req_set_caller(q, HANDLE_NONE);
	req_free(q);
}

/// Sets the response of a runner as bytes for the journal, if it is complete.
void
req_build_response(struct req *q)
{
	char *text;

	if (q->response != NULL || !q->complete)
		return;
	text = completion_json(q);
	q->response_status = 200;
	(void)g_strlcpy(q->response_type, REQ_JSON, sizeof(q->response_type));
	q->response_len = strlen(text);
	q->response = g_memdup2(text, q->response_len);
	free(text);
}

/// Hands off a stream that is not complete when this entry stops: the caller
/// gets a resume token, with which any entry continues the stream.
void
req_handoff(struct req *q)
{
	struct entry *e = q->entry;
	char token[JOURNAL_ID_BYTES + 16];
	char line[JOURNAL_ID_BYTES + 64];

	(void)g_snprintf(token, sizeof(token), "%s.%u", q->id,
	    assembler_delivered_tokens(q->stream));
	// Handed back to the caller, which continues it at another entry.
	logger_event(LOGGER_INFO, "request.handed_back", "request=%s tokens=%u",
	    q->id, assembler_delivered_tokens(q->stream));
	if (!q->stream_open)
		open_stream(q);
	(void)g_snprintf(
	    line, sizeof(line), "data: {\"resume_token\":\"%s\"}\n\n", token);
	httpd_stream_data(e->callers, q->caller, line, strlen(line));
	httpd_stream_end(e->callers, q->caller);
	req_set_caller(q, HANDLE_NONE);
	req_free(q);
}

/// Body of a recorded response as JSON; as a string if it isn't JSON.
static json_t *
response_body_json(const struct journal_record *r)
{
	json_t *o = json_loadb(
	    (const char *)r->response, r->response_len, JSON_DECODE_ANY, NULL);

	if (o != NULL)
		return o;
	o = json_stringn((const char *)r->response, r->response_len);
	return o != NULL ? o : json_null();
}

/// Sends a caller the state of an accepted request, and its response if there
/// is one.
void
req_reply_record(
    struct entry *e, handle_t caller, const struct journal_record *r)
{
	const struct httpd_header headers[HTTPD_MAX_HEADERS] = {
		{ "X-Request-Id", r->id },
	};
	json_t *o = json_pack("{s:s, s:s}", "request_id", r->id, "state",
	    journal_phase_name(r->phase));
	char *text;

	if (r->phase == JOURNAL_PHASE_ANSWERED) {
		(void)json_object_set_new(
		    o, "status", json_integer(r->http_status));
		(void)json_object_set_new(o, "body", response_body_json(r));
	}
	text = json_dumps(o, JSON_COMPACT | JSON_PRESERVE_ORDER);
	httpd_reply(
	    e->callers, caller, 200, headers, REQ_JSON, text, strlen(text));
	free(text);
	json_decref(o);
}
