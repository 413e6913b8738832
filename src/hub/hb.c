#include "hub/hb_internal.h"

#include <stdlib.h>
#include <string.h>

#include "fleet/ps.h"

#define HB_TICK_US (100 * USEC_PER_MSEC)
/// For a new leader to be found, and answers to leave.
#define HB_STOP_US (1200 * USEC_PER_MSEC)

/// Whether this process leads and may answer from its state and give orders.
bool
hb_leads(const struct hb *h)
{
	return replica_is_ready(h->group);
}

static gint
by_clock(gconstpointer a, gconstpointer b)
{
	const gint64 x = *(const gint64 *)a;
	const gint64 y = *(const gint64 *)b;

	return x < y ? -1 : x > y;
}

/// Time since 1970 as most processes believe: the median of the clocks of this
/// process and of the gateways, so that some may jump.
uint64_t
hb_true_us(const struct hb *h)
{
	const uint64_t now = loop_now_us(h->loop);
	const gint64 own = (gint64)loop_wall_us() - (gint64)now;
	GArray *clocks = g_array_new(FALSE, FALSE, sizeof(gint64));
	GHashTableIter it;
	gpointer value;
	gint64 median;

	g_array_append_val(clocks, own);
	g_hash_table_iter_init(&it, h->gateways);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct hb_gateway *g = value;

		if (hb_gateway_lives(h, g))
			g_array_append_val(clocks, g->clock_us);
	}
	g_array_sort(clocks, by_clock);
	median = g_array_index(clocks, gint64, clocks->len / 2);
	g_array_unref(clocks);
	return (uint64_t)((gint64)now + median);
}

static void
on_tick(void *arg, uint64_t now_us)
{
	struct hb *h = arg;

	timerq_arm_in(h->tick, HB_TICK_US);
	hb_link_tick(h, now_us);
	if (!hb_leads(h))
		return;
	hb_members_tick(h);
	hb_list_tick(h, now_us);
	hb_moves_tick(h, now_us);
	hb_duty_tick(h, now_us);
}

static void
on_push(void *arg, uint64_t now_us)
{
	(void)now_us;
	hb_read_config(arg);
	hb_push(arg);
}

static void
on_end(void *arg, uint64_t now_us)
{
	struct hb *h = arg;

	(void)now_us;
	logger_event(LOGGER_INFO, "process.stopped", "role=hub");
	loop_exit(h->loop, 0);
}

static void
gateway_free(gpointer p)
{
	struct hb_gateway *g = p;

	g_array_unref(g->usage);
	g_array_unref(g->quotas);
	g_free(g);
}

/// Starts a process of control on a loop.
///
/// @return STATUS_OK, else nothing is left running and status_last() says why
enum status
hb_start(struct loop *loop, const struct bootstrap_settings *settings,
    struct hb **out)
{
	struct hb *h = g_new0(struct hb, 1);
	struct metrics_registry *set = loop_counters(loop);
	enum status status = STATUS_OK;

	h->loop = loop;
	h->settings = *settings;
	h->slot = ps_slot(settings->host);
	if (h->slot == 0)
		status = status_fail(
		    STATUS_INVALID, "address %s has no slot", settings->host);
	h->http = httpc_new(loop_event_base(loop));
	h->state = hs_new();
	h->peers =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	h->gateways =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, gateway_free);
	h->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	h->work =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	h->needs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	h->orders =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	h->list = g_array_new(FALSE, TRUE, sizeof(struct sv));
	h->tick = timerq_timer_new(loop_timers(loop), on_tick, h);
	h->push = timerq_timer_new(loop_timers(loop), on_push, h);
	h->end = timerq_timer_new(loop_timers(loop), on_end, h);
	h->n_orders = metrics_counter(set, "ac_orders_total", "");
	h->n_invalid = metrics_counter(set, "ac_orders_invalid_total", "");
	h->ack_latency = metrics_hist(set, "ac_order_ack_seconds", "");
	hb_list_start(h);
	if (status == STATUS_OK)
		status = hb_link_start(h);
	if (status == STATUS_OK)
		status = hb_log_start(h);
	if (status == STATUS_OK)
		status = hb_operators_start(h);
	if (status != STATUS_OK) {
		hb_free(h);
		return status;
	}
	timerq_arm_in(h->tick, 0);
	*out = h;
	return STATUS_OK;
}

/// Starts a graceful stop: leadership goes to another process first.
void
hb_stop(struct hb *h)
{
	if (h->stopping)
		return;
	h->stopping = true;
	h->stop_us = loop_now_us(h->loop);
	replica_transfer_leader(h->group, 0);
	timerq_arm_in(h->end, HB_STOP_US);
}

/// Takes over the settings that may change without a restart.
void
hb_reload(struct hb *h, const struct bootstrap_settings *settings)
{
	h->settings.n_seeds = settings->n_seeds;
	memcpy(h->settings.seeds, settings->seeds, sizeof(settings->seeds));
	h->settings.cloud = settings->cloud;
	logger_set_level(settings->log_level);
}

/// Releases a process of control; NULL is allowed.
void
hb_free(struct hb *h)
{
	if (h == NULL)
		return;
	if (h->group != NULL)
		replica_cancel_waiters(h->group);
	httpd_free(h->operators);
	httpd_free(h->metrics);
	replica_close(h->group);
	transport_free(h->links);
	pf_lister_free(h->lister);
	httpc_free(h->http);
	timerq_timer_free(h->tick);
	timerq_timer_free(h->push);
	timerq_timer_free(h->end);
	g_hash_table_destroy(h->peers);
	g_hash_table_destroy(h->gateways);
	g_hash_table_destroy(h->pools);
	g_hash_table_destroy(h->work);
	g_hash_table_destroy(h->needs);
	g_hash_table_destroy(h->orders);
	g_array_unref(h->list);
	free(h->list_bytes);
	free(h->change_bytes);
	rollout_control_free(h->mover);
	fc_unref(h->config);
	hs_free(h->state);
	g_free(h);
}
