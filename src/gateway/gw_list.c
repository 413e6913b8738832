#include "gateway/gw_internal.h"

#include <string.h>

#define GW_LIST_US (900 * USEC_PER_MSEC)
/// Control tells the list; after so long without its word it is read here.
#define GW_LIST_SILENT_US (2 * USEC_PER_SEC)
/// Part of the calls that the platform takes for gateways' own readings.
#define GW_CALLS_PART 0.5
/// One way between data centres of a region.
#define GW_DISTANCE_US 500

/// What is configured of a service's engines, or NULL.
static const struct fc_engine *
engine_of(const struct gw *g, const char *service)
{
	const int i =
	    g->config == NULL ? -1 : fc_find_service(g->config, service);

	if (i < 0 || !fc_service(g->config, (size_t)i)->engine.enabled)
		return NULL;
	return &fc_service(g->config, (size_t)i)->engine;
}

static void
route_server(struct gw *g, struct gw_server *s, uint64_t now_us)
{
	const struct fc_engine *engine = engine_of(g, s->sv.service);
	struct balancer_server_conf conf = {
		.kind = engine != NULL ? BALANCER_RUNNER : BALANCER_SERVICE,
		.n_versions = 1,
		.kv_tokens = engine != NULL ? engine->kv_tokens : 0,
	};

	(void)g_strlcpy(conf.name, s->sv.id, sizeof(conf.name));
	(void)g_strlcpy(conf.pool, s->sv.service, sizeof(conf.pool));
	(void)g_strlcpy(conf.data_centre, s->sv.zone, sizeof(conf.data_centre));
	(void)g_strlcpy(
	    conf.versions[0], s->sv.version, sizeof(conf.versions[0]));
	balancer_set_data_centre(g->router, s->sv.zone,
	    strcmp(s->sv.zone, g->settings.data_centre) == 0 ? 0
							     : GW_DISTANCE_US,
	    false);
	s->route = balancer_set_server(g->router, now_us, &conf);
	if (s->sv.draining)
		balancer_set_draining(
		    g->router, now_us, s->route, BALANCER_BY_LIST);
}

static void
take_server(struct gw *g, const struct sv *sv, uint64_t now_us)
{
	struct gw_server *s = g_hash_table_lookup(g->servers, sv->id);

	if (s == NULL) {
		s = g_new0(struct gw_server, 1);
		s->sv = *sv;
		(void)g_hash_table_insert(g->servers, s->sv.id, s);
		logger_event(LOGGER_INFO, "server.listed",
		    "server=%s service=%s zone=%s version=%s address=%s:%u "
		    "leaving=%d",
		    sv->id, sv->service, sv->zone, sv->version, sv->host,
		    sv->port, sv->draining);
	} else if (sv->draining && !s->sv.draining) {
		logger_event(
		    LOGGER_INFO, "server.leaving", "server=%s", sv->id);
	}
	s->sv = *sv;
	s->round = g->round;
	route_server(g, s, now_us);
}

static void
forget_server(struct gw *g, const struct gw_server *s)
{
	logger_event(LOGGER_INFO, "server.gone", "server=%s", s->sv.id);
	balancer_remove_server(g->router, s->route);
}

static void
forget_id(struct gw *g, const char *id)
{
	const struct gw_server *s = g_hash_table_lookup(g->servers, id);

	if (s == NULL)
		return;
	forget_server(g, s);
	(void)g_hash_table_remove(g->servers, id);
}

/// Forgets the servers that the newest reading didn't show.
static void
forget_unlisted(struct gw *g)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct gw_server *s = value;

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
	struct gw *g = arg;
	const uint64_t now = loop_now_us(g->loop);

	if (servers == NULL)
		return;
	g->pages = pages;
	g->list = 0;
	g->round++;
	for (guint i = 0; i < servers->len; i++)
		take_server(g, &g_array_index(servers, struct sv, i), now);
	forget_unlisted(g);
	if (g->listed_us == 0)
		logger_event(
		    LOGGER_INFO, "list.known", "servers=%u", servers->len);
	g->listed_us = now;
	gw_hold_step(g, now);
}

/// Makes ready to read the list.
void
gw_list_start(struct gw *g)
{
	g->lister = pf_lister_new(g->http, on_list, g);
}

/// Takes what control says of the list.
void
gw_list_told(struct gw *g, const struct lm_state *s)
{
	const uint64_t now = loop_now_us(g->loop);
	GArray *changes;

	if (s->list == 0)
		return;
	if (s->list == g->list) {
		g->listed_us = now;
		return;
	}
	if (s->list_after != 0 && s->list_after != g->list)
		return;
	changes = g_array_new(FALSE, TRUE, sizeof(struct lm_server));
	if (lm_list_decode(s->changes, s->changes_len, changes) != STATUS_OK) {
		logger_event(LOGGER_WARN, "list.unreadable", "reason=\"%s\"",
		    status_last());
		g_array_unref(changes);
		return;
	}
	g->round++;
	for (guint i = 0; i < changes->len; i++) {
		const struct lm_server *c =
		    &g_array_index(changes, struct lm_server, i);

		if (c->gone)
			forget_id(g, c->sv.id);
		else
			take_server(g, &c->sv, now);
	}
	if (s->list_after == 0)
		forget_unlisted(g);
	if (g->listed_us == 0)
		logger_event(LOGGER_INFO, "list.known", "servers=%u",
		    g_hash_table_size(g->servers));
	g->list = s->list;
	g->listed_us = now;
	g_array_unref(changes);
}

/// How often the list is read here, while control is silent: all gateways
/// share the calls that the platform takes.
static uint64_t
interval_us(const struct gw *g)
{
	const double calls = (double)MAX(g->n_gateways, 1) * MAX(g->pages, 1);
	const double s = calls / (GW_CALLS_PART * g->settings.list_calls_per_s);

	return MAX(GW_LIST_US, (uint64_t)(s * USEC_PER_SEC));
}

/// Reads the list here when control has said nothing of it for a while.
void
gw_list_tick(struct gw *g, uint64_t now_us)
{
	if (now_us < g->next_list_us || pf_lister_busy(g->lister))
		return;
	if (now_us < MAX(g->listed_us, g->started_us) + GW_LIST_SILENT_US)
		return;
	g->next_list_us = now_us + interval_us(g);
	pf_lister_read(
	    g->lister, g->settings.cloud.host, g->settings.cloud.port);
}

/// A server said that it isn't the one that the list names: nothing more is
/// sent to it until the list is read again.
void
gw_list_gone(struct gw *g, const char *id)
{
	struct gw_server *s = g_hash_table_lookup(g->servers, id);

	if (s == NULL)
		return;
	logger_event(LOGGER_INFO, "server.replaced", "server=%s", id);
	balancer_set_draining(
	    g->router, loop_now_us(g->loop), s->route, BALANCER_BY_SERVER);
}
