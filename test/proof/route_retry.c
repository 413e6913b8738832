#include "proof/route_proofs.h"

#include <glib.h>
#include <stdio.h>

#include "base/inv.h"
#include "base/timerq.h"
#include "route/retry.h"

#define ROUNDS 60
#define STEPS 8000
#define MAX_OPEN 4000

/// A request that may be retried or hedged.
struct open_request {
	struct retry_history attempts;
	bool idempotent;
};

struct run_state {
	struct retry *retry;
	struct rnd *rnd;
	struct retry_params params;
	uint64_t now_us;
	GArray *requests_us; ///< Times of first attempts.
	GArray *extra_us;    ///< Times of extra attempts.
	uint64_t refused;    ///< Attempts that the budget denied.
};

static uint64_t
count_between(const GArray *times, uint64_t from_us, uint64_t to_us)
{
	uint64_t n = 0;

	for (guint i = times->len; i-- > 0;) {
		const uint64_t at = g_array_index(times, uint64_t, i);

		if (at < from_us)
			break;
		n += at <= to_us;
	}
	return n;
}

/// Checks that the extra attempts in the window that ends now are within the
/// percentage and the floor. The percentage is of the requests in this window
/// and the one before it.
static void
check_window(struct run_state *s)
{
	const uint64_t span = s->params.window_us;
	const uint64_t from = s->now_us > span ? s->now_us - span : 0;
	const uint64_t from_before = from > span ? from - span : 0;
	const uint64_t extra = count_between(s->extra_us, from + 1, s->now_us);
	const uint64_t requests =
	    count_between(s->requests_us, from_before, s->now_us);
	const uint64_t allowed =
	    s->params.budget_floor + requests * s->params.budget_percent / 100;

	inv_check(extra <= allowed, "proof.retry_budget",
	    "extra=%lu allowed=%lu requests=%lu", (unsigned long)extra,
	    (unsigned long)allowed, (unsigned long)requests);
}

static void
try_extra_attempt(struct run_state *s, struct open_request *r, bool hedge)
{
	const enum verdict verdict = (enum verdict)rnd_below(s->rnd, 3);
	const struct retry_failure failure = {
		.verdict = verdict,
		.idempotent = r->idempotent,
		.not_sent =
		    verdict == VERDICT_NOT_RUN && rnd_below(s->rnd, 2) == 0,
	};
	const struct retry_decision d = hedge
	    ? retry_hedge(
		  s->retry, s->now_us, &r->attempts, r->idempotent, false)
	    : retry_decide(s->retry, s->now_us, s->rnd, &r->attempts, &failure);

	if (!d.allowed) {
		s->refused += d.reason == RETRY_NO_BUDGET;
		return;
	}
	inv_check(
	    r->idempotent || (!hedge && failure.verdict == VERDICT_NOT_RUN),
	    "proof.retry_verdict", "hedge=%d verdict=%d", hedge,
	    failure.verdict);
	retry_record_attempt(&r->attempts, 1 + rnd_below(s->rnd, 8));
	if (hedge || !failure.not_sent)
		g_array_append_val(s->extra_us, s->now_us);
	inv_check(r->attempts.n <= s->params.max_attempts,
	    "proof.retry_attempts", "attempts=%u", r->attempts.n);
	check_window(s);
}

/// One round: arrivals come in bursts and pauses, and a part of the attempts
/// fails; both change at random.
static void
run_round(struct run_state *s, struct open_request *open)
{
	double fail_rate = rnd_unit(s->rnd);
	uint64_t pause_us = 1 + rnd_below(s->rnd, 20 * USEC_PER_MSEC);
	size_t n = 0;

	for (int i = 0; i < STEPS; i++) {
		if (rnd_below(s->rnd, 500) == 0) {
			fail_rate =
			    rnd_below(s->rnd, 3) == 0 ? 1 : rnd_unit(s->rnd);
			pause_us = 1 +
			    rnd_below(s->rnd,
				1 + rnd_below(s->rnd, 200 * USEC_PER_MSEC));
		}
		s->now_us += rnd_below(s->rnd, pause_us);
		if (n < MAX_OPEN) {
			struct open_request *r = &open[n++];

			*r = (struct open_request){
				.idempotent = rnd_below(s->rnd, 2) == 0
			};
			retry_record_first(
			    s->retry, s->now_us, &r->attempts, 1);
			g_array_append_val(s->requests_us, s->now_us);
		}
		for (int k = 0; k < 8 && rnd_unit(s->rnd) < fail_rate; k++)
			try_extra_attempt(s, &open[rnd_below(s->rnd, n)],
			    rnd_below(s->rnd, 4) == 0);
		if (n > 0 && rnd_below(s->rnd, 2) == 0)
			open[rnd_below(s->rnd, n)] = open[n - 1], n--;
	}
}

/// Guards against extra attempts beyond the budget, beyond max_attempts, or of
/// a request that may have run and is not idempotent, under random failures.
int
proof_retry_budget(uint64_t seed)
{
	struct open_request *open = g_new0(struct open_request, MAX_OPEN);
	uint64_t requests = 0;
	uint64_t extra = 0;
	uint64_t refused = 0;

	for (uint64_t round = 0; round < ROUNDS; round++) {
		struct run_state s = { .params = retry_defaults };

		s.rnd = rnd_new(seed * ROUNDS + round);
		s.params.budget_percent = (uint32_t)rnd_below(s.rnd, 30);
		s.params.budget_floor = (uint32_t)rnd_below(s.rnd, 6);
		s.retry = retry_new(&s.params);
		s.requests_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		s.extra_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		run_round(&s, open);
		requests += s.requests_us->len;
		extra += s.extra_us->len;
		refused += s.refused;
		(void)g_array_free(s.requests_us, TRUE);
		(void)g_array_free(s.extra_us, TRUE);
		retry_free(s.retry);
		rnd_free(s.rnd);
	}
	g_free(open);
	printf("rounds=%d requests=%lu extra=%lu refused_by_budget=%lu\n",
	    ROUNDS, (unsigned long)requests, (unsigned long)extra,
	    (unsigned long)refused);
	return 0;
}
