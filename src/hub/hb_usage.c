#include "hub/hb_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "platform/pf_cloud.h"
#include "platform/pf_names.h"

/// Gateways have told all that they counted so long after a window's end.
#define HB_SETTLE_US (2500 * USEC_PER_MSEC)
#define HB_TELL_TIMEOUT_US (1500 * USEC_PER_MSEC)
#define HB_TELL_AGAIN_US (700 * USEC_PER_MSEC)
#define HB_CONFLICT 409

static uint64_t
window_us(const struct hb *h)
{
	return (uint64_t)(h->settings.bounds.usage_window_s * USEC_PER_SEC);
}

/// Windows that ended and can still be told in time. A new holder tells them
/// again: an exact repeat does no harm.
static uint64_t
windows_back(const struct hb *h)
{
	const struct bootstrap_bounds *b = &h->settings.bounds;

	return (uint64_t)(b->usage_late_s / b->usage_window_s);
}

static void
add_count(GArray *counts, const struct lm_usage *u)
{
	for (guint i = 0; i < counts->len; i++) {
		struct lm_usage *c = &g_array_index(counts, struct lm_usage, i);

		if (strcmp(c->customer, u->customer) != 0)
			continue;
		c->n += u->n;
		return;
	}
	g_array_append_val(counts, *u);
}

/// Sum of what all gateways counted in a window, for every customer.
static GArray *
sum_window(const struct hb *h, uint64_t window)
{
	GArray *counts = g_array_new(FALSE, TRUE, sizeof(struct lm_usage));
	GHashTableIter it;
	gpointer value;

	for (size_t i = 0; h->config != NULL && i < fc_n_customers(h->config);
	     i++) {
		struct lm_usage none = { .window = window };

		(void)g_strlcpy(none.customer, fc_customer(h->config, i)->name,
		    sizeof(none.customer));
		g_array_append_val(counts, none);
	}
	g_hash_table_iter_init(&it, h->gateways);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct hb_gateway *g = value;

		for (guint i = 0; i < g->usage->len; i++) {
			const struct lm_usage *u =
			    &g_array_index(g->usage, struct lm_usage, i);

			if (u->window == window)
				add_count(counts, u);
		}
	}
	return counts;
}

static void
on_settled(void *arg, enum status status, const uint8_t *result, size_t len)
{
	struct hb *h = arg;

	(void)result;
	(void)len;
	h->settling = false;
	if (status != STATUS_OK)
		logger_event(LOGGER_WARN, "usage.not_settled", "status=%s",
		    status_name(status));
}

static void
settle(struct hb *h, uint64_t window)
{
	struct hs_command c = { .kind = HS_USAGE };

	c.usage.window = window;
	c.usage.counts = sum_window(h, window);
	h->settling = true;
	hb_propose(h, &c, on_settled, h);
	g_array_unref(c.usage.counts);
}

static void
on_told(void *arg, const struct httpc_result *result)
{
	struct hb *h = arg;

	h->telling = false;
	logger_event(LOGGER_INFO, "usage.told",
	    "window=%" PRIu64 " status=%s http=%d", h->told_to,
	    status_name(result->status), result->http_status);
	if (result->status == STATUS_OK && result->http_status == 200)
		h->told_to++;
	else if (result->http_status == HB_CONFLICT)
		hb_duty_refused(h);
	else
		h->next_tell_us = loop_now_us(h->loop) + HB_TELL_AGAIN_US;
}

static void
tell(struct hb *h, const struct hs_usage *u)
{
	struct pf_usage *usage = g_new0(struct pf_usage, u->counts->len + 1);
	struct pf_duty_call call = {
		.host = h->settings.cloud.host,
		.port = h->settings.cloud.port,
		.path = PF_USAGE_PATH,
		.holder = h->settings.node,
		.fence = hs_duty(h->state).fence,
		.timeout_us = HB_TELL_TIMEOUT_US,
		.on_end = on_told,
		.arg = h,
	};
	char *body;

	for (guint i = 0; i < u->counts->len; i++) {
		const struct lm_usage *c =
		    &g_array_index(u->counts, struct lm_usage, i);

		(void)g_strlcpy(
		    usage[i].customer, c->customer, sizeof(usage[i].customer));
		usage[i].n = c->n;
	}
	body = pf_usage_body(u->window, usage, u->counts->len);
	call.body = body;
	h->telling = pf_duty_send(h->http, &call) != HANDLE_NONE;
	free(body);
	g_free(usage);
}

/// Settles the usage of windows that ended, and tells it.
void
hb_usage_tick(struct hb *h, uint64_t now_us)
{
	const uint64_t now = hb_true_us(h);
	const uint64_t newest = (now - HB_SETTLE_US) / window_us(h);
	const uint64_t back = windows_back(h);
	const struct hs_usage *u;

	if (h->config == NULL)
		return;
	if (h->settled_to + back < newest)
		h->settled_to = newest - back;
	if (h->told_to + back < newest)
		h->told_to = newest - back;
	while (
	    h->settled_to < newest && hs_usage(h->state, h->settled_to) != NULL)
		h->settled_to++;
	if (h->settled_to < newest && !h->settling)
		settle(h, h->settled_to);
	if (h->telling || now_us < h->next_tell_us || h->told_to >= newest)
		return;
	u = hs_usage(h->state, h->told_to);
	if (u != NULL)
		tell(h, u);
}
