#include "rollout/rollout.h"

#include "base/inv.h"
#include "base/timerq.h"
#include "rollout/rollout_stats.h"
#include "rollout/seqtest.h"
#include "rollout/rollout_schedule.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#define CANARY_PERMILLE 30
#define STEP_US (5 * USEC_PER_SEC)
#define SETTLE_US (2 * USEC_PER_SEC)
#define WATCH_US (1800 * USEC_PER_SEC)
#define ANSWERS_A_STEP 150
#define HOLD_LEVEL 20.0
#define TAKE_BACK_LEVEL 300.0

/// Time at one share without enough answers when the note gives no time.
#define SLOT_NO_DEADLINE_US (600 * USEC_PER_SEC)

struct mover {
	struct rollout_record m;
	struct seqtest *judge; ///< NULL once the move is final
	uint32_t ready_permille;
	bool stopped;   ///< by an entry
	bool withdrawn; ///< by a note
	uint64_t answers_before_step;
};

struct pool {
	uint64_t key;
	uint64_t current; ///< the version of new work but for moves
};

struct sim_entry {
	uint64_t key;
	uint64_t incarnation;
	uint64_t number;
};

struct rollout_control {
	struct rollout_control_settings settings;
	struct rollout_stats *evidence;
	GHashTable *pools;   ///< struct pool, by key
	GHashTable *entries; ///< struct sim_entry, by key
	GPtrArray *movers;   ///< in the order in which they were added
	bool learned;        ///< a report came since the last tick
};

struct tick {
	struct rollout_control *c;
	uint64_t now_us;
	rollout_effect_cb cb;
	void *arg;
};

static void
mover_free(gpointer p)
{
	struct mover *v = p;

	seqtest_free(v->judge);
	g_free(v);
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
	if (s->watch_us == 0)
		s->watch_us = WATCH_US;
	if (s->responses_per_step == 0)
		s->responses_per_step = ANSWERS_A_STEP;
	if (s->hold_evalue <= 0)
		s->hold_evalue = HOLD_LEVEL;
	if (s->rollback_evalue <= 0)
		s->rollback_evalue = TAKE_BACK_LEVEL;
}

/// Makes the part of the leader. A new leader adds pools and moves as they
/// were committed and has entries report everything anew.
struct rollout_control *
rollout_control_new(const struct rollout_control_settings *settings)
{
	struct rollout_control *c = g_new0(struct rollout_control, 1);

	c->settings = *settings;
	set_defaults(&c->settings);
	c->evidence = rollout_stats_new();
	c->pools =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	c->entries =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	c->movers = g_ptr_array_new_with_free_func(mover_free);
	return c;
}

/// Releases it; NULL is allowed.
void
rollout_control_free(struct rollout_control *c)
{
	if (c == NULL)
		return;
	g_ptr_array_free(c->movers, TRUE);
	g_hash_table_destroy(c->entries);
	g_hash_table_destroy(c->pools);
	rollout_stats_free(c->evidence);
	g_free(c);
}

/// Adds a pool with the version that takes its work, but for moves. A pool
/// that is known stays as it is: what was decided may not be committed yet.
void
rollout_control_set_pool(
    struct rollout_control *c, uint64_t pool, uint64_t base)
{
	struct pool *p = g_hash_table_lookup(c->pools, &pool);

	if (p != NULL)
		return;
	p = g_new0(struct pool, 1);
	p->key = pool;
	p->current = base;
	g_hash_table_insert(c->pools, &p->key, p);
}

static struct mover *
find(const struct rollout_control *c, uint64_t version)
{
	for (guint i = c->movers->len; i > 0; i--) {
		struct mover *v = g_ptr_array_index(c->movers, i - 1);

		if (v->m.version == version)
			return v;
	}
	return NULL;
}

static struct pool *
pool_of(const struct rollout_control *c, const struct mover *v)
{
	struct pool *p = g_hash_table_lookup(c->pools, &v->m.pool);

	assert(p != NULL);
	return p;
}

/// Forgets moves and pools, but not what entries reported: a decision was
/// not committed, and all are added again as they were committed.
void
rollout_control_clear(struct rollout_control *c)
{
	g_ptr_array_set_size(c->movers, 0);
	g_hash_table_remove_all(c->pools);
	c->learned = true;
}

/// Adds a move, new (ROLLOUT_PENDING) or as it was last committed. A pool that
/// is not known is added with the version replaced.
void
rollout_control_add(
    struct rollout_control *c, const struct rollout_record *move)
{
	struct mover *v = g_new0(struct mover, 1);

	v->m = *move;
	g_ptr_array_add(c->movers, v);
	rollout_control_set_pool(c, move->pool, move->replaces);
	if (move->state == ROLLOUT_PENDING)
		rollout_stats_drop(
		    c->evidence, move->version); // of an earlier move
	if (rollout_is_final(move->state))
		return;
	v->judge = seqtest_new(move->version, move->replaces);
	if (move->state == ROLLOUT_MONITORING)
		pool_of(c, v)->current = move->version;
}

/// A note withdraws a version: its move, if under way, is taken back.
void
rollout_control_withdraw(struct rollout_control *c, uint64_t version)
{
	struct mover *v = find(c, version);

	if (v != NULL)
		v->withdrawn = true;
}

/// The capacity that has a version loaded, in permille of the capacity that
/// has the one it replaces, at most ROLLOUT_FULL_PERMILLE. No share goes beyond
/// it.
void
rollout_control_set_capacity(
    struct rollout_control *c, uint64_t version, uint32_t capacity_permille)
{
	struct mover *v = find(c, version);

	if (v != NULL)
		v->ready_permille = capacity_permille;
}

/// Takes in a report. One that was counted before changes nothing.
///
/// @return false for a repeated report; it is acknowledged all the same
bool
rollout_control_report(
    struct rollout_control *c, const struct rollout_report *report)
{
	struct sim_entry *e = g_hash_table_lookup(c->entries, &report->entry);

	if (e == NULL) {
		e = g_new0(struct sim_entry, 1);
		e->key = report->entry;
		g_hash_table_insert(c->entries, &e->key, e);
	}
	if (e->incarnation == report->incarnation &&
	    report->number <= e->number)
		return false;
	e->incarnation = report->incarnation;
	e->number = report->number;
	c->learned = true;
	for (uint32_t i = 0; i < report->n; i++)
		rollout_stats_add(c->evidence, &report->counts[i]);
	return true;
}

/// An entry stopped a version on its own evidence.
void
rollout_control_entry_stopped(struct rollout_control *c, uint64_t version)
{
	struct mover *v = find(c, version);

	if (v != NULL)
		v->stopped = true;
}

static void
emit(const struct tick *t, const struct mover *v, enum rollout_effect_kind kind)
{
	const struct rollout_effect effect = { .kind = kind, .move = v->m };

	t->cb(t->arg, &effect);
}

/// When the share of the head must be full, so that it and those that wait
/// behind it each get an equal part of the time up to their deadlines.
static uint64_t
full_by_us(const struct rollout_control *c, const struct mover *head)
{
	const uint64_t from = head->m.step_us + c->settings.settle_us;
	uint64_t by = UINT64_MAX;
	uint32_t turn = 0;

	for (guint i = 0; i < c->movers->len; i++) {
		const struct mover *v = g_ptr_array_index(c->movers, i);
		uint64_t part;

		if (v->m.pool != head->m.pool ||
		    (v != head && v->m.state != ROLLOUT_PENDING))
			continue;
		turn++;
		if (v->m.deadline_us == ROLLOUT_NO_DEADLINE)
			continue;
		part = v->m.deadline_us > from
		    ? (v->m.deadline_us - from) / turn
		    : 0;
		by = MIN(by, head->m.step_us + part);
	}
	return by;
}

/// Whether a move, or one that waits behind it, has a deadline.
static bool
has_time(const struct rollout_control *c, const struct mover *head)
{
	return full_by_us(c, head) != UINT64_MAX;
}

static void
set_share(const struct tick *t, struct mover *v, uint32_t permille)
{
	const uint32_t first = t->c->settings.canary_permille;
	const uint32_t growth = has_time(t->c, v)
	    ? ROLLOUT_FULL_PERMILLE
	    : ROLLOUT_SHARE_GROWTH * v->m.share_permille;

	inv_check(
	    permille <= ROLLOUT_FULL_PERMILLE && permille <= MAX(first, growth),
	    "vo_share_steps", "version=%llx from=%u to=%u",
	    (unsigned long long)v->m.version, v->m.share_permille, permille);
	v->m.share_permille = permille;
	v->m.step_us = t->now_us;
	if (v->judge != NULL)
		v->answers_before_step = seqtest_responses(v->judge);
}

static void
close_mover(struct mover *v, enum rollout_state state)
{
	v->m.state = state;
	seqtest_free(v->judge);
	v->judge = NULL;
}

/// Ends a move by giving its traffic back to the version before.
static void
take_back(const struct tick *t, struct mover *v, enum rollout_reason reason)
{
	struct pool *pool = pool_of(t->c, v);

	if (pool->current == v->m.version)
		pool->current = v->m.replaces;
	set_share(t, v, 0);
	v->m.reason = reason;
	close_mover(v,
	    reason == ROLLOUT_REASON_NOTE ? ROLLOUT_WITHDRAWN
					  : ROLLOUT_ROLLED_BACK);
	emit(t, v, ROLLOUT_ROLL_BACK);
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

/// Why a move is to be taken back now, ROLLOUT_REASON_NONE if it isn't.
static enum rollout_reason
fault_of(const struct rollout_control *c, const struct mover *v)
{
	if (v->withdrawn)
		return ROLLOUT_REASON_NOTE;
	if (v->stopped)
		return ROLLOUT_REASON_ENTRY_STOPPED;
	if (seqtest_evalue(v->judge) >= c->settings.rollback_evalue)
		return reason_of(seqtest_worst_metric(v->judge));
	return ROLLOUT_REASON_NONE;
}

/// The move of a pool that may have a share: the first that is not over.
static struct mover *
head_of(const struct rollout_control *c, uint64_t pool)
{
	for (guint i = 0; i < c->movers->len; i++) {
		struct mover *v = g_ptr_array_index(c->movers, i);

		if (v->m.pool == pool &&
		    (v->m.state == ROLLOUT_PENDING ||
			v->m.state == ROLLOUT_PROGRESSING))
			return v;
	}
	return NULL;
}

/// Next share of a move without a deadline: doubled after answers enough, or
/// after a long time.
static uint32_t
share_by_answers(const struct tick *t, const struct mover *v)
{
	const struct rollout_control_settings *s = &t->c->settings;
	const uint64_t answers =
	    seqtest_responses(v->judge) - v->answers_before_step;
	const uint64_t held_us = t->now_us - v->m.step_us;

	if (held_us < s->step_us ||
	    (answers < s->responses_per_step && held_us < SLOT_NO_DEADLINE_US))
		return v->m.share_permille;
	return MIN(
	    v->m.share_permille * ROLLOUT_SHARE_GROWTH, ROLLOUT_FULL_PERMILLE);
}

static struct rollout_schedule
schedule_of(const struct rollout_control *c, const struct mover *v)
{
	const struct rollout_control_settings *s = &c->settings;

	if (s->full_before_us != 0 && v->m.deadline_us != ROLLOUT_NO_DEADLINE)
		return (struct rollout_schedule){
			.first_permille = s->canary_permille,
			.full_us = v->m.deadline_us - s->full_before_us,
		};
	return rollout_schedule_steps(
	    s->canary_permille, v->m.added_us, full_by_us(c, v), s->settle_us);
}

/// Share that a move may have by now, if there is no suspicion. One without a
/// deadline makes way for those with one that wait behind it.
static uint32_t
share_due(const struct tick *t, const struct mover *v)
{
	const uint32_t by_answers = v->m.deadline_us == ROLLOUT_NO_DEADLINE
	    ? share_by_answers(t, v)
	    : v->m.share_permille;
	struct rollout_schedule s;

	if (!has_time(t->c, v))
		return by_answers;
	s = schedule_of(t->c, v);
	if (s.step_us != 0 &&
	    t->now_us - v->m.step_us < t->c->settings.settle_us)
		return v->m.share_permille;
	return MAX(by_answers, rollout_schedule_share(&s, t->now_us));
}

static void
finish(const struct tick *t, struct mover *v)
{
	close_mover(v, ROLLOUT_DONE);
	emit(t, v, ROLLOUT_FINISHED);
	rollout_stats_drop(t->c->evidence, v->m.replaces);
}

/// Ends the watch over the version that this one replaces, if it goes on.
static void
finish_older(const struct tick *t, const struct mover *by)
{
	for (guint i = 0; i < t->c->movers->len; i++) {
		struct mover *v = g_ptr_array_index(t->c->movers, i);

		if (v != by && v->m.pool == by->m.pool &&
		    v->m.state == ROLLOUT_MONITORING)
			finish(t, v);
	}
}

static void
complete(const struct tick *t, struct mover *v)
{
	finish_older(t, v);
	pool_of(t->c, v)->current = v->m.version;
	v->m.state = ROLLOUT_MONITORING;
	v->m.done_us = t->now_us;
	emit(t, v, ROLLOUT_COMPLETE);
}

static void
raise_share(const struct tick *t, struct mover *v)
{
	const uint32_t share = MIN(share_due(t, v), v->ready_permille);

	if (share <= v->m.share_permille)
		return;
	set_share(t, v, share);
	if (share == ROLLOUT_FULL_PERMILLE)
		complete(t, v);
	else
		emit(t, v, ROLLOUT_SET_SHARE);
}

static void
start(const struct tick *t, struct mover *v)
{
	if (v->ready_permille == 0 || head_of(t->c, v->m.pool) != v)
		return;
	v->m.replaces = pool_of(t->c, v)->current;
	v->m.state = ROLLOUT_PROGRESSING;
	seqtest_set_baseline(v->judge, v->m.replaces);
	set_share(t, v, MIN(t->c->settings.canary_permille, v->ready_permille));
	emit(t, v, ROLLOUT_SET_SHARE);
}

/// Follows the pool when the version before was taken back meanwhile.
static void
follow_incumbent(const struct tick *t, struct mover *v)
{
	const uint64_t current = pool_of(t->c, v)->current;

	if (v->m.replaces == current)
		return;
	v->m.replaces = current;
	seqtest_set_baseline(v->judge, current);
}

static void
step_moving(const struct tick *t, struct mover *v)
{
	follow_incumbent(t, v);
	if (seqtest_evalue(v->judge) < t->c->settings.hold_evalue)
		raise_share(t, v);
}

static void
step(const struct tick *t, struct mover *v)
{
	enum rollout_reason fault;

	if (rollout_is_final(v->m.state))
		return;
	if (t->c->learned)
		seqtest_update(v->judge, t->c->evidence);
	fault = fault_of(t->c, v);
	if (fault != ROLLOUT_REASON_NONE) {
		take_back(t, v, fault);
		return;
	}
	switch (v->m.state) {
	case ROLLOUT_PENDING:
		start(t, v);
		break;
	case ROLLOUT_PROGRESSING:
		step_moving(t, v);
		break;
	case ROLLOUT_MONITORING:
		if (t->now_us >= v->m.done_us + t->c->settings.watch_us)
			finish(t, v);
		break;
	default:
		break;
	}
}

/// Decides on every move. To be called every second or faster, and at once
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

	for (guint i = 0; i < c->movers->len; i++)
		step(&t, g_ptr_array_index(c->movers, i));
	c->learned = false;
}

static const struct mover *
find_state(
    const struct rollout_control *c, uint64_t pool, enum rollout_state state)
{
	for (guint i = 0; i < c->movers->len; i++) {
		const struct mover *v = g_ptr_array_index(c->movers, i);

		if (v->m.pool == pool && v->m.state == state)
			return v;
	}
	return NULL;
}

static void
add_share(struct rollout_split *t, uint64_t version, uint32_t permille)
{
	t->shares[t->n++] = (struct rollout_share){
		.version = version,
		.permille = permille,
	};
}

/// Shares of a pool as decided last; the caller sets the sequence. While a
/// complete move is watched, the base is the version kept for the way back.
///
/// @return false for an unknown pool
bool
rollout_control_split(
    const struct rollout_control *c, uint64_t pool, struct rollout_split *out)
{
	const struct pool *p = g_hash_table_lookup(c->pools, &pool);
	const struct mover *moving = find_state(c, pool, ROLLOUT_PROGRESSING);
	const struct mover *watched = find_state(c, pool, ROLLOUT_MONITORING);
	uint32_t rest = ROLLOUT_FULL_PERMILLE;

	if (p == NULL)
		return false;
	*out = (struct rollout_split){ .pool = pool, .base = p->current };
	if (moving != NULL) {
		add_share(out, moving->m.version, moving->m.share_permille);
		rest -= moving->m.share_permille;
	}
	add_share(out, p->current, rest);
	if (moving == NULL && watched != NULL) {
		out->base = watched->m.replaces;
		add_share(out, out->base, 0);
	}
	return true;
}

/// The newest move to a version.
///
/// @return false when there is none
bool
rollout_control_get(const struct rollout_control *c, uint64_t version,
    struct rollout_record *out)
{
	const struct mover *v = find(c, version);

	if (v == NULL)
		return false;
	*out = v->m;
	return true;
}
