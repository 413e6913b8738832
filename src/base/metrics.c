#include "base/metrics.h"

#include <glib.h>
#include <inttypes.h>

#define METRICS_BUCKETS 96
#define METRICS_FIRST_LIMIT_US 10

enum metrics_kind {
	METRICS_COUNTER,
	METRICS_GAUGE,
	METRICS_HIST,
};

struct metrics_hist {
	uint64_t buckets[METRICS_BUCKETS];
	uint64_t count;
	uint64_t sum_us;
};

struct metrics_item {
	enum metrics_kind kind;
	char *name;
	char *labels;
	union {
		struct metrics_value value;
		struct metrics_hist hist;
	};
};

struct metrics_registry {
	GHashTable *by_key; ///< "name{labels}" -> struct metrics_item
	GPtrArray *items;   ///< owns the items, in order of creation
};

static void
item_free(gpointer p)
{
	struct metrics_item *item = p;

	g_free(item->name);
	g_free(item->labels);
	g_free(item);
}

/// Upper limit of a bucket in microseconds, inclusive.
static uint64_t
bucket_limit(unsigned int i)
{
	uint64_t limit = METRICS_FIRST_LIMIT_US;

	while (i-- > 0)
		limit += limit / 4;
	return limit;
}

/// Index of the bucket of a duration. The last bucket also takes everything
/// above its limit.
static unsigned int
bucket_of(uint64_t value_us)
{
	uint64_t limit = METRICS_FIRST_LIMIT_US;
	unsigned int i = 0;

	while (value_us > limit && i + 1 < METRICS_BUCKETS) {
		limit += limit / 4;
		i++;
	}
	return i;
}

static struct metrics_item *
find_or_add(struct metrics_registry *registry, enum metrics_kind kind,
    const char *name, const char *labels)
{
	char *key = g_strdup_printf("%s{%s}", name, labels);
	struct metrics_item *item = g_hash_table_lookup(registry->by_key, key);

	if (item != NULL) {
		g_free(key);
		g_assert(item->kind == kind);
		return item;
	}
	item = g_new0(struct metrics_item, 1);
	item->kind = kind;
	item->name = g_strdup(name);
	item->labels = g_strdup(labels);
	g_hash_table_insert(registry->by_key, key, item);
	g_ptr_array_add(registry->items, item);
	return item;
}

/// Creates an empty registry.
///
/// @return registry, to be released with metrics_free()
struct metrics_registry *
metrics_new(void)
{
	struct metrics_registry *registry = g_new0(struct metrics_registry, 1);

	registry->by_key =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	registry->items = g_ptr_array_new_with_free_func(item_free);
	return registry;
}

/// Releases a registry and all its metrics; NULL is allowed.
void
metrics_free(struct metrics_registry *registry)
{
	if (registry == NULL)
		return;
	g_hash_table_destroy(registry->by_key);
	g_ptr_array_free(registry->items, TRUE);
	g_free(registry);
}

/// Returns the counter of this name and these labels, created at 0 on first
/// use.
///
/// @param labels  `key="value"` pairs joined by commas, or ""
/// @return owned by the registry
struct metrics_value *
metrics_counter(
    struct metrics_registry *registry, const char *name, const char *labels)
{
	return &find_or_add(registry, METRICS_COUNTER, name, labels)->value;
}

/// Returns the gauge of this name and these labels; see metrics_counter().
struct metrics_value *
metrics_gauge(
    struct metrics_registry *registry, const char *name, const char *labels)
{
	return &find_or_add(registry, METRICS_GAUGE, name, labels)->value;
}

/// Returns the histogram of this name and these labels; see metrics_counter().
struct metrics_hist *
metrics_hist(
    struct metrics_registry *registry, const char *name, const char *labels)
{
	return &find_or_add(registry, METRICS_HIST, name, labels)->hist;
}

/// Adds a duration to a histogram.
void
metrics_observe(struct metrics_hist *h, uint64_t value_us)
{
	h->buckets[bucket_of(value_us)]++;
	h->count++;
	h->sum_us += value_us;
}

/// Estimates a quantile of the durations added.
///
/// @param q  0 to 1
/// @return upper limit of the bucket that contains the quantile, in
///         microseconds; 0 when the histogram is empty
uint64_t
metrics_quantile(const struct metrics_hist *h, double q)
{
	const double rank = q * (double)h->count;
	uint64_t cumulative = 0;

	for (unsigned int i = 0; i < METRICS_BUCKETS; i++) {
		cumulative += h->buckets[i];
		if (cumulative > 0 && (double)cumulative >= rank)
			return bucket_limit(i);
	}
	return 0;
}

/// Number of durations added.
uint64_t
metrics_hist_count(const struct metrics_hist *h)
{
	return h->count;
}

static void
print_hist(GString *out, const struct metrics_item *item)
{
	const char *comma = item->labels[0] != '\0' ? "," : "";
	uint64_t cumulative = 0;

	for (unsigned int i = 0; i < METRICS_BUCKETS; i++) {
		if (item->hist.buckets[i] == 0)
			continue;
		cumulative += item->hist.buckets[i];
		g_string_append_printf(out,
		    "%s_bucket{%s%sle=\"%.6f\"} %" PRIu64 "\n", item->name,
		    item->labels, comma, (double)bucket_limit(i) / 1e6,
		    cumulative);
	}
	g_string_append_printf(out,
	    "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n%s_sum{%s} %.6f\n"
	    "%s_count{%s} %" PRIu64 "\n",
	    item->name, item->labels, comma, item->hist.count, item->name,
	    item->labels, (double)item->hist.sum_us / 1e6, item->name,
	    item->labels, item->hist.count);
}

/// Formats all metrics of a registry in the Prometheus text format.
///
/// @param len  receives the length of the text in bytes
/// @return text, to be released with free()
char *
metrics_text(const struct metrics_registry *registry, size_t *len)
{
	GString *out = g_string_new(NULL);

	for (guint i = 0; i < registry->items->len; i++) {
		const struct metrics_item *item =
		    g_ptr_array_index(registry->items, i);

		switch (item->kind) {
		case METRICS_COUNTER:
		case METRICS_GAUGE:
			g_string_append_printf(out, "%s{%s} %" PRIu64 "\n",
			    item->name, item->labels, item->value.value);
			break;
		case METRICS_HIST:
			print_hist(out, item);
			break;
		}
	}
	*len = out->len;
	return g_string_free(out, FALSE);
}
