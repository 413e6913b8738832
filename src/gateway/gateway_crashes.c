#include "gateway/gateway_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/partmsg.h"

/// Time in which a server that lost connections must accept a new one, and time
/// to respond over it.
#define GATEWAY_CHECK_CONNECT_US (200 * USEC_PER_MSEC)
#define GATEWAY_CHECK_US (300 * USEC_PER_MSEC)
/// Crashes that a new leader hears of again.
#define GATEWAY_REPORTED_US (10 * USEC_PER_SEC)
#define GATEWAY_MAX_REPORTED 64
/// Time from the loss of a connection until a gateway that takes itself to be
/// cut off has found out whether it is.
#define GATEWAY_HELD_US USEC_PER_SEC

/// A server that lost connections with requests in flight. It is checked
/// whether it crashed, or broke off responses only.
struct crash {
	struct gateway *gateway;
	handle_t check; ///< call in flight
	uint64_t at_us;
	struct partmsg_crash report;
	GArray *waiting;  ///< requests that gateway_crashes_wait() was given
	bool is_expected; ///< the server was about to end: nothing is to blame
};

static void
crash_free(gpointer p)
{
	struct crash *crash = p;

	partmsg_crash_clear(&crash->report);
	g_array_unref(crash->waiting);
	g_free(crash);
}

/// Makes the tables of crashes.
void
gateway_crashes_start(struct gateway *g)
{
	g->crash_checks =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, crash_free);
	g_queue_init(&g->reported_crashes);
	g_queue_init(&g->held_crashes);
}

/// Releases the tables of crashes.
void
gateway_crashes_clear(struct gateway *g)
{
	g_hash_table_destroy(g->crash_checks);
	g_queue_clear_full(&g->reported_crashes, crash_free);
	g_queue_clear_full(&g->held_crashes, crash_free);
}

static void
send_report(struct gateway *g, struct crash *crash)
{
	const struct gateway_hub *leader =
	    g_hash_table_lookup(g->hubs, GUINT_TO_POINTER(g->leader));
	struct wire_msg msg = { .kind = WIRE_CRASH };
	uint8_t *bytes;

	if (leader == NULL || crash->report.in_flight->len == 0)
		return;
	crash->report.age_us = loop_now_us(g->loop) - crash->at_us;
	partmsg_crash_encode(&crash->report, &bytes, &msg.payload.len);
	msg.payload.data = bytes;
	(void)transport_send(g->links, leader->link, &msg);
	free(bytes);
}

/// Sends the newest crashes to a new leader, which has no evidence yet.
void
gateway_crashes_on_leader(struct gateway *g)
{
	const uint64_t now = loop_now_us(g->loop);

	for (GList *l = g->reported_crashes.head; l != NULL; l = l->next) {
		struct crash *crash = l->data;

		if (now < crash->at_us + GATEWAY_REPORTED_US)
			send_report(g, crash);
	}
}

/// Tells the requests that wait for a check how it ended.
static void
end_waiting(struct crash *crash, bool crashed)
{
	struct gateway *g = crash->gateway;

	for (guint i = 0; i < crash->waiting->len; i++) {
		struct gateway_request *q = slotmap_get(
		    g->requests, g_array_index(crash->waiting, handle_t, i));

		if (q != NULL)
			gateway_response_checked(q, crashed);
	}
	g_array_set_size(crash->waiting, 0);
}

/// Whether a check shows that the server which lost connections is gone.
static bool
is_gone(struct crash *crash, const struct httpc_result *result)
{
	struct gateway *g = crash->gateway;
	struct api_response response;

	// A process that ends may still accept the connection, and drop it.
	if (result->http_status == 0)
		return result->status == STATUS_UNAVAILABLE ||
		    result->status == STATUS_IO;
	api_response_read(g->http, crash->check, &response);
	if (response.instance[0] != '\0' &&
	    strcmp(response.instance, crash->report.server) != 0)
		return true;
	gateway_signals_apply(g, crash->report.server, &response,
	    result->http_status, crash->at_us);
	return result->status == STATUS_IO;
}

/// Reports a crash to control.
static void
report(struct crash *crash)
{
	struct gateway *g = crash->gateway;

	gateway_cold_on_unreachable(g, crash->report.server);
	g->n_server_crashes->value++;
	logger_event(LOGGER_INFO, "server.crashed",
	    "server=%s service=%s parts=%u", crash->report.server,
	    crash->report.service, crash->report.in_flight->len);
	g_queue_push_tail(&g->reported_crashes, crash);
	if (g_queue_get_length(&g->reported_crashes) > GATEWAY_MAX_REPORTED)
		crash_free(g_queue_pop_head(&g->reported_crashes));
	send_report(g, crash);
}

static void
on_checked(void *arg, const struct httpc_result *result)
{
	struct crash *crash = arg;
	struct gateway *g = crash->gateway;
	const bool crashed = is_gone(crash, result);

	if (result->status == STATUS_UNAVAILABLE)
		gateway_reach_failed(g, crash->report.server);
	// Requests that end now may need another check.
	(void)g_hash_table_steal(g->crash_checks, crash->report.server);
	end_waiting(crash, crashed);
	if (!crashed || crash->is_expected) {
		crash_free(crash);
		return;
	}
	// It may be this gateway that is cut off, which more checks will show.
	if (gateway_reach_is_cut(g, crash->report.service))
		g_queue_push_tail(&g->held_crashes, crash);
	else
		report(crash);
}

/// Reports the crashes that were held back once this gateway isn't cut off from
/// the service, and drops those for which it still is: it can't tell.
void
gateway_crashes_tick(struct gateway *g, uint64_t now_us)
{
	GList *next;

	for (GList *l = g->held_crashes.head; l != NULL; l = next) {
		struct crash *crash = l->data;
		const bool is_cut =
		    gateway_reach_is_cut(g, crash->report.service);

		next = l->next;
		if (is_cut && now_us < crash->at_us + GATEWAY_HELD_US)
			continue;
		g_queue_delete_link(&g->held_crashes, l);
		if (is_cut)
			crash_free(crash);
		else
			report(crash);
	}
}

/// Requests a server's health over a new connection: one that crashed refuses
/// the connection or drops it.
static bool
start_check(struct crash *crash, const struct gateway_server *s,
    const struct fleetcfg_service *service)
{
	struct gateway *g = crash->gateway;
	const struct httpc_request call = {
		.method = "GET",
		.host = s->instance.host,
		.port = s->instance.port,
		.path = service->health_path,
		.connect_us = GATEWAY_CHECK_CONNECT_US,
		.timeout_us = GATEWAY_CHECK_US,
		.new_connection = true,
		.on_end = on_checked,
		.arg = crash,
	};

	balancer_count_request(
	    g->balancer, loop_now_us(g->loop), s->balancer_handle);
	crash->check = httpc_send(g->http, &call);
	return crash->check != HANDLE_NONE;
}

static void
add_parts(struct crash *crash, const struct gateway_request *q)
{
	for (uint32_t i = 0; i + 1 < q->call.n_parts; i++) {
		const struct crashlog_in_flight p = {
			.id = q->call.parts[i].id,
			.position = i,
		};

		g_array_append_val(crash->report.in_flight, p);
	}
}

/// Whether a server is about to end, with requests in flight or not.
static bool
is_leaving(const struct gateway_server *s)
{
	return s->instance.draining || s->signalled_leaving;
}

/// Starts to check whether the server of a request's attempt ended, or joins
/// the check in flight. One that is paused, limited or evacuated is left alone.
///
/// @return the check, or NULL if the server isn't checked
static struct crash *
check_server(const struct gateway_request *q)
{
	struct gateway *g = q->gateway;
	const struct gateway_server *s =
	    g_hash_table_lookup(g->servers, q->server);
	struct crash *crash = g_hash_table_lookup(g->crash_checks, q->server);

	// The check would be of this gateway's own way to the server.
	if (s == NULL || q->via != 0 ||
	    gateway_evac_covers(g, s->instance.zone) ||
	    !balancer_is_open(
		g->balancer, loop_now_us(g->loop), s->balancer_handle))
		return NULL;
	if (crash != NULL) {
		add_parts(crash, q);
		return crash;
	}
	crash = g_new0(struct crash, 1);
	crash->gateway = g;
	crash->waiting = g_array_new(FALSE, FALSE, sizeof(handle_t));
	crash->at_us = loop_now_us(g->loop);
	crash->is_expected = is_leaving(s);
	partmsg_crash_init(&crash->report);
	(void)g_strlcpy(
	    crash->report.server, q->server, sizeof(crash->report.server));
	(void)g_strlcpy(crash->report.service, q->service->name,
	    sizeof(crash->report.service));
	add_parts(crash, q);
	(void)g_hash_table_insert(g->crash_checks, crash->report.server, crash);
	if (start_check(crash, s, q->service))
		return crash;
	(void)g_hash_table_remove(g->crash_checks, q->server);
	return NULL;
}

/// The connection of a request's attempt was lost before the response was
/// complete: checks whether the server crashed, if it isn't about to end
/// anyway.
void
gateway_crashes_on_lost(const struct gateway_request *q)
{
	const struct gateway_server *s =
	    g_hash_table_lookup(q->gateway->servers, q->server);

	if (q->call.n_parts >= 2 && s != NULL && !is_leaving(s))
		(void)check_server(q);
}

/// The connection of a request's attempt ended where its response may be
/// complete, or cut off by the end of the server. Checks whether that has
/// ended; gateway_response_checked() is called with the result, unless the
/// request has ended by then. One that is paused or limited, and isn't about to
/// end, isn't checked.
enum gateway_server_end
gateway_crashes_wait(const struct gateway_request *q)
{
	struct gateway *g = q->gateway;
	const struct gateway_server *s =
	    g_hash_table_lookup(g->servers, q->server);
	struct crash *crash = check_server(q);

	if (crash != NULL) {
		(void)g_array_append_val(crash->waiting, q->self);
		return GATEWAY_SERVER_CHECKED;
	}
	if (s == NULL || is_leaving(s) || q->via != 0 ||
	    balancer_is_open(
		g->balancer, loop_now_us(g->loop), s->balancer_handle))
		return GATEWAY_SERVER_UNKNOWN;
	return GATEWAY_SERVER_LIVES;
}
