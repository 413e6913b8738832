#include "gateway/gateway_internal.h"

#include <inttypes.h>
#include <string.h>

#define GATEWAY_LIST_MIN_INTERVAL_US (900 * USEC_PER_MSEC)
/// Control sends the list; after this time without it, this gateway reads it
/// from the platform.
#define GATEWAY_LIST_SILENT_US (3 * USEC_PER_SEC)
/// Share of the platform's call limit that gateways use to read the list.
#define GATEWAY_CALLS_FACTOR 0.5
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
	struct balancer_server_conf conf = {
		.kind = engine != NULL ? BALANCER_RUNNER : BALANCER_SERVICE,
		.n_versions = 1,
		.kv_tokens = engine != NULL ? engine->kv_tokens : 0,
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
	    false);
	handle = balancer_set_server(g->balancer, now_us, &conf);
	if (handle != s->balancer_handle && s->limit_per_s > 0)
		balancer_set_limit(g->balancer, now_us, handle, s->limit_per_s);
	s->balancer_handle = handle;
	gateway_cold_on_listed(g, s);
	gateway_speed_on_listed(g, s);
	if (s->instance.draining || s->signalled_leaving)
		balancer_set_draining(g->balancer, now_us, handle,
		    s->instance.draining ? BALANCER_BY_LIST
					 : BALANCER_BY_SERVER);
}

/// Adds a listed server, or applies its changed properties. Logs when it starts
/// to drain.
static void
update_server(
    struct gateway *g, const struct instance *instance, uint64_t now_us)
{
	struct gateway_server *s =
	    g_hash_table_lookup(g->servers, instance->id);
	const bool is_new = s == NULL;

	if (is_new) {
		s = g_new0(struct gateway_server, 1);
		s->instance = *instance;
		(void)g_hash_table_insert(g->servers, s->instance.id, s);
		logger_event(LOGGER_INFO, "server.listed",
		    "server=%s service=%s zone=%s version=%s address=%s:%u "
		    "leaving=%d",
		    instance->id, instance->service, instance->zone,
		    instance->version, instance->host, instance->port,
		    instance->draining);
	} else if (instance->draining && !s->instance.draining) {
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
on_list(void *arg, GArray *servers, uint32_t pages)
{
	struct gateway *g = arg;
	const uint64_t now = loop_now_us(g->loop);

	if (servers == NULL || g->list_asked_us <= g->list_fresh_us)
		return;
	g->list_pages = pages;
	g->list_source = 0;
	g->list_revision = 0;
	g->list_round++;
	for (guint i = 0; i < servers->len; i++) {
		struct instance *s =
		    &g_array_index(servers, struct instance, i);

		instance_set_cold_end(s, gateway_wall_clock_us(g));
		update_server(g, s, now);
	}
	remove_unlisted(g);
	if (g->list_fresh_us == 0)
		logger_event(
		    LOGGER_INFO, "list.known", "servers=%u", servers->len);
	g->list_fresh_us = g->list_asked_us;
	gateway_waitq_step(g, now);
}

/// Makes the reader of the platform's list.
void
gateway_servers_start(struct gateway *g)
{
	g->lister = api_lister_new(g->http, on_list, g);
}

/// Whether this gateway can apply an update's changes. They hold the newest
/// state of each server that changed since a revision, so that those from an
/// older one lead to the same list.
static bool
changes_apply(
    const struct gateway *g, uint64_t source, const struct feedmsg_update *u)
{
	return u->since == 0 ||
	    (source == g->list_source && u->since <= g->list_revision &&
		g->list_revision < u->revision);
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
			update_server(g, &c->instance, now_us);
	}
	if (is_whole)
		remove_unlisted(g);
	if (g->list_fresh_us == 0)
		logger_event(LOGGER_INFO, "list.known", "servers=%u",
		    g_hash_table_size(g->servers));
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
	const uint64_t fresh_us = u->echo_us - u->age_us;
	GArray *changes;

	if (u->revision == 0)
		return;
	if (u->revision == g->list_revision && source == g->list_source) {
		g->list_fresh_us = MAX(g->list_fresh_us, fresh_us);
		return;
	}
	if (!changes_apply(g, source, u) ||
	    (source != g->list_source && fresh_us <= g->list_fresh_us))
		return;
	changes = g_array_new(FALSE, TRUE, sizeof(struct hubmsg_server));
	if (hubmsg_servers_decode(u->changes, u->len, changes) != STATUS_OK) {
		logger_event(LOGGER_WARN, "list.unreadable", "reason=\"%s\"",
		    status_last());
		g_array_unref(changes);
		return;
	}
	apply_changes(g, changes, u->since == 0, loop_now_us(g->loop));
	g_array_unref(changes);
	if (g->reads_list)
		logger_event(LOGGER_INFO, "list.from_control",
		    "age_ms=%" PRIu64, u->age_us / USEC_PER_MSEC);
	g->reads_list = false;
	g->list_source = source;
	g->list_revision = u->revision;
	g->list_fresh_us = MAX(g->list_fresh_us, fresh_us);
	gateway_waitq_step(g, loop_now_us(g->loop));
}

/// Interval at which this gateway reads the list while control is silent: all
/// gateways share the platform's call limit.
static uint64_t
list_interval_us(const struct gateway *g)
{
	const double n_calls =
	    (double)MAX(g->n_gateways, 1) * MAX(g->list_pages, 1);
	const double s =
	    n_calls / (GATEWAY_CALLS_FACTOR * g->settings.list_calls_per_s);

	return MAX(GATEWAY_LIST_MIN_INTERVAL_US, (uint64_t)(s * USEC_PER_SEC));
}

/// Starts to read the list from the platform if control hasn't sent it for
/// GATEWAY_LIST_SILENT_US.
void
gateway_servers_tick(struct gateway *g, uint64_t now_us)
{
	if (now_us < g->next_list_us || api_lister_busy(g->lister))
		return;
	if (now_us <
	    MAX(g->list_fresh_us, g->started_us) + GATEWAY_LIST_SILENT_US)
		return;
	if (!g->reads_list) {
		// All gateways lose the list at the same moment: their first
		// readings share the call limit like the later ones.
		g->next_list_us = now_us +
		    rnd_below(loop_random(g->loop), list_interval_us(g));
		g->reads_list = true;
		logger_event(LOGGER_WARN, "list.own_reading",
		    "silent_ms=%" PRIu64 " interval_ms=%" PRIu64,
		    timerq_ms_since(now_us, g->list_fresh_us),
		    list_interval_us(g) / USEC_PER_MSEC);
		return;
	}
	g->next_list_us = now_us + list_interval_us(g);
	g->list_asked_us = now_us;
	api_lister_read(
	    g->lister, g->settings.cloud.host, g->settings.cloud.port);
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
