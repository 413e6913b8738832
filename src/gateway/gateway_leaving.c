#include "gateway/gateway_internal.h"

#include <string.h>

/// How often the servers are searched for one to check.
#define GATEWAY_LEAVING_TICK_US (500 * USEC_PER_MSEC)
/// How often a server that leaves, but is listed as ready, is asked for its
/// health.
#define GATEWAY_LEAVING_CHECK_US (5 * USEC_PER_SEC)
#define GATEWAY_LEAVING_TIMEOUT_US (300 * USEC_PER_MSEC)

/// The server has started again under its id: its earlier signals are void.
static void
on_restarted(struct gateway_server *s)
{
	logger_event(
	    LOGGER_INFO, "server.returned", "server=%s", s->instance.id);
	s->signalled_leaving = false;
	s->next_check_us = 0;
	s->limit_per_s = 0;
	s->is_brittle = false;
	s->max_refusals = 0;
	s->incarnation++;
}

/// A request for the health of a server that leaves.
struct check {
	struct gateway *gateway;
	handle_t call;
	char server[FLEETCFG_NAME_BYTES];
};

/// A server that is healthy and not leaving any more has started again.
static void
on_checked(void *arg, const struct httpc_result *result)
{
	struct check *check = arg;
	struct gateway *g = check->gateway;
	struct gateway_server *s =
	    g_hash_table_lookup(g->servers, check->server);
	struct api_response response;

	if (s != NULL && !s->instance.draining && result->status == STATUS_OK &&
	    result->http_status == 200) {
		api_response_read(g->http, check->call, &response);
		if (strcmp(response.instance, s->instance.id) == 0 &&
		    !response.signals.leaving &&
		    !response.signals.malformed[API_SIGNAL_LEAVING]) {
			on_restarted(s);
			gateway_servers_refresh(g, s);
			gateway_cold_on_health(g, s, response.cold_ms);
		}
	}
	g_free(check);
}

static void
check_leaving(struct gateway *g, const struct gateway_server *s)
{
	const int i = g->config == NULL
	    ? -1
	    : fleetcfg_find_service(g->config, s->instance.service);
	struct check *check;
	struct httpc_request call = {
		.method = "GET",
		.host = s->instance.host,
		.port = s->instance.port,
		.connect_us = GATEWAY_LEAVING_TIMEOUT_US,
		.timeout_us = GATEWAY_LEAVING_TIMEOUT_US,
		.new_connection = true,
		.on_end = on_checked,
	};

	if (i < 0)
		return;
	check = g_new0(struct check, 1);
	check->gateway = g;
	(void)g_strlcpy(check->server, s->instance.id, sizeof(check->server));
	call.path = fleetcfg_service(g->config, (size_t)i)->health_path;
	call.arg = check;
	check->call = httpc_send(g->http, &call);
	if (check->call == HANDLE_NONE)
		g_free(check);
}

/// Checks servers that get no new work while the list shows them as ready. They
/// may have started again under their id; the list alone may be older than
/// their signals.
void
gateway_leaving_tick(struct gateway *g, uint64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	if (now_us < g->next_leaving_us)
		return;
	g->next_leaving_us = now_us + GATEWAY_LEAVING_TICK_US;
	g_hash_table_iter_init(&it, g->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct gateway_server *s = value;

		if (s->instance.draining ||
		    gateway_evac_covers(g, s->instance.zone) ||
		    !balancer_is_draining(
			g->balancer, s->balancer_handle, NULL))
			continue;
		if (s->next_check_us == 0)
			s->next_check_us = now_us + GATEWAY_LEAVING_CHECK_US;
		if (now_us < s->next_check_us)
			continue;
		s->next_check_us = now_us + GATEWAY_LEAVING_CHECK_US +
		    rnd_below(
			loop_random(g->loop), GATEWAY_LEAVING_CHECK_US / 2);
		check_leaving(g, s);
	}
}
