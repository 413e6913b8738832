#include "bench/rollout_policy.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/timerq.h"
#include "common/rollout_fake.h"

#define GOOD_MOVES 250
#define BAD_MOVES 50
#define MAX_MOVES 100000
#define EXPOSED_AIM 200
#define BACK_AIM_US (5 * USEC_PER_SEC)

#define STAGE_US (60 * USEC_PER_SEC)
#define STAGES 4

/// The baselines: fixed shares for fixed times, and fixed thresholds on the
/// rates and means of each window.
struct thresholds {
	uint64_t window_us;
	double answers; ///< fewer in a window say nothing
	double failed_max;
	double slower_max;
};

static const struct thresholds tight = {
	.window_us = 10 * USEC_PER_SEC,
	.answers = 10,
	.failed_max = 0.05,
	.slower_max = 1.3,
};

static const struct thresholds wide = {
	.window_us = 30 * USEC_PER_SEC,
	.answers = 50,
	.failed_max = 0.1,
	.slower_max = 1.5,
};

enum policy_kind {
	OURS,
	TIGHT,
	WIDE,
	POLICIES,
};

static const uint32_t stage_permille[STAGES] = { 50, 250, 500, 1000 };

struct sums {
	double answers;
	double failed;
	double timed;
	double first_us;
	double inter_token_us;
};

struct fixed {
	const struct thresholds *limits;
	uint64_t started_us; ///< 0: not yet
	uint64_t window_end_us;
	bool back;
	uint32_t permille;
	struct sums window[2]; ///< of v1 and v2
	struct sums usual;     ///< last full window of v1
};

static uint64_t
fixed_pick(void *self, uint32_t entry, uint64_t hash, uint64_t now_us)
{
	const struct fixed *f = self;
	const struct rollout_split t = {
		.baseline = RF_V1,
		.n = 2,
		.shares = { { RF_V1, ROLLOUT_FULL_PERMILLE - f->permille },
		    { RF_V2, f->permille } },
	};

	(void)entry;
	(void)now_us;
	return rollout_pick_version(&t, hash);
}

static void
fixed_answer(void *self, uint32_t entry, const struct rollout_response *a,
    uint64_t now_us)
{
	struct fixed *f = self;
	struct sums *s = &f->window[a->version == RF_V2];

	(void)entry;
	(void)now_us;
	s->answers++;
	s->failed += a->failed;
	s->timed += !a->failed;
	s->first_us += (double)a->first_token_us;
	s->inter_token_us += (double)a->inter_token_us;
}

static bool
fixed_bad(const struct fixed *f)
{
	const struct sums *new = &f->window[1];
	const struct sums *old = &f->usual;

	if (new->answers < f->limits->answers)
		return false;
	if (new->failed > f->limits->failed_max *new->answers)
		return true;
	if (new->timed == 0 || old->timed == 0)
		return false;
	return new->first_us / new->timed >
	    f->limits->slower_max * old->first_us / old->timed ||
	    new->inter_token_us / new->timed >
	    f->limits->slower_max * old->inter_token_us / old->timed;
}

static void
fixed_stage(struct fixed *f, uint64_t now_us)
{
	uint64_t stage;

	if (f->started_us == 0 || f->back)
		return;
	stage = MIN((now_us - f->started_us) / STAGE_US, STAGES - 1);
	f->permille = stage_permille[stage];
}

static void
fixed_tick(void *self, uint64_t now_us, bool control_out)
{
	struct fixed *f = self;

	(void)control_out;
	fixed_stage(f, now_us);
	if (now_us < f->window_end_us)
		return;
	f->window_end_us = now_us + f->limits->window_us;
	if (f->window[0].answers >= f->limits->answers)
		f->usual = f->window[0];
	if (f->permille > 0 && fixed_bad(f)) {
		f->back = true;
		f->permille = 0;
	}
	f->window[0] = (struct sums){ .answers = 0 };
	f->window[1] = f->window[0];
}

static void
fixed_submit(void *self, uint64_t now_us, uint64_t deadline_us)
{
	struct fixed *f = self;

	(void)deadline_us;
	f->started_us = now_us;
}

static uint32_t
fixed_share(void *self)
{
	const struct fixed *f = self;

	return f->permille;
}

struct figures {
	uint64_t moves;
	uint64_t back;
	uint64_t in_time;
	uint64_t within_aim;
	uint64_t n;
	double exposed[BAD_MOVES * RF_WHENS];
	double back_s[BAD_MOVES * RF_WHENS];
};

static void
add_move(struct figures *g, const struct rf_case *c, const struct rf_result *o)
{
	const uint64_t end_us =
	    o->rolled_back_us == 0 ? c->end_us : o->rolled_back_us;
	uint64_t took_us;

	if (c->when == RF_GOOD) {
		g->moves++;
		g->back += o->rolled_back_us != 0;
		g->in_time +=
		    o->complete_us != 0 && o->complete_us <= c->deadline_us;
		return;
	}
	if (o->shown_us == 0)
		return; // it was never exposed
	took_us = end_us > o->shown_us ? end_us - o->shown_us : 0;
	g->moves++;
	g->back += o->rolled_back_us != 0;
	g->within_aim += o->rolled_back_us != 0 &&
	    (o->affected <= EXPOSED_AIM || took_us <= BACK_AIM_US);
	g->exposed[g->n] = (double)o->affected;
	g->back_s[g->n] = (double)took_us / (double)USEC_PER_SEC;
	g->n++;
}

static int
by_value(const void *pa, const void *pb)
{
	const double a = *(const double *)pa;
	const double b = *(const double *)pb;

	return (a > b) - (a < b);
}

static double
quantile(double *values, uint64_t n, double q)
{
	if (n == 0)
		return 0;
	qsort(values, n, sizeof(*values), by_value);
	return values[(uint64_t)((double)(n - 1) * q)];
}

static void
print_figures(const char *policy, enum rf_when when, struct figures *g)
{
	if (when == RF_GOOD) {
		(void)printf("policy=%s case=good moves=%llu false_back=%llu "
			     "in_time=%llu\n",
		    policy, (unsigned long long)g->moves,
		    (unsigned long long)g->back,
		    (unsigned long long)g->in_time);
		return;
	}
	(void)printf("policy=%s case=%s moves=%llu back=%llu within_aim=%llu "
		     "affected_p50=%.0f affected_p95=%.0f affected_max=%.0f "
		     "back_s_p50=%.1f back_s_p95=%.1f\n",
	    policy, rf_when_names[when], (unsigned long long)g->moves,
	    (unsigned long long)g->back, (unsigned long long)g->within_aim,
	    quantile(g->exposed, g->n, 0.5), quantile(g->exposed, g->n, 0.95),
	    quantile(g->exposed, g->n, 1), quantile(g->back_s, g->n, 0.5),
	    quantile(g->back_s, g->n, 0.95));
}

static void
run_fixed(struct rnd *r, const struct rf_case *c,
    const struct thresholds *limits, struct figures *g)
{
	struct fixed f = { .limits = limits };
	const struct rf_policy policy = {
		.self = &f,
		.pick = fixed_pick,
		.record_response = fixed_answer,
		.tick = fixed_tick,
		.submit = fixed_submit,
		.share = fixed_share,
	};
	struct rf_result o;

	rf_run(r, c, &policy, &o);
	add_move(g, c, &o);
}

static void
run_ours(struct rnd *r, const struct rf_case *c, struct figures *g)
{
	struct rf_policy policy;
	struct rf_ours *ours = rf_ours_new(r, &policy);
	struct rf_result o;

	rf_run(r, c, &policy, &o);
	add_move(g, c, &o);
	rf_ours_free(ours);
}

/// One case under one policy; the seed decides the case and the arrivals.
static void
run_one(uint64_t seed, enum rf_when when, enum policy_kind policy,
    struct figures *g)
{
	struct rnd *r = rnd_new(seed);
	const struct rf_case c = rf_draw(r, when, false);

	switch (policy) {
	case OURS:
		run_ours(r, &c, g);
		break;
	case TIGHT:
		run_fixed(r, &c, &tight, g);
		break;
	default:
		run_fixed(r, &c, &wide, g);
	}
	rnd_free(r);
}

static void
run_kind(uint64_t seed, enum rf_when when, enum policy_kind policy)
{
	static const char *const names[] = { "ours", "fixed_tight",
		"fixed_wide" };
	const uint64_t moves = when == RF_GOOD ? GOOD_MOVES : BAD_MOVES;
	struct figures *g = g_new0(struct figures, 1);

	for (uint64_t i = 0; i < moves; i++)
		run_one(seed * MAX_MOVES + i, when, policy, g);
	print_figures(names[policy], when, g);
	g_free(g);
}

/// Moves of good and bad versions under the product's policy and under
/// fixed shares with fixed thresholds: answers that met the fault, time to
/// taking back, good versions taken back, deadlines met.
int
bench_rollout_policy(uint64_t seed)
{
	for (int when = 0; when < RF_WHENS; when++) {
		for (int p = 0; p < POLICIES; p++)
			run_kind(seed, (enum rf_when)when, (enum policy_kind)p);
	}
	return 0;
}
