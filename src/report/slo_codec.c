#include "report/slo_codec.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#define MAX_SNAPSHOT_ITEMS 4096

/// Encodes a snapshot as text, to be released with free().
char *
slo_snapshot_encode(const struct slo_snapshot *s)
{
	json_t *items = json_array();
	json_t *o;
	char *text;

	for (size_t i = 0; i < s->n; i++) {
		const struct slo_item *it = &s->items[i];
		const struct slo_totals *t = &it->totals;

		(void)json_array_append_new(items,
		    json_pack("[i, s, I, I, I, I, I, I]", (int)it->dimension,
			it->name, (json_int_t)t->requests,
			(json_int_t)t->failed, (json_int_t)t->ttft_missed,
			(json_int_t)t->inter_token_missed,
			(json_int_t)t->tokens,
			(json_int_t)t->recomputed_tokens));
	}
	o = json_pack("{s:s, s:I, s:I, s:o}", "entry", s->entry, "incarnation",
	    (json_int_t)s->incarnation, "number", (json_int_t)s->number,
	    "items", items);
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

static bool
read_item(json_t *v, struct slo_item *it)
{
	json_int_t n[6];
	const char *name;
	int dimension;

	if (json_unpack(v, "[i, s, I, I, I, I, I, I]", &dimension, &name, &n[0],
		&n[1], &n[2], &n[3], &n[4], &n[5]) != 0)
		return false;
	if (dimension < 0 || dimension >= SLO_DIMENSIONS ||
	    strlen(name) >= sizeof(it->name))
		return false;
	for (size_t i = 0; i < G_N_ELEMENTS(n); i++) {
		if (n[i] < 0)
			return false;
	}
	it->dimension = (enum slo_dimension)dimension;
	(void)g_strlcpy(it->name, name, sizeof(it->name));
	it->totals.requests = (uint64_t)n[0];
	it->totals.failed = (uint64_t)n[1];
	it->totals.ttft_missed = (uint64_t)n[2];
	it->totals.inter_token_missed = (uint64_t)n[3];
	it->totals.tokens = (uint64_t)n[4];
	it->totals.recomputed_tokens = (uint64_t)n[5];
	return true;
}

static bool
read_snapshot(json_t *o, struct slo_snapshot *s, struct slo_item *items)
{
	json_t *list = json_object_get(o, "items");
	const char *entry = json_string_value(json_object_get(o, "entry"));

	if (entry == NULL || strlen(entry) >= sizeof(s->entry))
		return false;
	(void)g_strlcpy(s->entry, entry, sizeof(s->entry));
	s->incarnation =
	    (uint64_t)json_integer_value(json_object_get(o, "incarnation"));
	s->number = (uint64_t)json_integer_value(json_object_get(o, "number"));
	s->n = json_array_size(list);
	s->items = items;
	for (size_t i = 0; i < s->n; i++) {
		if (!read_item(json_array_get(list, i), &items[i]))
			return false;
	}
	return true;
}

/// Merges an encoded snapshot into a history.
///
/// @param now_us  wall-clock time
/// @return STATUS_OK, also for a snapshot that is not newer than the one merged
///         last; STATUS_CORRUPT: nothing was merged
enum status
slo_merge_encoded(
    struct slo_history *h, uint64_t now_us, const char *text, size_t len)
{
	json_t *o = json_loadb(text, len, 0, NULL);
	const size_t n = json_array_size(json_object_get(o, "items"));
	struct slo_snapshot s = { 0 };
	struct slo_item *items;
	bool ok;

	if (o == NULL || n > MAX_SNAPSHOT_ITEMS) {
		json_decref(o);
		return status_fail(STATUS_CORRUPT,
		    "SLO counters of an entry: invalid encoding");
	}
	items = g_new0(struct slo_item, n + 1);
	ok = read_snapshot(o, &s, items);
	if (ok)
		(void)slo_merge(h, now_us, &s);
	g_free(items);
	json_decref(o);
	return ok ? STATUS_OK
		  : status_fail(STATUS_CORRUPT,
			"SLO counters of an entry: invalid encoding");
}
