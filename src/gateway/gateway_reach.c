#include "gateway/gateway_internal.h"

#include <string.h>

/// What this gateway learns of its own way to the servers (fleet/reach.h): from
/// its attempts, and from checks of servers that are out of reach.

/// How often servers are checked, and how many each time.
#define GATEWAY_REACH_TICK_US (100 * USEC_PER_MSEC)
#define GATEWAY_REACH_CHECKS 2
#define GATEWAY_REACH_TIMEOUT_US (300 * USEC_PER_MSEC)

/// A request for a server's health over a new connection.
struct reach_check {
	struct gateway *gateway;
	handle_t call;
	char server[FLEETCFG_NAME_BYTES];
};

/// This gateway's way to the servers of a service.
static const struct reach *
find_reach(const struct gateway *g, const char *service)
{
	static const struct reach unknown;
	const struct gateway_service_load *l =
	    g_hash_table_lookup(g->loads, service);

	return l == NULL ? &unknown : &l->reach;
}

/// Whether this gateway is cut off from the servers of a service.
bool
gateway_reach_is_cut(const struct gateway *g, const char *service)
{
	return find_reach(g, service)->is_cut;
}

/// Whether this gateway's own way to a server doesn't work.
bool
gateway_reach_is_lost(const struct gateway *g, const struct gateway_server *s)
{
	return reach_is_lost(find_reach(g, s->instance.service), &s->reach);
}

/// Number of services that this gateway is cut off from.
uint32_t
gateway_reach_cut_count(const struct gateway *g)
{
	uint32_t n = 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->loads);
	while (g_hash_table_iter_next(&it, NULL, &value))
		n += ((const struct gateway_service_load *)value)->reach.is_cut;
	return n;
}

/// Number of servers that are out of reach.
uint32_t
gateway_reach_count(const struct gateway *g)
{
	uint32_t n = 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->servers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		n += gateway_reach_is_lost(g, value);
	return n;
}

/// No connection to a server could be made.
void
gateway_reach_failed(struct gateway *g, const char *server)
{
	struct gateway_server *s = g_hash_table_lookup(g->servers, server);
	const bool was_lost = s != NULL && gateway_reach_is_lost(g, s);
	bool is_cut;

	if (s == NULL)
		return;
	is_cut =
	    reach_failed(&gateway_service_load(g, s->instance.service)->reach,
		&s->reach, loop_now_us(g->loop));
	if (!was_lost)
		logger_event(LOGGER_INFO, "server.lost", "server=%s service=%s",
		    server, s->instance.service);
	if (is_cut)
		logger_event(LOGGER_WARN, "servers.cut_off",
		    "service=%s lost=%u servers=%u", s->instance.service,
		    gateway_reach_count(g), g_hash_table_size(g->servers));
}

/// A new connection to a server has worked.
void
gateway_reach_succeeded(struct gateway *g, const char *server)
{
	struct gateway_server *s = g_hash_table_lookup(g->servers, server);
	const bool was_lost = s != NULL && gateway_reach_is_lost(g, s);

	if (s == NULL)
		return;
	if (was_lost)
		logger_event(
		    LOGGER_INFO, "server.in_reach", "server=%s", server);
	if (reach_succeeded(
		&gateway_service_load(g, s->instance.service)->reach, &s->reach,
		loop_now_us(g->loop)))
		logger_event(LOGGER_WARN, "servers.in_reach",
		    "service=%s lost=%u servers=%u", s->instance.service,
		    gateway_reach_count(g), g_hash_table_size(g->servers));
}

/// A server hasn't responded for too long: it is checked whether it is in
/// reach.
void
gateway_reach_silent(struct gateway *g, const char *server)
{
	struct gateway_server *s = g_hash_table_lookup(g->servers, server);

	if (s != NULL)
		s->reach.is_suspect = true;
}

static void check_next(struct gateway *g, uint64_t now_us);

static void
on_checked(void *arg, const struct httpc_result *result)
{
	struct reach_check *check = arg;
	struct gateway *g = check->gateway;
	struct gateway_server *s =
	    g_hash_table_lookup(g->servers, check->server);
	struct api_response response;

	if (s != NULL)
		s->reach.is_suspect = false;
	if (s != NULL && result->status == STATUS_UNAVAILABLE) {
		gateway_reach_failed(g, check->server);
	} else if (s != NULL && result->status == STATUS_OK) {
		api_response_read(g->http, check->call, &response);
		gateway_reach_succeeded(g, check->server);
		if (strcmp(response.instance, s->instance.id) == 0)
			gateway_cold_on_health(g, s, response.cold_ms);
		// Others may be in reach again, too.
		check_next(g, loop_now_us(g->loop));
	}
	g_free(check);
}

static void
start_check(struct gateway *g, struct gateway_server *s)
{
	const int i = fleetcfg_find_service(g->config, s->instance.service);
	struct httpc_request call = {
		.method = "GET",
		.host = s->instance.host,
		.port = s->instance.port,
		.connect_us = GATEWAY_REACH_TIMEOUT_US,
		.timeout_us = GATEWAY_REACH_TIMEOUT_US,
		.new_connection = true,
		.on_end = on_checked,
	};
	struct reach_check *check;

	s->reach.checked_us = loop_now_us(g->loop);
	if (i < 0)
		return;
	check = g_new0(struct reach_check, 1);
	check->gateway = g;
	(void)g_strlcpy(check->server, s->instance.id, sizeof(check->server));
	call.path = fleetcfg_service(g->config, (size_t)i)->health_path;
	call.arg = check;
	balancer_count_request(
	    g->balancer, s->reach.checked_us, s->balancer_handle);
	check->call = httpc_send(g->http, &call);
	if (check->call == HANDLE_NONE)
		g_free(check);
}

/// Whether a server is to be checked now. One that leaves, is evacuated or
/// wants no requests is left alone.
static bool
needs_check(
    const struct gateway *g, const struct gateway_server *s, uint64_t now_us)
{
	return reach_needs_check(
		   find_reach(g, s->instance.service), &s->reach, now_us) &&
	    !s->instance.draining && !s->signalled_leaving &&
	    !gateway_evac_covers(g, s->instance.zone) &&
	    balancer_is_open(g->balancer, now_us, s->balancer_handle);
}

/// The server whose last check is the longest ago among those to be checked;
/// NULL: there is none.
static struct gateway_server *
find_due(const struct gateway *g, uint64_t now_us)
{
	struct gateway_server *found = NULL;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct gateway_server *s = value;

		if ((found == NULL ||
			s->reach.checked_us < found->reach.checked_us) &&
		    needs_check(g, s, now_us))
			found = s;
	}
	return found;
}

/// Checks one of the servers that are out of reach, or silent.
static void
check_next(struct gateway *g, uint64_t now_us)
{
	struct gateway_server *s =
	    g->config == NULL ? NULL : find_due(g, now_us);

	if (s != NULL)
		start_check(g, s);
}

/// Checks a few of the servers that are out of reach, or silent.
void
gateway_reach_tick(struct gateway *g, uint64_t now_us)
{
	if (now_us < g->next_reach_us)
		return;
	g->next_reach_us = now_us + GATEWAY_REACH_TICK_US;
	for (int i = 0; i < GATEWAY_REACH_CHECKS; i++)
		check_next(g, now_us);
}
