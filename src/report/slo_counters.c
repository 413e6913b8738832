#include "report/slo.h"

#include "report/totals.h"

#include <glib.h>
#include <string.h>

struct slo_counters {
	struct slo_snapshot snapshot;
	GArray *items;     ///< struct slo_item
	GHashTable *index; ///< position in items + 1, by "dimension name"
};

/// Creates the counters of an entry's process.
///
/// @param entry        name of the entry
/// @param incarnation  greater than that of the entry's previous process
/// @return to be released with slo_counters_free()
struct slo_counters *
slo_counters_new(const char *entry, uint64_t incarnation)
{
	struct slo_counters *c = g_new0(struct slo_counters, 1);

	(void)g_strlcpy(c->snapshot.entry, entry, SLO_NAME_BYTES);
	c->snapshot.incarnation = incarnation;
	c->items = g_array_new(FALSE, TRUE, sizeof(struct slo_item));
	c->index = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return c;
}

/// Releases the counters; NULL is allowed.
void
slo_counters_free(struct slo_counters *c)
{
	if (c == NULL)
		return;
	g_array_free(c->items, TRUE);
	g_hash_table_destroy(c->index);
	g_free(c);
}

static struct slo_item *
get_item(struct slo_counters *c, enum slo_dimension dimension, const char *name)
{
	char *key = g_strdup_printf("%d %s", (int)dimension, name);
	const guint position =
	    GPOINTER_TO_UINT(g_hash_table_lookup(c->index, key));
	struct slo_item item = { .dimension = dimension };

	if (position != 0) {
		g_free(key);
		return &g_array_index(c->items, struct slo_item, position - 1);
	}
	(void)g_strlcpy(item.name, name, SLO_NAME_BYTES);
	g_array_append_val(c->items, item);
	g_hash_table_insert(c->index, key, GUINT_TO_POINTER(c->items->len));
	return &g_array_index(c->items, struct slo_item, c->items->len - 1);
}

static void
add_to_item(struct slo_counters *c, enum slo_dimension dimension,
    const char *name, const struct slo_totals *totals)
{
	if (name == NULL || name[0] == '\0')
		return;
	totals_add(&get_item(c, dimension, name)->totals, totals);
}

/// Counts a finished request under its customer, route and version.
void
slo_record(struct slo_counters *c, const struct slo_request *r)
{
	struct slo_totals t = r->totals;

	t.violations = 0;
	if (t.failed > 0 || t.ttft_missed > 0 || t.inter_token_missed > 0)
		t.violations = t.requests;
	add_to_item(c, SLO_CUSTOMER, r->customer, &t);
	add_to_item(c, SLO_ROUTE, r->route, &t);
	add_to_item(c, SLO_VERSION, r->version, &t);
}

/// Takes a snapshot of the counters, to be sent to control.
///
/// @return owned by the counters, valid until the next call on them
const struct slo_snapshot *
slo_snapshot_take(struct slo_counters *c)
{
	c->snapshot.number++;
	c->snapshot.n = c->items->len;
	c->snapshot.items = (const struct slo_item *)(void *)c->items->data;
	return &c->snapshot;
}
