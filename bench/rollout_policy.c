#include "bench/rollout_policy.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/timerq.h"
#include "common/rollsim.h"

#define GOOD_ROLLOUTS 250
#define BAD_ROLLOUTS 50
#define SEED_STRIDE 100000
#define AFFECTED_GOAL 200
#define ROLLBACK_GOAL_US (5 * USEC_PER_SEC)

#define STAGE_US (60 * USEC_PER_SEC)
#define STAGES 4

/// Limits of the policies that the product is compared with: fixed shares for
/// fixed times, rolled back when the failure rate or a mean latency of a window
/// crosses a fixed threshold.
struct thresholds {
	uint64_t window_us;
	double min_responses;   ///< A window with fewer isn't judged.
	double max_failed_rate; ///< Failed responses of all.
	double max_slowdown;    ///< Mean latency over that of v1.
};

static const struct thresholds tight_thresholds = {
	.window_us = 10 * USEC_PER_SEC,
	.min_responses = 10,
	.max_failed_rate = 0.05,
	.max_slowdown = 1.3,
};

static const struct thresholds wide_thresholds = {
	.window_us = 30 * USEC_PER_SEC,
	.min_responses = 50,
	.max_failed_rate = 0.1,
	.max_slowdown = 1.5,
};

enum policy_kind {
	POLICY_PRODUCT,
	POLICY_FIXED_TIGHT,
	POLICY_FIXED_WIDE,
	POLICIES,
};

static const uint32_t stage_permille[STAGES] = { 50, 250, 500, 1000 };

/// Sums over the responses of a version in a window.
struct sums {
	double responses;
	double failed;
	double with_latency;
	double ttft_sum_us;
	double inter_token_sum_us;
};

struct fixed_policy {
	const struct thresholds *thresholds;
	uint64_t started_us; ///< 0: not submitted yet.
	uint64_t window_end_us;
	bool rolled_back;
	uint32_t permille;
	struct sums window[2]; ///< Of v1 and v2.
	struct sums baseline;  ///< Last window of v1 with enough responses.
};

static uint64_t
fixed_pick(void *self, uint32_t entry, uint64_t hash, uint64_t now_us)
{
	const struct fixed_policy *f = self;
	const struct rollout_split t = {
		.baseline = ROLLSIM_V1,
		.n = 2,
		.shares = { { ROLLSIM_V1, ROLLOUT_FULL_PERMILLE - f->permille },
		    { ROLLSIM_V2, f->permille } },
	};

	(void)entry;
	(void)now_us;
	return rollout_pick_version(&t, hash);
}

static void
fixed_record(void *self, uint32_t entry, const struct rollout_response *a,
    uint64_t now_us)
{
	struct fixed_policy *f = self;
	struct sums *s = &f->window[a->version == ROLLSIM_V2];

	(void)entry;
	(void)now_us;
	s->responses++;
	s->failed += a->failed;
	s->with_latency += !a->failed;
	s->ttft_sum_us += (double)a->first_token_us;
	s->inter_token_sum_us += (double)a->inter_token_us;
}

static bool
fixed_is_failing(const struct fixed_policy *f)
{
	const struct sums *new = &f->window[1];
	const struct sums *old = &f->baseline;

	if (new->responses < f->thresholds->min_responses)
		return false;
	if (new->failed > f->thresholds->max_failed_rate *new->responses)
		return true;
	if (new->with_latency == 0 || old->with_latency == 0)
		return false;
	return new->ttft_sum_us / new->with_latency >
	    f->thresholds->max_slowdown * old->ttft_sum_us /
		old->with_latency ||
	    new->inter_token_sum_us / new->with_latency >
	    f->thresholds->max_slowdown * old->inter_token_sum_us /
		old->with_latency;
}

static void
fixed_update_share(struct fixed_policy *f, uint64_t now_us)
{
	uint64_t stage;

	if (f->started_us == 0 || f->rolled_back)
		return;
	stage = MIN((now_us - f->started_us) / STAGE_US, STAGES - 1);
	f->permille = stage_permille[stage];
}

static void
fixed_tick(void *self, uint64_t now_us, bool control_out)
{
	struct fixed_policy *f = self;

	(void)control_out;
	fixed_update_share(f, now_us);
	if (now_us < f->window_end_us)
		return;
	f->window_end_us = now_us + f->thresholds->window_us;
	if (f->window[0].responses >= f->thresholds->min_responses)
		f->baseline = f->window[0];
	if (f->permille > 0 && fixed_is_failing(f)) {
		f->rolled_back = true;
		f->permille = 0;
	}
	f->window[0] = (struct sums){ .responses = 0 };
	f->window[1] = f->window[0];
}

static void
fixed_submit(void *self, uint64_t now_us, uint64_t deadline_us)
{
	struct fixed_policy *f = self;

	(void)deadline_us;
	f->started_us = now_us;
}

static uint32_t
fixed_share(void *self)
{
	const struct fixed_policy *f = self;

	return f->permille;
}

/// Results of the rollouts of one case under one policy.
struct results {
	uint64_t rollouts;
	uint64_t rolled_back;
	uint64_t by_deadline; ///< Complete by the deadline.
	uint64_t within_goal; ///< Of affected responses or rollback time.
	uint64_t n;           ///< Length of the arrays.
	double affected_counts[BAD_ROLLOUTS * ROLLSIM_ONSETS];
	double rollback_s[BAD_ROLLOUTS * ROLLSIM_ONSETS];
};

static void
add_rollout(struct results *g, const struct rollsim_case *c,
    const struct rollsim_result *o)
{
	const uint64_t end_us =
	    o->rolled_back_us == 0 ? c->end_us : o->rolled_back_us;
	uint64_t rollback_us;

	if (c->when == ROLLSIM_GOOD) {
		g->rollouts++;
		g->rolled_back += o->rolled_back_us != 0;
		g->by_deadline +=
		    o->complete_us != 0 && o->complete_us <= c->deadline_us;
		return;
	}
	if (o->shown_us == 0)
		return; // no response met the fault
	rollback_us = end_us > o->shown_us ? end_us - o->shown_us : 0;
	g->rollouts++;
	g->rolled_back += o->rolled_back_us != 0;
	g->within_goal += o->rolled_back_us != 0 &&
	    (o->affected <= AFFECTED_GOAL || rollback_us <= ROLLBACK_GOAL_US);
	g->affected_counts[g->n] = (double)o->affected;
	g->rollback_s[g->n] = (double)rollback_us / (double)USEC_PER_SEC;
	g->n++;
}

static int
compare_values(const void *pa, const void *pb)
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
	qsort(values, n, sizeof(*values), compare_values);
	return values[(uint64_t)((double)(n - 1) * q)];
}

static void
print_results(const char *policy, enum rollsim_onset when, struct results *g)
{
	if (when == ROLLSIM_GOOD) {
		(void)printf("policy=%s case=good moves=%llu false_back=%llu "
			     "in_time=%llu\n",
		    policy, (unsigned long long)g->rollouts,
		    (unsigned long long)g->rolled_back,
		    (unsigned long long)g->by_deadline);
		return;
	}
	(void)printf("policy=%s case=%s moves=%llu back=%llu within_aim=%llu "
		     "affected_p50=%.0f affected_p95=%.0f affected_max=%.0f "
		     "back_s_p50=%.1f back_s_p95=%.1f\n",
	    policy, rollsim_onset_names[when], (unsigned long long)g->rollouts,
	    (unsigned long long)g->rolled_back,
	    (unsigned long long)g->within_goal,
	    quantile(g->affected_counts, g->n, 0.5),
	    quantile(g->affected_counts, g->n, 0.95),
	    quantile(g->affected_counts, g->n, 1),
	    quantile(g->rollback_s, g->n, 0.5),
	    quantile(g->rollback_s, g->n, 0.95));
}

static void
run_fixed(struct rnd *r, const struct rollsim_case *c,
    const struct thresholds *thresholds, struct results *g)
{
	struct fixed_policy f = { .thresholds = thresholds };
	const struct rollsim_policy policy = {
		.self = &f,
		.pick = fixed_pick,
		.record_response = fixed_record,
		.tick = fixed_tick,
		.submit = fixed_submit,
		.share = fixed_share,
	};
	struct rollsim_result o;

	rollsim_run(r, c, &policy, &o);
	add_rollout(g, c, &o);
}

static void
run_product(struct rnd *r, const struct rollsim_case *c, struct results *g)
{
	struct rollsim_policy policy;
	struct rollsim_product *product = rollsim_product_new(r, &policy);
	struct rollsim_result o;

	rollsim_run(r, c, &policy, &o);
	add_rollout(g, c, &o);
	rollsim_product_free(product);
}

/// Runs one case under one policy; the seed decides the case and the arrivals.
static void
run_case(uint64_t seed, enum rollsim_onset when, enum policy_kind policy,
    struct results *g)
{
	struct rnd *r = rnd_new(seed);
	const struct rollsim_case c = rollsim_draw_case(r, when, false);

	switch (policy) {
	case POLICY_PRODUCT:
		run_product(r, &c, g);
		break;
	case POLICY_FIXED_TIGHT:
		run_fixed(r, &c, &tight_thresholds, g);
		break;
	default:
		run_fixed(r, &c, &wide_thresholds, g);
	}
	rnd_free(r);
}

static void
run_cases(uint64_t seed, enum rollsim_onset when, enum policy_kind policy)
{
	static const char *const names[] = { "ours", "fixed_tight",
		"fixed_wide" };
	const uint64_t rollouts =
	    when == ROLLSIM_GOOD ? GOOD_ROLLOUTS : BAD_ROLLOUTS;
	struct results *g = g_new0(struct results, 1);

	for (uint64_t i = 0; i < rollouts; i++)
		run_case(seed * SEED_STRIDE + i, when, policy, g);
	print_results(names[policy], when, g);
	g_free(g);
}

/// Rollouts of good and bad versions under the product's policy and under fixed
/// shares with fixed thresholds: responses affected by the fault, time to the
/// rollback, good versions rolled back, and deadlines met.
int
bench_rollout_policy(uint64_t seed)
{
	for (int when = 0; when < ROLLSIM_ONSETS; when++) {
		for (int p = 0; p < POLICIES; p++)
			run_cases(seed, (enum rollsim_onset)when,
			    (enum policy_kind)p);
	}
	return 0;
}
