#include "entry/entry_internal.h"

#include <string.h>

#define ENTRY_TICK_US (20 * USEC_PER_MSEC)
#define ENTRY_STOP_CHECK_US (20 * USEC_PER_MSEC)
/// Time for the last bytes to be sent after the handoff of streams, and for
/// connections to be closed.
#define ENTRY_FLUSH_US (500 * USEC_PER_MSEC)

/// Whether this entry takes new requests.
///
/// @param why  receives the reason when it doesn't, else ""; static text
bool
entry_in_service(const struct entry *e, const char **why)
{
	*why = "";
	if (e->stopping)
		*why = "stopping";
	else if (!e->caught_up)
		*why = "configuration not known yet";
	else if (loop_now_us(e->loop) >= e->lease_until_us)
		*why = "no word from control";
	return (*why)[0] == '\0';
}

static void
on_tick(void *arg, uint64_t now_us)
{
	struct entry *e = arg;

	timerq_arm_in(e->tick_timer, ENTRY_TICK_US);
	entry_control_tick(e, now_us);
	entry_poll_tick(e, now_us);
	entry_stats_tick(e, now_us);
	entry_slo_tick(e, now_us);
	req_migrate_tick(e, now_us);
}

/// Hands off the streams that are not complete when the time for a graceful
/// stop is over: their callers get a resume token.
static void
handoff_streams(struct entry *e)
{
	handle_t next;

	for (handle_t h = slotmap_next(e->requests, HANDLE_NONE);
	     h != HANDLE_NONE; h = next) {
		struct req *q = slotmap_get(e->requests, h);

		next = slotmap_next(e->requests, h);
		if (q->caller != HANDLE_NONE && q->caller_streams &&
		    !q->journaled)
			req_handoff(q);
	}
}

/// Ends the process once the requests in progress have their responses, or
/// the time for that is over. Another entry finishes the accepted requests
/// that are left.
static void
on_stop_timer(void *arg, uint64_t now_us)
{
	struct entry *e = arg;
	const uint64_t drain_us = e->settings.drain_ms * USEC_PER_MSEC;
	const bool late = now_us >= e->stop_us + drain_us;
	const bool idle = slotmap_count(e->requests) == 0 &&
	    httpd_unfinished_count(e->callers) == 0;

	if (late)
		handoff_streams(e);
	timerq_arm_in(e->stop_timer, ENTRY_STOP_CHECK_US);
	if (!idle && now_us < e->stop_us + drain_us + ENTRY_FLUSH_US)
		return;
	if (e->finish_us == 0)
		e->finish_us = now_us;
	if (!httpd_finish(e->callers) && now_us < e->finish_us + ENTRY_FLUSH_US)
		return;
	logger_event(LOGGER_INFO, "process.stopped", "role=entry left=%zu",
	    slotmap_count(e->requests));
	loop_exit(e->loop, 0);
}

static void
make_counters(struct entry *e)
{
	struct metrics_registry *set = loop_counters(e->loop);

	e->n_requests = metrics_counter(set, "ac_requests_total", "");
	e->n_refused = metrics_counter(set, "ac_requests_refused_total", "");
	e->n_failed = metrics_counter(set, "ac_requests_failed_total", "");
	e->n_retries = metrics_counter(set, "ac_retries_total", "");
	e->n_resumed = metrics_counter(set, "ac_streams_resumed_total", "");
	e->n_dropped_chunks =
	    metrics_counter(set, "ac_chunks_dropped_total", "");
	e->n_migrated = metrics_counter(set, "ac_streams_moved_total", "");
	e->n_tokens = metrics_counter(set, "ac_tokens_total", "");
	e->n_recomputed =
	    metrics_counter(set, "ac_tokens_recomputed_total", "");
	e->ttft_hist = metrics_hist(set, "ac_first_token_seconds", "");
	e->inter_token_hist =
	    metrics_hist(set, "ac_between_tokens_seconds", "");
	e->unary_hist = metrics_hist(set, "ac_unary_seconds", "");
	e->journal_hist = metrics_hist(set, "ac_journal_seconds", "");
}

static void
make_components(struct entry *e)
{
	const struct rollout_entry_settings version_settings = {
		.entry = rollout_key(e->settings.node),
		.incarnation = loop_incarnation(e->loop),
	};
	struct retry_params retry_params = retry_defaults;

	retry_params.budget_percent = e->settings.retry_budget_percent;
	e->config = catalog_new();
	e->router = balancer_new(&balancer_defaults);
	e->retries = retry_new(&retry_params);
	e->versions = rollout_entry_new(&version_settings);
	e->slo = slo_counters_new(e->settings.node, loop_incarnation(e->loop));
}

static void
pool_free(gpointer p)
{
	struct entry_pool *pool = p;

	admit_free(pool->admission);
	timerq_timer_free(pool->wake);
	g_free(pool);
}

/// Starts an entry process on a loop.
///
/// @param settings  copied
/// @param out       set on success; release it with entry_free()
/// @return STATUS_OK, else nothing is left running and status_last() says why
enum status
entry_start(
    struct loop *loop, const struct settings *settings, struct entry **out)
{
	struct entry *e = g_new0(struct entry, 1);
	enum status status;

	e->loop = loop;
	e->settings = *settings;
	e->http = httpc_new(loop_event_base(loop));
	e->pending =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	e->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
	e->pollers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	e->version_names =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	e->requests = slotmap_new(sizeof(struct req));
	e->reqs_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	e->reqs_by_caller = g_hash_table_new(g_int64_hash, g_int64_equal);
	e->tick_timer = timerq_timer_new(loop_timers(loop), on_tick, e);
	e->stop_timer = timerq_timer_new(loop_timers(loop), on_stop_timer, e);
	make_components(e);
	make_counters(e);
	status = tlsctx_load(&e->settings.tls, &e->keys);
	if (status == STATUS_OK)
		status = entry_callers_start(e);
	if (status == STATUS_OK)
		status = entry_operators_start(e);
	if (status == STATUS_OK)
		status = entry_control_start(e);
	if (status != STATUS_OK) {
		entry_free(e);
		return status;
	}
	timerq_arm_in(e->tick_timer, 0);
	*out = e;
	return STATUS_OK;
}

/// Starts a graceful stop: new requests are refused, those in progress are
/// finished or handed off within settings.drain_ms, then the loop ends.
void
entry_stop(struct entry *e)
{
	if (e->stopping)
		return;
	e->stopping = true;
	e->stop_us = loop_now_us(e->loop);
	timerq_arm_in(e->stop_timer, ENTRY_STOP_CHECK_US);
}

/// Applies the settings that may change without a restart: TLS files, log
/// level, operator token. If the TLS files can't be loaded, `keys.refused` is
/// logged and the TLS keys in use stay.
void
entry_reload(struct entry *e, const struct settings *settings)
{
	if (tlsctx_load(&settings->tls, &e->keys) != STATUS_OK)
		logger_event(LOGGER_ERROR, "keys.refused", "reason=\"%s\"",
		    status_last());
	logger_set_level(settings->log_level);
	e->settings.log_level = settings->log_level;
	(void)g_strlcpy(e->settings.operator_token, settings->operator_token,
	    sizeof(e->settings.operator_token));
}

static void
free_requests(struct entry *e)
{
	for (handle_t h = slotmap_next(e->requests, HANDLE_NONE);
	     h != HANDLE_NONE; h = slotmap_next(e->requests, h)) {
		struct req *q = slotmap_get(e->requests, h);

		req_set_caller(q, HANDLE_NONE);
		req_free(q);
	}
	slotmap_free(e->requests);
}

/// Releases an entry process and its requests; NULL is allowed.
void
entry_free(struct entry *e)
{
	if (e == NULL)
		return;
	httpd_free(e->operators);
	free_requests(e);
	httpd_free(e->callers);
	transport_free(e->links);
	httpc_free(e->http);
	timerq_timer_free(e->tick_timer);
	timerq_timer_free(e->stop_timer);
	g_hash_table_destroy(e->pools);
	g_hash_table_destroy(e->pollers);
	g_hash_table_destroy(e->pending);
	g_hash_table_destroy(e->version_names);
	g_hash_table_destroy(e->reqs_by_id);
	g_hash_table_destroy(e->reqs_by_caller);
	balancer_free(e->router);
	retry_free(e->retries);
	rollout_entry_free(e->versions);
	slo_counters_free(e->slo);
	catalog_free(e->config);
	tlsctx_free(e->keys);
	g_free(e);
}
