#include "rollout/rollout.h"

#include "base/inv.h"
#include "rollout/rollout_stats.h"
#include "rollout/seqtest.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

/// e-value at which an entry stops a version. Each of some hundred entries
/// tests on its own, so each needs a higher e-value than control.
#define STOP_EVALUE 1e5

/// A version under test.
struct tested {
	uint64_t version;
	struct seqtest *test;
	bool stopped;
};

struct pool {
	struct rollout_split split; ///< in force
	struct tested tested[ROLLOUT_MAX_VERSIONS];
	uint32_t n_tested;
};

struct rollout_entry {
	struct rollout_entry_settings settings;
	struct rollout_stats *stats;
	GHashTable *pools;            ///< struct pool, by the split's pool
	struct rollout_report report; ///< the newest one
	bool in_flight;               ///< it isn't acknowledged yet
};

static void
pool_free(gpointer p)
{
	struct pool *pool = p;

	for (uint32_t i = 0; i < pool->n_tested; i++)
		seqtest_free(pool->tested[i].test);
	g_free(pool);
}

/// Makes the rollout state of one entry.
///
/// @param settings  copied
/// @return to be freed with rollout_entry_free()
struct rollout_entry *
rollout_entry_new(const struct rollout_entry_settings *settings)
{
	struct rollout_entry *e = g_new0(struct rollout_entry, 1);

	e->settings = *settings;
	if (e->settings.stop_evalue <= 0)
		e->settings.stop_evalue = STOP_EVALUE;
	e->stats = rollout_stats_new();
	e->pools =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, pool_free);
	e->report.entry = settings->entry;
	e->report.incarnation = settings->incarnation;
	return e;
}

/// Frees the state of an entry; NULL is allowed.
void
rollout_entry_free(struct rollout_entry *e)
{
	if (e == NULL)
		return;
	g_hash_table_destroy(e->pools);
	rollout_stats_free(e->stats);
	g_free(e);
}

static bool
has_share(const struct rollout_split *t, uint64_t version)
{
	for (uint32_t i = 0; i < t->n; i++) {
		if (t->shares[i].version == version)
			return t->shares[i].permille > 0;
	}
	return false;
}

/// Whether a split names a version, with or without a share.
static bool
is_in_split(const struct rollout_split *t, uint64_t version)
{
	for (uint32_t i = 0; i < t->n; i++) {
		if (t->shares[i].version == version)
			return true;
	}
	return t->baseline == version;
}

static struct tested *
find_tested(struct pool *pool, uint64_t version)
{
	for (uint32_t i = 0; i < pool->n_tested; i++) {
		if (pool->tested[i].version == version)
			return &pool->tested[i];
	}
	return NULL;
}

/// Drops the tests of versions that are now the baseline or have no share.
static void
drop_tests(struct pool *pool)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < pool->n_tested; i++) {
		struct tested *d = &pool->tested[i];

		if (has_share(&pool->split, d->version) &&
		    d->version != pool->split.baseline)
			pool->tested[kept++] = *d;
		else
			seqtest_free(d->test);
	}
	pool->n_tested = kept;
}

/// Adds the tests that the split requires, and sets the baseline of those that
/// exist.
static void
update_tests(struct pool *pool)
{
	const struct rollout_split *t = &pool->split;

	for (uint32_t i = 0; i < t->n; i++) {
		const uint64_t version = t->shares[i].version;
		struct tested *d = find_tested(pool, version);

		if (version == t->baseline || t->shares[i].permille == 0)
			continue;
		if (d != NULL) {
			seqtest_set_baseline(d->test, t->baseline);
			continue;
		}
		pool->tested[pool->n_tested++] = (struct tested){
			.version = version,
			.test = seqtest_new(version, t->baseline),
		};
	}
}

/// Drops the statistics of versions that the new split no longer names.
static void
drop_stats(struct rollout_stats *stats, const struct rollout_split *old,
    const struct rollout_split *new)
{
	for (uint32_t i = 0; i < old->n; i++) {
		if (!is_in_split(new, old->shares[i].version))
			rollout_stats_drop(stats, old->shares[i].version);
	}
}

/// Applies the traffic split of a pool. One older than the one in force is
/// ignored.
void
rollout_entry_set_split(
    struct rollout_entry *e, const struct rollout_split *split)
{
	struct pool *pool = g_hash_table_lookup(e->pools, &split->pool);
	struct rollout_split old;

	assert(split->n <= ROLLOUT_MAX_VERSIONS);
	if (pool == NULL) {
		pool = g_new0(struct pool, 1);
		pool->split = *split;
		g_hash_table_insert(e->pools, &pool->split.pool, pool);
	}
	if (split->sequence < pool->split.sequence)
		return;
	old = pool->split;
	pool->split = *split;
	drop_tests(pool);
	update_tests(pool);
	drop_stats(e->stats, &old, split);
}

static bool
is_stopped(const struct pool *pool, uint64_t version)
{
	for (uint32_t i = 0; i < pool->n_tested; i++) {
		if (pool->tested[i].version == version)
			return pool->tested[i].stopped;
	}
	return false;
}

/// Chooses the version of a request. The requests of a version that was stopped
/// here go to the baseline, so no other share grows.
///
/// @return the version's key; 0 for a pool without a traffic split
uint64_t
rollout_entry_pick(
    const struct rollout_entry *e, uint64_t pool, uint64_t request_hash)
{
	const struct pool *p = g_hash_table_lookup(e->pools, &pool);
	uint64_t version;

	if (p == NULL)
		return 0;
	version = rollout_pick_version(&p->split, request_hash);
	if (!is_stopped(p, version))
		return version;
	inv_check(version != p->split.baseline, "vo_base_runs", "version=%llx",
	    (unsigned long long)version);
	return p->split.baseline;
}

/// The baseline of a pool, which other versions are compared with.
///
/// @return its key; 0 for a pool without a traffic split
uint64_t
rollout_entry_baseline(const struct rollout_entry *e, uint64_t pool)
{
	const struct pool *p = g_hash_table_lookup(e->pools, &pool);

	return p != NULL ? p->split.baseline : 0;
}

/// Records a response. One of a version that is not in the split is ignored.
///
/// @return true when the entry stopped the version on it; control must then get
///         the versions of rollout_entry_stopped() at once
bool
rollout_entry_record(
    struct rollout_entry *e, const struct rollout_response *response)
{
	struct pool *pool = g_hash_table_lookup(e->pools, &response->pool);
	struct tested *d;

	if (pool == NULL || !is_in_split(&pool->split, response->version))
		return false;
	rollout_stats_record(e->stats, response);
	d = find_tested(pool, response->version);
	if (d == NULL)
		return false;
	seqtest_update_cell(d->test, e->stats,
	    rollout_stats_find(e->stats, response->version, response->route,
		rollout_stats_load_bucket(response->load_permille)));
	if (d->stopped || seqtest_evalue(d->test) < e->settings.stop_evalue)
		return false;
	d->stopped = true;
	return true;
}

/// Versions that this entry stopped by itself and that still have a share. They
/// are reported to control again until they have none.
///
/// @param versions  receives up to max keys
/// @return number of keys
size_t
rollout_entry_stopped(
    const struct rollout_entry *e, uint64_t *versions, size_t max)
{
	GHashTableIter it;
	gpointer p;
	size_t n = 0;

	g_hash_table_iter_init(&it, e->pools);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct pool *pool = p;

		for (uint32_t i = 0; i < pool->n_tested && n < max; i++) {
			if (pool->tested[i].stopped)
				versions[n++] = pool->tested[i].version;
		}
	}
	return n;
}

/// Adds what was counted in a bucket since the last report, if the report has
/// room.
static void
report_bucket(struct rollout_report *r, struct rollout_stats_cell *cell,
    uint8_t metric, uint8_t bucket)
{
	const uint32_t total = cell->total_hist[metric][bucket];
	uint32_t *reported = &cell->reported_hist[metric][bucket];

	if (total == *reported || r->n == ROLLOUT_MAX_REPORT_COUNTS)
		return;
	r->counts[r->n++] = (struct rollout_count){
		.pool = cell->pool,
		.version = cell->version,
		.route = cell->route,
		.load = cell->load,
		.metric = (uint8_t)metric,
		.bucket = (uint8_t)bucket,
		.n = total - *reported,
	};
	*reported = total;
}

/// Adds what was counted in a cell since the last report.
///
/// @param arg  the struct rollout_report
static void
report_cell(void *arg, struct rollout_stats_cell *cell)
{
	for (uint32_t m = 0; m < ROLLOUT_N_METRICS; m++) {
		for (uint32_t b = 0; b < ROLLOUT_STATS_BUCKETS; b++)
			report_bucket(arg, cell, m, b);
	}
}

/// The report to be sent now: the last one if it is not acknowledged yet, else
/// one with at most ROLLOUT_MAX_REPORT_COUNTS new counts.
///
/// @return the report, owned by the entry; NULL: there is nothing to report
const struct rollout_report *
rollout_entry_report(struct rollout_entry *e)
{
	if (e->in_flight)
		return &e->report;
	e->report.n = 0;
	rollout_stats_each(e->stats, report_cell, &e->report);
	if (e->report.n == 0)
		return NULL;
	e->report.number++;
	e->in_flight = true;
	return &e->report;
}

/// Control has acknowledged the report of this number.
void
rollout_entry_acked(struct rollout_entry *e, uint64_t number)
{
	if (number == e->report.number)
		e->in_flight = false;
}

static void
forget_reported(void *arg, struct rollout_stats_cell *cell)
{
	(void)arg;
	memset(cell->reported_hist, 0, sizeof(cell->reported_hist));
}

/// Reports all counts again: another control process leads, and has none of the
/// counts that were reported before.
void
rollout_entry_resend_all(struct rollout_entry *e)
{
	e->in_flight = false;
	rollout_stats_each(e->stats, forget_reported, NULL);
}
