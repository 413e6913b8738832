#include "common/http.h"

#include <event2/event.h>
#include <glib.h>
#include <jansson.h>
#include <string.h>

#define DEFAULT_TIMEOUT_MS 5000

struct call_state {
	struct event_base *base;
	struct httpc *client;
	handle_t handle;
	struct http_response *out;
	bool ended;
};

static void
copy_header(struct call_state *s, const char *name, char *out)
{
	const char *v = httpc_response_header(s->client, s->handle, name);

	(void)g_strlcpy(out, v != NULL ? v : "", HTTP_FIELD_BYTES);
}

static void
on_end(void *arg, const struct httpc_result *result)
{
	struct call_state *s = arg;
	struct http_response *out = s->out;

	s->ended = true;
	out->status = result->status;
	out->http_status = result->http_status;
	out->body = g_strndup(
	    result->len > 0 ? (const char *)result->body : "", result->len);
	copy_header(s, "X-Request-Id", out->request_id);
	copy_header(s, "X-Verdict", out->verdict);
	(void)event_base_loopbreak(s->base);
}

static void
add_header(struct httpc_request *call, const char *name, const char *value)
{
	int i = 0;

	if (value == NULL)
		return;
	while (call->headers[i].name != NULL)
		i++;
	call->headers[i].name = name;
	call->headers[i].value = value;
}

/// Sends one request and waits for its end.
///
/// @param out  gets the response; freed with http_response_free
void
http_request(const struct http_request *ask, struct http_response *out)
{
	const uint64_t ms =
	    ask->timeout_ms != 0 ? ask->timeout_ms : DEFAULT_TIMEOUT_MS;
	struct call_state s = { .base = event_base_new(), .out = out };
	struct httpc_request call = {
		.method = ask->method,
		.host = "127.0.0.1",
		.port = ask->port,
		.path = ask->path,
		.body = (const uint8_t *)ask->body,
		.len = ask->body != NULL ? strlen(ask->body) : 0,
		.timeout_us = ms * 1000,
		.new_connection = true,
		.on_end = on_end,
		.arg = &s,
	};

	memset(out, 0, sizeof(*out));
	out->status = STATUS_UNAVAILABLE;
	if (call.method == NULL)
		call.method = ask->body != NULL ? "POST" : "GET";
	add_header(&call, "Idempotency-Key", ask->key);
	add_header(&call, "X-Request-Id", ask->request_id);
	add_header(&call, "X-Customer", ask->customer);
	add_header(&call, "X-Resume-Token", ask->resume);
	s.client = httpc_new(s.base);
	s.handle = httpc_send(s.client, &call);
	if (s.handle != HANDLE_NONE && !s.ended)
		(void)event_base_dispatch(s.base);
	if (out->body == NULL)
		out->body = g_strdup("");
	httpc_free(s.client);
	event_base_free(s.base);
}

/// Frees a response's body.
void
http_response_free(struct http_response *answer)
{
	g_free(answer->body);
	answer->body = NULL;
}

/// Status of the response to a GET, 0 when none came.
int
http_status(uint16_t port, const char *path)
{
	const struct http_request ask = { .port = port, .path = path };
	struct http_response a;

	http_request(&ask, &a);
	http_response_free(&a);
	return a.http_status;
}

/// Body of the response to a GET, "" when none came; the caller frees it.
char *
http_get(uint16_t port, const char *path)
{
	const struct http_request ask = { .port = port, .path = path };
	struct http_response a;

	http_request(&ask, &a);
	return a.body;
}

/// Integer under a key of the JSON response to a GET, -1 when there is none.
int64_t
http_get_number(uint16_t port, const char *path, const char *key)
{
	char *body = http_get(port, path);
	json_t *root = json_loads(body, 0, NULL);
	const json_t *v = json_object_get(root, key);
	const int64_t n = json_is_integer(v) ? json_integer_value(v) : -1;

	json_decref(root);
	g_free(body);
	return n;
}

/// Changes the settings of a stand-in.
///
/// @param json  object with the settings to replace
/// @return      0 when it accepted them, else -1
int
http_post_settings(uint16_t port, const char *json)
{
	const struct http_request ask = {
		.port = port,
		.path = "/test/set",
		.body = json,
	};
	struct http_response a;

	http_request(&ask, &a);
	http_response_free(&a);
	return a.http_status == 200 ? 0 : -1;
}
