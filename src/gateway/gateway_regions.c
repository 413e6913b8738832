#include "gateway/gateway_internal.h"

#include <string.h>

/// Regions where a request may run; see docs/design/regions.md.

/// Region of a data centre; "" if the settings don't give it.
static const char *
region_of(const struct gateway *g, const char *zone)
{
	const struct bootstrap_settings *s = &g->settings;

	for (uint32_t i = 0; i < s->n_zones; i++) {
		if (strcmp(s->zones[i], zone) == 0)
			return s->regions[i];
	}
	return "";
}

static bool
is_restricted(const struct gateway_request *q)
{
	return q->route->regions != NULL ||
	    (q->customer != NULL && q->customer->regions != NULL);
}

static bool
allows(const struct gateway_request *q, const struct gateway_server *s)
{
	return fleetcfg_allows_region(
	    q->route, q->customer, region_of(q->gateway, s->instance.zone));
}

static bool
is_listed(const struct balancer_request *query, const char *zone)
{
	for (uint32_t i = 0; i < query->n_data_centres; i++) {
		if (strcmp(query->data_centres[i], zone) == 0)
			return true;
	}
	return false;
}

/// Excludes the data centres outside the regions that a request allows from the
/// choice of its server.
///
/// @return false if they are too many to be excluded: no server may be chosen
bool
gateway_regions_exclude(
    const struct gateway_request *q, struct balancer_request *query)
{
	GHashTableIter it;
	gpointer value;

	if (!is_restricted(q))
		return true;
	g_hash_table_iter_init(&it, q->gateway->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct gateway_server *s = value;

		if (allows(q, s) || is_listed(query, s->instance.zone))
			continue;
		if (query->n_data_centres == BALANCER_MAX_EXCLUDED_DCS)
			return false;
		query->data_centres[query->n_data_centres++] = s->instance.zone;
	}
	return true;
}

/// Whether a server that takes work is listed for a request in the regions that
/// it allows; always true for a request that allows all.
bool
gateway_regions_have_server(const struct gateway_request *q)
{
	const struct gateway *g = q->gateway;
	GHashTableIter it;
	gpointer value;

	if (!is_restricted(q))
		return true;
	g_hash_table_iter_init(&it, g->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct gateway_server *s = value;

		if (strcmp(s->instance.service, q->service->name) == 0 &&
		    allows(q, s) && !gateway_evac_covers(g, s->instance.zone) &&
		    !balancer_is_draining(
			g->balancer, s->balancer_handle, NULL))
			return true;
	}
	return false;
}
