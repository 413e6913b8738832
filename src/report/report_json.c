#include "report/history.h"

#include "report/totals.h"

#include <stdlib.h>
#include <string.h>

/// Error budgets are for this long.
#define BUDGET_US (720 * HISTORY_US_PER_HOUR)

/// Points of the plot of one item, and the window behind each.
#define POINTS 60
#define POINT_US (6 * HISTORY_US_PER_MINUTE)
#define POINT_WINDOW_US (30 * HISTORY_US_PER_MINUTE)

/// Burn rates at which the pair of windows calls for a person.
#define FAST_BURN 14.4
#define SLOW_BURN 6.0

#define MICROS_PER_S 1000000

enum window {
	MINUTES_5,
	MINUTES_30,
	HOUR_1,
	HOURS_6,
	WINDOWS,
};

static const struct {
	const char *name;
	uint64_t us;
} windows[WINDOWS] = {
	[MINUTES_5] = { "5m", 5 * HISTORY_US_PER_MINUTE },
	[MINUTES_30] = { "30m", 30 * HISTORY_US_PER_MINUTE },
	[HOUR_1] = { "1h", HISTORY_US_PER_HOUR },
	[HOURS_6] = { "6h", 6 * HISTORY_US_PER_HOUR },
};

static const char *const dimension_names[SLO_DIMENSIONS] = { "customer",
	"route", "version" };

/// How many times faster than allowed the budget is spent.
static double
burn(const struct slo_totals *t, double objective)
{
	if (t->requests == 0)
		return 0;
	return (double)t->bad / (double)t->requests / (1 - objective);
}

static uint64_t
ago(uint64_t now_us, uint64_t us)
{
	return now_us > us ? now_us - us : 0;
}

static const char *
alert_of(const double *rates)
{
	if (rates[MINUTES_5] >= FAST_BURN && rates[HOUR_1] >= FAST_BURN)
		return "fast";
	if (rates[MINUTES_30] >= SLOW_BURN && rates[HOURS_6] >= SLOW_BURN)
		return "slow";
	return "none";
}

static void
add_burn(const struct slo_history *h, const struct history_series *item,
    uint64_t now_us, json_t *out)
{
	double rates[WINDOWS];
	json_t *all = json_object();

	for (int i = 0; i < WINDOWS; i++) {
		const struct slo_totals t = history_window(
		    h, item, ago(now_us, windows[i].us), UINT64_MAX);

		rates[i] = burn(&t, h->settings.objective);
		(void)json_object_set_new(
		    all, windows[i].name, json_real(rates[i]));
	}
	(void)json_object_set_new(out, "burn", all);
	(void)json_object_set_new(out, "alert", json_string(alert_of(rates)));
}

static json_t *
plot_of(const struct slo_history *h, const struct history_series *item,
    uint64_t now_us)
{
	json_t *out = json_array();

	for (uint64_t i = POINTS; i > 0; i--) {
		const uint64_t to_us = ago(now_us, (i - 1) * POINT_US);
		const struct slo_totals t =
		    history_window(h, item, ago(to_us, POINT_WINDOW_US), to_us);

		(void)json_array_append_new(
		    out, json_real(burn(&t, h->settings.objective)));
	}
	return out;
}

static json_t *
item_json(const struct slo_history *h, const struct history_series *item,
    uint64_t now_us)
{
	struct slo_totals t =
	    history_window(h, item, ago(now_us, BUDGET_US), UINT64_MAX);
	json_t *out = json_pack("{s:s, s:s, s:f}", "kind",
	    dimension_names[item->dimension], "name", item->name,
	    "budget_spent", burn(&t, h->settings.objective));

	for (size_t i = 0; i < TOTALS_FIELDS; i++)
		(void)json_object_set_new(out, totals_fields[i].name,
		    json_integer((json_int_t)*totals_at(&t, i)));
	add_burn(h, item, now_us, out);
	(void)json_object_set_new(out, "plot", plot_of(h, item, now_us));
	return out;
}

static json_t *
moves_json(const struct slo_rollouts *m)
{
	return json_pack("{s:I, s:I, s:I, s:I}", "completed_in_time",
	    (json_int_t)m->completed_in_time, "completed_late",
	    (json_int_t)m->completed_late, "taken_back",
	    (json_int_t)m->rolled_back, "under_way",
	    (json_int_t)m->in_progress);
}

static int
by_kind_and_name(gconstpointer pa, gconstpointer pb)
{
	const struct history_series *a =
	    *(const struct history_series *const *)pa;
	const struct history_series *b =
	    *(const struct history_series *const *)pb;

	if (a->dimension != b->dimension)
		return a->dimension < b->dimension ? -1 : 1;
	return strcmp(a->name, b->name);
}

/// The report as JSON; text and page are made from it.
json_t *
report_build(const struct slo_history *h, uint64_t now_us)
{
	GPtrArray *sorted = g_ptr_array_sized_new(h->items->len);
	json_t *items = json_array();
	json_t *out;

	for (guint i = 0; i < h->items->len; i++)
		g_ptr_array_add(sorted, g_ptr_array_index(h->items, i));
	g_ptr_array_sort(sorted, by_kind_and_name);
	for (guint i = 0; i < sorted->len; i++)
		(void)json_array_append_new(
		    items, item_json(h, g_ptr_array_index(sorted, i), now_us));
	g_ptr_array_free(sorted, TRUE);
	out = json_pack("{s:I, s:f, s:I}", "made_at_s",
	    (json_int_t)(now_us / MICROS_PER_S), "objective",
	    h->settings.objective, "cost_micros", (json_int_t)h->cost_micros);
	(void)json_object_set_new(out, "moves", moves_json(&h->moves));
	(void)json_object_set_new(out, "items", items);
	return out;
}

static char *
render(const json_t *report, enum slo_format format)
{
	switch (format) {
	case SLO_TEXT:
		return report_text(report);
	case SLO_HTML:
		return report_html(report);
	default:
		return json_dumps(report, JSON_INDENT(2));
	}
}

/// Makes the report.
///
/// @return text to be released with free()
char *
slo_report(const struct slo_history *h, uint64_t now_us, enum slo_format format)
{
	json_t *report = report_build(h, now_us);
	char *out = render(report, format);

	json_decref(report);
	return out;
}

/// Makes text or a page from a report in JSON, as control gives it.
///
/// @return text to be released with free(); NULL when it is no report, with
/// the reason in status_last()
char *
slo_render_json(const char *report_json, size_t len, enum slo_format format)
{
	json_error_t error;
	json_t *report = json_loadb(report_json, len, 0, &error);
	char *out;

	if (report == NULL) {
		(void)status_fail(STATUS_INVALID, "report: line %d: %s",
		    error.line, error.text);
		return NULL;
	}
	if (!json_is_array(json_object_get(report, "items"))) {
		json_decref(report);
		(void)status_fail(STATUS_INVALID, "report: no items");
		return NULL;
	}
	out = render(report, format);
	json_decref(report);
	return out;
}
