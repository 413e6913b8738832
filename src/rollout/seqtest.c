#include "rollout/seqtest.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/// Cells and routes that have accounts of their own; further ones count only
/// in the accounts over all cells.
#define CELLS_MAX 64
#define ROUTES_MAX 16

/// Parts of a value that are placed on the accounts over all cells, and on each
/// of the finer ones: routes, loads, single cells.
#define PART_ALL (1.0 / 2)
#define PART_FINE (1.0 / 6)

/// Fewer answers of the incumbent than this are no reference.
#define REFERENCE_ANSWERS 50

/// Answers at higher loads are added to a reference up to this many.
#define REFERENCE_WANTED 400

/// The reference is worked out again after this many of its answers.
#define REFERENCE_REFRESH 64

/// Chance that the bound of one reference does not hold.
#define BOUND_ERROR 1e-3

/// A time is slow when it is beyond that of this part of the usual ones.
#define USUAL_PART 0.8

/// Buckets by which a version may be slower: at the same load, and when
/// only other loads can be compared.
#define MARGIN_BUCKETS 1
#define MARGIN_OTHER_LOAD_BUCKETS 5

/// Failures below this rate are in order in any case, and below the other
/// where there is nothing to compare with.
#define FAILED_IN_ORDER 0.005
#define FAILED_NO_REFERENCE 0.05

/// What is usual of one metric in one cell.
struct usual {
	double rate;         ///< bound; 0: nothing to compare with
	uint32_t slow_from;  ///< bucket from which on the event is
	uint64_t made_after; ///< answers of the incumbent when worked out
};

struct cell {
	uint64_t route;
	uint8_t load;
	bool own_accounts;
	struct route *of_route; ///< NULL: it has no accounts
	rollout_stats_hist seen;
	struct usual usual[ROLLOUT_N_METRICS];
	struct seqtest_bets bets[ROLLOUT_N_METRICS];
};

struct route {
	uint64_t key;
	struct seqtest_bets bets[ROLLOUT_N_METRICS];
};

struct seqtest {
	uint64_t version;
	uint64_t incumbent;
	uint64_t answers;
	uint32_t n_cells;
	uint32_t n_routes;
	GHashTable *cells; ///< struct cell, by itself
	struct route routes[ROUTES_MAX];
	struct seqtest_bets loads[ROLLOUT_STATS_LOADS][ROLLOUT_N_METRICS];
	struct seqtest_bets bets[ROLLOUT_N_METRICS];
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

/// Makes a judge.
///
/// @param version    the one that is judged
/// @param incumbent  the one that it is compared with
struct seqtest *
seqtest_new(uint64_t version, uint64_t incumbent)
{
	struct seqtest *j = g_new0(struct seqtest, 1);

	j->version = version;
	j->incumbent = incumbent;
	j->cells = g_hash_table_new_full(cell_hash, cell_equal, g_free, NULL);
	return j;
}

/// Releases a judge; NULL is allowed.
void
seqtest_free(struct seqtest *j)
{
	if (j == NULL)
		return;
	g_hash_table_destroy(j->cells);
	g_free(j);
}

/// Compares with another version from now on.
void
seqtest_set_baseline(struct seqtest *j, uint64_t incumbent)
{
	GHashTableIter it;
	gpointer p;

	if (j->incumbent == incumbent)
		return;
	j->incumbent = incumbent;
	g_hash_table_iter_init(&it, j->cells);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		struct cell *c = p;

		memset(c->usual, 0, sizeof(c->usual));
	}
}

static struct route *
route_get(struct seqtest *j, uint64_t key)
{
	for (uint32_t i = 0; i < j->n_routes; i++) {
		if (j->routes[i].key == key)
			return &j->routes[i];
	}
	if (j->n_routes == ROUTES_MAX)
		return NULL;
	j->routes[j->n_routes].key = key;
	return &j->routes[j->n_routes++];
}

static struct cell *
cell_get(struct seqtest *j, const struct rollout_stats_cell *from)
{
	const struct cell key = { .route = from->route, .load = from->load };
	struct cell *c = g_hash_table_lookup(j->cells, &key);

	if (c != NULL)
		return c;
	c = g_new0(struct cell, 1);
	c->route = from->route;
	c->load = from->load;
	c->own_accounts = j->n_cells < CELLS_MAX;
	c->of_route = route_get(j, from->route);
	j->n_cells++;
	g_hash_table_add(j->cells, c);
	return c;
}

static void
add_hist(uint32_t *to, const uint32_t *from)
{
	for (uint32_t i = 0; i < ROLLOUT_STATS_BUCKETS; i++)
		to[i] += from[i];
}

/// Adds up the incumbent's histograms on a route, from a load upward until
/// there are answers enough.
///
/// @return answers of the incumbent there so far, also those that faded
static uint64_t
sum_loads(const struct seqtest *j, const struct rollout_stats *ev,
    const struct rollout_stats_cell *from, enum rollout_metric metric,
    uint64_t enough, uint32_t *out)
{
	uint64_t n = 0;

	memset(out, 0, sizeof(uint32_t) * ROLLOUT_STATS_BUCKETS);
	for (uint8_t load = from->load;
	     load < ROLLOUT_STATS_LOADS && rollout_stats_sum(out, 0) < enough;
	     load++) {
		const struct rollout_stats_cell *c =
		    rollout_stats_find(ev, j->incumbent, from->route, load);

		if (c == NULL)
			continue;
		add_hist(out, c->recent[metric]);
		n += rollout_stats_sum(c->total[metric], 0);
	}
	return n;
}

/// First bucket beyond which at most the unusual part lies.
static uint32_t
usual_bucket(const uint32_t *buckets, uint64_t n)
{
	const double most = (1.0 - USUAL_PART) * (double)n;
	uint64_t above = n;

	for (uint32_t i = 0; i < ROLLOUT_STATS_BUCKETS; i++) {
		above -= buckets[i];
		if ((double)above <= most)
			return i;
	}
	return ROLLOUT_STATS_BUCKETS - 1;
}

static struct usual
usual_time(const uint32_t *buckets, uint64_t n, uint32_t margin)
{
	const uint32_t last = usual_bucket(buckets, n);
	const uint64_t above = rollout_stats_sum(buckets, last + 1);

	return (struct usual){
		.rate = seqtest_upper_bound(n, above, BOUND_ERROR),
		.slow_from = last + 1 + margin,
	};
}

static struct usual
usual_failed(const uint32_t *buckets, uint64_t n)
{
	const double bound = seqtest_upper_bound(n, buckets[1], BOUND_ERROR);

	return (struct usual){
		.rate = fmax(bound, FAILED_IN_ORDER),
		.slow_from = 1,
	};
}

static struct usual
usual_of(const uint32_t *buckets, enum rollout_metric metric, uint32_t margin)
{
	const uint64_t n = rollout_stats_sum(buckets, 0);

	if (n < REFERENCE_ANSWERS && metric != ROLLOUT_METRIC_FAILED)
		return (struct usual){ .rate = 0 };
	if (n < REFERENCE_ANSWERS)
		return (struct usual){
			.rate = FAILED_NO_REFERENCE,
			.slow_from = 1,
		};
	if (metric == ROLLOUT_METRIC_FAILED)
		return usual_failed(buckets, n);
	return usual_time(buckets, n, margin);
}

/// Works out what is usual in a cell when enough was learned since. Answers
/// at a higher load are no faster, so they serve where few were given at the
/// same one; those at lower loads need a margin.
static void
refresh(const struct seqtest *j, const struct rollout_stats *ev, struct cell *c,
    enum rollout_metric metric)
{
	const struct rollout_stats_cell lowest = { .route = c->route };
	const struct rollout_stats_cell same = { .route = c->route,
		.load = c->load };
	struct usual *u = &c->usual[metric];
	uint32_t buckets[ROLLOUT_STATS_BUCKETS];
	const uint64_t n =
	    sum_loads(j, ev, &same, metric, REFERENCE_WANTED, buckets);

	if (u->rate > 0 && n < u->made_after + REFERENCE_REFRESH)
		return;
	if (rollout_stats_sum(buckets, 0) >= REFERENCE_ANSWERS) {
		*u = usual_of(buckets, metric, MARGIN_BUCKETS);
	} else {
		(void)sum_loads(j, ev, &lowest, metric, UINT64_MAX, buckets);
		*u = usual_of(buckets, metric, MARGIN_OTHER_LOAD_BUCKETS);
	}
	u->made_after = n;
}

static void
step_metric(struct seqtest *j, const struct rollout_stats *ev, struct cell *c,
    const struct rollout_stats_cell *from, enum rollout_metric metric)
{
	const uint32_t *total = from->total[metric];
	uint32_t *seen = c->seen[metric];
	const uint32_t n = (uint32_t)(rollout_stats_sum(total, 0) -
	    rollout_stats_sum(seen, 0));
	const struct usual *u = &c->usual[metric];
	uint32_t events;

	if (n == 0)
		return;
	refresh(j, ev, c, metric);
	if (u->rate <= 0 || u->rate >= 1)
		return;
	if (metric == ROLLOUT_METRIC_FAILED)
		j->answers += n;
	events = (uint32_t)(rollout_stats_sum(total, u->slow_from) -
	    rollout_stats_sum(seen, u->slow_from));
	memcpy(seen, total, sizeof(uint32_t) * ROLLOUT_STATS_BUCKETS);
	seqtest_bet(&j->bets[metric], u->rate, n, events);
	seqtest_bet(&j->loads[c->load][metric], u->rate, n, events);
	if (c->of_route != NULL)
		seqtest_bet(&c->of_route->bets[metric], u->rate, n, events);
	if (c->own_accounts)
		seqtest_bet(&c->bets[metric], u->rate, n, events);
}

/// Takes in what is new in one cell of the judged version.
void
seqtest_update_cell(struct seqtest *j, const struct rollout_stats *ev,
    const struct rollout_stats_cell *cell)
{
	struct cell *c = cell_get(j, cell);

	for (int m = 0; m < ROLLOUT_N_METRICS; m++)
		step_metric(j, ev, c, cell, (enum rollout_metric)m);
}

struct step_arg {
	struct seqtest *j;
	const struct rollout_stats *ev;
};

static void
step_if_judged(void *arg, struct rollout_stats_cell *cell)
{
	const struct step_arg *a = arg;

	if (cell->version == a->j->version)
		seqtest_update_cell(a->j, a->ev, cell);
}

/// Takes in all that is new.
void
seqtest_update(struct seqtest *j, const struct rollout_stats *ev)
{
	struct step_arg arg = { .j = j, .ev = ev };

	rollout_stats_each(ev, step_if_judged, &arg);
}

/// Value of the bets on one metric. The parts of the routes, 1/2, 1/6, 1/12
/// ..., add up to less than one.
static double
metric_value(const struct seqtest *j, enum rollout_metric metric)
{
	GHashTableIter it;
	gpointer p;
	double cells = 0;
	double routes = 0;
	double loads = 0;

	g_hash_table_iter_init(&it, j->cells);
	while (g_hash_table_iter_next(&it, &p, NULL)) {
		const struct cell *c = p;

		cells += seqtest_bets_evalue(&c->bets[metric]);
	}
	for (uint32_t i = 0; i < j->n_routes; i++)
		routes += seqtest_bets_evalue(&j->routes[i].bets[metric]) /
		    ((i + 1) * (i + 2.0));
	for (uint32_t i = 0; i < ROLLOUT_STATS_LOADS; i++)
		loads += seqtest_bets_evalue(&j->loads[i][metric]);
	return PART_ALL * seqtest_bets_evalue(&j->bets[metric]) +
	    PART_FINE *
	    (routes + loads / ROLLOUT_STATS_LOADS + cells / CELLS_MAX);
}

/// The e-value against "not worse than the incumbent".
double
seqtest_evalue(const struct seqtest *j)
{
	double sum = 0;

	for (int m = 0; m < ROLLOUT_N_METRICS; m++)
		sum += metric_value(j, (enum rollout_metric)m);
	return sum / ROLLOUT_N_METRICS;
}

/// The metric that speaks most against the version.
enum rollout_metric
seqtest_worst_metric(const struct seqtest *j)
{
	enum rollout_metric worst = ROLLOUT_METRIC_FAILED;

	for (int m = 1; m < ROLLOUT_N_METRICS; m++) {
		if (metric_value(j, (enum rollout_metric)m) >
		    metric_value(j, worst))
			worst = (enum rollout_metric)m;
	}
	return worst;
}

/// Answers of the judged version that were taken in.
uint64_t
seqtest_responses(const struct seqtest *j)
{
	return j->answers;
}
