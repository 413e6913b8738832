#include <gtest/gtest.h>

extern "C" {
#include "base/rnd.h"
#include "route/rt.h"
}

class Retries : public ::testing::Test
{
      protected:
	void TearDown() override
	{
		rt_free(t);
		rnd_free(rnd);
	}

	struct rt_decision retry(
	    enum verdict verdict, bool idempotent, uint64_t deadline_us = 0)
	{
		const struct rt_failure f = {
			.verdict = verdict,
			.idempotent = idempotent,
			.unsent = false,
			.deadline_us = deadline_us,
			.retry_after_us = 0,
		};

		return rt_retry(t, now, rnd, &attempts, &f);
	}

	struct rt *t = rt_new(&rt_defaults);
	struct rnd *rnd = rnd_new(1);
	struct rt_attempts attempts = {};
	uint64_t now = 1000000;
};

TEST_F(Retries, OnlyWhereTheVerdictAllows)
{
	rt_first(t, now, &attempts, 7);
	EXPECT_EQ(retry(VERDICT_MAY_HAVE_RUN, false).reason, RT_VERDICT);
	EXPECT_EQ(retry(VERDICT_RAN, true).reason, RT_VERDICT);
	EXPECT_TRUE(retry(VERDICT_NOT_RUN, false).go);
	EXPECT_TRUE(retry(VERDICT_MAY_HAVE_RUN, true).go);
	EXPECT_EQ(retry(VERDICT_NOT_RUN, true, now).reason, RT_DEADLINE);
}

TEST_F(Retries, BudgetIsAShareOfRequestsPlusAFloor)
{
	int gone = 0;

	for (int i = 0; i < 1000; i++) {
		attempts = {};
		rt_first(t, now, &attempts, 7);
		gone += retry(VERDICT_NOT_RUN, true).go;
	}
	EXPECT_LE(gone, 103);
	EXPECT_GE(gone, 95);
	now += 11 * 1000000;
	EXPECT_TRUE(retry(VERDICT_NOT_RUN, true).go);
}

TEST_F(Retries, AttemptThatNoServerGotSpendsNothing)
{
	const struct rt_failure refused = {
		.verdict = VERDICT_NOT_RUN,
		.idempotent = false,
		.unsent = true,
		.deadline_us = 0,
		.retry_after_us = 0,
	};
	struct rt_view view;

	for (int i = 0; i < 100; i++) {
		attempts = {};
		rt_first(t, now, &attempts, 7);
		EXPECT_TRUE(rt_retry(t, now, rnd, &attempts, &refused).go);
	}
	rt_view(t, now, &view);
	EXPECT_EQ(view.extra, 0U);
	while (attempts.n < rt_defaults.max_attempts)
		rt_sent(&attempts, 8);
	EXPECT_EQ(
	    rt_retry(t, now, rnd, &attempts, &refused).reason, RT_ATTEMPTS);
}

TEST_F(Retries, HedgesOnlyIdempotentUnaryCallsWhenSlow)
{
	rt_first(t, now, &attempts, 7);
	for (int i = 1; i <= 200; i++)
		rt_latency(t, "/stock", (uint64_t)i * 100);
	EXPECT_EQ(rt_hedge_at(t, now, "/stock", false, false), UINT64_MAX);
	EXPECT_EQ(rt_hedge_at(t, now, "/stock", true, true), UINT64_MAX);
	EXPECT_EQ(rt_hedge_at(t, now, "/new", true, false), UINT64_MAX);
	const uint64_t at = rt_hedge_at(t, now, "/stock", true, false);
	EXPECT_GE(at, now + 19000);
	EXPECT_LE(at, now + 25000);
	EXPECT_TRUE(rt_hedge(t, at, &attempts, true, false).go);
	EXPECT_EQ(
	    rt_hedge(t, at, &attempts, true, false).reason, RT_NOT_HEDGED);
}

TEST_F(Retries, TriedServersAreExcluded)
{
	struct ro_ask ask = {};

	rt_first(t, now, &attempts, 7);
	rt_sent(&attempts, 9);
	rt_exclude(&attempts, &ask);
	ASSERT_EQ(ask.n_servers, 2U);
	EXPECT_EQ(ask.servers[0], 7U);
	EXPECT_EQ(ask.servers[1], 9U);
}
