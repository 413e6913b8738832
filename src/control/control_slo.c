#include "control/control_internal.h"

#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>

#include "report/slo_codec.h"

#define CONTROL_SAVE_EVERY_US (30 * USEC_PER_SEC)
#define CONTROL_SAMPLE_EVERY_US (5 * USEC_PER_SEC)
#define CONTROL_LEVELS_FILE "levels.json"
#define CONTROL_OBJECTIVE 0.95

static char *
levels_file(const struct control *c)
{
	return g_build_filename(
	    c->settings.data_folder, CONTROL_LEVELS_FILE, NULL);
}

/// Opens the history of service levels that an earlier start of this process
/// left. It is a report, not state that promises hang on: a damaged file is
/// logged and left behind.
void
control_slo_start(struct control *c)
{
	const struct slo_settings settings = { .objective = CONTROL_OBJECTIVE };
	char *file = levels_file(c);
	gchar *text;
	gsize len;

	c->levels = slo_history_new(&settings);
	if (g_file_get_contents(file, &text, &len, NULL)) {
		if (slo_load(c->levels, text, len) != STATUS_OK)
			logger_event(
			    LOGGER_WARN, "levels.refused", "file=%s", file);
		g_free(text);
	}
	g_free(file);
}

/// Saves the history. g_file_set_contents() writes another file and renames
/// it, so that a crash leaves the old one or the new one.
void
control_slo_save(struct control *c)
{
	char *file = levels_file(c);
	char *text = slo_save(c->levels);

	if (!g_file_set_contents(file, text, -1, NULL))
		logger_event(LOGGER_WARN, "levels.not_saved", "file=%s", file);
	free(text);
	g_free(file);
}

/// An entry's counters.
void
control_slo_merge(struct control *c, const struct wire_bytes *b)
{
	if (slo_merge_encoded(c->levels, loop_wall_us(), (const char *)b->at,
		b->len) != STATUS_OK)
		logger_event(LOGGER_WARN, "levels.corrupt", "reason=\"%s\"",
		    status_last());
}

static void
count_moves(const struct control *c, struct slo_rollouts *out)
{
	size_t n;
	const struct catalog_version *v = catalog_versions(c->config, &n);

	for (size_t i = 0; i < n; i++) {
		if (v[i].conf.replaces[0] == '\0')
			continue;
		if (v[i].phase == CATALOG_PHASE_ROLLED_BACK)
			out->rolled_back++;
		else if (v[i].phase == CATALOG_PHASE_WAITING ||
		    v[i].phase == CATALOG_PHASE_ROLLING_OUT)
			out->in_progress++;
		else if (v[i].phase == CATALOG_PHASE_DONE &&
		    g_hash_table_contains(c->late_rollouts, v[i].conf.name))
			out->completed_late++;
		else if (v[i].phase == CATALOG_PHASE_DONE)
			out->completed_in_time++;
	}
}

/// Samples the history, and saves it now and then.
void
control_slo_tick(struct control *c, uint64_t now_us)
{
	if (now_us >= c->next_sample_us) {
		c->next_sample_us = now_us + CONTROL_SAMPLE_EVERY_US;
		slo_sample(c->levels, loop_wall_us());
	}
	if (now_us >= c->next_save_us) {
		c->next_save_us = now_us + CONTROL_SAVE_EVERY_US;
		control_slo_save(c);
	}
}

/// The burn report.
///
/// @return text to be released with free()
char *
control_slo_report(struct control *c, enum slo_format format)
{
	struct slo_rollouts moves = { 0 };

	count_moves(c, &moves);
	slo_set_rollouts(c->levels, &moves);
	return slo_report(c->levels, loop_wall_us(), format);
}
