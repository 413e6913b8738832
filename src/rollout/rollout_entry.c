#include "rollout/rollout.h"

#include "base/inv.h"
#include "rollout/rollout_stats.h"
#include "rollout/seqtest.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

/// Each of some hundred entries looks for itself, so each must be surer than
/// control is.
#define STOP_LEVEL 1e5

struct judged {
	uint64_t version;
	struct seqtest *judge;
	bool stopped;
};

struct pool {
	struct rollout_split table;
	struct judged judged[ROLLOUT_MAX_VERSIONS];
	uint32_t n_judged;
};

struct rollout_entry {
	struct rollout_entry_settings settings;
	struct rollout_stats *evidence;
	GHashTable *pools; ///< struct pool, by the table's pool
	struct rollout_report report;
	bool in_flight;
};

static void
pool_free(gpointer p)
{
	struct pool *pool = p;

	for (uint32_t i = 0; i < pool->n_judged; i++)
		seqtest_free(pool->judged[i].judge);
	g_free(pool);
}

/// Makes the part of one entry.
struct rollout_entry *
rollout_entry_new(const struct rollout_entry_settings *settings)
{
	struct rollout_entry *e = g_new0(struct rollout_entry, 1);

	e->settings = *settings;
	if (e->settings.stop_evalue <= 0)
		e->settings.stop_evalue = STOP_LEVEL;
	e->evidence = rollout_stats_new();
	e->pools =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, pool_free);
	e->report.entry = settings->entry;
	e->report.incarnation = settings->incarnation;
	return e;
}

/// Releases it; NULL is allowed.
void
rollout_entry_free(struct rollout_entry *e)
{
	if (e == NULL)
		return;
	g_hash_table_destroy(e->pools);
	rollout_stats_free(e->evidence);
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

static bool
is_named(const struct rollout_split *t, uint64_t version)
{
	for (uint32_t i = 0; i < t->n; i++) {
		if (t->shares[i].version == version)
			return true;
	}
	return t->base == version;
}

static struct judged *
find_judged(struct pool *pool, uint64_t version)
{
	for (uint32_t i = 0; i < pool->n_judged; i++) {
		if (pool->judged[i].version == version)
			return &pool->judged[i];
	}
	return NULL;
}

/// Forgets the judges of versions that have no share any more.
static void
drop_judges(struct pool *pool)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < pool->n_judged; i++) {
		struct judged *d = &pool->judged[i];

		if (has_share(&pool->table, d->version) &&
		    d->version != pool->table.base)
			pool->judged[kept++] = *d;
		else
			seqtest_free(d->judge);
	}
	pool->n_judged = kept;
}

static void
add_judges(struct pool *pool)
{
	const struct rollout_split *t = &pool->table;

	for (uint32_t i = 0; i < t->n; i++) {
		const uint64_t version = t->shares[i].version;
		struct judged *d = find_judged(pool, version);

		if (version == t->base || t->shares[i].permille == 0)
			continue;
		if (d != NULL) {
			seqtest_set_baseline(d->judge, t->base);
			continue;
		}
		pool->judged[pool->n_judged++] = (struct judged){
			.version = version,
			.judge = seqtest_new(version, t->base),
		};
	}
}

static void
drop_evidence(struct rollout_stats *ev, const struct rollout_split *old,
    const struct rollout_split *new)
{
	for (uint32_t i = 0; i < old->n; i++) {
		if (!is_named(new, old->shares[i].version))
			rollout_stats_drop(ev, old->shares[i].version);
	}
}

/// Takes the shares of a pool. An older table than the one in force is
/// ignored.
void
rollout_entry_set_split(
    struct rollout_entry *e, const struct rollout_split *table)
{
	struct pool *pool = g_hash_table_lookup(e->pools, &table->pool);
	struct rollout_split old;

	assert(table->n <= ROLLOUT_MAX_VERSIONS);
	if (pool == NULL) {
		pool = g_new0(struct pool, 1);
		pool->table = *table;
		g_hash_table_insert(e->pools, &pool->table.pool, pool);
	}
	if (table->sequence < pool->table.sequence)
		return;
	old = pool->table;
	pool->table = *table;
	drop_judges(pool);
	add_judges(pool);
	drop_evidence(e->evidence, &old, table);
}

static bool
is_stopped(const struct pool *pool, uint64_t version)
{
	for (uint32_t i = 0; i < pool->n_judged; i++) {
		if (pool->judged[i].version == version)
			return pool->judged[i].stopped;
	}
	return false;
}

/// Chooses the version of a request. What a version that was stopped here
/// would get goes to the incumbent, so no other share grows.
///
/// @return the version's key; 0 for a pool without a table
uint64_t
rollout_entry_pick(
    const struct rollout_entry *e, uint64_t pool, uint64_t request_hash)
{
	const struct pool *p = g_hash_table_lookup(e->pools, &pool);
	uint64_t version;

	if (p == NULL)
		return 0;
	version = rollout_pick_version(&p->table, request_hash);
	if (!is_stopped(p, version))
		return version;
	inv_check(version != p->table.base, "vo_base_runs", "version=%llx",
	    (unsigned long long)version);
	return p->table.base;
}

/// The version that others are compared with in a pool.
///
/// @return its key; 0 for a pool without a table
uint64_t
rollout_entry_baseline(const struct rollout_entry *e, uint64_t pool)
{
	const struct pool *p = g_hash_table_lookup(e->pools, &pool);

	return p != NULL ? p->table.base : 0;
}

/// Counts an answer.
///
/// @return true when the entry stopped the version on it; control is to be
/// told at once (rollout_entry_stopped())
bool
rollout_entry_record(struct rollout_entry *e, const struct rollout_response *a)
{
	struct pool *pool = g_hash_table_lookup(e->pools, &a->pool);
	struct judged *d;

	if (pool == NULL || !is_named(&pool->table, a->version))
		return false;
	rollout_stats_record(e->evidence, a);
	d = find_judged(pool, a->version);
	if (d == NULL)
		return false;
	seqtest_update_cell(d->judge, e->evidence,
	    rollout_stats_find(e->evidence, a->version, a->route,
		rollout_stats_load_bucket(a->load_permille)));
	if (d->stopped || seqtest_evalue(d->judge) < e->settings.stop_evalue)
		return false;
	d->stopped = true;
	return true;
}

/// Versions that this entry stopped by itself and that still have a share;
/// control is told again until they have none.
///
/// @return how many were put into versions
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

		for (uint32_t i = 0; i < pool->n_judged && n < max; i++) {
			if (pool->judged[i].stopped)
				versions[n++] = pool->judged[i].version;
		}
	}
	return n;
}

static void
report_bucket(struct rollout_report *r, struct rollout_stats_cell *cell,
    uint8_t metric, uint8_t bucket)
{
	const uint32_t total = cell->total[metric][bucket];
	uint32_t *sent = &cell->sent[metric][bucket];

	if (total == *sent || r->n == ROLLOUT_MAX_REPORT_COUNTS)
		return;
	r->counts[r->n++] = (struct rollout_count){
		.pool = cell->pool,
		.version = cell->version,
		.route = cell->route,
		.load = cell->load,
		.metric = (uint8_t)metric,
		.bucket = (uint8_t)bucket,
		.n = total - *sent,
	};
	*sent = total;
}

static void
report_cell(void *arg, struct rollout_stats_cell *cell)
{
	for (uint32_t m = 0; m < ROLLOUT_N_METRICS; m++) {
		for (uint32_t b = 0; b < ROLLOUT_STATS_BUCKETS; b++)
			report_bucket(arg, cell, m, b);
	}
}

/// The report to be sent now: the one that is not acknowledged yet, else
/// one with what is new, at most ROLLOUT_MAX_REPORT_COUNTS of it.
///
/// @return NULL when there is nothing to tell
const struct rollout_report *
rollout_entry_report(struct rollout_entry *e)
{
	if (e->in_flight)
		return &e->report;
	e->report.n = 0;
	rollout_stats_each(e->evidence, report_cell, &e->report);
	if (e->report.n == 0)
		return NULL;
	e->report.number++;
	e->in_flight = true;
	return &e->report;
}

/// Control has taken in the report of this number.
void
rollout_entry_acked(struct rollout_entry *e, uint64_t number)
{
	if (number == e->report.number)
		e->in_flight = false;
}

static void
forget_sent(void *arg, struct rollout_stats_cell *cell)
{
	(void)arg;
	memset(cell->sent, 0, sizeof(cell->sent));
}

/// Reports everything anew: another control process leads, and knows
/// nothing of what the one before it was told.
void
rollout_entry_resend_all(struct rollout_entry *e)
{
	e->in_flight = false;
	rollout_stats_each(e->evidence, forget_sent, NULL);
}
