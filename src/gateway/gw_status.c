#include "gateway/gw_internal.h"

#include <jansson.h>

#include "fleet/ps.h"

static json_t *
server_json(const struct gw *g, const struct gw_server *s, uint64_t now_us)
{
	struct balancer_server_stats view = { .load = 0 };

	(void)balancer_server_stats(g->router, now_us, s->route, &view);
	return json_pack("{s:s, s:s, s:s, s:s, s:b, s:b, s:f, s:I, s:I, s:I}",
	    "id", s->sv.id, "service", s->sv.service, "zone", s->sv.zone,
	    "version", s->sv.version, "leaving", view.draining, "set_aside",
	    view.ejected, "load", view.load, "own", (json_int_t)view.own,
	    "failures", (json_int_t)view.failures, "first_token_ms",
	    (json_int_t)(view.first_token_us / USEC_PER_MSEC));
}

static gint
by_id(gconstpointer a, gconstpointer b)
{
	return g_strcmp0(((const struct gw_server *)a)->sv.id,
	    ((const struct gw_server *)b)->sv.id);
}

static json_t *
servers_json(const struct gw *g, uint64_t now_us)
{
	GList *sorted = g_list_sort(g_hash_table_get_values(g->servers), by_id);
	json_t *all = json_array();

	for (const GList *l = sorted; l != NULL; l = l->next)
		(void)json_array_append_new(
		    all, server_json(g, l->data, now_us));
	g_list_free(sorted);
	return all;
}

/// What this gateway believes, how old that is, and its backend servers.
///
/// @return to be released with json_decref()
json_t *
gw_status(struct gw *g)
{
	const uint64_t now = loop_now_us(g->loop);
	char leader[SV_HOST_BYTES] = "";
	const char *why = "";
	const bool in_service = gw_in_service(g, &why);

	if (g->leader != 0)
		ps_host(g->settings.host, g->leader, leader, sizeof(leader));
	return json_pack(
	    "{s:s, s:s, s:s, s:b, s:s, s:I, s:s, s:I, s:I, s:I, s:I, s:o}",
	    "role", "gateway", "name", g->settings.node, "data_centre",
	    g->settings.data_centre, "in_service", in_service, "reason",
	    in_service ? "" : why, "version",
	    (json_int_t)(g->config != NULL ? fc_version(g->config) : 0),
	    "leader", leader, "leader_age_ms",
	    (json_int_t)timerq_ms_since(now, g->led_us), "lease_left_ms",
	    (json_int_t)timerq_ms_since(g->lease_until_us, now), "list_age_ms",
	    (json_int_t)timerq_ms_since(now, g->listed_us), "requests",
	    (json_int_t)slotmap_count(g->requests), "servers",
	    servers_json(g, now));
}
