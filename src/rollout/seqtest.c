#include "rollout/seqtest.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/// Most cells and routes with bets of their own; further ones count only in the
/// bets over more cells.
#define CELLS_MAX 64
#define ROUTES_MAX 16

/// Weights in an e-value: of the bets over all cells, and of each finer group:
/// the bets by route, by load and by single cell.
#define WEIGHT_ALL (1.0 / 2)
#define WEIGHT_GROUP (1.0 / 6)

/// Fewest responses of the baseline that make a reference.
#define REFERENCE_MIN_RESPONSES 50

/// A reference with fewer responses also uses those at higher loads.
#define REFERENCE_ENOUGH_RESPONSES 400

/// A reference is recomputed after this many new responses of the baseline.
#define REFERENCE_REFRESH_RESPONSES 64

/// Chance that the upper bound of one reference is wrong.
#define BOUND_ERROR 1e-3

/// A response is slow when it takes longer than this quantile of the baseline.
#define SLOW_QUANTILE 0.8

/// Buckets by which a version may be slower: at the same load, and when only
/// other loads can be compared.
#define MARGIN_BUCKETS 1
#define MARGIN_OTHER_LOAD_BUCKETS 5

/// Acceptable failure rates: the first at least, whatever the baseline's rate
/// is; the second where there is no reference.
#define FAILED_RATE_MIN 0.005
#define FAILED_RATE_NO_REFERENCE 0.05

/// Reference of one metric in one cell, computed from the baseline.
struct reference {
	double rate;          ///< bound on the rate of events; 0: no reference
	uint32_t slow_from;   ///< buckets from this one on are events
	uint64_t computed_at; ///< responses of the baseline when computed
};

struct cell {
	uint64_t route;
	uint8_t load;
	bool has_bets;           ///< it counts in bets of its own
	struct route *of_route;  ///< NULL: the route has no bets
	rollout_stats_hist seen; ///< part of the stats that was bet on
	struct reference references[ROLLOUT_N_METRICS];
	struct seqtest_bets bets[ROLLOUT_N_METRICS];
};

struct route {
	uint64_t key;
	struct seqtest_bets bets[ROLLOUT_N_METRICS];
};

struct seqtest {
	uint64_t version;
	uint64_t baseline;
	uint64_t responses; ///< of the version, that were bet on
	uint32_t n_cells;
	uint32_t n_routes;
	GHashTable *cells; ///< set of struct cell
	struct route routes[ROUTES_MAX];
	/// By load.
	struct seqtest_bets loads[ROLLOUT_STATS_LOADS][ROLLOUT_N_METRICS];
	struct seqtest_bets bets[ROLLOUT_N_METRICS]; ///< over all cells
};

static guint
cell_hash(gconstpointer p)
{
	const struct cell *c = p;

	return (guint)(c->route ^ (c->route >> 32) ^ c->load);
}

static gboolean
cell_equal(gconstpointer pa, gconstpointer pb)
{
	const struct cell *a = pa;
	const struct cell *b = pb;

	return a->route == b->route && a->load == b->load;
}

/// Makes a test; to be freed with seqtest_free().
///
/// @param version   version under test
/// @param baseline  version that it is compared with
struct seqtest *
seqtest_new(uint64_t version, uint64_t baseline)
{
	struct seqtest *t = g_new0(struct seqtest, 1);

	t->version = version;
	t->baseline = baseline;
	t->cells = g_hash_table_new_full(cell_hash, cell_equal, g_free, NULL);
	return t;
}

/// Frees a test; NULL is allowed.
void
seqtest_free(struct seqtest *t)
{
	if (t == NULL)
		return;
	g_hash_table_destroy(t->cells);
	g_free(t);
}

/// Changes the baseline; responses that were bet on already still count.
void
seqtest_set_baseline(struct seqtest *t, uint64_t baseline)
{
	GHashTableIter it;
	gpointer p;

	if (t->baseline == baseline)
		return;
	t->baseline = baseline;
	g_hash_table_iter_init(&it, t->cells);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		struct cell *c = p;

		memset(c->references, 0, sizeof(c->references));
	}
}

static struct route *
route_get(struct seqtest *t, uint64_t key)
{
	for (uint32_t i = 0; i < t->n_routes; i++) {
		if (t->routes[i].key == key)
			return &t->routes[i];
	}
	if (t->n_routes == ROUTES_MAX)
		return NULL;
	t->routes[t->n_routes].key = key;
	return &t->routes[t->n_routes++];
}

static struct cell *
cell_get(struct seqtest *t, const struct rollout_stats_cell *from)
{
	const struct cell key = { .route = from->route, .load = from->load };
	struct cell *c = g_hash_table_lookup(t->cells, &key);

	if (c != NULL)
		return c;
	c = g_new0(struct cell, 1);
	c->route = from->route;
	c->load = from->load;
	c->has_bets = t->n_cells < CELLS_MAX;
	c->of_route = route_get(t, from->route);
	t->n_cells++;
	g_hash_table_add(t->cells, c);
	return c;
}

static void
add_hist(uint32_t *to, const uint32_t *from)
{
	for (uint32_t i = 0; i < ROLLOUT_STATS_BUCKETS; i++)
		to[i] += from[i];
}

/// Adds up the baseline's recent histograms on a route, from a load upward
/// until there are enough responses.
///
/// @return all responses of the baseline in these cells so far, also those no
///         longer in the recent histograms
static uint64_t
sum_loads(const struct seqtest *t, const struct rollout_stats *stats,
    const struct rollout_stats_cell *from, enum rollout_metric metric,
    uint64_t enough, uint32_t *out)
{
	uint64_t n = 0;

	memset(out, 0, sizeof(uint32_t) * ROLLOUT_STATS_BUCKETS);
	for (uint8_t load = from->load;
	     load < ROLLOUT_STATS_LOADS && rollout_stats_sum(out, 0) < enough;
	     load++) {
		const struct rollout_stats_cell *c =
		    rollout_stats_find(stats, t->baseline, from->route, load);

		if (c == NULL)
			continue;
		add_hist(out, c->recent_hist[metric]);
		n += rollout_stats_sum(c->total_hist[metric], 0);
	}
	return n;
}

/// Bucket that holds the SLOW_QUANTILE of a histogram.
static uint32_t
quantile_bucket(const uint32_t *buckets, uint64_t n)
{
	const double max_above = (1.0 - SLOW_QUANTILE) * (double)n;
	uint64_t above = n;

	for (uint32_t i = 0; i < ROLLOUT_STATS_BUCKETS; i++) {
		above -= buckets[i];
		if ((double)above <= max_above)
			return i;
	}
	return ROLLOUT_STATS_BUCKETS - 1;
}

/// Reference of a time metric: events are responses slower than the baseline's
/// SLOW_QUANTILE by more than `margin` buckets.
///
/// @param buckets  histogram of n responses of the baseline
static struct reference
time_reference(const uint32_t *buckets, uint64_t n, uint32_t margin)
{
	const uint32_t last = quantile_bucket(buckets, n);
	const uint64_t above = rollout_stats_sum(buckets, last + 1);

	return (struct reference){
		.rate = seqtest_upper_bound(n, above, BOUND_ERROR),
		.slow_from = last + 1 + margin,
	};
}

/// Reference of ROLLOUT_METRIC_FAILED: bucket 1 counts the failures.
///
/// @param buckets  histogram of n responses of the baseline
static struct reference
failure_reference(const uint32_t *buckets, uint64_t n)
{
	const double bound = seqtest_upper_bound(n, buckets[1], BOUND_ERROR);

	return (struct reference){
		.rate = fmax(bound, FAILED_RATE_MIN),
		.slow_from = 1,
	};
}

static struct reference
make_reference(
    const uint32_t *buckets, enum rollout_metric metric, uint32_t margin)
{
	const uint64_t n = rollout_stats_sum(buckets, 0);

	if (n < REFERENCE_MIN_RESPONSES && metric != ROLLOUT_METRIC_FAILED)
		return (struct reference){ .rate = 0 };
	if (n < REFERENCE_MIN_RESPONSES)
		return (struct reference){
			.rate = FAILED_RATE_NO_REFERENCE,
			.slow_from = 1,
		};
	if (metric == ROLLOUT_METRIC_FAILED)
		return failure_reference(buckets, n);
	return time_reference(buckets, n, margin);
}

/// Recomputes the reference of a cell when the baseline has enough new
/// responses. Those at higher loads are no faster, so they are used too where
/// the same load has few; when all loads must be used, lower ones included, the
/// margin is larger.
static void
refresh_reference(const struct seqtest *t, const struct rollout_stats *stats,
    struct cell *c, enum rollout_metric metric)
{
	const struct rollout_stats_cell lowest = { .route = c->route };
	const struct rollout_stats_cell same = { .route = c->route,
		.load = c->load };
	struct reference *ref = &c->references[metric];
	uint32_t buckets[ROLLOUT_STATS_BUCKETS];
	const uint64_t n = sum_loads(
	    t, stats, &same, metric, REFERENCE_ENOUGH_RESPONSES, buckets);

	if (ref->rate > 0 && n < ref->computed_at + REFERENCE_REFRESH_RESPONSES)
		return;
	if (rollout_stats_sum(buckets, 0) >= REFERENCE_MIN_RESPONSES) {
		*ref = make_reference(buckets, metric, MARGIN_BUCKETS);
	} else {
		(void)sum_loads(t, stats, &lowest, metric, UINT64_MAX, buckets);
		*ref =
		    make_reference(buckets, metric, MARGIN_OTHER_LOAD_BUCKETS);
	}
	ref->computed_at = n;
}

static void
update_metric(struct seqtest *t, const struct rollout_stats *stats,
    struct cell *c, const struct rollout_stats_cell *from,
    enum rollout_metric metric)
{
	const uint32_t *total = from->total_hist[metric];
	uint32_t *seen = c->seen[metric];
	const uint32_t n = (uint32_t)(rollout_stats_sum(total, 0) -
	    rollout_stats_sum(seen, 0));
	const struct reference *ref = &c->references[metric];
	uint32_t events;

	if (n == 0)
		return;
	refresh_reference(t, stats, c, metric);
	if (ref->rate <= 0 || ref->rate >= 1)
		return;
	if (metric == ROLLOUT_METRIC_FAILED)
		t->responses += n;
	events = (uint32_t)(rollout_stats_sum(total, ref->slow_from) -
	    rollout_stats_sum(seen, ref->slow_from));
	memcpy(seen, total, sizeof(uint32_t) * ROLLOUT_STATS_BUCKETS);
	seqtest_bet(&t->bets[metric], ref->rate, n, events);
	seqtest_bet(&t->loads[c->load][metric], ref->rate, n, events);
	if (c->of_route != NULL)
		seqtest_bet(&c->of_route->bets[metric], ref->rate, n, events);
	if (c->has_bets)
		seqtest_bet(&c->bets[metric], ref->rate, n, events);
}

/// Bets on the new responses in one cell of the version under test.
void
seqtest_update_cell(struct seqtest *t, const struct rollout_stats *stats,
    const struct rollout_stats_cell *cell)
{
	struct cell *c = cell_get(t, cell);

	for (int m = 0; m < ROLLOUT_N_METRICS; m++)
		update_metric(t, stats, c, cell, (enum rollout_metric)m);
}

struct update_arg {
	struct seqtest *t;
	const struct rollout_stats *stats;
};

static void
update_if_tested(void *arg, struct rollout_stats_cell *cell)
{
	const struct update_arg *a = arg;

	if (cell->version == a->t->version)
		seqtest_update_cell(a->t, a->stats, cell);
}

/// Bets on all new responses of the version under test.
void
seqtest_update(struct seqtest *t, const struct rollout_stats *stats)
{
	struct update_arg arg = { .t = t, .stats = stats };

	rollout_stats_each(stats, update_if_tested, &arg);
}

/// E-value of one metric: the weighted sum of the e-values of its bets. The
/// weights of a metric's bets add up to at most one; within their group, those
/// of the routes are 1/2, 1/6, 1/12 ...
static double
metric_evalue(const struct seqtest *t, enum rollout_metric metric)
{
	GHashTableIter it;
	gpointer p;
	double cells = 0;
	double routes = 0;
	double loads = 0;

	g_hash_table_iter_init(&it, t->cells);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		const struct cell *c = p;

		cells += seqtest_bets_evalue(&c->bets[metric]);
	}
	for (uint32_t i = 0; i < t->n_routes; i++)
		routes += seqtest_bets_evalue(&t->routes[i].bets[metric]) /
		    ((i + 1) * (i + 2.0));
	for (uint32_t i = 0; i < ROLLOUT_STATS_LOADS; i++)
		loads += seqtest_bets_evalue(&t->loads[i][metric]);
	return WEIGHT_ALL * seqtest_bets_evalue(&t->bets[metric]) +
	    WEIGHT_GROUP *
	    (routes + loads / ROLLOUT_STATS_LOADS + cells / CELLS_MAX);
}

/// E-value against the hypothesis that the version is not worse than its
/// baseline; the higher, the stronger the case against the version.
double
seqtest_evalue(const struct seqtest *t)
{
	double sum = 0;

	for (int m = 0; m < ROLLOUT_N_METRICS; m++)
		sum += metric_evalue(t, (enum rollout_metric)m);
	return sum / ROLLOUT_N_METRICS;
}

/// The metric with the highest e-value.
enum rollout_metric
seqtest_worst_metric(const struct seqtest *t)
{
	enum rollout_metric worst = ROLLOUT_METRIC_FAILED;

	for (int m = 1; m < ROLLOUT_N_METRICS; m++) {
		if (metric_evalue(t, (enum rollout_metric)m) >
		    metric_evalue(t, worst))
			worst = (enum rollout_metric)m;
	}
	return worst;
}

/// Responses of the version under test that were bet on.
uint64_t
seqtest_responses(const struct seqtest *t)
{
	return t->responses;
}
