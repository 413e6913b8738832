#include "gateway/gateway_internal.h"

#include <inttypes.h>
#include <string.h>

/// What this gateway learns of cold servers (route/balancer_cold.c): from the
/// list, from their health, and from the leader, which passes on what other
/// gateways learned.

#define GATEWAY_COLD_CHECK_US (300 * USEC_PER_MSEC)
/// An end that is later than known by less isn't worth a message.
#define GATEWAY_COLD_NEWS_US (300 * USEC_PER_MSEC)

/// A request for the health of a server that may have restarted.
struct cold_check {
	struct gateway *gateway;
	handle_t call;
	char server[FLEETCFG_NAME_BYTES];
};

static const struct fleetcfg_service *
service_of(const struct gateway *g, const struct gateway_server *s)
{
	const int i = g->config == NULL
	    ? -1
	    : fleetcfg_find_service(g->config, s->instance.service);

	return i < 0 ? NULL : fleetcfg_service(g->config, (size_t)i);
}

static void
set_rule(struct gateway *g, const struct gateway_server *s)
{
	const struct bootstrap_bounds *b = &g->settings.bounds;
	const struct fleetcfg_service *service = service_of(g, s);
	struct balancer_cold_rule rule = { .start_us = 0 };

	if (service == NULL)
		return;
	rule.start_us = (uint64_t)(service->cold_start_s * USEC_PER_SEC);
	rule.per_s = service->cold_per_s;
	rule.max_per_s = service->cold_per_s * b->cold_over + b->cold_slack;
	balancer_set_cold_rule(g->balancer, s->instance.service, &rule);
}

/// Sets what cold servers take after a change of the configuration.
void
gateway_cold_on_config(struct gateway *g)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->servers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		set_rule(g, value);
}

static void
set_cold(struct gateway *g, struct gateway_server *s, uint64_t until_us,
    const char *source)
{
	const uint64_t now = loop_now_us(g->loop);
	const struct balancer_cold_state was =
	    balancer_cold_state(g->balancer, now, s->balancer_handle);
	struct balancer_cold_state is;

	balancer_set_cold(g->balancer, now, s->balancer_handle, until_us);
	is = balancer_cold_state(g->balancer, now, s->balancer_handle);
	if (is.until_us == was.until_us && is.presumed == was.presumed)
		return;
	logger_event(LOGGER_INFO, "server.cold",
	    "server=%s left_ms=%" PRIu64 " was_ms=%" PRIu64
	    " was_presumed=%d by=%s",
	    s->instance.id, timerq_ms_since(is.until_us, now),
	    timerq_ms_since(was.until_us, now), was.presumed, source);
}

/// A server was listed, or its entry has changed.
void
gateway_cold_on_listed(struct gateway *g, struct gateway_server *s)
{
	const int64_t until_us =
	    (int64_t)(s->instance.cold_until_ms * USEC_PER_MSEC) -
	    g->clock_offset_us;

	set_rule(g, s);
	if (s->instance.cold_until_ms != 0 &&
	    until_us > (int64_t)loop_now_us(g->loop))
		set_cold(g, s, (uint64_t)until_us, "list");
}

/// Tells the leader how long a server is still cold.
static void
tell_leader(struct gateway *g, const struct gateway_server *s, uint32_t left_ms)
{
	struct limitmsg m;

	limitmsg_init(&m);
	limitmsg_add_cold(&m, s->instance.id, left_ms);
	gateway_limits_send_to_leader(g, &m);
	limitmsg_clear(&m);
}

/// Acts on the health response of a server.
void
gateway_cold_on_health(
    struct gateway *g, struct gateway_server *s, uint32_t left_ms)
{
	const uint64_t now = loop_now_us(g->loop);
	const uint64_t until_us = now + left_ms * USEC_PER_MSEC;
	const struct balancer_cold_state was =
	    balancer_cold_state(g->balancer, now, s->balancer_handle);
	const uint64_t known_us = was.presumed ? 0 : was.until_us;

	set_cold(g, s, until_us, "health");
	if (left_ms > 0 && until_us > known_us + GATEWAY_COLD_NEWS_US)
		tell_leader(g, s, left_ms);
}

static void
on_checked(void *arg, const struct httpc_result *result)
{
	struct cold_check *check = arg;
	struct gateway *g = check->gateway;
	struct gateway_server *s =
	    g_hash_table_lookup(g->servers, check->server);
	struct api_response response;

	if (s != NULL) {
		s->cold_check_in_flight = false;
		if (result->status == STATUS_OK) {
			api_response_read(g->http, check->call, &response);
			if (strcmp(response.instance, s->instance.id) == 0)
				gateway_cold_on_health(g, s, response.cold_ms);
		}
	}
	g_free(check);
}

/// Asks a server that is reached again whether it is cold.
static void
start_check(struct gateway *g, struct gateway_server *s)
{
	const struct fleetcfg_service *service = service_of(g, s);
	struct cold_check *check;
	char via[INSTANCE_HOST_BYTES];
	struct httpc_request call = {
		.method = "GET",
		.host = s->instance.host,
		.port = s->instance.port,
		.connect_us = GATEWAY_COLD_CHECK_US,
		.timeout_us = GATEWAY_COLD_CHECK_US,
		.on_end = on_checked,
	};

	if (service == NULL)
		return;
	g->n_cold_checks->value++;
	check = g_new0(struct cold_check, 1);
	check->gateway = g;
	(void)g_strlcpy(check->server, s->instance.id, sizeof(check->server));
	call.path = service->health_path;
	call.arg = check;
	gateway_relay_check(g, s, &call, via);
	check->call = httpc_send(g->http, &call);
	s->cold_check_in_flight = check->call != HANDLE_NONE;
	if (!s->cold_check_in_flight)
		g_free(check);
}

/// A server has responded to a request. If it was out of reach before, it is
/// asked once whether it is cold.
void
gateway_cold_on_response(struct gateway *g, struct gateway_server *s)
{
	const uint64_t now = loop_now_us(g->loop);

	if (!s->cold_check_in_flight &&
	    balancer_cold_state(g->balancer, now, s->balancer_handle).presumed)
		start_check(g, s);
}

/// A server can't be reached: it may restart.
void
gateway_cold_on_unreachable(struct gateway *g, const char *server)
{
	const struct gateway_server *s =
	    g_hash_table_lookup(g->servers, server);

	if (s != NULL)
		balancer_presume_cold(
		    g->balancer, loop_now_us(g->loop), s->balancer_handle);
}

/// Adds the cold servers that this gateway knows of to a message.
void
gateway_cold_fill(const struct gateway *g, struct limitmsg *m)
{
	const uint64_t now = loop_now_us(g->loop);
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct gateway_server *s = value;
		const struct balancer_cold_state cold =
		    balancer_cold_state(g->balancer, now, s->balancer_handle);

		if (cold.until_us > now && !cold.presumed)
			limitmsg_add_cold(m, s->instance.id,
			    (uint32_t)timerq_ms_since(cold.until_us, now));
	}
}

/// Applies what the leader says of cold servers.
void
gateway_cold_on_message(struct gateway *g, const struct limitmsg *m)
{
	const uint64_t now = loop_now_us(g->loop);

	for (guint i = 0; i < m->colds->len; i++) {
		const struct limitmsg_cold *c =
		    &g_array_index(m->colds, struct limitmsg_cold, i);
		struct gateway_server *s =
		    g_hash_table_lookup(g->servers, c->server);

		if (s != NULL)
			set_cold(
			    g, s, now + c->left_ms * USEC_PER_MSEC, "control");
	}
}
