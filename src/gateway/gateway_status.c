#include "gateway/gateway_internal.h"

#include <jansson.h>

static json_t *
server_json(
    const struct gateway *g, const struct gateway_server *s, uint64_t now_us)
{
	struct balancer_server_stats stats = { .load = 0 };

	(void)balancer_server_stats(
	    g->balancer, now_us, s->balancer_handle, &stats);
	return json_pack(
	    "{s:s, s:s, s:s, s:s, s:b, s:b, s:f, s:I, s:I, s:f, s:I, s:I,"
	    " s:I, s:I, s:I, s:b, s:I, s:b}",
	    "id", s->instance.id, "service", s->instance.service, "zone",
	    s->instance.zone, "version", s->instance.version, "leaving",
	    stats.draining, "set_aside", stats.ejected, "load", stats.load,
	    "own", (json_int_t)stats.own_requests, "failures",
	    (json_int_t)stats.failures, "limit_per_s", stats.limit_per_s,
	    "paused_ms",
	    (json_int_t)timerq_ms_since(stats.paused_until_us, now_us),
	    "first_token_ms",
	    (json_int_t)(stats.first_token_us / USEC_PER_MSEC), "cold_ms",
	    (json_int_t)timerq_ms_since(stats.cold_until_us, now_us),
	    "pace_percent", (json_int_t)stats.pace_percent, "pace_now_percent",
	    (json_int_t)stats.pace_now_percent, "brittle", stats.brittle,
	    "places", (json_int_t)stats.places, "lost",
	    gateway_reach_is_lost(g, s));
}

static gint
by_id(gconstpointer a, gconstpointer b)
{
	return g_strcmp0(((const struct gateway_server *)a)->instance.id,
	    ((const struct gateway_server *)b)->instance.id);
}

static json_t *
servers_json(const struct gateway *g, uint64_t now_us)
{
	GList *sorted = g_list_sort(g_hash_table_get_values(g->servers), by_id);
	json_t *all = json_array();

	for (const GList *l = sorted; l != NULL; l = l->next)
		(void)json_array_append_new(
		    all, server_json(g, l->data, now_us));
	g_list_free(sorted);
	return all;
}

/// What this gateway knows, how old that is, and its backend servers.
///
/// @return to be released with json_decref()
json_t *
gateway_status(struct gateway *g)
{
	const uint64_t now = loop_now_us(g->loop);
	char leader[INSTANCE_HOST_BYTES] = "";
	const char *why = "";
	const bool in_service = gateway_is_ready(g, &why);

	if (g->leader != 0)
		hosttable_get(g->hosts, g->leader, leader);
	return json_pack(
	    "{s:s, s:s, s:s, s:b, s:s, s:I, s:s, s:I, s:I, s:I, s:I, s:o, s:o}",
	    "role", "gateway", "name", g->settings.node, "data_centre",
	    g->settings.data_centre, "in_service", in_service, "reason",
	    in_service ? "" : why, "version",
	    (json_int_t)(g->config != NULL ? fleetcfg_version(g->config) : 0),
	    "leader", leader, "leader_age_ms",
	    (json_int_t)timerq_ms_since(now, g->leader_contact_us),
	    "lease_left_ms",
	    (json_int_t)timerq_ms_since(g->lease_until_us, now), "list_age_ms",
	    (json_int_t)timerq_ms_since(now, g->list_fresh_us), "requests",
	    (json_int_t)slotmap_count(g->requests), "servers",
	    servers_json(g, now), "evacuations", gateway_evac_json(g));
}
