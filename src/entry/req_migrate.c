#include "entry/entry_internal.h"

#include <stdlib.h>
#include <string.h>

#define REQ_MIGRATE_EVERY_US (50 * USEC_PER_MSEC)
#define REQ_MIGRATE_TIMEOUT_US (5 * USEC_PER_SEC)
#define REQ_MAX_MIGRATIONS 16
/// A stream that is expected to end at least this long before its server is not
/// migrated.
#define REQ_END_MARGIN_MS 500
/// A stream with fewer tokens is not worth migrating the KV cache: the other
/// runner recomputes them.
#define REQ_MIN_MIGRATE_TOKENS 64

/// Cancels a migration in flight; the stream stays on its runner.
void
req_migrate_cancel(struct req *q)
{
	if (q->migrate_call != HANDLE_NONE)
		httpc_cancel(q->entry->http, q->migrate_call);
	q->migrate_call = HANDLE_NONE;
}

/// Tokens to recompute when the stream's KV cache is lost.
static uint32_t
recompute_tokens(const struct req *q)
{
	return q->prompt_tokens + assembler_delivered_tokens(q->stream);
}

/// Starts the next attempt at the other runner. It continues after the last
/// token that was delivered, so that the caller sees one stream.
static void
switch_runner(struct req *q)
{
	const struct req_target to = q->migrate_to;

	logger_event(LOGGER_INFO, "stream.moved",
	    "request=%s from=%s to=%s tokens=%u", q->id, q->target.server,
	    to.server, assembler_delivered_tokens(q->stream));
	req_abort_attempt(q, BALANCER_CANCELLED);
	q->target = to;
	q->attempt++;
	q->entry->n_migrated->value++;
	req_send_picked(q);
}

/// POSTs a JSON body, which is released, to a runner.
static handle_t
post_json(struct req *q, const char *host, uint16_t port, const char *path,
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
		.timeout_us = REQ_MIGRATE_TIMEOUT_US,
		.on_end = done,
		.arg = q,
	};
	const handle_t handle = httpc_send(q->entry->http, &call);

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
		switch_runner(q);
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
		q->migrate_call = post_json(q, q->migrate_to.host,
		    q->migrate_to.port, "/kv/import",
		    json_pack("{s:s, s:s, s:i}", "kv", kv, "from_host",
			q->target.host, "from_port", (int)q->target.port),
		    on_imported);
	json_decref(o);
}

/// Starts migrating a stream: exports the KV cache from its runner and imports
/// it at another one. It stays where it is if there is no other runner.
static void
start_migration(struct req *q)
{
	if (req_pick_server(q, &q->migrate_to) != STATUS_OK ||
	    q->migrate_to.choice.server == q->target.choice.server)
		return;
	if (recompute_tokens(q) < REQ_MIN_MIGRATE_TOKENS) {
		switch_runner(q);
		return;
	}
	q->migrate_call = post_json(q, q->target.host, q->target.port,
	    "/kv/export", json_pack("{s:s}", "request_id", q->id), on_exported);
}

/// Whether the stream is expected to end REQ_END_MARGIN_MS before its server's
/// drain deadline, going by its mean inter-token latency.
static bool
ends_in_time(const struct req *q, const struct catalog_server *s)
{
	const uint64_t wall_ms = loop_wall_us() / USEC_PER_MSEC;
	const uint32_t done = assembler_delivered_tokens(q->stream);
	uint64_t remaining_ms;
	uint64_t per_token_us;

	if (s->drain_deadline_ms <= wall_ms + REQ_END_MARGIN_MS ||
	    q->attempt_tokens < 2 || q->output_tokens < done)
		return false;
	per_token_us = q->inter_token_sum_us / (q->attempt_tokens - 1);
	remaining_ms = (q->output_tokens - done) * per_token_us / USEC_PER_MSEC;
	return wall_ms + remaining_ms + REQ_END_MARGIN_MS <
	    s->drain_deadline_ms;
}

static bool
must_migrate(struct req *q)
{
	struct entry *e = q->entry;
	const struct catalog_server *s;

	if (q->kind != SPEC_SERVER_RUNNER || q->state != REQ_RUNNING ||
	    q->complete || q->migrate_call != HANDLE_NONE ||
	    q->attempt_tokens == 0)
		return false;
	if (!balancer_is_draining(e->router, q->target.choice.server, NULL))
		return false;
	s = catalog_server(e->config, q->target.server);
	return s == NULL || !ends_in_time(q, s);
}

static gint
by_cost_descending(gconstpointer a, gconstpointer b)
{
	const struct req *x = *(struct req *const *)a;
	const struct req *y = *(struct req *const *)b;
	const uint32_t cx = recompute_tokens(x);
	const uint32_t cy = recompute_tokens(y);

	return (cx < cy) - (cx > cy);
}

/// Migrates streams off draining runners, those first that would cost most to
/// recompute.
void
req_migrate_tick(struct entry *e, uint64_t now_us)
{
	GPtrArray *migrating;

	if (now_us < e->next_migrate_us)
		return;
	e->next_migrate_us = now_us + REQ_MIGRATE_EVERY_US;
	migrating = g_ptr_array_new();
	for (handle_t h = slotmap_next(e->requests, HANDLE_NONE);
	     h != HANDLE_NONE; h = slotmap_next(e->requests, h)) {
		struct req *q = slotmap_get(e->requests, h);

		if (must_migrate(q))
			g_ptr_array_add(migrating, q);
	}
	g_ptr_array_sort(migrating, by_cost_descending);
	for (guint i = 0; i < MIN(migrating->len, REQ_MAX_MIGRATIONS); i++)
		start_migration(g_ptr_array_index(migrating, i));
	g_ptr_array_free(migrating, TRUE);
}
