#include "rollout/rollout_stats.h"

#include <glib.h>
#include <math.h>
#include <string.h>

struct rollout_stats {
	GHashTable *cells; ///< set of struct rollout_stats_cell
};

static guint
cell_hash(gconstpointer p)
{
	const struct rollout_stats_cell *c = p;

	return (guint)(c->version ^ (c->version >> 32) ^ (c->route * 31) ^
	    (c->route >> 29) ^ c->load);
}

static gboolean
cell_equal(gconstpointer pa, gconstpointer pb)
{
	const struct rollout_stats_cell *a = pa;
	const struct rollout_stats_cell *b = pb;

	return a->version == b->version && a->route == b->route &&
	    a->load == b->load;
}

/// Makes empty statistics; to be freed with rollout_stats_free().
struct rollout_stats *
rollout_stats_new(void)
{
	struct rollout_stats *stats = g_new0(struct rollout_stats, 1);

	stats->cells =
	    g_hash_table_new_full(cell_hash, cell_equal, g_free, NULL);
	return stats;
}

/// Frees statistics; NULL is allowed.
void
rollout_stats_free(struct rollout_stats *stats)
{
	if (stats == NULL)
		return;
	g_hash_table_destroy(stats->cells);
	g_free(stats);
}

/// Finds a cell.
///
/// @return the cell, owned by the statistics; NULL: nothing was counted in it
struct rollout_stats_cell *
rollout_stats_find(const struct rollout_stats *stats, uint64_t version,
    uint64_t route, uint8_t load)
{
	struct rollout_stats_cell key;

	key.version = version;
	key.route = route;
	key.load = load;
	return g_hash_table_lookup(stats->cells, &key);
}

static struct rollout_stats_cell *
cell_get(struct rollout_stats *stats, const struct rollout_count *count)
{
	struct rollout_stats_cell *c = rollout_stats_find(
	    stats, count->version, count->route, count->load);

	if (c != NULL)
		return c;
	c = g_new0(struct rollout_stats_cell, 1);
	c->pool = count->pool;
	c->version = count->version;
	c->route = count->route;
	c->load = count->load;
	g_hash_table_add(stats->cells, c);
	return c;
}

static void
halve(uint32_t *buckets)
{
	for (uint32_t i = 0; i < ROLLOUT_STATS_BUCKETS; i++)
		buckets[i] /= 2;
}

/// Adds a count. One of an unknown metric, bucket or load is ignored.
void
rollout_stats_add(
    struct rollout_stats *stats, const struct rollout_count *count)
{
	struct rollout_stats_cell *c;
	uint32_t *recent;

	if (count->metric >= ROLLOUT_N_METRICS ||
	    count->bucket >= ROLLOUT_STATS_BUCKETS ||
	    count->load >= ROLLOUT_STATS_LOADS)
		return;
	c = cell_get(stats, count);
	recent = c->recent_hist[count->metric];
	c->total_hist[count->metric][count->bucket] += count->n;
	recent[count->bucket] += count->n;
	if (rollout_stats_sum(recent, 0) > ROLLOUT_STATS_RECENT_RESPONSES)
		halve(recent);
}

static uint8_t
time_bucket(uint64_t us, double base_us)
{
	const double bucket =
	    log((double)us / base_us) / log(ROLLOUT_STATS_BUCKET_GROWTH);

	if (bucket < 0)
		return 0;
	return (uint8_t)MIN(bucket, ROLLOUT_STATS_BUCKETS - 1);
}

/// Bucket of a server's load; 1000 permille and more are in the last one.
uint8_t
rollout_stats_load_bucket(uint32_t load_permille)
{
	const uint32_t bucket =
	    load_permille * ROLLOUT_STATS_LOADS / ROLLOUT_FULL_PERMILLE;

	return (uint8_t)MIN(bucket, ROLLOUT_STATS_LOADS - 1);
}

/// Counts one response in all metrics that it has.
void
rollout_stats_record(
    struct rollout_stats *stats, const struct rollout_response *response)
{
	struct rollout_count count = {
		.pool = response->pool,
		.version = response->version,
		.route = response->route,
		.load = rollout_stats_load_bucket(response->load_permille),
		.metric = ROLLOUT_METRIC_FAILED,
		.bucket = response->failed,
		.n = 1,
	};

	rollout_stats_add(stats, &count);
	if (response->first_token_us != 0) {
		count.metric = ROLLOUT_METRIC_TTFT;
		count.bucket = time_bucket(
		    response->first_token_us, ROLLOUT_STATS_TTFT_BASE_US);
		rollout_stats_add(stats, &count);
	}
	if (response->inter_token_us != 0) {
		count.metric = ROLLOUT_METRIC_INTER_TOKEN;
		count.bucket = time_bucket(response->inter_token_us,
		    ROLLOUT_STATS_INTER_TOKEN_BASE_US);
		rollout_stats_add(stats, &count);
	}
}

/// Calls cb with each cell, in no particular order.
void
rollout_stats_each(
    const struct rollout_stats *stats, rollout_stats_cb cb, void *arg)
{
	GHashTableIter it;
	gpointer cell;

	g_hash_table_iter_init(&it, stats->cells);
	while (g_hash_table_iter_next(&it, &cell, NULL))
		cb(arg, cell);
}

static gboolean
is_of_version(gpointer key, gpointer value, gpointer arg)
{
	const struct rollout_stats_cell *c = key;
	const uint64_t *version = arg;

	(void)value;
	return c->version == *version;
}

/// Removes the counts of a version, for all routes and server loads.
void
rollout_stats_drop(struct rollout_stats *stats, uint64_t version)
{
	g_hash_table_foreach_remove(stats->cells, is_of_version, &version);
}

/// Sum of one metric's buckets, starting at bucket `from`.
uint64_t
rollout_stats_sum(const uint32_t *buckets, uint32_t from)
{
	uint64_t sum = 0;

	for (uint32_t i = from; i < ROLLOUT_STATS_BUCKETS; i++)
		sum += buckets[i];
	return sum;
}
