#include "report/history.h"
#include "report/jget.h"

#include <string.h>
#include <time.h>

#define MICROS 1e6
#define PERCENT 100.0
#define TIME_BYTES 32

static void
add_head(GString *out, const json_t *report)
{
	const json_t *rollouts = json_object_get(report, "moves");
	const time_t at = (time_t)jget_integer(report, "made_at_s");
	struct tm utc;
	char time_text[TIME_BYTES] = "";

	if (gmtime_r(&at, &utc) != NULL)
		(void)strftime(time_text, sizeof(time_text),
		    "%Y-%m-%d %H:%M:%S UTC", &utc);
	g_string_append_printf(out, "Service levels at %s\n", time_text);
	g_string_append_printf(out,
	    "objective %.1f%% good, budget over 30 days\n",
	    PERCENT * jget_number(report, "objective"));
	g_string_append_printf(
	    out, "cost %.2f\n", jget_number(report, "cost_micros") / MICROS);
	g_string_append_printf(out,
	    "versions: %lld completed in time, %lld late, %lld taken back, "
	    "%lld under way\n\n",
	    jget_integer(rollouts, "completed_in_time"),
	    jget_integer(rollouts, "completed_late"),
	    jget_integer(rollouts, "taken_back"),
	    jget_integer(rollouts, "under_way"));
}

static void
add_item(GString *out, const json_t *item)
{
	const json_t *burn = json_object_get(item, "burn");

	g_string_append_printf(out,
	    "%-9s %-24s %10lld %8lld %7.1f%% %6.2f %6.2f %6.2f %6.2f %-5s "
	    "%12lld %10lld\n",
	    jget_string(item, "kind"), jget_string(item, "name"),
	    jget_integer(item, "requests"), jget_integer(item, "bad"),
	    PERCENT * jget_number(item, "budget_spent"),
	    jget_number(burn, "5m"), jget_number(burn, "30m"),
	    jget_number(burn, "1h"), jget_number(burn, "6h"),
	    jget_string(item, "alert"), jget_integer(item, "tokens"),
	    jget_integer(item, "recomputed_tokens"));
}

/// Renders the report as a table for a terminal.
///
/// @return text to be released with free()
char *
report_text(const json_t *report)
{
	GString *out = g_string_new(NULL);
	const json_t *item;
	size_t i;
	char *copy;

	add_head(out, report);
	g_string_append_printf(out,
	    "%-9s %-24s %10s %8s %8s %6s %6s %6s %6s %-5s %12s %10s\n", "kind",
	    "name", "requests", "bad", "budget", "5m", "30m", "1h", "6h",
	    "alert", "tokens", "recomputed");
	json_array_foreach(json_object_get(report, "items"), i, item)
	{
		add_item(out, item);
	}
	copy = strdup(out->str);
	g_string_free(out, TRUE);
	return copy;
}
