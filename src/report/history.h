#ifndef REPORT_HISTORY_H
#define REPORT_HISTORY_H

#include <glib.h>
#include <jansson.h>

#include "report/slo.h"

/// Inside of struct slo_history, shared by the files of the report. Samples are
/// kept in two rings: one a minute over 6 hours and one an hour over 30 days,
/// each with one more so that a full window has both its ends.

#define HISTORY_MINUTES 361
#define HISTORY_HOURS 721
#define HISTORY_US_PER_MINUTE 60000000ULL
#define HISTORY_US_PER_HOUR 3600000000ULL

/// Totals of one customer, route or version over all entries, and samples of
/// them.
struct history_series {
	enum slo_dimension dimension;
	char name[SLO_NAME_BYTES];
	struct slo_totals current;
	struct slo_totals by_minute[HISTORY_MINUTES];
	struct slo_totals by_hour[HISTORY_HOURS];
};

/// Newest snapshot received from an entry.
struct history_entry {
	uint64_t incarnation;
	uint64_t snapshot_number;
	GHashTable *last; ///< its struct slo_totals, by "dimension name"
};

struct slo_history {
	struct slo_settings settings;
	GPtrArray *series;   ///< struct history_series, in order of creation
	GHashTable *index;   ///< struct history_series, by "dimension name"
	GHashTable *entries; ///< struct history_entry, by name
	uint64_t minutes_at_us[HISTORY_MINUTES]; ///< of samples; 0: no sample
	uint64_t hours_at_us[HISTORY_HOURS];     ///< the same
	uint64_t cost_micros;
	struct slo_rollouts rollouts;
};

struct history_series *history_series_get(
    struct slo_history *h, enum slo_dimension dimension, const char *name);
struct history_entry *history_entry_get(
    struct slo_history *h, const char *name);
struct slo_totals history_window(const struct slo_history *h,
    const struct history_series *series, uint64_t from_us, uint64_t to_us);
json_t *report_build(const struct slo_history *h, uint64_t now_us);
char *report_text(const json_t *report);
char *report_html(const json_t *report);

#endif
