#include "report/history.h"
#include "report/jget.h"

#include <string.h>
#include <time.h>

#define MICROS 1e6
#define PERCENT 100.0
#define TIME_BYTES 32

#define PLOT_WIDTH 860.0
#define PLOT_HEIGHT 200.0
#define PLOT_LEFT 44.0
#define PLOT_TOP 12.0
#define PLOT_BOTTOM 24.0
#define PLOT_RIGHT 12.0
#define PLOT_HOURS 6
#define PLOT_MIN_Y_MAX 2.0
#define GRID_LINES 4
#define PLOT_MAX_LINES 8

#define FAST_BURN 14.4
#define SLOW_BURN 6.0

static const char *const line_colours[PLOT_MAX_LINES] = { "#1f6fb4", "#d9730d",
	"#2a8c4a", "#b3261e", "#7b4fa3", "#8a5a44", "#c2478f", "#5f6b76" };

static const char style[] =
    "body{font:15px/1.5 system-ui,sans-serif;margin:2rem auto;"
    "max-width:920px;color:#1c2329;background:#fff;padding:0 1rem}"
    "h1{font-size:1.5rem}h2{font-size:1.1rem;margin-top:2rem}"
    "table{border-collapse:collapse;width:100%}"
    "th,td{padding:.3rem .5rem;text-align:right;"
    "border-bottom:1px solid #dde2e6;font-variant-numeric:tabular-nums}"
    "th:first-child,td:first-child{text-align:left}"
    "th{font-weight:600;color:#55606a}"
    ".fast{background:#fbe3e1;color:#8c1d18;font-weight:600}"
    ".slow{background:#fff2d6;color:#6d4a00;font-weight:600}"
    ".figures{display:flex;gap:2rem;flex-wrap:wrap}"
    ".figures b{display:block;font-size:1.3rem}"
    "svg{width:100%;height:auto}svg text{font:11px system-ui,sans-serif;"
    "fill:#55606a}.key span{margin-right:1.2rem;white-space:nowrap}"
    ".key i{display:inline-block;width:.9rem;height:.25rem;"
    "margin-right:.4rem;vertical-align:middle}";

static void
add_escaped(GString *out, const char *s)
{
	char *escaped = g_markup_escape_text(s, -1);

	g_string_append(out, escaped);
	g_free(escaped);
}

static void
add_figure(GString *out, const char *name, const char *value)
{
	g_string_append_printf(out, "<div><b>%s</b>%s</div>", value, name);
}

static void
add_count(GString *out, const char *name, long long n)
{
	char value[TIME_BYTES];

	(void)g_snprintf(value, sizeof(value), "%lld", n);
	add_figure(out, name, value);
}

static void
add_head(GString *out, const json_t *report)
{
	const json_t *rollouts = json_object_get(report, "moves");
	const time_t at = (time_t)jget_integer(report, "made_at_s");
	char value[TIME_BYTES] = "";
	struct tm utc;

	if (gmtime_r(&at, &utc) != NULL)
		(void)strftime(
		    value, sizeof(value), "%Y-%m-%d %H:%M:%S UTC", &utc);
	g_string_append(out,
	    "<!doctype html><html lang=\"en\"><head><meta "
	    "charset=\"utf-8\"><title>Service levels</title>"
	    "<style>");
	g_string_append(out, style);
	g_string_append_printf(out,
	    "</style></head><body><h1>Service levels</h1><p>%s. Objective: "
	    "%.1f%% of requests answered whole and within the latency "
	    "target; budgets are over 30 days.</p><div class=\"figures\">",
	    value, PERCENT * jget_number(report, "objective"));
	(void)g_snprintf(value, sizeof(value), "%.2f",
	    jget_number(report, "cost_micros") / MICROS);
	add_figure(out, "cost", value);
	add_count(out, "versions completed in time",
	    jget_integer(rollouts, "completed_in_time"));
	add_count(
	    out, "completed late", jget_integer(rollouts, "completed_late"));
	add_count(out, "taken back", jget_integer(rollouts, "taken_back"));
	add_count(out, "under way", jget_integer(rollouts, "under_way"));
	g_string_append(out, "</div>");
}

static const char *
burn_class(double rate)
{
	if (rate >= FAST_BURN)
		return "fast";
	if (rate >= SLOW_BURN)
		return "slow";
	return "";
}

static void
add_burn_cell(GString *out, const json_t *item, const char *window)
{
	const double rate = jget_number(json_object_get(item, "burn"), window);

	g_string_append_printf(
	    out, "<td class=\"%s\">%.2f</td>", burn_class(rate), rate);
}

static void
add_row(GString *out, const json_t *item)
{
	g_string_append(out, "<tr><td>");
	add_escaped(out, jget_string(item, "name"));
	g_string_append_printf(out,
	    "</td><td>%lld</td><td>%lld</td><td>%.1f%%</td>",
	    jget_integer(item, "requests"), jget_integer(item, "bad"),
	    PERCENT * jget_number(item, "budget_spent"));
	add_burn_cell(out, item, "5m");
	add_burn_cell(out, item, "30m");
	add_burn_cell(out, item, "1h");
	add_burn_cell(out, item, "6h");
	g_string_append_printf(out,
	    "<td class=\"%s\">%s</td><td>%lld</td><td>%lld</td></tr>",
	    jget_string(item, "alert"), jget_string(item, "alert"),
	    jget_integer(item, "tokens"),
	    jget_integer(item, "recomputed_tokens"));
}

static bool
is_kind(const json_t *item, const char *kind)
{
	return strcmp(jget_string(item, "kind"), kind) == 0;
}

static void
add_table(GString *out, const json_t *items, const char *kind)
{
	const json_t *item;
	size_t i;

	g_string_append(out,
	    "<table><thead><tr><th>name</th><th>requests</th><th>bad</th>"
	    "<th>budget spent</th><th>burn 5m</th><th>30m</th><th>1h</th>"
	    "<th>6h</th><th>alert</th><th>tokens</th><th>recomputed</th></tr>"
	    "</thead><tbody>");
	json_array_foreach(items, i, item)
	{
		if (is_kind(item, kind))
			add_row(out, item);
	}
	g_string_append(out, "</tbody></table>");
}

/// Upper end of the y axis: the greatest value plotted, at least
/// PLOT_MIN_Y_MAX.
static double
get_y_max(const json_t *items, const char *kind)
{
	double y_max = PLOT_MIN_Y_MAX;
	const json_t *item;
	const json_t *value;
	size_t i;
	size_t j;

	json_array_foreach(items, i, item)
	{
		if (!is_kind(item, kind))
			continue;
		json_array_foreach(json_object_get(item, "plot"), j, value)
		    y_max = MAX(y_max, json_number_value(value));
	}
	return y_max;
}

static double
y_position(double value, double y_max)
{
	const double height = PLOT_HEIGHT - PLOT_TOP - PLOT_BOTTOM;

	return PLOT_TOP + height * (1 - value / y_max);
}

static void
add_grid(GString *out, double y_max)
{
	for (int i = 0; i <= GRID_LINES; i++) {
		const double value = y_max * i / GRID_LINES;
		const double y = y_position(value, y_max);

		g_string_append_printf(out,
		    "<line x1=\"%.0f\" x2=\"%.0f\" y1=\"%.1f\" y2=\"%.1f\" "
		    "stroke=\"#e6eaed\"/><text x=\"%.0f\" y=\"%.1f\" "
		    "text-anchor=\"end\">%.1f</text>",
		    PLOT_LEFT, PLOT_WIDTH - PLOT_RIGHT, y, y, PLOT_LEFT - 6,
		    y + 4, value);
	}
	for (int i = 0; i <= PLOT_HOURS; i++) {
		const double x = PLOT_LEFT +
		    (PLOT_WIDTH - PLOT_LEFT - PLOT_RIGHT) * i / PLOT_HOURS;

		g_string_append_printf(out,
		    "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s%d h"
		    "</text>",
		    x, PLOT_HEIGHT - 6, i == PLOT_HOURS ? "end" : "middle",
		    i == PLOT_HOURS ? "" : "-", PLOT_HOURS - i);
	}
}

static void
add_limit(GString *out, double rate, double y_max, const char *colour)
{
	if (rate > y_max)
		return;
	g_string_append_printf(out,
	    "<line x1=\"%.0f\" x2=\"%.0f\" y1=\"%.1f\" y2=\"%.1f\" "
	    "stroke=\"%s\" stroke-dasharray=\"4 4\"/>",
	    PLOT_LEFT, PLOT_WIDTH - PLOT_RIGHT, y_position(rate, y_max),
	    y_position(rate, y_max), colour);
}

static void
add_line(GString *out, const json_t *points, double y_max, const char *colour)
{
	const size_t n = json_array_size(points);
	const json_t *value;
	size_t i;

	if (n < 2)
		return;
	g_string_append_printf(out,
	    "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.8\" "
	    "points=\"",
	    colour);
	json_array_foreach(points, i, value)
	{
		const double width = PLOT_WIDTH - PLOT_LEFT - PLOT_RIGHT;
		const double x =
		    PLOT_LEFT + width * (double)i / (double)(n - 1);

		g_string_append_printf(out, "%.1f,%.1f ", x,
		    y_position(json_number_value(value), y_max));
	}
	g_string_append(out, "\"/>");
}

static void
add_legend(GString *out, const json_t *items, const char *kind)
{
	const json_t *item;
	size_t drawn = 0;
	size_t i;

	g_string_append(out, "<p class=\"key\">");
	json_array_foreach(items, i, item)
	{
		if (!is_kind(item, kind) || drawn == PLOT_MAX_LINES)
			continue;
		g_string_append_printf(out,
		    "<span><i style=\"background:%s\"></i>",
		    line_colours[drawn++]);
		add_escaped(out, jget_string(item, "name"));
		g_string_append(out, "</span>");
	}
	g_string_append(out, "</p>");
}

static void
add_plot(GString *out, const json_t *items, const char *kind)
{
	const double y_max = get_y_max(items, kind);
	const json_t *item;
	size_t drawn = 0;
	size_t i;

	g_string_append_printf(out,
	    "<svg viewBox=\"0 0 %.0f %.0f\" role=\"img\" aria-label=\"Burn "
	    "rate by %s over 6 hours\">",
	    PLOT_WIDTH, PLOT_HEIGHT, kind);
	add_grid(out, y_max);
	add_limit(out, SLOW_BURN, y_max, "#d9a300");
	add_limit(out, FAST_BURN, y_max, "#b3261e");
	json_array_foreach(items, i, item)
	{
		if (!is_kind(item, kind) || drawn == PLOT_MAX_LINES)
			continue;
		add_line(out, json_object_get(item, "plot"), y_max,
		    line_colours[drawn++]);
	}
	g_string_append(out, "</svg>");
	add_legend(out, items, kind);
}

static void
add_kind(GString *out, const json_t *items, const char *kind)
{
	g_string_append_printf(out,
	    "<h2>By %s</h2><p>Burn rate over the 30 minutes before each point "
	    "(1 spends the budget in exactly 30 days)</p>",
	    kind);
	add_plot(out, items, kind);
	add_table(out, items, kind);
}

/// Renders the report as one self-contained HTML page.
///
/// @return text to be released with free()
char *
report_html(const json_t *report)
{
	const json_t *items = json_object_get(report, "items");
	GString *out = g_string_new(NULL);
	char *copy;

	add_head(out, report);
	add_kind(out, items, "customer");
	add_kind(out, items, "route");
	add_kind(out, items, "version");
	g_string_append(out, "</body></html>\n");
	copy = strdup(out->str);
	g_string_free(out, TRUE);
	return copy;
}
