#include <gtest/gtest.h>

extern "C" {
#include "base/rnd.h"
#include "route/retry.h"
}

class Retries : public ::testing::Test
{
      protected:
	void TearDown() override
	{
		retry_free(t);
		rnd_free(rnd);
	}

	struct retry_decision retry(
	    enum verdict verdict, bool idempotent, uint64_t deadline_us = 0)
	{
		const struct retry_failure f = {
			.verdict = verdict,
			.idempotent = idempotent,
			.not_sent = false,
			.deadline_us = deadline_us,
			.retry_after_us = 0,
		};

		return retry_decide(t, now, rnd, &attempts, &f);
	}

	struct retry *t = retry_new(&retry_defaults);
	struct rnd *rnd = rnd_new(1);
	struct retry_history attempts = {};
	uint64_t now = 1000000;
};

TEST_F(Retries, RetriesOnlyWhereTheVerdictAllows)
{
	retry_record_first(t, now, &attempts, 7);
	EXPECT_EQ(retry(VERDICT_MAY_HAVE_RUN, false).reason, RETRY_UNSAFE);
	EXPECT_EQ(retry(VERDICT_RAN, true).reason, RETRY_UNSAFE);
	EXPECT_TRUE(retry(VERDICT_NOT_RUN, false).allowed);
	EXPECT_TRUE(retry(VERDICT_MAY_HAVE_RUN, true).allowed);
	EXPECT_EQ(retry(VERDICT_NOT_RUN, true, now).reason, RETRY_NO_TIME);
}

TEST_F(Retries, BudgetIsAPercentageOfRequestsPlusAFloor)
{
	int allowed = 0;

	for (int i = 0; i < 1000; i++) {
		attempts = {};
		retry_record_first(t, now, &attempts, 7);
		allowed += retry(VERDICT_NOT_RUN, true).allowed;
	}
	EXPECT_LE(allowed, 103);
	EXPECT_GE(allowed, 95);
	now += 11 * 1000000;
	EXPECT_TRUE(retry(VERDICT_NOT_RUN, true).allowed);
}

TEST_F(Retries, AttemptThatNoServerReceivedSpendsNoBudget)
{
	const struct retry_failure refused = {
		.verdict = VERDICT_NOT_RUN,
		.idempotent = false,
		.not_sent = true,
		.deadline_us = 0,
		.retry_after_us = 0,
	};
	struct retry_stats stats;

	for (int i = 0; i < 100; i++) {
		attempts = {};
		retry_record_first(t, now, &attempts, 7);
		EXPECT_TRUE(
		    retry_decide(t, now, rnd, &attempts, &refused).allowed);
	}
	retry_stats(t, now, &stats);
	EXPECT_EQ(stats.extra_attempts, 0U);
	while (attempts.n < retry_defaults.max_attempts)
		retry_record_attempt(&attempts, 8);
	EXPECT_EQ(retry_decide(t, now, rnd, &attempts, &refused).reason,
	    RETRY_MAX_ATTEMPTS);
}

TEST_F(Retries, HedgesOnlyIdempotentUnaryCallsWhenSlow)
{
	retry_record_first(t, now, &attempts, 7);
	for (int i = 1; i <= 200; i++)
		retry_record_latency(t, "/stock", (uint64_t)i * 100);
	EXPECT_EQ(retry_hedge_at(t, now, "/stock", false, false), UINT64_MAX);
	EXPECT_EQ(retry_hedge_at(t, now, "/stock", true, true), UINT64_MAX);
	EXPECT_EQ(retry_hedge_at(t, now, "/new", true, false), UINT64_MAX);
	const uint64_t at = retry_hedge_at(t, now, "/stock", true, false);
	EXPECT_GE(at, now + 19000);
	EXPECT_LE(at, now + 25000);
	EXPECT_TRUE(retry_hedge(t, at, &attempts, true, false).allowed);
	EXPECT_EQ(
	    retry_hedge(t, at, &attempts, true, false).reason, RETRY_NO_HEDGE);
}

TEST_F(Retries, TriedServersAreExcluded)
{
	struct balancer_request request = {};

	retry_record_first(t, now, &attempts, 7);
	retry_record_attempt(&attempts, 9);
	retry_exclude_tried(&attempts, &request);
	ASSERT_EQ(request.n_servers, 2U);
	EXPECT_EQ(request.servers[0], 7U);
	EXPECT_EQ(request.servers[1], 9U);
}
