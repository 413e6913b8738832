#include "runner.h"

#include "text.h"

#include <event2/http_struct.h>
#include <string.h>

#define KV_PATH_BYTES 96
#define FETCH_TIMEOUT_S 30

struct fetch {
	fetch_cb cb;
	void *arg;
};

/// An import in progress; the response waits for the simulated copy time.
struct import {
	struct runner *r;
	struct evhttp_request *req;
	json_t *blocks;
	int64_t tokens;
};

static void
on_fetched(struct evhttp_request *req, void *arg)
{
	struct fetch f = *(struct fetch *)arg;
	struct evbuffer *in;

	g_free(arg);
	if (req == NULL || evhttp_request_get_response_code(req) == 0) {
		f.cb(f.arg, 0, "", 0);
	} else {
		in = evhttp_request_get_input_buffer(req);
		f.cb(f.arg, evhttp_request_get_response_code(req),
		    (const char *)evbuffer_pullup(in, -1),
		    evbuffer_get_length(in));
	}
}

/// Sends a GET request to another server.
///
/// @param cb  called once with status and body; status 0 when no response
///            came within FETCH_TIMEOUT_S
void
runner_fetch(struct runner *r, const char *host, uint16_t port,
    const char *path, fetch_cb cb, void *arg)
{
	struct fetch *f = g_new0(struct fetch, 1);
	struct evhttp_request *req = evhttp_request_new(on_fetched, f);
	struct evhttp_connection *conn =
	    evhttp_connection_base_new(r->env->base, NULL, host, port);

	*f = (struct fetch){ .cb = cb, .arg = arg };
	evhttp_connection_free_on_completion(conn);
	evhttp_connection_set_timeout(conn, FETCH_TIMEOUT_S);
	(void)evhttp_add_header(
	    evhttp_request_get_output_headers(req), "Host", host);
	(void)evhttp_make_request(conn, req, EVHTTP_REQ_GET, path);
}

/// POST /kv/export: gives the KV cache of a request that is in flight or has
/// just ended an id under which it can be fetched.
void
kv_export(struct runner *r, struct evhttp_request *req)
{
	json_t *body = standin_body_json(req);
	const char *request_id = standin_get_str(body, "request_id", "");
	const struct job *j = runner_find_job(r, request_id);
	const char *text = j != NULL
	    ? j->text->str
	    : g_hash_table_lookup(r->recent, request_id);
	char *id;
	int64_t tokens;

	if (text == NULL) {
		standin_reply_error(req, 404, "no KV cache of this request");
		json_decref(body);
		return;
	}
	id = g_strdup_printf("kv-%llu", (unsigned long long)++r->n_kvs);
	tokens = (int64_t)text_prompt_tokens(strlen(text));
	(void)g_hash_table_insert(r->kvs, g_strdup(id),
	    json_pack("{s:I,s:o}", "tokens", (json_int_t)tokens, "blocks",
		cache_blocks(text, strlen(text))));
	standin_reply(req, 200,
	    json_pack("{s:s,s:I}", "kv", id, "tokens", (json_int_t)tokens));
	g_free(id);
	json_decref(body);
}

/// GET /kv/<id>: sends an exported KV cache to the engine that imports it.
void
kv_send(struct runner *r, struct evhttp_request *req, const char *id)
{
	json_t *kv = g_hash_table_lookup(r->kvs, id);

	if (kv == NULL)
		standin_reply_error(req, 404, "no such KV cache");
	else
		standin_reply(req, 200, json_incref(kv));
}

static void
on_copied(void *arg)
{
	struct import *i = arg;

	cache_store_blocks(i->r->engine->cache, i->blocks);
	standin_reply(
	    i->req, 200, json_pack("{s:I}", "tokens", (json_int_t)i->tokens));
	json_decref(i->blocks);
	g_free(i);
}

static void
on_kv(void *arg, int status, const char *bytes, size_t len)
{
	struct import *i = arg;
	json_t *kv = status == 200 ? json_loadb(bytes, len, 0, NULL) : NULL;

	if (kv == NULL) {
		standin_reply_error(
		    i->req, 502, "the KV cache can't be fetched");
		g_free(i);
		return;
	}
	i->tokens = standin_get_int(kv, "tokens", 0);
	i->blocks = json_incref(json_object_get(kv, "blocks"));
	json_decref(kv);
	standin_call_after(
	    i->r->env, (uint64_t)i->tokens * i->r->kv_us, on_copied, i);
}

/// POST /kv/import: copies a KV cache from another engine into this one's.
void
kv_import(struct runner *r, struct evhttp_request *req)
{
	json_t *body = standin_body_json(req);
	char path[KV_PATH_BYTES];
	struct import *i;

	if (body == NULL) {
		standin_reply_error(req, 400, "a JSON object is expected");
		return;
	}
	i = g_new0(struct import, 1);
	i->r = r;
	i->req = req;
	(void)g_snprintf(
	    path, sizeof(path), "/kv/%s", standin_get_str(body, "kv", ""));
	runner_fetch(r, standin_get_str(body, "from_host", "127.0.0.1"),
	    (uint16_t)standin_get_int(body, "from_port", 0), path, on_kv, i);
	json_decref(body);
}
