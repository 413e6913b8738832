#include "gateway/gateway_internal.h"

#include <string.h>

#define GATEWAY_LIST_US (900 * USEC_PER_MSEC)
/// Control tells the list; after so long without its word it is read here.
#define GATEWAY_LIST_SILENT_US (2 * USEC_PER_SEC)
/// Part of the calls that the platform takes for gateways' own readings.
#define GATEWAY_CALLS_PART 0.5
/// One way between data centres of a region.
#define GATEWAY_DISTANCE_US 500

/// What is configured of a service's engines, or NULL.
static const struct fleetcfg_engine *
engine_of(const struct gateway *g, const char *service)
{
	const int i =
	    g->config == NULL ? -1 : fleetcfg_find_service(g->config, service);

	if (i < 0 || !fleetcfg_service(g->config, (size_t)i)->engine.enabled)
		return NULL;
	return &fleetcfg_service(g->config, (size_t)i)->engine;
}

static void
route_server(struct gateway *g, struct gateway_server *s, uint64_t now_us)
{
	const struct fleetcfg_engine *engine =
	    engine_of(g, s->instance.service);
	struct balancer_server_conf conf = {
		.kind = engine != NULL ? BALANCER_RUNNER : BALANCER_SERVICE,
		.n_versions = 1,
		.kv_tokens = engine != NULL ? engine->kv_tokens : 0,
	};

	(void)g_strlcpy(conf.name, s->instance.id, sizeof(conf.name));
	(void)g_strlcpy(conf.pool, s->instance.service, sizeof(conf.pool));
	(void)g_strlcpy(
	    conf.data_centre, s->instance.zone, sizeof(conf.data_centre));
	(void)g_strlcpy(
	    conf.versions[0], s->instance.version, sizeof(conf.versions[0]));
	balancer_set_data_centre(g->router, s->instance.zone,
	    strcmp(s->instance.zone, g->settings.data_centre) == 0
		? 0
		: GATEWAY_DISTANCE_US,
	    false);
	s->route = balancer_set_server(g->router, now_us, &conf);
	if (s->instance.draining)
		balancer_set_draining(
		    g->router, now_us, s->route, BALANCER_BY_LIST);
}

static void
take_server(struct gateway *g, const struct instance *instance, uint64_t now_us)
{
	struct gateway_server *s =
	    g_hash_table_lookup(g->servers, instance->id);

	if (s == NULL) {
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
		logger_event(
		    LOGGER_INFO, "server.leaving", "server=%s", instance->id);
	}
	s->instance = *instance;
	s->round = g->round;
	route_server(g, s, now_us);
}

static void
forget_server(struct gateway *g, const struct gateway_server *s)
{
	logger_event(LOGGER_INFO, "server.gone", "server=%s", s->instance.id);
	balancer_remove_server(g->router, s->route);
}

static void
forget_id(struct gateway *g, const char *id)
{
	const struct gateway_server *s = g_hash_table_lookup(g->servers, id);

	if (s == NULL)
		return;
	forget_server(g, s);
	(void)g_hash_table_remove(g->servers, id);
}

/// Forgets the servers that the newest reading didn't show.
static void
forget_unlisted(struct gateway *g)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct gateway_server *s = value;

		if (s->round == g->round)
			continue;
		forget_server(g, s);
		g_hash_table_iter_remove(&it);
	}
}

/// The list was read here.
static void
on_list(void *arg, const GArray *servers, uint32_t pages)
{
	struct gateway *g = arg;
	const uint64_t now = loop_now_us(g->loop);

	if (servers == NULL)
		return;
	g->pages = pages;
	g->list = 0;
	g->round++;
	for (guint i = 0; i < servers->len; i++)
		take_server(
		    g, &g_array_index(servers, struct instance, i), now);
	forget_unlisted(g);
	if (g->list_fresh_us == 0)
		logger_event(
		    LOGGER_INFO, "list.known", "servers=%u", servers->len);
	g->list_fresh_us = now;
	gateway_waitq_step(g, now);
}

/// Makes ready to read the list.
void
gateway_servers_start(struct gateway *g)
{
	g->lister = api_lister_new(g->http, on_list, g);
}

/// Takes what control says of the list.
void
gateway_servers_update(struct gateway *g, const struct hubmsg_state *s)
{
	const uint64_t now = loop_now_us(g->loop);
	GArray *changes;

	if (s->list == 0)
		return;
	if (s->list == g->list) {
		g->list_fresh_us = now;
		return;
	}
	if (s->changes_since != 0 && s->changes_since != g->list)
		return;
	changes = g_array_new(FALSE, TRUE, sizeof(struct hubmsg_server));
	if (hubmsg_servers_decode(s->changes, s->changes_len, changes) !=
	    STATUS_OK) {
		logger_event(LOGGER_WARN, "list.unreadable", "reason=\"%s\"",
		    status_last());
		g_array_unref(changes);
		return;
	}
	g->round++;
	for (guint i = 0; i < changes->len; i++) {
		const struct hubmsg_server *c =
		    &g_array_index(changes, struct hubmsg_server, i);

		if (c->gone)
			forget_id(g, c->instance.id);
		else
			take_server(g, &c->instance, now);
	}
	if (s->changes_since == 0)
		forget_unlisted(g);
	if (g->list_fresh_us == 0)
		logger_event(LOGGER_INFO, "list.known", "servers=%u",
		    g_hash_table_size(g->servers));
	g->list = s->list;
	g->list_fresh_us = now;
	g_array_unref(changes);
}

/// How often the list is read here, while control is silent: all gateways
/// share the calls that the platform takes.
static uint64_t
interval_us(const struct gateway *g)
{
	const double calls = (double)MAX(g->n_gateways, 1) * MAX(g->pages, 1);
	const double s =
	    calls / (GATEWAY_CALLS_PART * g->settings.list_calls_per_s);

	return MAX(GATEWAY_LIST_US, (uint64_t)(s * USEC_PER_SEC));
}

/// Reads the list here when control has said nothing of it for a while.
void
gateway_servers_tick(struct gateway *g, uint64_t now_us)
{
	if (now_us < g->next_list_us || api_lister_busy(g->lister))
		return;
	if (now_us <
	    MAX(g->list_fresh_us, g->started_us) + GATEWAY_LIST_SILENT_US)
		return;
	g->next_list_us = now_us + interval_us(g);
	api_lister_read(
	    g->lister, g->settings.cloud.host, g->settings.cloud.port);
}

/// A server said that it isn't the one that the list names: nothing more is
/// sent to it until the list is read again.
void
gateway_servers_remove(struct gateway *g, const char *id)
{
	struct gateway_server *s = g_hash_table_lookup(g->servers, id);

	if (s == NULL)
		return;
	logger_event(LOGGER_INFO, "server.replaced", "server=%s", id);
	balancer_set_draining(
	    g->router, loop_now_us(g->loop), s->route, BALANCER_BY_SERVER);
}
