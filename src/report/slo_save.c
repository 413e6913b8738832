#include "report/slo.h"

#include "report/history.h"
#include "report/jget.h"
#include "report/totals.h"

#include <stdlib.h>
#include <string.h>

/// One of the two rings of samples.
struct ring {
	const char *times;
	const char *readings;
	uint64_t *at_us;
	uint32_t size;
};

static struct ring
minutes_of(struct slo_history *h)
{
	return (struct ring){ "minutes_at_us", "minutes", h->minutes_at_us,
		HISTORY_MINUTES };
}

static struct ring
hours_of(struct slo_history *h)
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
		    out, json_integer((json_int_t)*totals_at(&copy, i)));
	return out;
}

static void
totals_load(const json_t *from, struct slo_totals *out)
{
	for (size_t i = 0; i < TOTALS_FIELDS; i++)
		*totals_at(out, i) =
		    (uint64_t)json_integer_value(json_array_get(from, i));
}

/// Readings that were taken; null for the others.
static json_t *
readings_json(const struct ring *r, const struct slo_totals *readings)
{
	json_t *out = json_array();

	for (uint32_t i = 0; i < r->size; i++)
		(void)json_array_append_new(out,
		    r->at_us[i] == 0 ? json_null() : totals_json(&readings[i]));
	return out;
}

static void
readings_load(
    const struct ring *r, const json_t *item, struct slo_totals *readings)
{
	const json_t *from = json_object_get(item, r->readings);

	for (uint32_t i = 0; i < r->size; i++)
		totals_load(json_array_get(from, i), &readings[i]);
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
	const json_t *from = json_object_get(root, r->times);

	for (uint32_t i = 0; i < r->size; i++)
		r->at_us[i] =
		    (uint64_t)json_integer_value(json_array_get(from, i));
}

static json_t *
items_json(const struct slo_history *h, const struct ring *minutes,
    const struct ring *hours)
{
	json_t *out = json_array();

	for (guint i = 0; i < h->items->len; i++) {
		const struct history_series *item =
		    g_ptr_array_index(h->items, i);
		json_t *o = json_pack("{s:i, s:s}", "dimension",
		    (int)item->dimension, "name", item->name);

		(void)json_object_set_new(o, "now", totals_json(&item->now));
		(void)json_object_set_new(o, minutes->readings,
		    readings_json(minutes, item->minutes));
		(void)json_object_set_new(
		    o, hours->readings, readings_json(hours, item->hours));
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
		    (json_int_t)e->number);

		(void)json_object_set_new(o, "last", last_json(e));
		(void)json_object_set_new(out, name, o);
	}
	return out;
}

/// The history as JSON, to be kept over a restart or a change of leader.
///
/// @return text to be released with free()
char *
slo_save(const struct slo_history *h)
{
	struct slo_history view = *h;
	const struct ring minutes = minutes_of(&view);
	const struct ring hours = hours_of(&view);
	json_t *root = json_pack("{s:I, s:I, s:I, s:I, s:I}", "cost_micros",
	    (json_int_t)h->cost_micros, "completed_in_time",
	    (json_int_t)h->moves.completed_in_time, "completed_late",
	    (json_int_t)h->moves.completed_late, "taken_back",
	    (json_int_t)h->moves.rolled_back, "under_way",
	    (json_int_t)h->moves.in_progress);
	char *out;

	(void)json_object_set_new(
	    root, "items", items_json(h, &minutes, &hours));
	(void)json_object_set_new(root, "entries", entries_json(h));
	(void)json_object_set_new(root, minutes.times, times_json(&minutes));
	(void)json_object_set_new(root, hours.times, times_json(&hours));
	out = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return out;
}

static void
load_items(struct slo_history *h, const json_t *root)
{
	const struct ring minutes = minutes_of(h);
	const struct ring hours = hours_of(h);
	const json_t *o;
	size_t i;

	json_array_foreach(json_object_get(root, "items"), i, o)
	{
		const long long dimension = jget_integer(o, "dimension");
		struct history_series *item;

		if (dimension < 0 || dimension >= SLO_DIMENSIONS)
			continue;
		item = history_series_get(
		    h, (enum slo_dimension)dimension, jget_string(o, "name"));
		totals_load(json_object_get(o, "now"), &item->now);
		readings_load(&minutes, o, item->minutes);
		readings_load(&hours, o, item->hours);
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
		e->number = (uint64_t)jget_integer(o, "number");
		json_object_foreach(json_object_get(o, "last"), key, totals)
		{
			struct slo_totals *last = g_new0(struct slo_totals, 1);

			totals_load(totals, last);
			g_hash_table_replace(e->last, g_strdup(key), last);
		}
	}
}

/// Takes in what slo_save() gave, into an empty history.
///
/// @return STATUS_CORRUPT when it is no such JSON
enum status
slo_load(struct slo_history *h, const char *json, size_t len)
{
	const struct ring minutes = minutes_of(h);
	const struct ring hours = hours_of(h);
	json_error_t error;
	json_t *root = json_loadb(json, len, 0, &error);

	if (!json_is_object(root)) {
		json_decref(root);
		return status_fail(
		    STATUS_CORRUPT, "service levels: %s", error.text);
	}
	h->cost_micros = (uint64_t)jget_integer(root, "cost_micros");
	h->moves = (struct slo_rollouts){
		.completed_in_time =
		    (uint64_t)jget_integer(root, "completed_in_time"),
		.completed_late =
		    (uint64_t)jget_integer(root, "completed_late"),
		.rolled_back = (uint64_t)jget_integer(root, "taken_back"),
		.in_progress = (uint64_t)jget_integer(root, "under_way"),
	};
	times_load(&minutes, root);
	times_load(&hours, root);
	load_items(h, root);
	load_entries(h, root);
	json_decref(root);
	return STATUS_OK;
}
