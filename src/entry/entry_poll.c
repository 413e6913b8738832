#include "entry/entry_internal.h"

#include <stdlib.h>
#include <string.h>

/// One server is asked at a time, round after round, so that the bytes a
/// second don't grow with the number of servers.
#define ENTRY_POLL_EVERY_US (50 * USEC_PER_MSEC)
#define ENTRY_POLL_SERVER_US (250 * USEC_PER_MSEC)
/// Cache events are asked for with every so many load reports.
#define ENTRY_LOADS_A_CACHE 4
#define ENTRY_POLL_TIMEOUT_US (2 * USEC_PER_SEC)

static uint64_t
get_u64(const json_t *o, const char *key)
{
	const json_int_t v = json_integer_value(json_object_get(o, key));

	return v < 0 ? 0 : (uint64_t)v;
}

static void
ignore(void *arg, enum status status, const uint8_t *bytes, size_t len)
{
	(void)arg;
	(void)status;
	(void)bytes;
	(void)len;
}

/// The server said itself that it leaves: this entry acts at once, and
/// control tells the others.
static void
tell_leaving(struct entry *e, const struct catalog_server *s)
{
	struct catalog_command command = {
		.kind = CATALOG_CMD_DRAINING,
		.draining = {
			.incarnation = s->incarnation,
			.source = CATALOG_SOURCE_SERVER,
		},
	};
	uint8_t *bytes;
	size_t len;

	(void)g_strlcpy(command.draining.name, s->conf.name, SPEC_NAME_BYTES);
	catalog_encode(&command, &bytes, &len);
	entry_propose(e, 0, bytes, len, ignore, NULL);
	free(bytes);
}

/// Takes over which versions a runner holds, when that has changed.
static void
take_versions(struct entry_poller *w, const struct catalog_server *s,
    const json_t *versions)
{
	char loaded[BALANCER_MAX_VERSIONS][SPEC_NAME_BYTES] = { { 0 } };
	uint32_t n = 0;
	const json_t *v;
	size_t i;

	json_array_foreach(versions, i, v)
	{
		if (json_is_string(v) && n < BALANCER_MAX_VERSIONS)
			(void)g_strlcpy(
			    loaded[n++], json_string_value(v), SPEC_NAME_BYTES);
	}
	if (w->told && n == w->n_loaded &&
	    memcmp(loaded, w->loaded, sizeof(loaded)) == 0)
		return;
	w->told = true;
	w->n_loaded = n;
	memcpy(w->loaded, loaded, sizeof(loaded));
	entry_config_server(w->en, s);
}

static void
on_load(void *arg, const struct httpc_result *result)
{
	struct entry_poller *w = arg;
	struct entry *e = w->en;
	json_t *o = httpc_json(result);
	const struct catalog_server *s = catalog_server(e->config, w->name);
	struct balancer_report report = { 0 };

	w->polling_load = false;
	if (o == NULL || s == NULL) {
		json_decref(o);
		return;
	}
	report.sequence = get_u64(o, "sequence");
	report.age_us = get_u64(o, "age_ms") * USEC_PER_MSEC;
	report.running = (uint32_t)get_u64(o, "running");
	report.waiting = (uint32_t)get_u64(o, "waiting");
	report.kv_used_tokens = get_u64(o, "kv_used_tokens");
	report.kv_total_tokens = get_u64(o, "kv_total_tokens");
	report.tokens_per_s = (uint32_t)get_u64(o, "tokens_per_s");
	if (w->used && json_is_array(json_object_get(o, "versions")))
		take_versions(w, s, json_object_get(o, "versions"));
	report.draining = json_is_true(json_object_get(o, "leaving"));
	if (report.draining &&
	    !balancer_is_draining(e->router, w->server, NULL))
		tell_leaving(e, s);
	balancer_record_report(
	    e->router, loop_now_us(e->loop), w->server, &report);
	json_decref(o);
}

static void
take_event(struct entry_poller *w, const json_t *event)
{
	struct entry *e = w->en;
	const char *op = json_string_value(json_object_get(event, "op"));
	const char *hex = json_string_value(json_object_get(event, "block"));
	uint64_t block;

	if (op == NULL || hex == NULL)
		return;
	block = g_ascii_strtoull(hex, NULL, 16);
	if (strcmp(op, "store") == 0)
		balancer_block_stored(
		    e->router, loop_now_us(e->loop), w->server, block);
	else
		balancer_block_evicted(
		    e->router, loop_now_us(e->loop), w->server, block);
}

static void
on_cache(void *arg, const struct httpc_result *result)
{
	struct entry_poller *w = arg;
	struct entry *e = w->en;
	json_t *o = httpc_json(result);
	json_t *events = json_object_get(o, "events");
	const uint64_t now = loop_now_us(e->loop);
	json_t *event;
	uint64_t sequence;
	uint64_t span;
	size_t i;

	w->polling_cache = false;
	if (o == NULL || catalog_server(e->config, w->name) == NULL) {
		json_decref(o);
		return;
	}
	sequence = get_u64(o, "sequence");
	span = sequence > w->cache_sequence ? sequence - w->cache_sequence : 0;
	if (json_is_true(json_object_get(o, "gap")))
		balancer_events_lost(e->router, now, w->server,
		    span - MIN(span, json_array_size(events)));
	else
		balancer_events_current(e->router, now, w->server);
	json_array_foreach(events, i, event)
	{
		take_event(w, event);
	}
	w->cache_sequence = sequence;
	json_decref(o);
}

static bool
poll(struct entry_poller *w, const struct catalog_server *s, const char *path,
    httpc_end_cb done)
{
	const struct httpc_request call = {
		.method = "GET",
		.host = s->conf.host,
		.port = s->conf.port,
		.path = path,
		.timeout_us = ENTRY_POLL_TIMEOUT_US,
		.on_end = done,
		.arg = w,
	};

	return httpc_send(w->en->http, &call) != HANDLE_NONE;
}

static void
poll_server(struct entry_poller *w, const struct catalog_server *s)
{
	const struct spec_pool *pool =
	    catalog_pool(w->en->config, s->conf.pool);
	char path[64];

	if (!w->polling_load)
		w->polling_load = poll(w, s, "/load", on_load);
	if (pool == NULL || pool->kind != SPEC_SERVER_RUNNER ||
	    w->polling_cache || w->n_polls++ % ENTRY_LOADS_A_CACHE != 0)
		return;
	(void)g_snprintf(path, sizeof(path),
	    "/cache_events?after=%" G_GUINT64_FORMAT, w->cache_sequence);
	w->polling_cache = poll(w, s, path, on_cache);
}

/// The server that was asked the longest ago.
static struct entry_poller *
next_watch(struct entry *e)
{
	struct entry_poller *next = NULL;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, e->watches);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct entry_poller *w = value;

		if (next == NULL || w->polled_us < next->polled_us)
			next = w;
	}
	return next;
}

/// Asks the next backend server for its load, and runners now and then for
/// cache events.
void
entry_poll_tick(struct entry *e, uint64_t now_us)
{
	struct entry_poller *w;
	const struct catalog_server *s;

	while (now_us >= e->next_poll_us) {
		w = next_watch(e);
		if (w == NULL || now_us < w->polled_us + ENTRY_POLL_SERVER_US) {
			e->next_poll_us = now_us + ENTRY_POLL_EVERY_US;
			return;
		}
		e->next_poll_us =
		    MAX(e->next_poll_us, now_us - ENTRY_POLL_EVERY_US) +
		    ENTRY_POLL_EVERY_US;
		w->polled_us = now_us;
		s = catalog_server(e->config, w->name);
		if (s != NULL)
			poll_server(w, s);
	}
}
