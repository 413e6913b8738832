#include "bench/rollout_policy.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/rollsim.h"
#include "rollout/rollout_codec.h"

#define PICKS 2000000
#define RESPONSES 400000
#define WARM_UP_RESPONSES 40000
#define ROUTES 4
#define LOAD_LEVELS 4

static struct rollout_response
draw_response(struct rnd *r, uint64_t version)
{
	return (struct rollout_response){
		.pool = ROLLSIM_POOL,
		.version = version,
		.route = 1 + rnd_below(r, ROUTES),
		.failed = rnd_below(r, 1000) == 0,
		.load_permille = (uint32_t)(rnd_below(r, LOAD_LEVELS) *
		    ROLLOUT_FULL_PERMILLE / LOAD_LEVELS),
		.first_token_us = (uint64_t)rnd_lognormal(r, 150e3, 0.4),
		.inter_token_us = (uint64_t)rnd_lognormal(r, 20e3, 0.25),
	};
}

static double
pick_ns(const struct rollout_entry *e)
{
	const gint64 start_us = g_get_monotonic_time();
	uint64_t sum = 0;

	for (uint64_t i = 0; i < PICKS; i++)
		sum += rollout_entry_pick(
		    e, ROLLSIM_POOL, i * 0x9e3779b97f4a7c15ULL);
	if (sum == 0)
		return 0; // uses `sum`, so that the loop isn't optimized out
	return 1000.0 * (double)(g_get_monotonic_time() - start_us) / PICKS;
}

/// Time to record a response. Measures drawing and recording together, and
/// subtracts the time of drawing alone.
static double
record_ns(struct rollout_entry *e, struct rnd *r, uint64_t version)
{
	gint64 start_us = g_get_monotonic_time();
	gint64 draw_us;

	for (int i = 0; i < RESPONSES; i++)
		(void)draw_response(r, version);
	draw_us = g_get_monotonic_time() - start_us;
	start_us = g_get_monotonic_time();
	for (int i = 0; i < RESPONSES; i++) {
		const struct rollout_response a = draw_response(r, version);

		(void)rollout_entry_record(e, &a);
	}
	return 1000.0 * (double)(g_get_monotonic_time() - start_us - draw_us) /
	    RESPONSES;
}

/// Size of the encoded report on `n_responses` responses, in bytes. Reports
/// that are pending are acknowledged first.
static size_t
report_bytes(struct rollout_entry *e, struct rnd *r, int n_responses)
{
	const struct rollout_report *report;
	uint8_t *bytes;
	size_t len;

	while ((report = rollout_entry_report(e)) != NULL)
		rollout_entry_acked(e, report->number);
	for (int i = 0; i < n_responses; i++) {
		const struct rollout_response a = draw_response(r, ROLLSIM_V1);

		(void)rollout_entry_record(e, &a);
	}
	report = rollout_entry_report(e);
	if (report == NULL)
		return 0;
	rollout_report_encode(report, NULL, 0, &bytes, &len);
	free(bytes);
	return len;
}

/// Processor time of picking a version and of recording a response, and the
/// size of reports, with 4 routes at 4 levels of load.
int
bench_rollout_cost(uint64_t seed)
{
	const struct rollout_entry_settings settings = { .entry = 1,
		.incarnation = 1 };
	const struct rollout_split split = {
		.pool = ROLLSIM_POOL,
		.sequence = 1,
		.baseline = ROLLSIM_V1,
		.n = 2,
		.shares = { { ROLLSIM_V1, 950 }, { ROLLSIM_V2, 50 } },
	};
	struct rollout_entry *e = rollout_entry_new(&settings);
	struct rnd *r = rnd_new(seed);

	rollout_entry_set_split(e, &split);
	for (int i = 0; i < WARM_UP_RESPONSES; i++) {
		const struct rollout_response a = draw_response(r, ROLLSIM_V1);

		(void)rollout_entry_record(e, &a);
	}
	(void)printf("pick_ns=%.0f old_answer_ns=%.0f new_answer_ns=%.0f "
		     "report_10_bytes=%zu report_100_bytes=%zu "
		     "report_10000_bytes=%zu\n",
	    pick_ns(e), record_ns(e, r, ROLLSIM_V1),
	    record_ns(e, r, ROLLSIM_V2), report_bytes(e, r, 10),
	    report_bytes(e, r, 100), report_bytes(e, r, 10000));
	rnd_free(r);
	rollout_entry_free(e);
	return 0;
}
