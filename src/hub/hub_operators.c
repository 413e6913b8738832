#include "hub/hub_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/slotaddr.h"
#include "front/httpd_json.h"
#include "platform/api_cloud.h"
#include "platform/api_manifest.h"
#include "platform/api_names.h"

#define HUB_MAX_REQUEST_BYTES (32U << 20)
#define HUB_IDLE_MS 60000
#define HUB_MAX_HEAD_BYTES 65536
/// For a head, and until the next byte of a body.
#define HUB_SEND_TIMEOUT_US (10 * USEC_PER_SEC)
/// Part of the memory that operators' requests may hold, and as much for the
/// responses; the same at the port of metrics.
#define HUB_REQUESTS_SHARE 8
#define HUB_METRICS_SHARE 64
/// Part of the descriptors that operators' connections may take.
#define HUB_OPERATORS_FDS_SHARE 8
/// Connections at the port of metrics, and at least that many of operators.
#define HUB_CONNECTIONS 32
#define HUB_STATUS_PATH "/v1/status"

/// An operator's request whose command is being committed.
struct pending_request {
	struct hub *hub;
	handle_t handle;
	uint64_t received_us;
	uint64_t version;               ///< of the configuration
	char zone[FLEETCFG_NAME_BYTES]; ///< of the evacuation
	bool evacuate;                  ///< not to end it
};

static void
reply(struct hub *h, handle_t handle, int status, const char *text)
{
	httpd_reply(h->operators, handle, status, NULL, "text/plain", text,
	    strlen(text));
}

/// Redirects an operator to the leader, or responds 503 if there is none.
static void
redirect(struct hub *h, handle_t handle, const struct httpd_request *req)
{
	struct replica_status st;
	char host[INSTANCE_HOST_BYTES];
	char *location;

	replica_status(h->group, &st);
	if (st.leader == 0 || (st.leader & RAFT_SLOT_MASK) == h->slot) {
		reply(h, handle, 503, "no leader at the moment");
		return;
	}
	hosttable_get(h->hosts, st.leader & RAFT_SLOT_MASK, host);
	location = g_strdup_printf(
	    "http://%s:%u%s", host, h->settings.operators.port, req->path);
	httpd_add_header(h->operators, handle, "Location", location);
	reply(h, handle, 307, "the leader answers");
	g_free(location);
}

static void
on_config_done(void *arg, enum status status, const uint8_t *result, size_t len)
{
	struct pending_request *p = arg;
	struct hub *h = p->hub;
	const uint64_t took_us = loop_now_us(h->loop) - p->received_us;

	(void)result;
	(void)len;
	logger_event(LOGGER_INFO, "order.config",
	    "version=%" PRIu64 " status=%s ms=%" PRIu64, p->version,
	    status_name(status), took_us / USEC_PER_MSEC);
	metrics_observe(h->ack_latency, took_us);
	if (status == STATUS_OK)
		reply(h, p->handle, 200, "accepted");
	else
		reply(h, p->handle, 503,
		    status == STATUS_UNAVAILABLE ? "not accepted: no leader"
						 : "outcome unknown");
	g_free(p);
}

/// Proposes an operator's configuration. One whose version isn't higher than
/// that in force is ignored, and the operator still gets 200.
static void
put_config(struct hub *h, handle_t handle, const struct httpd_request *req)
{
	const struct hubstate_command c = {
		.kind = HUBSTATE_CONFIG,
		.manifest = req->body,
		.manifest_len = req->len,
	};
	struct hubstate_command command = c;
	struct pending_request *p;
	struct fleetcfg *config;
	char quoted[256];
	size_t len;

	if (api_manifest_check((const char *)req->body, req->len, &config) !=
	    STATUS_OK) {
		h->n_invalid_requests->value++;
		logger_event(LOGGER_INFO, "order.invalid", "reason=%s",
		    logger_quote(quoted, sizeof(quoted), status_last()));
		reply(h, handle, 400, status_last());
		return;
	}
	command.version = fleetcfg_version(config);
	fleetcfg_unref(config);
	(void)hubstate_manifest(h->state, &len);
	if (len > 0 && command.version <= hubstate_version(h->state)) {
		logger_event(LOGGER_INFO, "order.config",
		    "version=%" PRIu64 " status=overtaken by=%" PRIu64,
		    command.version, hubstate_version(h->state));
		reply(h, handle, 200, "a newer configuration is in force");
		return;
	}
	p = g_new0(struct pending_request, 1);
	p->hub = h;
	p->handle = handle;
	p->received_us = loop_now_us(h->loop);
	p->version = command.version;
	hub_propose(h, &command, on_config_done, p);
}

static void
get_config(struct hub *h, handle_t handle)
{
	size_t len;
	const uint8_t *text = hubstate_manifest(h->state, &len);

	if (len == 0)
		reply(h, handle, 503, "no configuration yet");
	else
		httpd_reply(h->operators, handle, 200, NULL, "application/json",
		    text, len);
}

static void
on_rollout_done(
    void *arg, enum status status, const uint8_t *result, size_t len)
{
	struct pending_request *p = arg;

	(void)result;
	(void)len;
	metrics_observe(
	    p->hub->ack_latency, loop_now_us(p->hub->loop) - p->received_us);
	reply(p->hub, p->handle, status == STATUS_OK ? 200 : 503,
	    status_name(status));
	g_free(p);
}

/// Starts the rollout that an operator orders, unless the same one is in
/// progress.
static void
post_rollout(struct hub *h, handle_t handle, const struct httpd_request *req)
{
	struct api_rollout rollout;
	const struct hubstate_rollout *newest;
	struct pending_request *p;

	if (api_rollout_read((const char *)req->body, req->len, &rollout) !=
	    STATUS_OK) {
		h->n_invalid_requests->value++;
		reply(h, handle, 400, status_last());
		return;
	}
	if (h->config == NULL) {
		reply(h, handle, 503, "no configuration yet");
		return;
	}
	if (fleetcfg_find_service(h->config, rollout.service) < 0) {
		h->n_invalid_requests->value++;
		reply(h, handle, 400, "no such service");
		return;
	}
	newest = hubstate_rollout(h->state, rollout.service);
	if (newest != NULL && strcmp(newest->target, rollout.target) == 0 &&
	    !rollout_is_final(newest->record.state)) {
		reply(h, handle, 200, "it is under way");
		return;
	}
	p = g_new0(struct pending_request, 1);
	p->hub = h;
	p->handle = handle;
	p->received_us = loop_now_us(h->loop);
	logger_event(LOGGER_INFO, "order.rollout",
	    "service=%s target=%s duration_s=%.1f", rollout.service,
	    rollout.target, rollout.duration_s);
	hub_rollout_start(h, rollout.service, rollout.target,
	    rollout.duration_s, on_rollout_done, p);
}

static void
get_rollout(struct hub *h, handle_t handle, const char *service)
{
	const struct hubstate_rollout *v = hubstate_rollout(h->state, service);
	char *body;

	if (v == NULL) {
		reply(h, handle, 404, "the service never moved");
		return;
	}
	body = api_rollout_body(hub_rollout_state_name(v), v->target);
	httpd_reply(h->operators, handle, 200, NULL, "application/json", body,
	    strlen(body));
	free(body);
}

static void
on_evacuation_done(
    void *arg, enum status status, const uint8_t *result, size_t len)
{
	struct pending_request *p = arg;
	struct hub *h = p->hub;
	const uint64_t took_us = loop_now_us(h->loop) - p->received_us;

	(void)result;
	(void)len;
	logger_event(LOGGER_INFO, "order.evacuation",
	    "zone=%s evacuate=%d status=%s ms=%" PRIu64, p->zone, p->evacuate,
	    status_name(status), took_us / USEC_PER_MSEC);
	metrics_observe(h->ack_latency, took_us);
	if (status == STATUS_OK)
		reply(h, p->handle, 200, "accepted");
	else
		reply(h, p->handle, 503,
		    status == STATUS_UNAVAILABLE ? "not accepted: no leader"
						 : "outcome unknown");
	g_free(p);
}

/// Begins (POST) or ends (DELETE) an evacuation. Each request becomes a command
/// of the log, also one that the state has in force: an opposite one may be
/// under way, and the last to be sent must win.
static void
order_evacuation(struct hub *h, handle_t handle,
    const struct httpd_request *req, const char *zone)
{
	const bool evacuate = req->method == HTTPD_METHOD_POST;
	struct pending_request *p;

	if (!hub_evac_knows(h, zone)) {
		h->n_invalid_requests->value++;
		logger_event(LOGGER_INFO, "order.invalid",
		    "reason=\"no such data centre\"");
		reply(h, handle, 404, "no such data centre");
		return;
	}
	if (evacuate && !hub_evac_covers(h, zone) &&
	    evacset_is_full(hubstate_evacuations(h->state))) {
		h->n_invalid_requests->value++;
		reply(h, handle, 409, "too many evacuated data centres");
		return;
	}
	p = g_new0(struct pending_request, 1);
	p->hub = h;
	p->handle = handle;
	p->received_us = loop_now_us(h->loop);
	p->evacuate = evacuate;
	(void)g_strlcpy(p->zone, zone, sizeof(p->zone));
	hub_evac_propose(h, zone, evacuate, on_evacuation_done, p);
}

/// Handles a request as the leader: other processes redirect it.
static void
handle_as_leader(
    struct hub *h, handle_t handle, const struct httpd_request *req)
{
	static const char one_rollout[] = API_PATH_ROLLOUTS "/";
	static const char evacuation[] = API_PATH_EVACUATIONS "/";

	if (g_str_has_prefix(req->path, evacuation))
		order_evacuation(
		    h, handle, req, req->path + strlen(evacuation));
	else if (strcmp(req->path, API_PATH_CONFIG) == 0 &&
	    req->method == HTTPD_METHOD_PUT)
		put_config(h, handle, req);
	else if (strcmp(req->path, API_PATH_CONFIG) == 0)
		get_config(h, handle);
	else if (strcmp(req->path, API_PATH_ROLLOUTS) == 0)
		post_rollout(h, handle, req);
	else
		get_rollout(h, handle, req->path + strlen(one_rollout));
}

/// Checks that a request names an existing call.
///
/// @return 0, or the HTTP status to refuse with
static int
check_call(const struct httpd_request *req)
{
	static const char one_rollout[] = API_PATH_ROLLOUTS "/";
	static const char evacuation[] = API_PATH_EVACUATIONS "/";
	const bool get = req->method == HTTPD_METHOD_GET;

	if (strcmp(req->path, API_PATH_CONFIG) == 0)
		return get || req->method == HTTPD_METHOD_PUT ? 0 : 405;
	if (strcmp(req->path, API_PATH_ROLLOUTS) == 0)
		return req->method == HTTPD_METHOD_POST ? 0 : 405;
	if (g_str_has_prefix(req->path, one_rollout))
		return get ? 0 : 405;
	if (g_str_has_prefix(req->path, evacuation))
		return req->method == HTTPD_METHOD_POST ||
			req->method == HTTPD_METHOD_DELETE
		    ? 0
		    : 405;
	return 404;
}

static void
on_request(void *arg, handle_t handle, const struct httpd_request *req)
{
	struct hub *h = arg;
	const int status = check_call(req);

	h->n_operator_requests->value++;
	if (status != 0)
		reply(h, handle, status, "no such call");
	else if (!hub_is_leader(h))
		redirect(h, handle, req);
	else
		handle_as_leader(h, handle, req);
}

static void
on_gone(void *arg, handle_t handle)
{
	(void)arg;
	(void)handle;
}

/// Serves the metrics, and the status at HUB_STATUS_PATH.
static void
on_metrics(void *arg, handle_t handle, const struct httpd_request *req)
{
	struct hub *h = arg;
	struct metrics_registry *registry = loop_counters(h->loop);

	if (strcmp(req->path, HUB_STATUS_PATH) == 0) {
		httpd_reply_json(h->metrics, handle, 200, hub_status(h));
		return;
	}
	metrics_gauge(registry, "ac_config_version", "")->value =
	    hubstate_version(h->state);
	metrics_gauge(registry, "ac_leads", "")->value = hub_is_leader(h);
	metrics_gauge(registry, "ac_fence", "")->value =
	    hubstate_duty(h->state).fence;
	metrics_gauge(registry, "ac_gateways", "")->value =
	    g_hash_table_size(h->gateways);
	metrics_gauge(registry, "ac_peer_bytes_sent_total", "")->value =
	    transport_bytes_sent(h->links);
	transport_export(h->links, registry);
	httpd_reply_metrics(h->metrics, handle, registry);
}

/// What may be sent to a server of the hub.
///
/// @param share        part of the memory that requests may hold
/// @param connections  at once
static struct httpd_limits
limits_of(const struct hub *h, unsigned share, size_t connections)
{
	const size_t held = bootstrap_memory_share(&h->settings, share);

	return (struct httpd_limits){
		.max_head_bytes = HUB_MAX_HEAD_BYTES,
		.max_body_bytes = MIN(HUB_MAX_REQUEST_BYTES, held),
		.head_timeout_us = HUB_SEND_TIMEOUT_US,
		.body_idle_us = HUB_SEND_TIMEOUT_US,
		.max_held_bytes = held,
		.max_unsent_bytes = held,
		.max_connections = connections,
	};
}

static struct httpd *
server_new(struct hub *h, struct httpd_limits limits, bool drops_bodies,
    void (*request)(void *, handle_t, const struct httpd_request *))
{
	const struct httpd_config config = {
		.base = loop_event_base(h->loop),
		.max_body_bytes = HUB_MAX_REQUEST_BYTES,
		.idle_ms = HUB_IDLE_MS,
		.drops_bodies = drops_bodies,
		.on_request = request,
		.on_disconnect = on_gone,
		.arg = h,
	};

	struct httpd *server = httpd_new(&config);

	httpd_set_limits(server, &limits);
	return server;
}

/// Listens on the operators' address, and on that of metrics and status if it
/// is configured.
///
/// @return STATUS_OK, or the error of httpd_listen()
enum status
hub_operators_start(struct hub *h)
{
	const struct bootstrap_settings *s = &h->settings;
	enum status st;

	h->operators = server_new(h,
	    limits_of(h, HUB_REQUESTS_SHARE,
		MAX(s->max_fds / HUB_OPERATORS_FDS_SHARE, HUB_CONNECTIONS)),
	    false, on_request);
	st = httpd_listen(h->operators, s->operators.host, s->operators.port);
	if (st != STATUS_OK || s->metrics_port == 0)
		return st;
	h->metrics = server_new(h,
	    limits_of(h, HUB_METRICS_SHARE, HUB_CONNECTIONS), true, on_metrics);
	return httpd_listen(h->metrics, s->host, s->metrics_port);
}
