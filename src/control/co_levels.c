#include "control/co_internal.h"

#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>

#include "report/sl_wire.h"

#define CO_SAVE_EVERY_US (30 * USEC_PER_SEC)
#define CO_SAMPLE_EVERY_US (5 * USEC_PER_SEC)
#define CO_LEVELS_FILE "levels.json"
#define CO_OBJECTIVE 0.95

static char *
levels_file(const struct co *c)
{
	return g_build_filename(c->settings.data_folder, CO_LEVELS_FILE, NULL);
}

/// Opens the history of service levels that an earlier start of this process
/// left. It is a report, not state that promises hang on: a damaged file is
/// logged and left behind.
void
co_levels_start(struct co *c)
{
	const struct sl_settings settings = { .objective = CO_OBJECTIVE };
	char *file = levels_file(c);
	gchar *text;
	gsize len;

	c->levels = sl_history_new(&settings);
	if (g_file_get_contents(file, &text, &len, NULL)) {
		if (sl_load(c->levels, text, len) != STATUS_OK)
			logger_event(
			    LOGGER_WARN, "levels.refused", "file=%s", file);
		g_free(text);
	}
	g_free(file);
}

/// Saves the history. g_file_set_contents() writes another file and renames
/// it, so that a crash leaves the old one or the new one.
void
co_levels_save(struct co *c)
{
	char *file = levels_file(c);
	char *text = sl_save(c->levels);

	if (!g_file_set_contents(file, text, -1, NULL))
		logger_event(LOGGER_WARN, "levels.not_saved", "file=%s", file);
	free(text);
	g_free(file);
}

/// An entry's counters.
void
co_levels_take(struct co *c, const struct wire_bytes *b)
{
	if (sl_merge_text(c->levels, loop_wall_us(), (const char *)b->at,
		b->len) != STATUS_OK)
		logger_event(LOGGER_WARN, "levels.corrupt", "reason=\"%s\"",
		    status_last());
}

static void
count_moves(const struct co *c, struct sl_moves *out)
{
	size_t n;
	const struct catalog_version *v = catalog_versions(c->config, &n);

	for (size_t i = 0; i < n; i++) {
		if (v[i].conf.replaces[0] == '\0')
			continue;
		if (v[i].phase == CATALOG_PHASE_ROLLED_BACK)
			out->taken_back++;
		else if (v[i].phase == CATALOG_PHASE_WAITING ||
		    v[i].phase == CATALOG_PHASE_ROLLING_OUT)
			out->under_way++;
		else if (v[i].phase == CATALOG_PHASE_DONE &&
		    g_hash_table_contains(c->late_moves, v[i].conf.name))
			out->completed_late++;
		else if (v[i].phase == CATALOG_PHASE_DONE)
			out->completed_in_time++;
	}
}

/// Samples the history, and saves it now and then.
void
co_levels_tick(struct co *c, uint64_t now_us)
{
	if (now_us >= c->next_sample_us) {
		c->next_sample_us = now_us + CO_SAMPLE_EVERY_US;
		sl_sample(c->levels, loop_wall_us());
	}
	if (now_us >= c->next_save_us) {
		c->next_save_us = now_us + CO_SAVE_EVERY_US;
		co_levels_save(c);
	}
}

/// The burn report.
///
/// @return text to be released with free()
char *
co_levels_report(struct co *c, enum sl_format format)
{
	struct sl_moves moves = { 0 };

	count_moves(c, &moves);
	sl_set_moves(c->levels, &moves);
	return sl_report(c->levels, loop_wall_us(), format);
}
