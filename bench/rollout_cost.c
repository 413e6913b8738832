#include "bench/rollout_policy.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/rollout_fake.h"
#include "rollout/rollout_codec.h"

#define PICKS 2000000
#define ANSWERS 400000
#define WARM_ANSWERS 40000
#define ROUTES 4
#define LOADS 4

static struct rollout_response
draw_answer(struct rnd *r, uint64_t version)
{
	return (struct rollout_response){
		.pool = RF_POOL,
		.version = version,
		.route = 1 + rnd_below(r, ROUTES),
		.failed = rnd_below(r, 1000) == 0,
		.load_permille = (uint32_t)(rnd_below(r, LOADS) *
		    ROLLOUT_FULL_PERMILLE / LOADS),
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
		sum +=
		    rollout_entry_pick(e, RF_POOL, i * 0x9e3779b97f4a7c15ULL);
	if (sum == 0)
		return 0; // keeps the loop
	return 1000.0 * (double)(g_get_monotonic_time() - start_us) / PICKS;
}

/// Time to draw and count answers; drawing alone is taken off.
static double
answer_ns(struct rollout_entry *e, struct rnd *r, uint64_t version)
{
	gint64 start_us = g_get_monotonic_time();
	gint64 drawn_us;

	for (int i = 0; i < ANSWERS; i++)
		(void)draw_answer(r, version);
	drawn_us = g_get_monotonic_time() - start_us;
	start_us = g_get_monotonic_time();
	for (int i = 0; i < ANSWERS; i++) {
		const struct rollout_response a = draw_answer(r, version);

		(void)rollout_entry_record(e, &a);
	}
	return 1000.0 * (double)(g_get_monotonic_time() - start_us - drawn_us) /
	    ANSWERS;
}

/// Bytes of the report on some answers, as it is sent.
static size_t
report_bytes(struct rollout_entry *e, struct rnd *r, int answers)
{
	const struct rollout_report *report;
	uint8_t *bytes;
	size_t len;

	while ((report = rollout_entry_report(e)) != NULL)
		rollout_entry_acked(e, report->number);
	for (int i = 0; i < answers; i++) {
		const struct rollout_response a = draw_answer(r, RF_V1);

		(void)rollout_entry_record(e, &a);
	}
	report = rollout_entry_report(e);
	if (report == NULL)
		return 0;
	rollout_report_encode(report, NULL, 0, &bytes, &len);
	free(bytes);
	return len;
}

/// Processor time of a choice and of counting an answer, and the size of
/// reports, with 4 routes at 4 loads.
int
bench_rollout_cost(uint64_t seed)
{
	const struct rollout_entry_settings settings = { .entry = 1,
		.incarnation = 1 };
	const struct rollout_split table = {
		.pool = RF_POOL,
		.sequence = 1,
		.baseline = RF_V1,
		.n = 2,
		.shares = { { RF_V1, 950 }, { RF_V2, 50 } },
	};
	struct rollout_entry *e = rollout_entry_new(&settings);
	struct rnd *r = rnd_new(seed);

	rollout_entry_set_split(e, &table);
	for (int i = 0; i < WARM_ANSWERS; i++) {
		const struct rollout_response a = draw_answer(r, RF_V1);

		(void)rollout_entry_record(e, &a);
	}
	(void)printf("pick_ns=%.0f old_answer_ns=%.0f new_answer_ns=%.0f "
		     "report_10_bytes=%zu report_100_bytes=%zu "
		     "report_10000_bytes=%zu\n",
	    pick_ns(e), answer_ns(e, r, RF_V1), answer_ns(e, r, RF_V2),
	    report_bytes(e, r, 10), report_bytes(e, r, 100),
	    report_bytes(e, r, 10000));
	rnd_free(r);
	rollout_entry_free(e);
	return 0;
}
