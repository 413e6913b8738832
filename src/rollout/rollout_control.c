#include "rollout/rollout.h"

#include "base/inv.h"
#include "base/timerq.h"
#include "rollout/rollout_stats.h"
#include "rollout/seqtest.h"
#include "rollout/rollout_schedule.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

/// Defaults of struct rollout_control_settings.
#define CANARY_PERMILLE 30
#define STEP_US (5 * USEC_PER_SEC)
#define SETTLE_US (2 * USEC_PER_SEC)
#define WATCH_US (1800 * USEC_PER_SEC)
#define RESPONSES_PER_STEP 150
#define HOLD_EVALUE 20.0
#define ROLLBACK_EVALUE 300.0

/// Without a deadline, a share is raised after this time even without enough
/// responses.
#define MAX_STEP_US (600 * USEC_PER_SEC)

struct rollout {
	struct rollout_record record;
	struct seqtest *test;       ///< NULL once the rollout is final
	uint32_t capacity_permille; ///< see rollout_control_set_capacity()
	bool stopped;               ///< by an entry
	bool withdrawn;             ///< by a release note
	uint64_t responses_before_step;
};

struct pool {
	uint64_t key;
	uint64_t current; ///< version of all requests outside of rollouts
};

/// The last report of an entry that was counted.
struct last_report {
	uint64_t entry;
	uint64_t incarnation;
	uint64_t number;
};

struct rollout_control {
	struct rollout_control_settings settings;
	struct rollout_stats *stats;
	GHashTable *pools;        ///< struct pool, by key
	GHashTable *last_reports; ///< struct last_report, by entry
	GPtrArray *rollouts; ///< struct rollout, in the order of their addition
	bool has_new_stats;  ///< a report came since the last tick
};

/// Arguments of one rollout_control_tick().
struct tick {
	struct rollout_control *c;
	uint64_t now_us;
	rollout_effect_cb cb;
	void *arg;
};

static void
rollout_free(gpointer p)
{
	struct rollout *ro = p;

	seqtest_free(ro->test);
	g_free(ro);
}

static void
set_defaults(struct rollout_control_settings *s)
{
	if (s->canary_permille == 0)
		s->canary_permille = CANARY_PERMILLE;
	if (s->step_us == 0)
		s->step_us = STEP_US;
	if (s->settle_us == 0)
		s->settle_us = SETTLE_US;
	if (s->monitor_us == 0)
		s->monitor_us = WATCH_US;
	if (s->responses_per_step == 0)
		s->responses_per_step = RESPONSES_PER_STEP;
	if (s->hold_evalue <= 0)
		s->hold_evalue = HOLD_EVALUE;
	if (s->rollback_evalue <= 0)
		s->rollback_evalue = ROLLBACK_EVALUE;
}

/// Makes the rollout control of the leader. A new leader adds pools and
/// rollouts as they were committed and has entries report all counts again.
///
/// @param settings  copied
/// @return to be freed with rollout_control_free()
struct rollout_control *
rollout_control_new(const struct rollout_control_settings *settings)
{
	struct rollout_control *c = g_new0(struct rollout_control, 1);

	c->settings = *settings;
	set_defaults(&c->settings);
	c->stats = rollout_stats_new();
	c->pools =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	c->last_reports =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	c->rollouts = g_ptr_array_new_with_free_func(rollout_free);
	return c;
}

/// Frees a rollout control; NULL is allowed.
void
rollout_control_free(struct rollout_control *c)
{
	if (c == NULL)
		return;
	g_ptr_array_free(c->rollouts, TRUE);
	g_hash_table_destroy(c->last_reports);
	g_hash_table_destroy(c->pools);
	rollout_stats_free(c->stats);
	g_free(c);
}

/// Adds a pool with the version that gets its requests outside of rollouts. A
/// known pool stays as it is, since its last decision may not be committed yet.
void
rollout_control_set_pool(
    struct rollout_control *c, uint64_t pool, uint64_t version)
{
	struct pool *p = g_hash_table_lookup(c->pools, &pool);

	if (p != NULL)
		return;
	p = g_new0(struct pool, 1);
	p->key = pool;
	p->current = version;
	g_hash_table_insert(c->pools, &p->key, p);
}

static struct rollout *
find_rollout(const struct rollout_control *c, uint64_t version)
{
	for (guint i = c->rollouts->len; i > 0; i--) {
		struct rollout *ro = g_ptr_array_index(c->rollouts, i - 1);

		if (ro->record.version == version)
			return ro;
	}
	return NULL;
}

static struct pool *
pool_of(const struct rollout_control *c, const struct rollout *ro)
{
	struct pool *p = g_hash_table_lookup(c->pools, &ro->record.pool);

	assert(p != NULL);
	return p;
}

/// Removes rollouts and pools, but keeps the reported statistics. For a
/// decision that could not be committed: the caller then adds all again as
/// committed.
void
rollout_control_clear(struct rollout_control *c)
{
	g_ptr_array_set_size(c->rollouts, 0);
	g_hash_table_remove_all(c->pools);
	c->has_new_stats = true;
}

/// Adds a rollout, new (ROLLOUT_PENDING) or as it was last committed. An
/// unknown pool is added with the version that is replaced.
void
rollout_control_add(
    struct rollout_control *c, const struct rollout_record *record)
{
	struct rollout *ro = g_new0(struct rollout, 1);

	ro->record = *record;
	g_ptr_array_add(c->rollouts, ro);
	rollout_control_set_pool(c, record->pool, record->replaces);
	if (record->state == ROLLOUT_PENDING)
		rollout_stats_drop(
		    c->stats, record->version); // of an earlier rollout
	if (rollout_is_final(record->state))
		return;
	ro->test = seqtest_new(record->version, record->replaces);
	if (record->state == ROLLOUT_MONITORING)
		pool_of(c, ro)->current = record->version;
}

/// A release note withdraws a version: its rollout, if not over, is rolled back
/// at the next tick.
void
rollout_control_withdraw(struct rollout_control *c, uint64_t version)
{
	struct rollout *ro = find_rollout(c, version);

	if (ro != NULL)
		ro->withdrawn = true;
}

/// Sets the capacity of the servers that have a version loaded. Its share
/// doesn't exceed that.
///
/// @param capacity_permille  of the capacity that has the replaced version, at
///                           most ROLLOUT_FULL_PERMILLE
void
rollout_control_set_capacity(
    struct rollout_control *c, uint64_t version, uint32_t capacity_permille)
{
	struct rollout *ro = find_rollout(c, version);

	if (ro != NULL)
		ro->capacity_permille = capacity_permille;
}

/// Adds the counts of a report. One that was counted before is ignored.
///
/// @return false for a repeated report, which must be acknowledged too
bool
rollout_control_report(
    struct rollout_control *c, const struct rollout_report *report)
{
	struct last_report *e =
	    g_hash_table_lookup(c->last_reports, &report->entry);

	if (e == NULL) {
		e = g_new0(struct last_report, 1);
		e->entry = report->entry;
		g_hash_table_insert(c->last_reports, &e->entry, e);
	}
	if (e->incarnation == report->incarnation &&
	    report->number <= e->number)
		return false;
	e->incarnation = report->incarnation;
	e->number = report->number;
	c->has_new_stats = true;
	for (uint32_t i = 0; i < report->n; i++)
		rollout_stats_add(c->stats, &report->counts[i]);
	return true;
}

/// An entry stopped a version on its own statistics: it is rolled back at the
/// next tick.
void
rollout_control_entry_stopped(struct rollout_control *c, uint64_t version)
{
	struct rollout *ro = find_rollout(c, version);

	if (ro != NULL)
		ro->stopped = true;
}

static void
emit(const struct tick *t, const struct rollout *ro,
    enum rollout_effect_kind kind)
{
	const struct rollout_effect effect = { .kind = kind,
		.record = ro->record };

	t->cb(t->arg, &effect);
}

/// When the active rollout of a pool must have the full share, so that it and
/// the pending ones behind it each get an equal part of the time up to their
/// deadlines; UINT64_MAX when none has a deadline.
static uint64_t
full_by_us(const struct rollout_control *c, const struct rollout *active)
{
	const uint64_t from = active->record.step_us + c->settings.settle_us;
	uint64_t by = UINT64_MAX;
	uint32_t position = 0;

	for (guint i = 0; i < c->rollouts->len; i++) {
		const struct rollout *ro = g_ptr_array_index(c->rollouts, i);
		uint64_t part;

		if (ro->record.pool != active->record.pool ||
		    (ro != active && ro->record.state != ROLLOUT_PENDING))
			continue;
		position++;
		if (ro->record.deadline_us == ROLLOUT_NO_DEADLINE)
			continue;
		part = ro->record.deadline_us > from
		    ? (ro->record.deadline_us - from) / position
		    : 0;
		by = MIN(by, active->record.step_us + part);
	}
	return by;
}

/// Whether a rollout, or a pending one behind it, has a deadline.
static bool
has_deadline(const struct rollout_control *c, const struct rollout *active)
{
	return full_by_us(c, active) != UINT64_MAX;
}

static void
set_share(const struct tick *t, struct rollout *ro, uint32_t permille)
{
	const uint32_t first = t->c->settings.canary_permille;
	const uint32_t growth = has_deadline(t->c, ro)
	    ? ROLLOUT_FULL_PERMILLE
	    : ROLLOUT_SHARE_GROWTH * ro->record.share_permille;

	inv_check(
	    permille <= ROLLOUT_FULL_PERMILLE && permille <= MAX(first, growth),
	    "vo_share_steps", "version=%llx from=%u to=%u",
	    (unsigned long long)ro->record.version, ro->record.share_permille,
	    permille);
	ro->record.share_permille = permille;
	ro->record.step_us = t->now_us;
	if (ro->test != NULL)
		ro->responses_before_step = seqtest_responses(ro->test);
}

static void
close_rollout(struct rollout *ro, enum rollout_state state)
{
	ro->record.state = state;
	seqtest_free(ro->test);
	ro->test = NULL;
}

/// Ends a rollout by returning its requests to the old version.
static void
roll_back(const struct tick *t, struct rollout *ro, enum rollout_reason reason)
{
	struct pool *pool = pool_of(t->c, ro);

	if (pool->current == ro->record.version)
		pool->current = ro->record.replaces;
	set_share(t, ro, 0);
	ro->record.reason = reason;
	close_rollout(ro,
	    reason == ROLLOUT_REASON_NOTE ? ROLLOUT_WITHDRAWN
					  : ROLLOUT_ROLLED_BACK);
	emit(t, ro, ROLLOUT_ROLL_BACK);
}

static enum rollout_reason
reason_of(enum rollout_metric metric)
{
	switch (metric) {
	case ROLLOUT_METRIC_TTFT:
		return ROLLOUT_REASON_TTFT;
	case ROLLOUT_METRIC_INTER_TOKEN:
		return ROLLOUT_REASON_INTER_TOKEN;
	default:
		return ROLLOUT_REASON_FAILED;
	}
}

/// Why a rollout must be rolled back now; ROLLOUT_REASON_NONE if it needn't.
static enum rollout_reason
rollback_reason(const struct rollout_control *c, const struct rollout *ro)
{
	if (ro->withdrawn)
		return ROLLOUT_REASON_NOTE;
	if (ro->stopped)
		return ROLLOUT_REASON_ENTRY_STOPPED;
	if (seqtest_evalue(ro->test) >= c->settings.rollback_evalue)
		return reason_of(seqtest_worst_metric(ro->test));
	return ROLLOUT_REASON_NONE;
}

/// The active rollout of a pool, the only one that may have a share: the first
/// that is pending or progressing. NULL if there is none.
static struct rollout *
active_rollout(const struct rollout_control *c, uint64_t pool)
{
	for (guint i = 0; i < c->rollouts->len; i++) {
		struct rollout *ro = g_ptr_array_index(c->rollouts, i);

		if (ro->record.pool == pool &&
		    (ro->record.state == ROLLOUT_PENDING ||
			ro->record.state == ROLLOUT_PROGRESSING))
			return ro;
	}
	return NULL;
}

/// Next share of a rollout without a deadline: doubled after enough responses,
/// or after MAX_STEP_US.
static uint32_t
share_by_responses(const struct tick *t, const struct rollout *ro)
{
	const struct rollout_control_settings *s = &t->c->settings;
	const uint64_t responses =
	    seqtest_responses(ro->test) - ro->responses_before_step;
	const uint64_t held_us = t->now_us - ro->record.step_us;

	if (held_us < s->step_us ||
	    (responses < s->responses_per_step && held_us < MAX_STEP_US))
		return ro->record.share_permille;
	return MIN(ro->record.share_permille * ROLLOUT_SHARE_GROWTH,
	    ROLLOUT_FULL_PERMILLE);
}

static struct rollout_schedule
schedule_of(const struct rollout_control *c, const struct rollout *ro)
{
	const struct rollout_control_settings *s = &c->settings;

	if (s->full_before_us != 0 &&
	    ro->record.deadline_us != ROLLOUT_NO_DEADLINE)
		return (struct rollout_schedule){
			.first_permille = s->canary_permille,
			.full_us = ro->record.deadline_us - s->full_before_us,
		};
	return rollout_schedule_steps(s->canary_permille, ro->record.added_us,
	    full_by_us(c, ro), s->settle_us);
}

/// Share that a rollout may have by now, unless its e-value prevents raising
/// it. For one without a deadline, the deadlines of pending ones behind it
/// count.
static uint32_t
share_due(const struct tick *t, const struct rollout *ro)
{
	const uint32_t by_responses =
	    ro->record.deadline_us == ROLLOUT_NO_DEADLINE
	    ? share_by_responses(t, ro)
	    : ro->record.share_permille;
	struct rollout_schedule s;

	if (!has_deadline(t->c, ro))
		return by_responses;
	s = schedule_of(t->c, ro);
	if (s.step_us != 0 &&
	    t->now_us - ro->record.step_us < t->c->settings.settle_us)
		return ro->record.share_permille;
	return MAX(by_responses, rollout_schedule_share(&s, t->now_us));
}

static void
finish(const struct tick *t, struct rollout *ro)
{
	close_rollout(ro, ROLLOUT_DONE);
	emit(t, ro, ROLLOUT_FINISHED);
	rollout_stats_drop(t->c->stats, ro->record.replaces);
}

/// Finishes an older rollout of the pool that is still monitored.
static void
finish_older(const struct tick *t, const struct rollout *by)
{
	for (guint i = 0; i < t->c->rollouts->len; i++) {
		struct rollout *ro = g_ptr_array_index(t->c->rollouts, i);

		if (ro != by && ro->record.pool == by->record.pool &&
		    ro->record.state == ROLLOUT_MONITORING)
			finish(t, ro);
	}
}

static void
complete(const struct tick *t, struct rollout *ro)
{
	finish_older(t, ro);
	pool_of(t->c, ro)->current = ro->record.version;
	ro->record.state = ROLLOUT_MONITORING;
	ro->record.done_us = t->now_us;
	emit(t, ro, ROLLOUT_COMPLETE);
}

static void
raise_share(const struct tick *t, struct rollout *ro)
{
	const uint32_t share = MIN(share_due(t, ro), ro->capacity_permille);

	if (share <= ro->record.share_permille)
		return;
	set_share(t, ro, share);
	if (share == ROLLOUT_FULL_PERMILLE)
		complete(t, ro);
	else
		emit(t, ro, ROLLOUT_SET_SHARE);
}

static void
start(const struct tick *t, struct rollout *ro)
{
	if (ro->capacity_permille == 0 ||
	    active_rollout(t->c, ro->record.pool) != ro)
		return;
	ro->record.replaces = pool_of(t->c, ro)->current;
	ro->record.state = ROLLOUT_PROGRESSING;
	seqtest_set_baseline(ro->test, ro->record.replaces);
	set_share(
	    t, ro, MIN(t->c->settings.canary_permille, ro->capacity_permille));
	emit(t, ro, ROLLOUT_SET_SHARE);
}

/// Updates the old version when the pool's current one has changed, since an
/// earlier rollout was rolled back.
static void
follow_current(const struct tick *t, struct rollout *ro)
{
	const uint64_t current = pool_of(t->c, ro)->current;

	if (ro->record.replaces == current)
		return;
	ro->record.replaces = current;
	seqtest_set_baseline(ro->test, current);
}

static void
step_progressing(const struct tick *t, struct rollout *ro)
{
	follow_current(t, ro);
	if (seqtest_evalue(ro->test) < t->c->settings.hold_evalue)
		raise_share(t, ro);
}

static void
step(const struct tick *t, struct rollout *ro)
{
	enum rollout_reason reason;

	if (rollout_is_final(ro->record.state))
		return;
	if (t->c->has_new_stats)
		seqtest_update(ro->test, t->c->stats);
	reason = rollback_reason(t->c, ro);
	if (reason != ROLLOUT_REASON_NONE) {
		roll_back(t, ro, reason);
		return;
	}
	switch (ro->record.state) {
	case ROLLOUT_PENDING:
		start(t, ro);
		break;
	case ROLLOUT_PROGRESSING:
		step_progressing(t, ro);
		break;
	case ROLLOUT_MONITORING:
		if (t->now_us >= ro->record.done_us + t->c->settings.monitor_us)
			finish(t, ro);
		break;
	default:
		break;
	}
}

/// Decides on every rollout. To be called every second or faster, and at once
/// after rollout_control_entry_stopped() and rollout_control_withdraw().
///
/// @param cb  called with each effect, in order
void
rollout_control_tick(
    struct rollout_control *c, uint64_t now_us, rollout_effect_cb cb, void *arg)
{
	const struct tick t = {
		.c = c,
		.now_us = now_us,
		.cb = cb,
		.arg = arg,
	};

	for (guint i = 0; i < c->rollouts->len; i++)
		step(&t, g_ptr_array_index(c->rollouts, i));
	c->has_new_stats = false;
}

static const struct rollout *
find_state(
    const struct rollout_control *c, uint64_t pool, enum rollout_state state)
{
	for (guint i = 0; i < c->rollouts->len; i++) {
		const struct rollout *ro = g_ptr_array_index(c->rollouts, i);

		if (ro->record.pool == pool && ro->record.state == state)
			return ro;
	}
	return NULL;
}

static void
add_share(struct rollout_split *split, uint64_t version, uint32_t permille)
{
	split->shares[split->n++] = (struct rollout_share){
		.version = version,
		.permille = permille,
	};
}

/// Traffic split of a pool as decided last; the caller sets the sequence. While
/// a complete rollout is monitored, the baseline is the old version.
///
/// @return false for an unknown pool
bool
rollout_control_split(
    const struct rollout_control *c, uint64_t pool, struct rollout_split *out)
{
	const struct pool *p = g_hash_table_lookup(c->pools, &pool);
	const struct rollout *progressing =
	    find_state(c, pool, ROLLOUT_PROGRESSING);
	const struct rollout *monitored =
	    find_state(c, pool, ROLLOUT_MONITORING);
	uint32_t rest = ROLLOUT_FULL_PERMILLE;

	if (p == NULL)
		return false;
	*out = (struct rollout_split){ .pool = pool, .baseline = p->current };
	if (progressing != NULL) {
		add_share(out, progressing->record.version,
		    progressing->record.share_permille);
		rest -= progressing->record.share_permille;
	}
	add_share(out, p->current, rest);
	if (progressing == NULL && monitored != NULL) {
		out->baseline = monitored->record.replaces;
		add_share(out, out->baseline, 0);
	}
	return true;
}

/// The newest rollout to a version.
///
/// @return false when there is none
bool
rollout_control_get(const struct rollout_control *c, uint64_t version,
    struct rollout_record *out)
{
	const struct rollout *ro = find_rollout(c, version);

	if (ro == NULL)
		return false;
	*out = ro->record;
	return true;
}
