#include "hub/hub_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "platform/api_cloud.h"
#include "platform/api_names.h"

/// Gateways have reported all usage of a window this long after its end.
#define HUB_FINALIZE_DELAY_US (2500 * USEC_PER_MSEC)
#define HUB_USAGE_TIMEOUT_US (1500 * USEC_PER_MSEC)
#define HUB_USAGE_RETRY_US (700 * USEC_PER_MSEC)
/// HTTP status with which the cloud refuses a fencing number that is too low.
#define HUB_CONFLICT 409

static uint64_t
window_us(const struct hub *h)
{
	return (uint64_t)(h->settings.bounds.usage_window_s * USEC_PER_SEC);
}

/// Number of past windows that may still be reported. A new holder reports them
/// all again: the cloud accepts an exact repeat.
static uint64_t
n_reportable_windows(const struct hub *h)
{
	const struct bootstrap_bounds *b = &h->settings.bounds;

	return (uint64_t)(b->usage_late_s / b->usage_window_s);
}

static void
add_count(GArray *counts, const struct hubmsg_usage *u)
{
	for (guint i = 0; i < counts->len; i++) {
		struct hubmsg_usage *c =
		    &g_array_index(counts, struct hubmsg_usage, i);

		if (strcmp(c->customer, u->customer) != 0)
			continue;
		c->n += u->n;
		return;
	}
	g_array_append_val(counts, *u);
}

/// Sums what all gateways counted in a window; customers without usage get 0.
///
/// @return struct hubmsg_usage; release with g_array_unref()
static GArray *
sum_window(const struct hub *h, uint64_t window)
{
	GArray *counts = g_array_new(FALSE, TRUE, sizeof(struct hubmsg_usage));
	GHashTableIter it;
	gpointer value;

	for (size_t i = 0;
	     h->config != NULL && i < fleetcfg_n_customers(h->config); i++) {
		struct hubmsg_usage none = { .window = window };

		(void)g_strlcpy(none.customer,
		    fleetcfg_customer(h->config, i)->name,
		    sizeof(none.customer));
		g_array_append_val(counts, none);
	}
	g_hash_table_iter_init(&it, h->gateways);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct hub_gateway *g = value;

		for (guint i = 0; i < g->usage->len; i++) {
			const struct hubmsg_usage *u =
			    &g_array_index(g->usage, struct hubmsg_usage, i);

			if (u->window == window)
				add_count(counts, u);
		}
	}
	return counts;
}

static void
on_finalized(void *arg, enum status status, const uint8_t *result, size_t len)
{
	struct hub *h = arg;

	(void)result;
	(void)len;
	h->finalizing = false;
	if (status != STATUS_OK)
		logger_event(LOGGER_WARN, "usage.not_settled", "status=%s",
		    status_name(status));
}

static void
finalize_window(struct hub *h, uint64_t window)
{
	struct hubstate_command c = { .kind = HUBSTATE_USAGE };

	c.usage.window = window;
	c.usage.counts = sum_window(h, window);
	h->finalizing = true;
	hub_propose(h, &c, on_finalized, h);
	g_array_unref(c.usage.counts);
}

/// The cloud has answered, or failed to answer, the report of the window
/// `next_window_to_report`.
static void
on_usage_reported(void *arg, const struct httpc_result *result)
{
	struct hub *h = arg;

	h->reporting_usage = false;
	logger_event(LOGGER_INFO, "usage.told",
	    "window=%" PRIu64 " status=%s http=%d", h->next_window_to_report,
	    status_name(result->status), result->http_status);
	if (result->status == STATUS_OK && result->http_status == 200)
		h->next_window_to_report++;
	else if (result->http_status == HUB_CONFLICT)
		hub_duty_on_fenced(h);
	else
		h->next_usage_report_us =
		    loop_now_us(h->loop) + HUB_USAGE_RETRY_US;
}

static void
report_usage(struct hub *h, const struct hubstate_usage *u)
{
	struct api_usage *usage = g_new0(struct api_usage, u->counts->len + 1);
	struct api_duty_call call = {
		.host = h->settings.cloud.host,
		.port = h->settings.cloud.port,
		.path = API_PATH_USAGE,
		.holder = h->settings.node,
		.fence = hubstate_duty(h->state).fence,
		.timeout_us = hub_duty_call_timeout_us(h, HUB_USAGE_TIMEOUT_US),
		.checked_us = h->duty.checked_us,
		.on_end = on_usage_reported,
		.arg = h,
	};
	char *body;

	for (guint i = 0; i < u->counts->len; i++) {
		const struct hubmsg_usage *c =
		    &g_array_index(u->counts, struct hubmsg_usage, i);

		(void)g_strlcpy(
		    usage[i].customer, c->customer, sizeof(usage[i].customer));
		usage[i].n = c->n;
	}
	body = api_usage_body(u->window, usage, u->counts->len);
	call.body = body;
	h->reporting_usage = api_duty_call_send(h->http, &call) != HANDLE_NONE;
	free(body);
	g_free(usage);
}

/// Finalizes the usage of windows that have ended, and reports it to the cloud,
/// one window at a time. Only the holder of the duties may call it.
void
hub_usage_tick(struct hub *h, uint64_t now_us)
{
	const uint64_t now = hub_wall_clock_us(h);
	const uint64_t newest = (now - HUB_FINALIZE_DELAY_US) / window_us(h);
	const uint64_t n_reportable = n_reportable_windows(h);
	const struct hubstate_usage *u;

	if (h->config == NULL)
		return;
	if (h->next_window_to_finalize + n_reportable < newest)
		h->next_window_to_finalize = newest - n_reportable;
	if (h->next_window_to_report + n_reportable < newest)
		h->next_window_to_report = newest - n_reportable;
	while (h->next_window_to_finalize < newest &&
	    hubstate_usage(h->state, h->next_window_to_finalize) != NULL)
		h->next_window_to_finalize++;
	if (h->next_window_to_finalize < newest && !h->finalizing)
		finalize_window(h, h->next_window_to_finalize);
	if (h->reporting_usage || now_us < h->next_usage_report_us ||
	    h->next_window_to_report >= newest)
		return;
	u = hubstate_usage(h->state, h->next_window_to_report);
	if (u != NULL)
		report_usage(h, u);
}
