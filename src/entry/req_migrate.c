#include "entry/entry_internal.h"

#include <stdlib.h>
#include <string.h>

#define REQ_MOVE_EVERY_US (50 * USEC_PER_MSEC)
#define REQ_MOVE_TIMEOUT_US (5 * USEC_PER_SEC)
#define REQ_MAX_MOVES 16
/// A stream that will have ended so long before its server is left alone.
#define REQ_SPARE_MS 500
/// Fewer tokens than this are recomputed rather than moved.
#define REQ_MIN_MOVE_TOKENS 64

/// Drops a move under way; the stream goes on where it is.
void
req_migrate_cancel(struct req *q)
{
	if (q->migrate_call != HANDLE_NONE)
		httpc_cancel(q->en->http, q->migrate_call);
	q->migrate_call = HANDLE_NONE;
}

/// What losing the stream's KV cache would cost, in tokens.
static uint32_t
cost_tokens(const struct req *q)
{
	return q->prompt_tokens + assembler_delivered_tokens(q->stream);
}

/// The next attempt goes on at the other runner from the token that the
/// caller has; the caller sees one stream.
static void
switch_over(struct req *q)
{
	const struct req_target to = q->migrate_to;

	logger_event(LOGGER_INFO, "stream.moved",
	    "request=%s from=%s to=%s tokens=%u", q->id, q->target.server,
	    to.server, assembler_delivered_tokens(q->stream));
	req_abort_attempt(q, BALANCER_CANCELLED);
	q->target = to;
	q->attempt++;
	q->en->n_migrated->n++;
	req_send_picked(q);
}

static handle_t
post(struct req *q, const char *host, uint16_t port, const char *path,
    json_t *body, httpc_end_cb done)
{
	char *text = json_dumps(body, JSON_COMPACT);
	const struct httpc_request call = {
		.method = "POST",
		.host = host,
		.port = port,
		.path = path,
		.headers = { { "Content-Type", "application/json" } },
		.body = (const uint8_t *)text,
		.len = strlen(text),
		.timeout_us = REQ_MOVE_TIMEOUT_US,
		.on_end = done,
		.arg = q,
	};
	const handle_t handle = httpc_send(q->en->http, &call);

	free(text);
	json_decref(body);
	return handle;
}

static void
on_imported(void *arg, const struct httpc_result *result)
{
	struct req *q = arg;

	q->migrate_call = HANDLE_NONE;
	if (result->status == STATUS_OK && result->http_status == 200)
		switch_over(q);
}

static void
on_exported(void *arg, const struct httpc_result *result)
{
	struct req *q = arg;
	json_t *o = NULL;
	const char *kv;

	q->migrate_call = HANDLE_NONE;
	if (result->status == STATUS_OK && result->http_status == 200)
		o = json_loadb(
		    (const char *)result->body, result->len, 0, NULL);
	kv = json_string_value(json_object_get(o, "kv"));
	if (kv != NULL)
		q->migrate_call = post(q, q->migrate_to.host,
		    q->migrate_to.port, "/kv/import",
		    json_pack("{s:s, s:s, s:i}", "kv", kv, "from_host",
			q->target.host, "from_port", (int)q->target.port),
		    on_imported);
	json_decref(o);
}

static void
start_move(struct req *q)
{
	if (req_pick_server(q, &q->migrate_to) != STATUS_OK ||
	    q->migrate_to.choice.server == q->target.choice.server)
		return;
	if (cost_tokens(q) < REQ_MIN_MOVE_TOKENS) {
		switch_over(q);
		return;
	}
	q->migrate_call = post(q, q->target.host, q->target.port, "/kv/export",
	    json_pack("{s:s}", "request_id", q->id), on_exported);
}

/// Whether the stream will end well before its server does.
static bool
ends_in_time(const struct req *q, const struct catalog_server *s)
{
	const uint64_t wall_ms = loop_wall_us() / USEC_PER_MSEC;
	const uint32_t done = assembler_delivered_tokens(q->stream);
	uint64_t left_ms;
	uint64_t each_us;

	if (s->drain_deadline_ms <= wall_ms + REQ_SPARE_MS ||
	    q->attempt_tokens < 2 || q->output_tokens < done)
		return false;
	each_us = q->inter_token_sum_us / (q->attempt_tokens - 1);
	left_ms = (q->output_tokens - done) * each_us / USEC_PER_MSEC;
	return wall_ms + left_ms + REQ_SPARE_MS < s->drain_deadline_ms;
}

static bool
must_move(struct req *q)
{
	struct entry *e = q->en;
	const struct catalog_server *s;

	if (q->kind != SPEC_SERVER_RUNNER || q->state != REQ_RUNNING ||
	    q->whole || q->migrate_call != HANDLE_NONE ||
	    q->attempt_tokens == 0)
		return false;
	if (!balancer_is_draining(e->router, q->target.choice.server, NULL))
		return false;
	s = catalog_server(e->config, q->target.server);
	return s == NULL || !ends_in_time(q, s);
}

static gint
dearest_first(gconstpointer a, gconstpointer b)
{
	const struct req *x = *(struct req *const *)a;
	const struct req *y = *(struct req *const *)b;
	const uint32_t cx = cost_tokens(x);
	const uint32_t cy = cost_tokens(y);

	return (cx < cy) - (cx > cy);
}

/// Moves streams off runners that leave, those first that would cost most to
/// compute again.
void
req_migrate_tick(struct entry *e, uint64_t now_us)
{
	GPtrArray *moving;

	if (now_us < e->next_migrate_us)
		return;
	e->next_migrate_us = now_us + REQ_MOVE_EVERY_US;
	moving = g_ptr_array_new();
	for (handle_t h = slotmap_next(e->requests, HANDLE_NONE);
	     h != HANDLE_NONE; h = slotmap_next(e->requests, h)) {
		struct req *q = slotmap_get(e->requests, h);

		if (must_move(q))
			g_ptr_array_add(moving, q);
	}
	g_ptr_array_sort(moving, dearest_first);
	for (guint i = 0; i < MIN(moving->len, REQ_MAX_MOVES); i++)
		start_move(g_ptr_array_index(moving, i));
	g_ptr_array_free(moving, TRUE);
}
