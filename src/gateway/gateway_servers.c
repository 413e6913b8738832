#include "gateway/gateway_internal.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#include "fleet/servermsg.h"

#define GATEWAY_LIST_MIN_INTERVAL_US (900 * USEC_PER_MSEC)
/// Control sends the list; after this time without it, this gateway reads it
/// from the platform.
#define GATEWAY_LIST_SILENT_US (3 * USEC_PER_SEC)
/// Share of the platform's call limit that gateways use to read the list.
#define GATEWAY_CALLS_FACTOR 0.2
/// Servers of an update that are logged one by one.
#define GATEWAY_MAX_LOGGED 64
/// One-way network delay between data centres of a region.
#define GATEWAY_ONE_WAY_US 500

/// The configuration of a service's engines; NULL if it has none.
static const struct fleetcfg_engine *
engine_of(const struct gateway *g, const char *service)
{
	const int i =
	    g->config == NULL ? -1 : fleetcfg_find_service(g->config, service);

	if (i < 0 || !fleetcfg_service(g->config, (size_t)i)->engine.enabled)
		return NULL;
	return &fleetcfg_service(g->config, (size_t)i)->engine;
}

/// Adds a server to the balancer, or updates it there.
static void
update_balancer(struct gateway *g, struct gateway_server *s, uint64_t now_us)
{
	const struct fleetcfg_engine *engine =
	    engine_of(g, s->instance.service);
	handle_t handle;
	bool is_new_entry;
	struct balancer_server_conf conf = {
		.kind = engine != NULL ? BALANCER_RUNNER : BALANCER_SERVICE,
		.n_versions = 1,
		.kv_tokens = engine != NULL ? engine->kv_tokens : 0,
		.slots = s->instance.slots,
		.incarnation = s->incarnation,
	};

	(void)g_strlcpy(conf.name, s->instance.id, sizeof(conf.name));
	(void)g_strlcpy(conf.pool, s->instance.service, sizeof(conf.pool));
	(void)g_strlcpy(
	    conf.data_centre, s->instance.zone, sizeof(conf.data_centre));
	(void)g_strlcpy(
	    conf.versions[0], s->instance.version, sizeof(conf.versions[0]));
	balancer_set_data_centre(g->balancer, s->instance.zone,
	    strcmp(s->instance.zone, g->settings.data_centre) == 0
		? 0
		: GATEWAY_ONE_WAY_US,
	    gateway_evac_covers(g, s->instance.zone));
	handle = balancer_set_server(g->balancer, now_us, &conf);
	is_new_entry = handle != s->balancer_handle;
	if (is_new_entry && s->limit_per_s > 0)
		balancer_set_limit(g->balancer, now_us, handle, s->limit_per_s);
	s->balancer_handle = handle;
	if (is_new_entry)
		gateway_brittle_restore(g, s);
	gateway_cold_on_listed(g, s);
	gateway_speed_on_listed(g, s);
	if (s->instance.draining || s->signalled_leaving)
		balancer_set_draining(g->balancer, now_us, handle,
		    s->instance.draining ? BALANCER_BY_LIST
					 : BALANCER_BY_SERVER);
}

/// Adds a listed server, or applies its changed properties. Logs when it starts
/// to drain.
///
/// @param n_logged  servers of the update: a long list isn't logged
static void
update_server(struct gateway *g, const struct instance *instance,
    guint n_logged, uint64_t now_us)
{
	struct gateway_server *s =
	    g_hash_table_lookup(g->servers, instance->id);
	const bool is_new = s == NULL;

	listview_set(&g->list, is_new ? NULL : &s->instance, instance);
	if (is_new) {
		s = g_new0(struct gateway_server, 1);
		s->instance = *instance;
		s->reach.known_us = now_us;
		(void)g_hash_table_insert(g->servers, s->instance.id, s);
	}
	if (is_new && n_logged <= GATEWAY_MAX_LOGGED) {
		logger_event(LOGGER_INFO, "server.listed",
		    "server=%s service=%s zone=%s version=%s address=%s:%u "
		    "leaving=%d",
		    instance->id, instance->service, instance->zone,
		    instance->version, instance->host, instance->port,
		    instance->draining);
	} else if (!is_new && instance->draining && !s->instance.draining) {
		logger_event(LOGGER_INFO, "server.leaving", "server=%s by=list",
		    instance->id);
	}
	s->instance = *instance;
	s->list_round = g->list_round;
	update_balancer(g, s, now_us);
	if (!is_new)
		return;
	gateway_unlisted_restore(g, s);
	update_balancer(g, s, now_us);
}

/// Passes a server's changed state to the balancer.
void
gateway_servers_refresh(struct gateway *g, struct gateway_server *s)
{
	update_balancer(g, s, loop_now_us(g->loop));
}

static void
remove_from_balancer(struct gateway *g, const struct gateway_server *s)
{
	logger_event(LOGGER_INFO, "server.gone", "server=%s", s->instance.id);
	listview_set(&g->list, &s->instance, NULL);
	gateway_unlisted_keep(g, s);
	balancer_remove_server(g->balancer, s->balancer_handle);
}

static void
remove_server(struct gateway *g, const char *id)
{
	const struct gateway_server *s = g_hash_table_lookup(g->servers, id);

	if (s == NULL)
		return;
	remove_from_balancer(g, s);
	(void)g_hash_table_remove(g->servers, id);
}

/// Removes the servers that the newest list doesn't show.
static void
remove_unlisted(struct gateway *g)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct gateway_server *s = value;

		if (s->list_round == g->list_round)
			continue;
		remove_from_balancer(g, s);
		g_hash_table_iter_remove(&it);
	}
}

/// This gateway has read the list from the platform.
static void
on_list(void *arg, GArray *servers)
{
	struct gateway *g = arg;
	const uint64_t now = loop_now_us(g->loop);

	if (servers == NULL || g->list_asked_us <= g->list_fresh_us)
		return;
	g->list_round++;
	for (guint i = 0; i < servers->len; i++) {
		struct instance *s =
		    &g_array_index(servers, struct instance, i);

		instance_set_cold_end(s, gateway_wall_clock_us(g));
		update_server(g, s, servers->len, now);
	}
	remove_unlisted(g);
	if (g->list_fresh_us == 0)
		logger_event(
		    LOGGER_INFO, "list.known", "servers=%u", servers->len);
	listview_end_reading(&g->list, g->list_asked_us, now);
	g->list_fresh_us = g->list.fresh_us;
	gateway_waitq_step(g, now);
}

/// Makes the reader of the platform's list.
void
gateway_servers_start(struct gateway *g)
{
	const struct api_lister_callbacks callbacks = { .done = on_list,
		.arg = g };

	g->lister = api_lister_new(g->http, loop_timers(g->loop), &callbacks);
}

static void
apply_changes(
    struct gateway *g, const GArray *changes, bool is_whole, uint64_t now_us)
{
	g->list_round++;
	for (guint i = 0; i < changes->len; i++) {
		const struct hubmsg_server *c =
		    &g_array_index(changes, struct hubmsg_server, i);

		if (c->removed)
			remove_server(g, c->instance.id);
		else
			update_server(g, &c->instance, changes->len, now_us);
	}
	if (is_whole)
		remove_unlisted(g);
	if (g->list_fresh_us == 0)
		logger_event(LOGGER_INFO, "list.known", "servers=%u",
		    g_hash_table_size(g->servers));
}

static void
log_update(struct gateway *g, const struct feedmsg_update *u, guint n)
{
	if (u->since == 0)
		logger_event(LOGGER_INFO, "list.whole",
		    "servers=%u bytes=%zu age_ms=%" PRIu64, n, u->len,
		    u->age_us / USEC_PER_MSEC);
	if (g->reads_list)
		logger_event(LOGGER_INFO, "list.from_control",
		    "age_ms=%" PRIu64, u->age_us / USEC_PER_MSEC);
	g->reads_list = false;
}

/// Applies the changes of the list, or the whole list, from a control process.
/// Ignored are changes that don't lead from this gateway's revision, and a list
/// that is older than the one in force.
///
/// @param source  incarnation of the process
void
gateway_servers_update(
    struct gateway *g, uint64_t source, const struct feedmsg_update *u)
{
	const uint64_t now = loop_now_us(g->loop);
	const uint64_t fresh_us = u->echo_us - u->age_us;
	const enum listview_action action =
	    listview_begin(&g->list, source, fresh_us, now, u);
	GArray *changes;

	g->list_fresh_us = g->list.fresh_us;
	if (action == LISTVIEW_IGNORE || action == LISTVIEW_KEEP)
		return;
	changes = g_array_new(FALSE, TRUE, sizeof(struct hubmsg_server));
	if (servermsg_decode(u->changes, u->len, changes) != STATUS_OK) {
		logger_event(LOGGER_WARN, "list.unreadable", "reason=\"%s\"",
		    status_last());
		g_array_unref(changes);
		return;
	}
	apply_changes(g, changes, action == LISTVIEW_REPLACE, now);
	log_update(g, u, changes->len);
	g_array_unref(changes);
	if (!listview_end(&g->list, source, fresh_us, now, u)) {
		logger_event(LOGGER_WARN, "list.incomplete", "servers=%u",
		    g_hash_table_size(g->servers));
		g->next_ask_us = 0;
	}
	g->list_fresh_us = g->list.fresh_us;
	gateway_waitq_step(g, now);
}

/// Rate at which this gateway may call the platform for pages of the list: all
/// gateways share it.
static double
calls_per_s(const struct gateway *g)
{
	return GATEWAY_CALLS_FACTOR * g->settings.list_calls_per_s /
	    MAX(g->n_gateways, 1);
}

/// Digest of what the balancer knows of the services' engines.
static uint64_t
engines_digest(const struct gateway *g)
{
	uint64_t digest = 1;

	for (size_t i = 0; i < fleetcfg_n_services(g->config); i++) {
		const struct fleetcfg_service *s =
		    fleetcfg_service(g->config, i);

		if (s->engine.enabled)
			digest = XXH64(s->name, strlen(s->name),
			    digest + s->engine.kv_tokens);
	}
	return digest;
}

/// Passes all servers to the balancer when a configuration has changed the
/// engines of a service: the list itself may stay as it is for long.
static void
follow_engines(struct gateway *g, uint64_t now_us)
{
	const uint64_t digest = g->config == NULL ? 0 : engines_digest(g);
	GHashTableIter it;
	gpointer value;

	if (digest == g->engines_digest)
		return;
	g->engines_digest = digest;
	g_hash_table_iter_init(&it, g->servers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		update_balancer(g, value, now_us);
}

/// Starts to read the list from the platform if control hasn't sent it for
/// GATEWAY_LIST_SILENT_US, or twice as long where lists are usually old.
/// Without a word from control this gateway serves nobody, and doesn't know
/// with how many others it shares the platform's rate of calls.
void
gateway_servers_tick(struct gateway *g, uint64_t now_us)
{
	const uint64_t silent_us =
	    listview_old_us(&g->list, GATEWAY_LIST_SILENT_US);

	follow_engines(g, now_us);
	if (now_us < MAX(g->list_fresh_us, g->started_us) + silent_us) {
		api_lister_cancel(g->lister);
		return;
	}
	if (now_us < g->next_list_us || api_lister_busy(g->lister) ||
	    g->n_gateways == 0)
		return;
	if (!g->reads_list) {
		// All gateways lose the list at the same moment: their first
		// calls share the rate like the later ones.
		const uint64_t gap_us =
		    (uint64_t)(USEC_PER_SEC / calls_per_s(g));

		g->next_list_us = now_us +
		    rnd_below(loop_random(g->loop),
			MAX(GATEWAY_LIST_MIN_INTERVAL_US, gap_us));
		g->reads_list = true;
		logger_event(LOGGER_WARN, "list.own_reading",
		    "silent_ms=%" PRIu64 " calls_per_s=%.2f",
		    timerq_ms_since(now_us, g->list_fresh_us), calls_per_s(g));
		return;
	}
	g->next_list_us = now_us + GATEWAY_LIST_MIN_INTERVAL_US;
	g->list_asked_us = now_us;
	api_lister_read(g->lister, g->settings.cloud.host,
	    g->settings.cloud.port, calls_per_s(g));
}

/// Another server has the address of a listed one: drains the listed one, so
/// that nothing is sent to it until the list is updated.
///
/// @param id  of the listed server
void
gateway_servers_on_misdirected(struct gateway *g, const char *id)
{
	struct gateway_server *s = g_hash_table_lookup(g->servers, id);

	if (s == NULL)
		return;
	logger_event(LOGGER_INFO, "server.replaced", "server=%s", id);
	balancer_set_draining(g->balancer, loop_now_us(g->loop),
	    s->balancer_handle, BALANCER_BY_SERVER);
}
