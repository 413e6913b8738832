#include "soak.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define SLOTS 8

static void
reply(struct evhttp_request *http, int status, const char *text)
{
	struct evbuffer *out = evbuffer_new();

	(void)evbuffer_add_printf(out, "%s", text);
	evhttp_send_reply(http, status, "answer", out);
	evbuffer_free(out);
}

static void
send_list(struct soak *s, struct evhttp_request *http)
{
	GString *out = g_string_new("{\"instances\": [");
	bool first = true;

	for (uint32_t i = 0; i < s->n_servers; i++) {
		const struct soak_server *v = &s->servers[i];

		if (!v->listed)
			continue;
		g_string_append_printf(out,
		    "%s{\"id\": \"%s\", \"service\": \"app\", \"address\": "
		    "\"%s:%d\", \"zone\": \"%s\", \"version\": \"v1\","
		    "\"slots\": %d, \"state\": \"%s\"}",
		    first ? "" : ", ", v->id, v->host, SOAK_PORT,
		    i % 2 == 0 ? "csepel" : "kelenfold", SLOTS,
		    v->draining_us != 0 ? "draining" : "ready");
		first = false;
	}
	(void)g_string_append(out, "], \"next\": null}");
	reply(http, 200, out->str);
	(void)g_string_free(out, TRUE);
}

/// Checks that each fencing number has one holder.
///
/// @return whether the number is no lower than any seen before
static bool
take_fence(struct soak *s, struct evhttp_request *http)
{
	struct evkeyvalq *in = evhttp_request_get_input_headers(http);
	const char *fence = evhttp_find_header(in, "X-Acaciahinge-Fence-Token");
	const char *holder =
	    evhttp_find_header(in, "X-Acaciahinge-Duty-Holder");
	const char *before;
	static guint64 highest;
	const guint64 n = fence != NULL ? g_ascii_strtoull(fence, NULL, 10) : 0;

	if (n == 0 || holder == NULL) {
		soak_violation(
		    s, "duty: a call without a fencing number or a holder");
		return false;
	}
	before = g_hash_table_lookup(s->fences, fence);
	if (before != NULL && strcmp(before, holder) != 0)
		soak_violation(s, "duty: %s and %s both use fencing number %s",
		    before, holder, fence);
	if (before == NULL)
		(void)g_hash_table_insert(
		    s->fences, g_strdup(fence), g_strdup(holder));
	if (n < highest)
		return false;
	highest = n;
	return true;
}

/// Checks that a window's counts are the same in every report of it.
static void
take_usage(struct soak *s, struct evhttp_request *http)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(http);
	const size_t len = evbuffer_get_length(in);
	json_t *body =
	    json_loadb((const char *)evbuffer_pullup(in, -1), len, 0, NULL);
	json_t *window = json_object_get(body, "window_seq");
	char *counts = json_dumps(
	    json_object_get(body, "counts"), JSON_COMPACT | JSON_SORT_KEYS);
	char *key = g_strdup_printf(
	    "%" JSON_INTEGER_FORMAT, json_integer_value(window));
	const char *before = g_hash_table_lookup(s->usage, key);

	if (counts == NULL || !json_is_integer(window))
		soak_violation(s, "duty: a usage report can't be parsed");
	else if (before != NULL && strcmp(before, counts) != 0)
		soak_violation(s,
		    "duty: window %s was reported as %s and as %s", key, before,
		    counts);
	else if (before == NULL)
		(void)g_hash_table_insert(
		    s->usage, g_strdup(key), g_strdup(counts));
	reply(http, 200, "{}");
	g_free(key);
	free(counts);
	json_decref(body);
}

static void
on_request(struct evhttp_request *http, void *arg)
{
	struct soak *s = arg;
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(http));

	if (s->platform_silent) {
		// No response: the caller's own timeout ends the call.
		return;
	}
	if (strcmp(path, "/instances") == 0)
		send_list(s, http);
	else if (!take_fence(s, http))
		reply(http, 409, "a higher fence was seen");
	else if (strcmp(path, "/usage") == 0)
		take_usage(s, http);
	else
		reply(http, 200, "{}");
}

/// Starts the platform's interfaces.
void
soak_platform_start(struct soak *s)
{
	char host[SOAK_HOST_BYTES];

	soak_host_address(s, SOAK_PLATFORM_AT, host);
	s->usage =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->fences =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->platform = evhttp_new(loop_event_base(s->loop));
	evhttp_set_gencb(s->platform, on_request, s);
	if (evhttp_bind_socket(s->platform, host, SOAK_PORT) != 0)
		g_error("can't listen at %s:%d", host, SOAK_PORT);
}

void
soak_platform_stop(struct soak *s)
{
	evhttp_free(s->platform);
	g_hash_table_destroy(s->usage);
	g_hash_table_destroy(s->fences);
}
