#include "gateway/gateway_internal.h"

#include <inttypes.h>
#include <string.h>

#define GATEWAY_TICK_US (50 * USEC_PER_MSEC)
/// Parts of prompts whose last complete answer is remembered, at least.
#define GATEWAY_ANSWERED_PARTS 4096
#define GATEWAY_SHUTDOWN_CHECK_US (20 * USEC_PER_MSEC)
/// Time from the start of a graceful stop after which keep-alive connections
/// are drained.
#define GATEWAY_DRAIN_US (1000 * USEC_PER_MSEC)
/// Time after which the listening socket is closed: the load balancer sends new
/// connections until its checks have noticed the stop.
#define GATEWAY_STOP_LISTENING_US (2500 * USEC_PER_MSEC)
/// Requests that remain this long before the end of the grace period fail.
#define GATEWAY_STOP_MARGIN_US (700 * USEC_PER_MSEC)
/// For how long the process then waits until their responses are written and
/// their connections closed.
#define GATEWAY_STOP_FLUSH_US (300 * USEC_PER_MSEC)
/// A list that is older than this is logged: servers on it may have been
/// removed.
#define GATEWAY_LIST_OLD_US (10 * USEC_PER_SEC)
/// Part of the memory that responses of backend servers may hold. A response is
/// copied twice on its way to the caller.
#define GATEWAY_RESPONSES_SHARE 8
#define GATEWAY_MAX_PREFIX_ENTRIES (1U << 15)

/// Whether this gateway can serve new requests.
///
/// @param why  receives the reason why not, a static string; "" if it can
bool
gateway_is_ready(const struct gateway *g, const char **why)
{
	const uint64_t now = loop_now_us(g->loop);

	*why = "";
	if (g->stopping)
		*why = "stopping";
	else if (g->config == NULL)
		*why = "no configuration yet";
	else if (now >= g->lease_until_us)
		*why = "no word from control";
	else if (g->list_fresh_us == 0)
		*why = "no list of servers yet";
	return (*why)[0] == '\0';
}

/// Time since 1970 in microseconds, by control's time: the VM's own clock may
/// have jumped.
uint64_t
gateway_wall_clock_us(const struct gateway *g)
{
	return (uint64_t)((int64_t)loop_now_us(g->loop) + g->clock_offset_us);
}

static void
load_free(gpointer p)
{
	struct gateway_service_load *l = p;

	retry_free(l->retries);
	timerq_timer_free(l->opening);
	g_free(l);
}

/// A service's load at this gateway; the first call adds an empty one.
///
/// @return owned by `g`
struct gateway_service_load *
gateway_service_load(struct gateway *g, const char *service)
{
	const struct bootstrap_bounds *b = &g->settings.bounds;
	struct gateway_service_load *l = g_hash_table_lookup(g->loads, service);
	struct retry_params params = retry_defaults;

	if (l != NULL)
		return l;
	l = g_new0(struct gateway_service_load, 1);
	params.budget_percent = (uint32_t)(b->retry_ratio * 100 / 2);
	params.budget_floor =
	    (uint32_t)(b->retry_slack / (2.0 * MAX(g->n_gateways, 1)));
	params.window_us = (uint64_t)(b->retry_window_s * USEC_PER_SEC);
	params.max_attempts = UINT32_MAX;
	params.backoff_us = 2 * USEC_PER_MSEC;
	params.backoff_max_us = 40 * USEC_PER_MSEC;
	l->retries = retry_new(&params);
	(void)g_hash_table_insert(g->loads, g_strdup(service), l);
	return l;
}

static void
on_tick(void *arg, uint64_t now_us)
{
	struct gateway *g = arg;

	timerq_arm_in(g->tick, GATEWAY_TICK_US);
	gateway_links_tick(g, now_us);
	gateway_feed_tick(g, now_us);
	gateway_servers_tick(g, now_us);
	gateway_leaving_tick(g, now_us);
	gateway_reach_tick(g, now_us);
	gateway_crashes_tick(g, now_us);
	gateway_rollout_tick(g, now_us);
	gateway_waitq_step(g, now_us);
	if (g->list_fresh_us != 0 &&
	    now_us - g->list_fresh_us > GATEWAY_LIST_OLD_US &&
	    now_us - g->list_fresh_us < GATEWAY_LIST_OLD_US + GATEWAY_TICK_US)
		logger_event(LOGGER_WARN, "list.old", "age_ms=%" PRIu64,
		    (now_us - g->list_fresh_us) / USEC_PER_MSEC);
}

/// Fails the requests that remain at the end of the grace period. Streams whose
/// head was sent are left out: the process's end cuts them.
static void
fail_remaining_requests(struct gateway *g)
{
	handle_t next;

	for (handle_t handle = slotmap_next(g->requests, HANDLE_NONE);
	     handle != HANDLE_NONE; handle = next) {
		struct gateway_request *q = slotmap_get(g->requests, handle);

		next = slotmap_next(g->requests, handle);
		if (q->is_stream && q->head_sent)
			continue;
		// An attempt in flight may have run.
		gateway_fail(q,
		    q->n_ran > 0 || q->call_handle != HANDLE_NONE ? 502 : 503,
		    0, "stopping");
	}
}

/// Drains and closes connections as the stop goes on, and ends the loop when
/// all requests are finished or the grace period ends.
static void
on_shutdown_check(void *arg, uint64_t now_us)
{
	struct gateway *g = arg;
	const uint64_t grace_us =
	    (uint64_t)(g->settings.bounds.stop_s * USEC_PER_SEC);
	const uint64_t last_us = g->stop_us + grace_us - GATEWAY_STOP_MARGIN_US;
	const bool idle = slotmap_count(g->requests) == 0 &&
	    g_hash_table_size(g->relayed) == 0 &&
	    httpd_unfinished_count(g->callers) == 0;

	timerq_arm_in(g->shutdown_timer, GATEWAY_SHUTDOWN_CHECK_US);
	if (now_us >= g->stop_us + MIN(GATEWAY_DRAIN_US, grace_us / 4))
		httpd_drain(g->callers);
	if (now_us < g->stop_us + MIN(GATEWAY_STOP_LISTENING_US, grace_us / 2))
		return;
	g->refuses_new = true;
	(void)httpd_stop_accepting(g->callers);
	if (!idle && now_us < last_us)
		return;
	if (!idle && !g->failed_remaining) {
		fail_remaining_requests(g);
		g->failed_remaining = true;
	}
	if (g->finish_us == 0)
		g->finish_us = now_us;
	if (!httpd_finish(g->callers) &&
	    now_us < g->finish_us + GATEWAY_STOP_FLUSH_US)
		return;
	logger_event(LOGGER_INFO, "process.stopped", "role=gateway left=%zu",
	    slotmap_count(g->requests));
	loop_exit(g->loop, 0);
}

static void
register_metrics(struct gateway *g)
{
	struct metrics_registry *registry = loop_counters(g->loop);

	g->n_requests = metrics_counter(registry, "ac_requests_total", "");
	g->n_refused =
	    metrics_counter(registry, "ac_requests_refused_total", "");
	g->n_failed = metrics_counter(registry, "ac_requests_failed_total", "");
	g->n_retries = metrics_counter(registry, "ac_retries_total", "");
	g->n_resumed =
	    metrics_counter(registry, "ac_streams_resumed_total", "");
	g->n_cancelled =
	    metrics_counter(registry, "ac_requests_cancelled_total", "");
	g->n_blocked =
	    metrics_counter(registry, "ac_requests_blocked_total", "");
	g->n_server_crashes =
	    metrics_counter(registry, "ac_server_crashes_total", "");
	g->n_signals[API_SIGNAL_LIMIT] =
	    metrics_counter(registry, "ac_server_limit_responses_total", "");
	g->n_signals[API_SIGNAL_LEAVING] =
	    metrics_counter(registry, "ac_server_leaving_responses_total", "");
	g->n_signals[API_SIGNAL_RETRY_AFTER] = metrics_counter(
	    registry, "ac_server_retry_after_responses_total", "");
	g->n_signals[API_SIGNAL_BRITTLE] =
	    metrics_counter(registry, "ac_server_brittle_responses_total", "");
	g->n_cold_checks =
	    metrics_counter(registry, "ac_server_cold_checks_total", "");
	g->n_relays = metrics_counter(registry, "ac_relays_sent_total", "");
	g->n_relays_refused =
	    metrics_counter(registry, "ac_relays_refused_total", "");
	g->n_relayed = metrics_counter(registry, "ac_relays_taken_total", "");
	g->n_pace_samples =
	    metrics_counter(registry, "ac_server_pace_samples_total", "");
	g->n_malformed_signals =
	    metrics_counter(registry, "ac_server_malformed_signals_total", "");
	g->first_event_latency =
	    metrics_hist(registry, "ac_first_event_seconds", "");
	g->total_latency = metrics_hist(registry, "ac_answer_seconds", "");
}

static void
make_routing(struct gateway *g)
{
	const struct rollout_entry_settings entry = {
		.entry = rollout_key(g->settings.node),
		.incarnation = loop_incarnation(g->loop),
	};
	struct balancer_params params = balancer_defaults;

	params.max_blocks = GATEWAY_MAX_PREFIX_ENTRIES;
	g->balancer = balancer_new(&params);
	g->rollout_entry = rollout_entry_new(&entry);
}

/// Starts a gateway on a loop.
///
/// @param out  receives the gateway; release with gateway_free()
/// @return STATUS_OK; else nothing is left running and status_last() holds the
///         reason
enum status
gateway_start(struct loop *loop, const struct bootstrap_settings *settings,
    struct gateway **out)
{
	struct gateway *g = g_new0(struct gateway, 1);
	enum status status;

	g->loop = loop;
	g->settings = *settings;
	g->started_us = loop_now_us(loop);
	g->http = httpc_new(loop_event_base(loop));
	httpc_set_max_held(
	    g->http, bootstrap_memory_share(settings, GATEWAY_RESPONSES_SHARE));
	g->hosts = hosttable_new(settings->host);
	g->hubs =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	g->servers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	g->quotas =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g->loads =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, load_free);
	g->usage =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g->rollouts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g->answered_parts = partlog_new(GATEWAY_ANSWERED_PARTS);
	g->blocked_parts =
	    g_array_new(FALSE, TRUE, sizeof(struct gateway_blocked_part));
	gateway_evac_start(g);
	gateway_crashes_start(g);
	gateway_unlisted_start(g);
	gateway_relay_start(g);
	g->requests = slotmap_new(sizeof(struct gateway_request));
	g->by_caller =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	g->tick = timerq_timer_new(loop_timers(loop), on_tick, g);
	g->shutdown_timer =
	    timerq_timer_new(loop_timers(loop), on_shutdown_check, g);
	g->clock_offset_us =
	    (int64_t)loop_wall_us() - (int64_t)loop_now_us(loop);
	make_routing(g);
	register_metrics(g);
	gateway_servers_start(g);
	status = gateway_accept_start(g);
	gateway_relayed_start(g);
	if (status == STATUS_OK)
		status = gateway_links_start(g);
	if (status != STATUS_OK) {
		gateway_free(g);
		return status;
	}
	timerq_arm_in(g->tick, 0);
	*out = g;
	return STATUS_OK;
}

/// Starts a graceful stop: readiness fails from now on, so that the load
/// balancer stops sending requests; those in progress are finished. The loop
/// ends within the grace period.
void
gateway_stop(struct gateway *g)
{
	if (g->stopping)
		return;
	g->stopping = true;
	g->stop_us = loop_now_us(g->loop);
	timerq_arm_in(g->shutdown_timer, GATEWAY_SHUTDOWN_CHECK_US);
}

/// Applies the settings that may change without a restart: seeds, the cloud's
/// address and the log level.
void
gateway_reload(struct gateway *g, const struct bootstrap_settings *settings)
{
	g->settings.n_seeds = settings->n_seeds;
	memcpy(g->settings.seeds, settings->seeds, sizeof(settings->seeds));
	g->settings.cloud = settings->cloud;
	logger_set_level(settings->log_level);
}

/// Releases a gateway and cancels its requests; NULL is allowed.
void
gateway_free(struct gateway *g)
{
	if (g == NULL)
		return;
	for (handle_t handle = slotmap_next(g->requests, HANDLE_NONE);
	     handle != HANDLE_NONE;
	     handle = slotmap_next(g->requests, handle)) {
		struct gateway_request *q = slotmap_get(g->requests, handle);

		gateway_cancel_attempt(q, BALANCER_CANCELLED);
		gateway_request_free(q);
	}
	slotmap_free(g->requests);
	gateway_waitq_clear(g);
	gateway_relayed_stop(g);
	httpd_free(g->callers);
	httpd_free(g->ready);
	httpd_free(g->metrics);
	transport_free(g->links);
	api_lister_free(g->lister);
	httpc_free(g->http);
	timerq_timer_free(g->tick);
	timerq_timer_free(g->shutdown_timer);
	balancer_free(g->balancer);
	rollout_entry_free(g->rollout_entry);
	g_hash_table_destroy(g->rollouts);
	g_hash_table_destroy(g->hubs);
	hosttable_free(g->hosts);
	g_hash_table_destroy(g->servers);
	g_hash_table_destroy(g->quotas);
	g_hash_table_destroy(g->loads);
	g_hash_table_destroy(g->usage);
	g_hash_table_destroy(g->by_caller);
	gateway_crashes_clear(g);
	gateway_evac_stop(g);
	gateway_relay_stop(g);
	g_hash_table_destroy(g->unlisted);
	g_array_unref(g->blocked_parts);
	partlog_free(g->answered_parts);
	fleetcfg_unref(g->config);
	g_free(g);
}
