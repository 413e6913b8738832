#include "report/slo.h"

#include "report/history.h"
#include "report/totals.h"

#include <string.h>

#define DEFAULT_OBJECTIVE 0.95

static void
history_entry_free(gpointer p)
{
	struct history_entry *e = p;

	g_hash_table_destroy(e->last);
	g_free(e);
}

/// Creates an empty history, to be released with slo_history_free().
///
/// @param settings  copied
struct slo_history *
slo_history_new(const struct slo_settings *settings)
{
	struct slo_history *h = g_new0(struct slo_history, 1);

	h->settings = *settings;
	if (h->settings.objective <= 0 || h->settings.objective >= 1)
		h->settings.objective = DEFAULT_OBJECTIVE;
	h->series = g_ptr_array_new_with_free_func(g_free);
	h->index = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	h->entries = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, history_entry_free);
	return h;
}

/// Releases a history; NULL is allowed.
void
slo_history_free(struct slo_history *h)
{
	if (h == NULL)
		return;
	g_hash_table_destroy(h->entries);
	g_hash_table_destroy(h->index);
	g_ptr_array_free(h->series, TRUE);
	g_free(h);
}

static char *
make_key(enum slo_dimension dimension, const char *name)
{
	return g_strdup_printf("%d %s", (int)dimension, name);
}

/// The series of a name; created when there is none. Owned by the history.
struct history_series *
history_series_get(
    struct slo_history *h, enum slo_dimension dimension, const char *name)
{
	char *key = make_key(dimension, name);
	struct history_series *series = g_hash_table_lookup(h->index, key);

	if (series != NULL) {
		g_free(key);
		return series;
	}
	series = g_new0(struct history_series, 1);
	series->dimension = dimension;
	(void)g_strlcpy(series->name, name, SLO_NAME_BYTES);
	g_ptr_array_add(h->series, series);
	g_hash_table_insert(h->index, key, series);
	return series;
}

/// The record of an entry; created when there is none. Owned by the history.
struct history_entry *
history_entry_get(struct slo_history *h, const char *name)
{
	struct history_entry *e = g_hash_table_lookup(h->entries, name);

	if (e != NULL)
		return e;
	e = g_new0(struct history_entry, 1);
	e->last =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(h->entries, g_strdup(name), e);
	return e;
}

/// The totals of an item in the entry's newest merged snapshot; 0 when it had
/// none.
static struct slo_totals *
get_last_totals(struct history_entry *e, const struct slo_item *item)
{
	char *key = make_key(item->dimension, item->name);
	struct slo_totals *last = g_hash_table_lookup(e->last, key);

	if (last != NULL) {
		g_free(key);
		return last;
	}
	last = g_new0(struct slo_totals, 1);
	g_hash_table_insert(e->last, key, last);
	return last;
}

static void
merge_item(
    struct slo_history *h, struct history_entry *e, const struct slo_item *item)
{
	struct slo_totals *last = get_last_totals(e, item);
	const struct slo_totals delta = totals_since(&item->totals, last);

	*last = item->totals;
	totals_add(&history_series_get(h, item->dimension, item->name)->current,
	    &delta);
}

/// Merges a snapshot of an entry into the history: what was counted since the
/// entry's last merged snapshot is added.
///
/// @param now_us  wall-clock time, as in all functions of the history
/// @return false when it is no newer than the last one; nothing was merged
bool
slo_merge(
    struct slo_history *h, uint64_t now_us, const struct slo_snapshot *snapshot)
{
	struct history_entry *e = history_entry_get(h, snapshot->entry);

	if (snapshot->incarnation < e->incarnation)
		return false;
	if (snapshot->incarnation == e->incarnation &&
	    snapshot->number <= e->snapshot_number)
		return false;
	slo_sample(h, now_us);
	if (snapshot->incarnation > e->incarnation)
		g_hash_table_remove_all(e->last);
	e->incarnation = snapshot->incarnation;
	e->snapshot_number = snapshot->number;
	for (size_t i = 0; i < snapshot->n; i++) {
		if (snapshot->items[i].dimension < SLO_DIMENSIONS)
			merge_item(h, e, &snapshot->items[i]);
	}
	return true;
}

/// Samples every series once a minute and once an hour; to be called at least
/// once a minute.
void
slo_sample(struct slo_history *h, uint64_t now_us)
{
	const uint64_t minute = now_us / HISTORY_US_PER_MINUTE;
	const uint64_t hour = now_us / HISTORY_US_PER_HOUR;
	const uint32_t m = (uint32_t)(minute % HISTORY_MINUTES);
	const uint32_t o = (uint32_t)(hour % HISTORY_HOURS);

	if (h->minutes_at_us[m] / HISTORY_US_PER_MINUTE != minute) {
		h->minutes_at_us[m] = now_us;
		for (guint i = 0; i < h->series->len; i++) {
			struct history_series *series =
			    g_ptr_array_index(h->series, i);

			series->by_minute[m] = series->current;
		}
	}
	if (h->hours_at_us[o] / HISTORY_US_PER_HOUR == hour)
		return;
	h->hours_at_us[o] = now_us;
	for (guint i = 0; i < h->series->len; i++) {
		struct history_series *series = g_ptr_array_index(h->series, i);

		series->by_hour[o] = series->current;
	}
}

/// Finds the newest sample of a ring that is not after a time and is newer than
/// the best one so far.
///
/// @param at_us    times of the samples, 0: no sample
/// @param best_us  time of the best sample so far, and receives that of a newer
/// @param out      receives the newer sample
static void
find_newest(const uint64_t *at_us, const struct slo_totals *samples, uint32_t n,
    uint64_t time_us, uint64_t *best_us, struct slo_totals *out)
{
	for (uint32_t i = 0; i < n; i++) {
		if (at_us[i] == 0 || at_us[i] > time_us || at_us[i] <= *best_us)
			continue;
		*best_us = at_us[i];
		*out = samples[i];
	}
}

/// Newest sample of a series that is not after a time; zeros when there is
/// none.
static struct slo_totals
newest_sample(const struct slo_history *h, const struct history_series *series,
    uint64_t time_us)
{
	struct slo_totals out = { .requests = 0 };
	uint64_t best_us = 0;

	find_newest(h->minutes_at_us, series->by_minute, HISTORY_MINUTES,
	    time_us, &best_us, &out);
	find_newest(h->hours_at_us, series->by_hour, HISTORY_HOURS, time_us,
	    &best_us, &out);
	return out;
}

/// Totals counted between two times, to the precision of the samples.
///
/// @param to_us  UINT64_MAX: up to the current totals
struct slo_totals
history_window(const struct slo_history *h, const struct history_series *series,
    uint64_t from_us, uint64_t to_us)
{
	const struct slo_totals before = newest_sample(h, series, from_us);
	struct slo_totals after = series->current;

	if (to_us != UINT64_MAX)
		after = newest_sample(h, series, to_us);
	return totals_since(&after, &before);
}

/// Sets the cost of all VMs so far, in millionths of the currency unit.
void
slo_set_cost(struct slo_history *h, uint64_t cost_micros)
{
	h->cost_micros = cost_micros;
}

/// Sets the numbers of rollouts.
void
slo_set_rollouts(struct slo_history *h, const struct slo_rollouts *rollouts)
{
	h->rollouts = *rollouts;
}
