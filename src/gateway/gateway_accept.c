#include "gateway/gateway_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "front/httpd_json.h"
#include "platform/api_names.h"

/// Idle connections of callers are closed after this.
#define GATEWAY_IDLE_MS 75000
#define GATEWAY_STATUS_PATH "/v1/status"
#define GATEWAY_MAX_BODY_BYTES (16U << 20)
/// Bytes of a request line, which come before the header.
#define GATEWAY_TARGET_BYTES 4096
/// Part of the memory that callers' requests may hold. A body is copied three
/// times on its way to a backend server.
#define GATEWAY_REQUESTS_SHARE 10
/// Part of the memory that responses may hold until callers have read them.
#define GATEWAY_UNSENT_SHARE 16
/// Part of the memory for each of the same at the ports of readiness and of
/// metrics, and their connections.
#define GATEWAY_PROBE_SHARE 64
#define GATEWAY_PROBE_CONNECTIONS 32
/// Descriptors for those, for links, files and calls of the platform. Callers'
/// connections have half of the rest, and those to backend servers the other.
#define GATEWAY_RESERVED_FDS 128
#define GATEWAY_LEAST_CONNECTIONS 16
#define GATEWAY_MAX_HEAD_BYTES 65536
#define GATEWAY_HEAD_TIMEOUT_US (10 * USEC_PER_SEC)
/// Part of the memory that the longest request of a configuration may hold.
#define GATEWAY_LONGEST_SHARE 4
/// Tokens of a prompt that one hash stands for.
#define GATEWAY_BLOCK_TOKENS 128
#define GATEWAY_MAX_BLOCKS 512
/// Retry-After of a gateway that isn't ready, and the random time that is added
/// for each caller: an election takes about this long.
#define GATEWAY_NOT_READY_RETRY_US (600 * USEC_PER_MSEC)
#define GATEWAY_NOT_READY_JITTER_US (600 * USEC_PER_MSEC)
#define GATEWAY_LOWEST_PRIORITY (BALANCER_PRIORITIES - 1)

/// Computes the hashes of a prompt for the prefix index: one for each
/// GATEWAY_BLOCK_TOKENS tokens of a part, at least one a part, each chained
/// over all before it. A part's last hash also covers a rest that is shorter
/// than a block. They are made from the ids and lengths of the parts; the text
/// isn't read. At most GATEWAY_MAX_BLOCKS are made. Also sets the hash and
/// length of the shared prompt, which is all parts but the last one.
static void
hash_prompt(struct gateway_request *q)
{
	const struct api_request *c = &q->call;
	uint64_t chain = XXH64(q->service->name, strlen(q->service->name), 0);

	if (c->n_parts == 0)
		return;
	q->blocks = g_new(uint64_t, GATEWAY_MAX_BLOCKS);
	for (uint32_t i = 0; i < c->n_parts; i++) {
		const uint32_t n =
		    MAX(1, c->parts[i].tokens / GATEWAY_BLOCK_TOKENS);

		if (i > 0 && i + 1 == c->n_parts)
			q->shared_hash = chain;
		if (i + 1 < c->n_parts)
			q->shared_tokens += c->parts[i].tokens;
		chain = XXH64(&c->parts[i].id, sizeof(c->parts[i].id), chain);
		for (uint32_t k = 0; k < n && q->n_blocks < GATEWAY_MAX_BLOCKS;
		     k++) {
			chain = XXH64(&k, sizeof(k), chain);
			q->blocks[q->n_blocks++] = chain;
		}
	}
}

/// Finds the customer of a request by its API key.
///
/// @return 0, or the HTTP status to refuse with
static int
authenticate(struct gateway_request *q, const char **why)
{
	if (!fleetcfg_requires_key(q->config, q->route))
		return 0;
	if (q->key != NULL)
		q->customer = fleetcfg_customer_by_key(q->config, q->key);
	if (q->customer != NULL)
		return 0;
	*why = q->key != NULL ? "unknown API key" : "no API key";
	return 401;
}

/// Checks that a stream that the caller has in part can be resumed. Otherwise
/// another run would follow the events that the caller has; one from the first
/// event on looks the same to a caller that drops what it has.
///
/// @return 0, or the HTTP status to refuse with
static int
check_resuming(const struct gateway_request *q, const char **why)
{
	if (q->route->kind != FLEETCFG_STREAM || q->call.last_event == 0 ||
	    fleetcfg_is_retryable(q->route))
		return 0;
	*why = "this route's streams can't be resumed";
	return 400;
}

/// Whether a request may have run, or may run yet: it was given to a server
/// that didn't refuse it.
static bool
may_run(const struct gateway_request *q)
{
	return q->call_handle != HANDLE_NONE || q->verdict != VERDICT_NOT_RUN;
}

/// Refuses the requests that wait for a grant or a server and whose API key the
/// configuration in force doesn't have any more.
void
gateway_accept_check_keys(struct gateway *g)
{
	if (!fleetcfg_has_keys(g->config))
		return;
	for (handle_t handle = slotmap_next(g->requests, HANDLE_NONE);
	     handle != HANDLE_NONE;
	     handle = slotmap_next(g->requests, handle)) {
		struct gateway_request *q = slotmap_get(g->requests, handle);

		if (q->customer != NULL && !may_run(q) &&
		    fleetcfg_customer_by_key(g->config, q->key) == NULL)
			gateway_fail(q, 401, 0, "the API key was taken away");
	}
}

static void
set_deadline(struct gateway_request *q)
{
	uint64_t timeout_ms = q->route->timeout_ms;

	if (q->call.has_deadline)
		timeout_ms = MIN(timeout_ms, q->call.deadline_ms);
	else
		q->call.deadline_ms = q->route->timeout_ms;
	q->deadline_us = q->arrived_us + timeout_ms * USEC_PER_MSEC;
}

static void
on_request_timer(void *arg, uint64_t now_us)
{
	struct gateway_request *q = arg;

	(void)now_us;
	if (q->quota_asked != 0)
		gateway_quota_on_timeout(q);
	else if (q->awaits_opening)
		gateway_openq_on_timeout(q);
	else if (q->awaits_relay)
		gateway_send_again(q);
	else
		gateway_send(q);
}

static struct gateway_request *
request_new(struct gateway *g, handle_t caller, const struct httpd_request *req,
    uint64_t arrived_us)
{
	void *item;
	const handle_t self = slotmap_add(g->requests, &item);
	struct gateway_request *q = item;
	gint64 *key = g_new(gint64, 1);
	gint64 *value = g_new(gint64, 1);

	q->gateway = g;
	q->self = self;
	q->caller = caller;
	q->original_caller = caller;
	q->config = fleetcfg_ref(g->config);
	q->arrived_us = arrived_us;
	q->verdict = VERDICT_NOT_RUN;
	q->method = g_strdup(req->method_name);
	q->target = g_strdup(req->target);
	q->body = g_memdup2(req->body, req->len);
	q->len = req->len;
	q->timer = timerq_timer_new(loop_timers(g->loop), on_request_timer, q);
	*key = (gint64)caller;
	*value = (gint64)self;
	(void)g_hash_table_insert(g->by_caller, key, value);
	return q;
}

/// The request's service, by its id's hash.
static const struct fleetcfg_service *
pick_service(const struct gateway_request *q)
{
	const uint64_t hash =
	    XXH64(q->call.id, strlen(q->call.id), fleetcfg_version(q->config));

	return fleetcfg_service(
	    q->config, fleetcfg_pick_service(q->route, hash));
}

/// Sets the request's service and its priority.
static void
set_service(struct gateway_request *q)
{
	q->service = pick_service(q);
	q->priority = q->customer != NULL && q->customer->has_priority
	    ? q->customer->priority
	    : q->route->priority;
	q->priority = MIN(q->priority, GATEWAY_LOWEST_PRIORITY);
}

static uint64_t
not_ready_retry_us(const struct gateway *g)
{
	return GATEWAY_NOT_READY_RETRY_US +
	    rnd_below(loop_random(g->loop), GATEWAY_NOT_READY_JITTER_US);
}

/// Checks that this gateway can serve, and that the request's headers are
/// valid.
///
/// @return 0, or the HTTP status to refuse with
static int
check_ready(
    const struct gateway *g, const struct api_request *call, const char **why)
{
	if (g->refuses_new)
		*why = "stopping";
	else if (g->config == NULL)
		*why = "no configuration yet";
	else if (loop_now_us(g->loop) >= g->lease_until_us)
		*why = "no word from control";
	else if (g->list_fresh_us == 0)
		*why = "no list of servers yet";
	else if (call->bad || call->id[0] == '\0') {
		*why = "a header can't be read, or the request has no id";
		return 400;
	} else
		return 0;
	return 503;
}

/// Starts to serve a request, puts it into the wait queue, or refuses it.
///
/// @param was_queued  it comes from the wait queue, and isn't put there again
void
gateway_accept_request(struct gateway *g, handle_t handle,
    const struct httpd_request *req, uint64_t arrived_us, bool was_queued)
{
	const char *why = "";
	struct api_request call;
	struct gateway_request *q;
	const struct fleetcfg_route *route;
	enum gateway_quota quota;
	uint64_t blocked_until;
	int status;

	api_request_read(g->callers, handle, &call);
	if (g->stopping)
		httpd_close_after_response(g->callers, handle);
	status = check_ready(g, &call, &why);
	if (status == 503 && !was_queued &&
	    gateway_waitq_add(g, handle, req, &call, why))
		return;
	if (status != 0) {
		gateway_refuse(
		    g, handle, status, not_ready_retry_us(g), call.id, why);
		return;
	}
	route = fleetcfg_match_route(g->config, call.host, req->path);
	if (route == NULL) {
		gateway_refuse(g, handle, 404, 0, call.id, "no route");
		return;
	}
	q = request_new(g, handle, req, arrived_us);
	q->call = call;
	q->key = g_strdup(call.key);
	q->call.key = q->key;
	q->route = route;
	set_deadline(q);
	status = authenticate(q, &why);
	if (status == 0)
		status = check_resuming(q, &why);
	if (status != 0) {
		gateway_fail(q, status, 0, why);
		return;
	}
	blocked_until =
	    gateway_parts_blocked_until(g, pick_service(q)->name, &q->call);
	if (blocked_until != 0) {
		gateway_parts_refuse(q, blocked_until);
		return;
	}
	quota =
	    q->customer != NULL ? gateway_quota_take(q) : GATEWAY_QUOTA_GRANTED;
	if (quota == GATEWAY_QUOTA_REFUSED)
		return;
	set_service(q);
	gateway_service_load(g, q->service->name)->arrived++;
	hash_prompt(q);
	q->headers = api_headers_from_request(
	    g->callers, handle, fleetcfg_has_keys(q->config));
	q->n_headers = api_headers_count(q->headers);
	if (q->route->kind == FLEETCFG_STREAM) {
		q->events = evstream_new();
		evstream_restart(
		    q->events, q->call.resumes ? q->call.last_event : 0);
	}
	if (quota == GATEWAY_QUOTA_GRANTED)
		gateway_send(q);
}

static void
on_request(void *arg, handle_t handle, const struct httpd_request *req)
{
	struct gateway *g = arg;

	g->n_requests->value++;
	gateway_accept_request(g, handle, req, loop_now_us(g->loop), false);
}

/// The caller has left: cancels its request.
static void
on_gone(void *arg, handle_t handle)
{
	struct gateway *g = arg;
	const gint64 key = (gint64)handle;
	const gint64 *found = g_hash_table_lookup(g->by_caller, &key);
	struct gateway_request *q =
	    found == NULL ? NULL : slotmap_get(g->requests, (handle_t)*found);

	if (q == NULL) {
		if (gateway_waitq_remove(g, handle))
			g->n_cancelled->value++;
		return;
	}
	g->n_cancelled->value++;
	logger_event(LOGGER_INFO, "request.cancelled",
	    "request=%s route=%s server=%s attempts=%u after_ms=%" PRIu64,
	    q->call.id, q->route->name, q->server, q->n_sent,
	    (loop_now_us(g->loop) - q->arrived_us) / USEC_PER_MSEC);
	q->caller = HANDLE_NONE;
	gateway_cancel_attempt(q, BALANCER_CANCELLED);
	gateway_request_free(q);
}

/// Serves the load balancer's readiness check.
static void
on_ready(void *arg, handle_t handle, const struct httpd_request *req)
{
	struct gateway *g = arg;
	const char *why = "";
	int status = 404;

	if (strcmp(req->path, API_PATH_READY) == 0)
		status = gateway_is_ready(g, &why) ? 200 : 503;
	httpd_reply(
	    g->ready, handle, status, NULL, "text/plain", why, strlen(why));
}

/// Serves the metrics, and the status at GATEWAY_STATUS_PATH.
static void
on_metrics(void *arg, handle_t handle, const struct httpd_request *req)
{
	struct gateway *g = arg;
	struct metrics_registry *registry = loop_counters(g->loop);
	const uint64_t now = loop_now_us(g->loop);

	if (strcmp(req->path, GATEWAY_STATUS_PATH) == 0) {
		httpd_reply_json(g->metrics, handle, 200, gateway_status(g));
		return;
	}
	metrics_gauge(registry, "ac_config_version", "")->value =
	    g->config != NULL ? fleetcfg_version(g->config) : 0;
	metrics_gauge(registry, "ac_lease_left_ms", "")->value =
	    g->lease_until_us > now ? (g->lease_until_us - now) / USEC_PER_MSEC
				    : 0;
	metrics_gauge(registry, "ac_list_age_ms", "")->value =
	    g->list_fresh_us == 0 ? 0
				  : (now - g->list_fresh_us) / USEC_PER_MSEC;
	metrics_gauge(registry, "ac_servers", "")->value =
	    balancer_count(g->balancer);
	metrics_gauge(registry, "ac_servers_limited", "")->value =
	    gateway_signals_count(g, API_SIGNAL_LIMIT);
	metrics_gauge(registry, "ac_servers_leaving", "")->value =
	    gateway_signals_count(g, API_SIGNAL_LEAVING);
	metrics_gauge(registry, "ac_servers_brittle", "")->value =
	    gateway_signals_count(g, API_SIGNAL_BRITTLE);
	metrics_gauge(registry, "ac_servers_paused", "")->value =
	    gateway_signals_count(g, API_SIGNAL_RETRY_AFTER);
	metrics_gauge(registry, "ac_servers_lost", "")->value =
	    gateway_reach_count(g);
	metrics_gauge(registry, "ac_services_cut_off", "")->value =
	    gateway_reach_cut_count(g);
	metrics_gauge(registry, "ac_request_bytes", "")->value =
	    httpd_held_bytes(g->callers);
	metrics_gauge(registry, "ac_unsent_bytes", "")->value =
	    httpd_total_unsent_bytes(g->callers);
	metrics_gauge(registry, "ac_caller_connections", "")->value =
	    httpd_connection_count(g->callers);
	metrics_gauge(registry, "ac_response_bytes", "")->value =
	    httpc_held_bytes(g->http);
	metrics_gauge(registry, "ac_requests_open", "")->value =
	    slotmap_count(g->requests);
	metrics_gauge(registry, "ac_connections_made_total", "")->value =
	    httpc_connections_opened(g->http);
	transport_export(g->links, registry);
	httpd_reply_metrics(g->metrics, handle, registry);
}

static void
ignore_gone(void *arg, handle_t handle)
{
	(void)arg;
	(void)handle;
}

static size_t
callers_connections(const struct gateway *g)
{
	const uint32_t fds = g->settings.max_fds;

	return fds < GATEWAY_RESERVED_FDS + 2 * GATEWAY_LEAST_CONNECTIONS
	    ? GATEWAY_LEAST_CONNECTIONS
	    : (fds - GATEWAY_RESERVED_FDS) / 2;
}

/// What callers may send before a configuration is known.
static struct httpd_limits
callers_limits(const struct gateway *g)
{
	const struct bootstrap_settings *s = &g->settings;

	return (struct httpd_limits){
		.max_head_bytes = GATEWAY_MAX_HEAD_BYTES,
		.max_body_bytes = GATEWAY_MAX_BODY_BYTES,
		.head_timeout_us = GATEWAY_HEAD_TIMEOUT_US,
		.body_idle_us = (uint64_t)GATEWAY_IDLE_MS * USEC_PER_MSEC,
		.max_held_bytes =
		    bootstrap_memory_share(s, GATEWAY_REQUESTS_SHARE),
		.max_unsent_bytes =
		    bootstrap_memory_share(s, GATEWAY_UNSENT_SHARE),
		.max_connections = callers_connections(g),
	};
}

/// What may be sent to the ports of readiness and of metrics.
static struct httpd_limits
probe_limits(const struct gateway *g)
{
	struct httpd_limits l = callers_limits(g);

	l.body_idle_us = GATEWAY_HEAD_TIMEOUT_US;
	l.max_held_bytes =
	    bootstrap_memory_share(&g->settings, GATEWAY_PROBE_SHARE);
	l.max_unsent_bytes = l.max_held_bytes;
	l.max_connections = GATEWAY_PROBE_CONNECTIONS;
	return l;
}

static struct httpd *
server_new(struct gateway *g, struct httpd_limits limits, bool drops_bodies,
    void (*request)(void *, handle_t, const struct httpd_request *),
    void (*gone)(void *, handle_t))
{
	const struct httpd_config config = {
		.base = loop_event_base(g->loop),
		.max_body_bytes = GATEWAY_MAX_BODY_BYTES,
		.idle_ms = GATEWAY_IDLE_MS,
		.drops_bodies = drops_bodies,
		.on_request = request,
		.on_disconnect = gone,
		.arg = g,
	};

	struct httpd *server = httpd_new(&config);

	httpd_set_limits(server, &limits);
	return server;
}

/// Makes a server for requests of other gateways.
struct httpd *
gateway_accept_new_server(struct gateway *g,
    void (*request)(void *, handle_t, const struct httpd_request *),
    void (*gone)(void *, handle_t))
{
	return server_new(g, callers_limits(g), false, request, gone);
}

/// Sets what callers may send to what the configuration in force allows.
void
gateway_accept_set_limits(struct gateway *g)
{
	const struct fleetcfg_limits *l = fleetcfg_limits(g->config);
	struct httpd_limits limits = callers_limits(g);
	const size_t longest = httpd_longest_request(
	    l->max_header_bytes + GATEWAY_TARGET_BYTES, l->max_body_bytes);

	limits.max_head_bytes = l->max_header_bytes + GATEWAY_TARGET_BYTES;
	limits.max_body_bytes = l->max_body_bytes;
	limits.head_timeout_us = (uint64_t)l->header_timeout_ms * USEC_PER_MSEC;
	limits.body_idle_us = (uint64_t)l->idle_timeout_ms * USEC_PER_MSEC;
	// One request within the limits is served in any case.
	limits.max_held_bytes = MAX(limits.max_held_bytes,
	    MIN(longest,
		bootstrap_memory_share(&g->settings, GATEWAY_LONGEST_SHARE)));
	httpd_set_limits(g->callers, &limits);
	gateway_relayed_set_limits(g, limits);
}

/// Listens on the callers' address, on that of readiness, and on that of
/// metrics and status if it is configured.
///
/// @return STATUS_OK, or the error of httpd_listen()
enum status
gateway_accept_start(struct gateway *g)
{
	const struct bootstrap_settings *s = &g->settings;
	enum status st;

	g->callers =
	    server_new(g, callers_limits(g), false, on_request, on_gone);
	g->ready = server_new(g, probe_limits(g), true, on_ready, ignore_gone);
	st = httpd_listen(g->callers, s->callers.host, s->callers.port);
	if (st == STATUS_OK)
		st = httpd_listen(g->ready, s->ready.host, s->ready.port);
	if (st != STATUS_OK || s->metrics_port == 0)
		return st;
	g->metrics =
	    server_new(g, probe_limits(g), true, on_metrics, ignore_gone);
	return httpd_listen(g->metrics, s->host, s->metrics_port);
}
