#include "control/control_internal.h"

#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>

#include "report/slo_codec.h"

#define CONTROL_SLO_SAVE_EVERY_US (30 * USEC_PER_SEC)
#define CONTROL_SLO_SAMPLE_EVERY_US (5 * USEC_PER_SEC)
#define CONTROL_SLO_FILE "levels.json"
/// Part of the requests that must meet their targets.
#define CONTROL_SLO_OBJECTIVE 0.95

static char *
slo_file(const struct control *c)
{
	return g_build_filename(
	    c->settings.data_folder, CONTROL_SLO_FILE, NULL);
}

/// Loads the SLO history that an earlier run of this process saved. The
/// history is only reported, no guarantee depends on it: a damaged file is
/// logged, and the history starts empty.
void
control_slo_start(struct control *c)
{
	const struct slo_settings settings = { .objective =
						   CONTROL_SLO_OBJECTIVE };
	char *file = slo_file(c);
	gchar *text;
	gsize len;

	c->slo = slo_history_new(&settings);
	if (g_file_get_contents(file, &text, &len, NULL)) {
		if (slo_load(c->slo, text, len) != STATUS_OK)
			logger_event(
			    LOGGER_WARN, "levels.refused", "file=%s", file);
		g_free(text);
	}
	g_free(file);
}

/// Saves the history. g_file_set_contents() writes a temporary file and renames
/// it, so that a crash leaves either the old file or the new one.
void
control_slo_save(struct control *c)
{
	char *file = slo_file(c);
	char *text = slo_save(c->slo);

	if (!g_file_set_contents(file, text, -1, NULL))
		logger_event(LOGGER_WARN, "levels.not_saved", "file=%s", file);
	free(text);
	g_free(file);
}

/// Merges the SLO counters that an entry sent into the history. Logs
/// `levels.corrupt` if they can't be decoded.
void
control_slo_merge(struct control *c, const struct wire_bytes *b)
{
	if (slo_merge_encoded(c->slo, loop_wall_us(), (const char *)b->data,
		b->len) != STATUS_OK)
		logger_event(LOGGER_WARN, "levels.corrupt", "reason=\"%s\"",
		    status_last());
}

static void
count_rollouts(const struct control *c, struct slo_rollouts *out)
{
	size_t n;
	const struct catalog_version *v = catalog_versions(c->config, &n);

	for (size_t i = 0; i < n; i++) {
		if (v[i].spec.replaces[0] == '\0')
			continue;
		if (v[i].phase == CATALOG_PHASE_ROLLED_BACK)
			out->rolled_back++;
		else if (v[i].phase == CATALOG_PHASE_WAITING ||
		    v[i].phase == CATALOG_PHASE_ROLLING_OUT)
			out->in_progress++;
		else if (v[i].phase == CATALOG_PHASE_DONE &&
		    g_hash_table_contains(c->late_rollouts, v[i].spec.name))
			out->completed_late++;
		else if (v[i].phase == CATALOG_PHASE_DONE)
			out->completed_in_time++;
	}
}

/// Samples the history every CONTROL_SLO_SAMPLE_EVERY_US and saves it every
/// CONTROL_SLO_SAVE_EVERY_US.
void
control_slo_tick(struct control *c, uint64_t now_us)
{
	if (now_us >= c->slo_next_sample_us) {
		c->slo_next_sample_us = now_us + CONTROL_SLO_SAMPLE_EVERY_US;
		slo_sample(c->slo, loop_wall_us());
	}
	if (now_us >= c->slo_next_save_us) {
		c->slo_next_save_us = now_us + CONTROL_SLO_SAVE_EVERY_US;
		control_slo_save(c);
	}
}

/// Makes the report of the SLO history and the rollouts.
///
/// @return text to be released with free()
char *
control_slo_report(struct control *c, enum slo_format format)
{
	struct slo_rollouts rollouts = { 0 };

	count_rollouts(c, &rollouts);
	slo_set_rollouts(c->slo, &rollouts);
	return slo_report(c->slo, loop_wall_us(), format);
}
