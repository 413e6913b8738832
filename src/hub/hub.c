#include "hub/hub_internal.h"

#include <stdlib.h>
#include <string.h>

#define HUB_TICK_US (100 * USEC_PER_MSEC)
/// Part of the memory that responses of the platform may hold.
#define HUB_RESPONSES_SHARE 8
/// A graceful stop takes this long: another process is elected as the leader
/// and the last responses are sent.
#define HUB_SHUTDOWN_US (1200 * USEC_PER_MSEC)

/// Whether this process is the leader and holds its lease, so that it may
/// respond from its state and make calls to the cloud.
bool
hub_is_leader(const struct hub *h)
{
	return replica_is_ready(h->group);
}

static void
on_tick(void *arg, uint64_t now_us)
{
	struct hub *h = arg;

	timerq_arm_in(h->tick, HUB_TICK_US);
	hub_links_tick(h, now_us);
	hub_feed_tick(h, now_us);
	hub_servers_tick(h, now_us);
	hub_slot_tick(h);
	hub_hosts_tick(h);
	if (!hub_is_leader(h))
		return;
	hub_members_tick(h);
	hub_rollout_tick(h, now_us);
	hub_crashes_tick(h, now_us);
	hub_limits_tick(h, now_us);
	hub_evac_tick(h, now_us);
	hub_duty_tick(h, now_us);
}

static void
on_push(void *arg, uint64_t now_us)
{
	(void)now_us;
	hub_load_config(arg);
	hub_hosts_on_applied(arg);
	hub_evac_on_applied(arg);
	hub_feed_push_config(arg);
	hub_push_begin(arg);
}

static void
on_shutdown(void *arg, uint64_t now_us)
{
	struct hub *h = arg;

	(void)now_us;
	logger_event(LOGGER_INFO, "process.stopped", "role=hub");
	loop_exit(h->loop, 0);
}

static void
hub_gateway_free(gpointer p)
{
	struct hub_gateway *g = p;

	g_array_unref(g->usage);
	g_array_unref(g->quotas);
	g_free(g);
}

/// Starts a control process on a loop.
///
/// @param out  receives the process; release with hub_free()
/// @return STATUS_OK; else nothing is left running and status_last() holds the
///         reason
enum status
hub_start(struct loop *loop, const struct bootstrap_settings *settings,
    struct hub **out)
{
	struct hub *h = g_new0(struct hub, 1);
	struct metrics_registry *registry = loop_counters(loop);
	enum status status = STATUS_OK;

	h->loop = loop;
	h->settings = *settings;
	status = hub_hosts_start(h);
	h->http = httpc_new(loop_event_base(loop));
	httpc_set_max_held(
	    h->http, bootstrap_memory_share(settings, HUB_RESPONSES_SHARE));
	h->state = hubstate_new();
	h->crashlog = crashlog_new();
	h->asked_parts = g_array_new(FALSE, TRUE, sizeof(struct crashlog_part));
	h->peers =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	h->gateways = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, hub_gateway_free);
	h->brittles =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	h->colds =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	h->limits =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	h->load_by_service =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	h->sizing_by_service =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	h->scale_orders =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	h->tick = timerq_timer_new(loop_timers(loop), on_tick, h);
	h->push = timerq_timer_new(loop_timers(loop), on_push, h);
	h->push_slice = timerq_timer_new(loop_timers(loop), hub_push_slice, h);
	h->shutdown_timer = timerq_timer_new(loop_timers(loop), on_shutdown, h);
	h->change_slot =
	    timerq_timer_new(loop_timers(loop), hub_slot_change, h);
	hub_slot_start(h);
	h->n_operator_requests =
	    metrics_counter(registry, "ac_orders_total", "");
	h->n_invalid_requests =
	    metrics_counter(registry, "ac_orders_invalid_total", "");
	h->ack_latency = metrics_hist(registry, "ac_order_ack_seconds", "");
	hub_evac_start(h);
	hub_fleet_start(h);
	hub_peers_start(h);
	hub_grants_start(h);
	hub_servers_start(h);
	hub_feed_start(h);
	if (status == STATUS_OK)
		hub_duty_start(h);
	if (status == STATUS_OK)
		status = hub_links_start(h);
	if (status == STATUS_OK)
		status = hub_log_start(h);
	if (status == STATUS_OK)
		status = hub_operators_start(h);
	if (status != STATUS_OK) {
		hub_free(h);
		return status;
	}
	timerq_arm_in(h->tick, 0);
	*out = h;
	return STATUS_OK;
}

/// Starts a graceful stop: transfers leadership to another process, and ends
/// the loop after HUB_SHUTDOWN_US.
void
hub_stop(struct hub *h)
{
	if (h->stopping)
		return;
	h->stopping = true;
	h->stop_us = loop_now_us(h->loop);
	replica_transfer_leader(h->group, 0);
	timerq_arm_in(h->shutdown_timer, HUB_SHUTDOWN_US);
}

/// Applies the settings that may change without a restart: seeds, the cloud's
/// address and the log level.
void
hub_reload(struct hub *h, const struct bootstrap_settings *settings)
{
	h->settings.n_seeds = settings->n_seeds;
	memcpy(h->settings.seeds, settings->seeds, sizeof(settings->seeds));
	h->settings.cloud = settings->cloud;
	logger_set_level(settings->log_level);
}

/// Releases a control process; NULL is allowed.
void
hub_free(struct hub *h)
{
	if (h == NULL)
		return;
	if (h->group != NULL)
		replica_cancel_waiters(h->group);
	httpd_free(h->operators);
	httpd_free(h->metrics);
	replica_close(h->group);
	transport_free(h->links);
	api_lister_free(h->lister);
	httpc_free(h->http);
	timerq_timer_free(h->tick);
	timerq_timer_free(h->push);
	timerq_timer_free(h->push_slice);
	timerq_timer_free(h->shutdown_timer);
	g_hash_table_destroy(h->peers);
	hub_slot_stop(h);
	hub_hosts_stop(h);
	g_hash_table_destroy(h->gateways);
	g_hash_table_destroy(h->limits);
	g_hash_table_destroy(h->colds);
	g_hash_table_destroy(h->brittles);
	g_hash_table_destroy(h->load_by_service);
	g_hash_table_destroy(h->sizing_by_service);
	g_hash_table_destroy(h->scale_orders);
	hub_speed_stop(h);
	listdiff_free(h->list);
	hub_feed_stop(h);
	hub_grants_stop(h);
	hub_fleet_stop(h);
	hub_peers_stop(h);
	hub_evac_stop(h);
	crashlog_free(h->crashlog);
	g_array_unref(h->asked_parts);
	rollout_control_free(h->rollout_control);
	fleetcfg_unref(h->config);
	hubstate_free(h->state);
	g_free(h);
}
