#include "report/slo.h"

#include "report/history.h"
#include "report/jget.h"
#include "report/totals.h"

#include <stdlib.h>
#include <string.h>

/// One of the two rings of samples: its JSON keys and the samples' times.
struct ring {
	const char *times_key;
	const char *samples_key;
	uint64_t *at_us; ///< 0: no sample
	uint32_t size;
};

static struct ring
get_minute_ring(struct slo_history *h)
{
	return (struct ring){ "minutes_at_us", "minutes", h->minutes_at_us,
		HISTORY_MINUTES };
}

static struct ring
get_hour_ring(struct slo_history *h)
{
	return (struct ring){ "hours_at_us", "hours", h->hours_at_us,
		HISTORY_HOURS };
}

static json_t *
totals_json(const struct slo_totals *t)
{
	struct slo_totals copy = *t;
	json_t *out = json_array();

	for (size_t i = 0; i < TOTALS_FIELDS; i++)
		(void)json_array_append_new(
		    out, json_integer((json_int_t)*totals_counter(&copy, i)));
	return out;
}

static void
totals_load(const json_t *from, struct slo_totals *out)
{
	for (size_t i = 0; i < TOTALS_FIELDS; i++)
		*totals_counter(out, i) =
		    (uint64_t)json_integer_value(json_array_get(from, i));
}

/// The samples of a series in a ring; null where there is none.
static json_t *
samples_json(const struct ring *r, const struct slo_totals *samples)
{
	json_t *out = json_array();

	for (uint32_t i = 0; i < r->size; i++)
		(void)json_array_append_new(out,
		    r->at_us[i] == 0 ? json_null() : totals_json(&samples[i]));
	return out;
}

static void
samples_load(
    const struct ring *r, const json_t *item, struct slo_totals *samples)
{
	const json_t *from = json_object_get(item, r->samples_key);

	for (uint32_t i = 0; i < r->size; i++)
		totals_load(json_array_get(from, i), &samples[i]);
}

static json_t *
times_json(const struct ring *r)
{
	json_t *out = json_array();

	for (uint32_t i = 0; i < r->size; i++)
		(void)json_array_append_new(
		    out, json_integer((json_int_t)r->at_us[i]));
	return out;
}

static void
times_load(const struct ring *r, const json_t *root)
{
	const json_t *from = json_object_get(root, r->times_key);

	for (uint32_t i = 0; i < r->size; i++)
		r->at_us[i] =
		    (uint64_t)json_integer_value(json_array_get(from, i));
}

static json_t *
series_json(const struct slo_history *h, const struct ring *minutes,
    const struct ring *hours)
{
	json_t *out = json_array();

	for (guint i = 0; i < h->series->len; i++) {
		const struct history_series *series =
		    g_ptr_array_index(h->series, i);
		json_t *o = json_pack("{s:i, s:s}", "dimension",
		    (int)series->dimension, "name", series->name);

		(void)json_object_set_new(
		    o, "now", totals_json(&series->current));
		(void)json_object_set_new(o, minutes->samples_key,
		    samples_json(minutes, series->by_minute));
		(void)json_object_set_new(o, hours->samples_key,
		    samples_json(hours, series->by_hour));
		(void)json_array_append_new(out, o);
	}
	return out;
}

static json_t *
last_json(const struct history_entry *e)
{
	json_t *out = json_object();
	GHashTableIter it;
	gpointer key;
	gpointer last;

	g_hash_table_iter_init(&it, e->last);
	while (g_hash_table_iter_next(&it, &key, &last))
		(void)json_object_set_new(out, key, totals_json(last));
	return out;
}

static json_t *
entries_json(const struct slo_history *h)
{
	json_t *out = json_object();
	GHashTableIter it;
	gpointer name;
	gpointer p;

	g_hash_table_iter_init(&it, h->entries);
	while (g_hash_table_iter_next(&it, &name, &p)) {
		const struct history_entry *e = p;
		json_t *o = json_pack("{s:I, s:I}", "incarnation",
		    (json_int_t)e->incarnation, "number",
		    (json_int_t)e->snapshot_number);

		(void)json_object_set_new(o, "last", last_json(e));
		(void)json_object_set_new(out, name, o);
	}
	return out;
}

/// Encodes the history as JSON, to be kept over a restart or a change of
/// leader.
///
/// @return text to be released with free()
char *
slo_save(const struct slo_history *h)
{
	struct slo_history copy = *h;
	const struct ring minutes = get_minute_ring(&copy);
	const struct ring hours = get_hour_ring(&copy);
	json_t *root = json_pack("{s:I, s:I, s:I, s:I, s:I}", "cost_micros",
	    (json_int_t)h->cost_micros, "completed_in_time",
	    (json_int_t)h->rollouts.completed_in_time, "completed_late",
	    (json_int_t)h->rollouts.completed_late, "taken_back",
	    (json_int_t)h->rollouts.rolled_back, "under_way",
	    (json_int_t)h->rollouts.in_progress);
	char *out;

	(void)json_object_set_new(
	    root, "items", series_json(h, &minutes, &hours));
	(void)json_object_set_new(root, "entries", entries_json(h));
	(void)json_object_set_new(
	    root, minutes.times_key, times_json(&minutes));
	(void)json_object_set_new(root, hours.times_key, times_json(&hours));
	out = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return out;
}

static void
load_series(struct slo_history *h, const json_t *root)
{
	const struct ring minutes = get_minute_ring(h);
	const struct ring hours = get_hour_ring(h);
	const json_t *o;
	size_t i;

	json_array_foreach(json_object_get(root, "items"), i, o)
	{
		const long long dimension = jget_integer(o, "dimension");
		struct history_series *series;

		if (dimension < 0 || dimension >= SLO_DIMENSIONS)
			continue;
		series = history_series_get(
		    h, (enum slo_dimension)dimension, jget_string(o, "name"));
		totals_load(json_object_get(o, "now"), &series->current);
		samples_load(&minutes, o, series->by_minute);
		samples_load(&hours, o, series->by_hour);
	}
}

static void
load_entries(struct slo_history *h, json_t *root)
{
	const char *name;
	const char *key;
	json_t *o;
	json_t *totals;

	json_object_foreach(json_object_get(root, "entries"), name, o)
	{
		struct history_entry *e = history_entry_get(h, name);

		e->incarnation = (uint64_t)jget_integer(o, "incarnation");
		e->snapshot_number = (uint64_t)jget_integer(o, "number");
		json_object_foreach(json_object_get(o, "last"), key, totals)
		{
			struct slo_totals *last = g_new0(struct slo_totals, 1);

			totals_load(totals, last);
			g_hash_table_replace(e->last, g_strdup(key), last);
		}
	}
}

/// Loads what slo_save() returned into an empty history.
///
/// @return STATUS_OK, or STATUS_CORRUPT when it is no JSON object
enum status
slo_load(struct slo_history *h, const char *json, size_t len)
{
	const struct ring minutes = get_minute_ring(h);
	const struct ring hours = get_hour_ring(h);
	json_error_t error;
	json_t *root = json_loadb(json, len, 0, &error);

	if (!json_is_object(root)) {
		json_decref(root);
		return status_fail(STATUS_CORRUPT,
		    "SLO history is not a JSON object: %s", error.text);
	}
	h->cost_micros = (uint64_t)jget_integer(root, "cost_micros");
	h->rollouts = (struct slo_rollouts){
		.completed_in_time =
		    (uint64_t)jget_integer(root, "completed_in_time"),
		.completed_late =
		    (uint64_t)jget_integer(root, "completed_late"),
		.rolled_back = (uint64_t)jget_integer(root, "taken_back"),
		.in_progress = (uint64_t)jget_integer(root, "under_way"),
	};
	times_load(&minutes, root);
	times_load(&hours, root);
	load_series(h, root);
	load_entries(h, root);
	json_decref(root);
	return STATUS_OK;
}
