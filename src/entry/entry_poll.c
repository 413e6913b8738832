#include "entry/entry_internal.h"

#include <stdlib.h>
#include <string.h>

/// One server is polled at a time, in turn, so that the bytes a second don't
/// grow with the number of servers.
#define ENTRY_POLL_EVERY_US (50 * USEC_PER_MSEC)
#define ENTRY_POLL_SAME_SERVER_US (250 * USEC_PER_MSEC)
/// Load polls of a runner for each poll of its cache events.
#define ENTRY_LOADS_PER_CACHE_POLL 4
#define ENTRY_POLL_TIMEOUT_US (2 * USEC_PER_SEC)

static uint64_t
get_u64(const json_t *o, const char *key)
{
	const json_int_t v = json_integer_value(json_object_get(o, key));

	return v < 0 ? 0 : (uint64_t)v;
}

static void
ignore_result(void *arg, enum status status, const uint8_t *bytes, size_t len)
{
	(void)arg;
	(void)status;
	(void)bytes;
	(void)len;
}

/// Proposes the draining of a server that reports it itself, so that the
/// configuration tells the other entries. This entry drains it at once, by
/// recording the report in the balancer.
static void
propose_draining(struct entry *e, const struct catalog_server *s)
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

	(void)g_strlcpy(command.draining.name, s->spec.name, SPEC_NAME_BYTES);
	catalog_encode(&command, &bytes, &len);
	entry_propose(e, 0, bytes, len, ignore_result, NULL);
	free(bytes);
}

/// Updates the versions that a runner has loaded, if they have changed.
static void
update_versions(struct entry_poller *p, const struct catalog_server *s,
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
	if (p->loaded_known && n == p->n_versions &&
	    memcmp(loaded, p->versions, sizeof(loaded)) == 0)
		return;
	p->loaded_known = true;
	p->n_versions = n;
	memcpy(p->versions, loaded, sizeof(loaded));
	entry_config_server(p->entry, s);
}

static void
on_load(void *arg, const struct httpc_result *result)
{
	struct entry_poller *p = arg;
	struct entry *e = p->entry;
	json_t *o = httpc_json(result);
	const struct catalog_server *s = catalog_server(e->config, p->name);
	struct balancer_report report = { 0 };

	p->polling_load = false;
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
	if (p->in_subset && json_is_array(json_object_get(o, "versions")))
		update_versions(p, s, json_object_get(o, "versions"));
	report.draining = json_is_true(json_object_get(o, "leaving"));
	if (report.draining &&
	    !balancer_is_draining(e->router, p->server, NULL))
		propose_draining(e, s);
	balancer_record_report(
	    e->router, loop_now_us(e->loop), p->server, &report);
	json_decref(o);
}

static void
apply_cache_event(struct entry_poller *p, const json_t *event)
{
	struct entry *e = p->entry;
	const char *op = json_string_value(json_object_get(event, "op"));
	const char *hex = json_string_value(json_object_get(event, "block"));
	uint64_t block;

	if (op == NULL || hex == NULL)
		return;
	block = g_ascii_strtoull(hex, NULL, 16);
	if (strcmp(op, "store") == 0)
		balancer_block_stored(
		    e->router, loop_now_us(e->loop), p->server, block);
	else
		balancer_block_evicted(
		    e->router, loop_now_us(e->loop), p->server, block);
}

static void
on_cache(void *arg, const struct httpc_result *result)
{
	struct entry_poller *p = arg;
	struct entry *e = p->entry;
	json_t *o = httpc_json(result);
	json_t *events = json_object_get(o, "events");
	const uint64_t now = loop_now_us(e->loop);
	json_t *event;
	uint64_t sequence;
	uint64_t span;
	size_t i;

	p->polling_cache = false;
	if (o == NULL || catalog_server(e->config, p->name) == NULL) {
		json_decref(o);
		return;
	}
	sequence = get_u64(o, "sequence");
	span = sequence > p->cache_sequence ? sequence - p->cache_sequence : 0;
	if (json_is_true(json_object_get(o, "gap")))
		balancer_events_lost(e->router, now, p->server,
		    span - MIN(span, json_array_size(events)));
	else
		balancer_events_current(e->router, now, p->server);
	json_array_foreach(events, i, event)
	{
		apply_cache_event(p, event);
	}
	p->cache_sequence = sequence;
	json_decref(o);
}

static bool
start_poll(struct entry_poller *p, const struct catalog_server *s,
    const char *path, httpc_end_cb done)
{
	const struct httpc_request call = {
		.method = "GET",
		.host = s->spec.host,
		.port = s->spec.port,
		.path = path,
		.timeout_us = ENTRY_POLL_TIMEOUT_US,
		.on_end = done,
		.arg = p,
	};

	return httpc_send(p->entry->http, &call) != HANDLE_NONE;
}

static void
poll_server(struct entry_poller *p, const struct catalog_server *s)
{
	const struct spec_pool *pool =
	    catalog_pool(p->entry->config, s->spec.pool);
	char path[64];

	if (!p->polling_load)
		p->polling_load = start_poll(p, s, "/load", on_load);
	if (pool == NULL || pool->kind != SPEC_SERVER_RUNNER ||
	    p->polling_cache || p->n_polls++ % ENTRY_LOADS_PER_CACHE_POLL != 0)
		return;
	(void)g_snprintf(path, sizeof(path),
	    "/cache_events?after=%" G_GUINT64_FORMAT, p->cache_sequence);
	p->polling_cache = start_poll(p, s, path, on_cache);
}

/// The poller whose last poll is the longest ago, or NULL.
static struct entry_poller *
next_poller(struct entry *e)
{
	struct entry_poller *next = NULL;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, e->pollers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct entry_poller *p = value;

		if (next == NULL || p->polled_us < next->polled_us)
			next = p;
	}
	return next;
}

/// Polls the next backend server for its load, and a runner also for its cache
/// events with every ENTRY_LOADS_PER_CACHE_POLL-th poll.
void
entry_poll_tick(struct entry *e, uint64_t now_us)
{
	struct entry_poller *p;
	const struct catalog_server *s;

	while (now_us >= e->next_poll_us) {
		p = next_poller(e);
		if (p == NULL ||
		    now_us < p->polled_us + ENTRY_POLL_SAME_SERVER_US) {
			e->next_poll_us = now_us + ENTRY_POLL_EVERY_US;
			return;
		}
		e->next_poll_us =
		    MAX(e->next_poll_us, now_us - ENTRY_POLL_EVERY_US) +
		    ENTRY_POLL_EVERY_US;
		p->polled_us = now_us;
		s = catalog_server(e->config, p->name);
		if (s != NULL)
			poll_server(p, s);
	}
}
