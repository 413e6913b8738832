#include "report/history.h"

#include "report/totals.h"

#include <stdlib.h>
#include <string.h>

/// Period of the error budgets: 30 days.
#define BUDGET_US (720 * HISTORY_US_PER_HOUR)

/// Points of the plot of one series, the time between them, and the window over
/// which each point's burn rate is taken.
#define POINTS 60
#define POINT_US (6 * HISTORY_US_PER_MINUTE)
#define POINT_WINDOW_US (30 * HISTORY_US_PER_MINUTE)

/// Burn rates at which a pair of windows raises an alert: 14.4 over 1 h spends
/// 2 % of a 30-day budget, 6 over 6 h spends 5 %.
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

/// Burn rate: how many times faster than the objective allows the budget is
/// spent.
static double
burn(const struct slo_totals *t, double objective)
{
	if (t->requests == 0)
		return 0;
	return (double)t->violations / (double)t->requests / (1 - objective);
}

/// Time that is a span before another; 0 when that lies before the clock's
/// zero.
static uint64_t
time_before(uint64_t time_us, uint64_t span_us)
{
	return time_us > span_us ? time_us - span_us : 0;
}

/// Alert level. Each level needs a long window, so that a short burst raises no
/// alert, and a short one, so that the alert ends soon after its cause.
static const char *
get_alert(const double *rates)
{
	if (rates[MINUTES_5] >= FAST_BURN && rates[HOUR_1] >= FAST_BURN)
		return "fast";
	if (rates[MINUTES_30] >= SLOW_BURN && rates[HOURS_6] >= SLOW_BURN)
		return "slow";
	return "none";
}

static void
add_burn(const struct slo_history *h, const struct history_series *series,
    uint64_t now_us, json_t *out)
{
	double rates[WINDOWS];
	json_t *burn_rates = json_object();

	for (int i = 0; i < WINDOWS; i++) {
		const struct slo_totals t = history_window(
		    h, series, time_before(now_us, windows[i].us), UINT64_MAX);

		rates[i] = burn(&t, h->settings.objective);
		(void)json_object_set_new(
		    burn_rates, windows[i].name, json_real(rates[i]));
	}
	(void)json_object_set_new(out, "burn", burn_rates);
	(void)json_object_set_new(out, "alert", json_string(get_alert(rates)));
}

/// Burn rates of a series for the plot, oldest first: POINTS values, POINT_US
/// apart, each over the POINT_WINDOW_US before it.
static json_t *
plot_json(const struct slo_history *h, const struct history_series *series,
    uint64_t now_us)
{
	json_t *out = json_array();

	for (uint64_t i = POINTS; i > 0; i--) {
		const uint64_t to_us = time_before(now_us, (i - 1) * POINT_US);
		const struct slo_totals t = history_window(
		    h, series, time_before(to_us, POINT_WINDOW_US), to_us);

		(void)json_array_append_new(
		    out, json_real(burn(&t, h->settings.objective)));
	}
	return out;
}

static json_t *
series_json(const struct slo_history *h, const struct history_series *series,
    uint64_t now_us)
{
	struct slo_totals t = history_window(
	    h, series, time_before(now_us, BUDGET_US), UINT64_MAX);
	json_t *out = json_pack("{s:s, s:s, s:f}", "kind",
	    dimension_names[series->dimension], "name", series->name,
	    "budget_spent", burn(&t, h->settings.objective));

	for (size_t i = 0; i < TOTALS_FIELDS; i++)
		(void)json_object_set_new(out, totals_fields[i].name,
		    json_integer((json_int_t)*totals_counter(&t, i)));
	add_burn(h, series, now_us, out);
	(void)json_object_set_new(out, "plot", plot_json(h, series, now_us));
	return out;
}

static json_t *
rollouts_json(const struct slo_rollouts *m)
{
	return json_pack("{s:I, s:I, s:I, s:I}", "completed_in_time",
	    (json_int_t)m->completed_in_time, "completed_late",
	    (json_int_t)m->completed_late, "taken_back",
	    (json_int_t)m->rolled_back, "under_way",
	    (json_int_t)m->in_progress);
}

static int
compare_kind_and_name(gconstpointer pa, gconstpointer pb)
{
	const struct history_series *a =
	    *(const struct history_series *const *)pa;
	const struct history_series *b =
	    *(const struct history_series *const *)pb;

	if (a->dimension != b->dimension)
		return a->dimension < b->dimension ? -1 : 1;
	return strcmp(a->name, b->name);
}

/// Builds the report as JSON, from which text and page are rendered.
///
/// @return to be released with json_decref()
json_t *
report_build(const struct slo_history *h, uint64_t now_us)
{
	GPtrArray *sorted = g_ptr_array_sized_new(h->series->len);
	json_t *items = json_array();
	json_t *out;

	for (guint i = 0; i < h->series->len; i++)
		g_ptr_array_add(sorted, g_ptr_array_index(h->series, i));
	g_ptr_array_sort(sorted, compare_kind_and_name);
	for (guint i = 0; i < sorted->len; i++)
		(void)json_array_append_new(items,
		    series_json(h, g_ptr_array_index(sorted, i), now_us));
	g_ptr_array_free(sorted, TRUE);
	out = json_pack("{s:I, s:f, s:I}", "made_at_s",
	    (json_int_t)(now_us / MICROS_PER_S), "objective",
	    h->settings.objective, "cost_micros", (json_int_t)h->cost_micros);
	(void)json_object_set_new(out, "moves", rollouts_json(&h->rollouts));
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

/// Renders the report.
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

/// Renders a report in JSON, as control serves it, in another format.
///
/// @return text to be released with free(); NULL when it is no report, with
///         the reason in status_last()
char *
slo_render_json(const char *report_json, size_t len, enum slo_format format)
{
	json_error_t error;
	json_t *report = json_loadb(report_json, len, 0, &error);
	char *out;

	if (report == NULL) {
		(void)status_fail(STATUS_INVALID,
		    "report is not valid JSON: line %d: %s", error.line,
		    error.text);
		return NULL;
	}
	if (!json_is_array(json_object_get(report, "items"))) {
		json_decref(report);
		(void)status_fail(
		    STATUS_INVALID, "report has no array 'items'");
		return NULL;
	}
	out = render(report, format);
	json_decref(report);
	return out;
}
