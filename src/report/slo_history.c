#include "report/slo.h"

#include "report/history.h"
#include "report/totals.h"

#include <string.h>

#define OBJECTIVE 0.95

static void
history_entry_free(gpointer p)
{
	struct history_entry *e = p;

	g_hash_table_destroy(e->last);
	g_free(e);
}

/// Makes an empty history.
struct slo_history *
slo_history_new(const struct slo_settings *settings)
{
	struct slo_history *h = g_new0(struct slo_history, 1);

	h->settings = *settings;
	if (h->settings.objective <= 0 || h->settings.objective >= 1)
		h->settings.objective = OBJECTIVE;
	h->items = g_ptr_array_new_with_free_func(g_free);
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
	g_ptr_array_free(h->items, TRUE);
	g_free(h);
}

static char *
key_of(enum slo_dimension dimension, const char *name)
{
	return g_strdup_printf("%d %s", (int)dimension, name);
}

/// The item of a name; made when there is none.
struct history_series *
history_series_get(
    struct slo_history *h, enum slo_dimension dimension, const char *name)
{
	char *key = key_of(dimension, name);
	struct history_series *item = g_hash_table_lookup(h->index, key);

	if (item != NULL) {
		g_free(key);
		return item;
	}
	item = g_new0(struct history_series, 1);
	item->dimension = dimension;
	(void)g_strlcpy(item->name, name, SLO_NAME_BYTES);
	g_ptr_array_add(h->items, item);
	g_hash_table_insert(h->index, key, item);
	return item;
}

/// What is kept of an entry; made when there is nothing.
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

static struct slo_totals *
last_of(struct history_entry *e, const struct slo_item *item)
{
	char *key = key_of(item->dimension, item->name);
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
	struct slo_totals *last = last_of(e, item);
	const struct slo_totals fresh = totals_since(&item->totals, last);

	*last = item->totals;
	totals_add(
	    &history_series_get(h, item->dimension, item->name)->now, &fresh);
}

/// Takes in a snapshot of an entry.
///
/// @return false when it is no newer than what was taken in before
bool
slo_merge(
    struct slo_history *h, uint64_t now_us, const struct slo_snapshot *snapshot)
{
	struct history_entry *e = history_entry_get(h, snapshot->entry);

	if (snapshot->incarnation < e->incarnation)
		return false;
	if (snapshot->incarnation == e->incarnation &&
	    snapshot->number <= e->number)
		return false;
	slo_sample(h, now_us);
	if (snapshot->incarnation > e->incarnation)
		g_hash_table_remove_all(e->last);
	e->incarnation = snapshot->incarnation;
	e->number = snapshot->number;
	for (size_t i = 0; i < snapshot->n; i++) {
		if (snapshot->items[i].dimension < SLO_DIMENSIONS)
			merge_item(h, e, &snapshot->items[i]);
	}
	return true;
}

/// Keeps a reading of every item once a minute and once an hour; called
/// often, at least once a minute.
void
slo_sample(struct slo_history *h, uint64_t now_us)
{
	const uint64_t minute = now_us / HISTORY_US_PER_MINUTE;
	const uint64_t hour = now_us / HISTORY_US_PER_HOUR;
	const uint32_t m = (uint32_t)(minute % HISTORY_MINUTES);
	const uint32_t o = (uint32_t)(hour % HISTORY_HOURS);

	if (h->minutes_at_us[m] / HISTORY_US_PER_MINUTE != minute) {
		h->minutes_at_us[m] = now_us;
		for (guint i = 0; i < h->items->len; i++) {
			struct history_series *item =
			    g_ptr_array_index(h->items, i);

			item->minutes[m] = item->now;
		}
	}
	if (h->hours_at_us[o] / HISTORY_US_PER_HOUR == hour)
		return;
	h->hours_at_us[o] = now_us;
	for (guint i = 0; i < h->items->len; i++) {
		struct history_series *item = g_ptr_array_index(h->items, i);

		item->hours[o] = item->now;
	}
}

/// Takes the newest of some readings that is not after a time.
static void
take_newest(const uint64_t *at_us, const struct slo_totals *readings,
    uint32_t n, uint64_t time_us, uint64_t *best_us, struct slo_totals *out)
{
	for (uint32_t i = 0; i < n; i++) {
		if (at_us[i] == 0 || at_us[i] > time_us || at_us[i] <= *best_us)
			continue;
		*best_us = at_us[i];
		*out = readings[i];
	}
}

static struct slo_totals
reading_at(const struct slo_history *h, const struct history_series *item,
    uint64_t time_us)
{
	struct slo_totals out = { .requests = 0 };
	uint64_t best_us = 0;

	take_newest(h->minutes_at_us, item->minutes, HISTORY_MINUTES, time_us,
	    &best_us, &out);
	take_newest(h->hours_at_us, item->hours, HISTORY_HOURS, time_us,
	    &best_us, &out);
	return out;
}

/// What was counted between two times, as far as samples tell.
///
/// @param to_us  UINT64_MAX: up to what is known last
struct slo_totals
history_window(const struct slo_history *h, const struct history_series *item,
    uint64_t from_us, uint64_t to_us)
{
	const struct slo_totals before = reading_at(h, item, from_us);
	struct slo_totals after = item->now;

	if (to_us != UINT64_MAX)
		after = reading_at(h, item, to_us);
	return totals_since(&after, &before);
}

/// Sets what all VMs have cost so far.
void
slo_set_cost(struct slo_history *h, uint64_t cost_micros)
{
	h->cost_micros = cost_micros;
}

/// Sets how moves of versions ended.
void
slo_set_rollouts(struct slo_history *h, const struct slo_rollouts *moves)
{
	h->moves = *moves;
}
