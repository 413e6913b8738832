#include <gtest/gtest.h>

extern "C" {
#include "base/timerq.h"
#include "fleet/feedsource.h"
}

namespace
{

const uint64_t ms = USEC_PER_MSEC;
const uint64_t start = 100 * USEC_PER_SEC;

struct Source : ::testing::Test {
	struct feedsource f = {};
	struct feedsource_state has = { 5, start, 0 };

	void SetUp() override
	{
		feedsource_choose(&f, 7, start);
		feedsource_on_answer(&f, 5);
	}

	/// When the process is left, with a list that stays fresh and newer
	/// configurations at an interval; 0: it isn't.
	uint64_t leftAfterMs(uint64_t newerEveryMs, uint64_t forMs)
	{
		for (uint64_t t = 0; t < forMs; t += 50) {
			const uint64_t now = start + t * ms;

			has.list_fresh_us = now;
			if (t % newerEveryMs == 0)
				feedsource_want(
				    &f, 6 + t / newerEveryMs, 5, now);
			if (feedsource_must_leave(&f, &has, now))
				return t;
		}
		return 0;
	}
};

} // namespace

/// Guards against a gateway that stays with a process that is cut off from the
/// leader, because each newer configuration starts its patience again.
TEST_F(Source, IsLeftWhenItLagsBehindHoweverOftenConfigurationsChange)
{
	EXPECT_EQ(leftAfterMs(400, 5000), 550U);
}

TEST_F(Source, HasMoreTimeToSendAConfigurationThatItHas)
{
	feedsource_on_answer(&f, 100);
	EXPECT_EQ(leftAfterMs(400, 5000), 1550U);
}

TEST_F(Source, IsKeptWhenTheGatewayHasTheConfiguration)
{
	feedsource_want(&f, 5, 5, start);
	has.list_fresh_us = start + 60 * USEC_PER_SEC;
	EXPECT_FALSE(
	    feedsource_must_leave(&f, &has, start + 60 * USEC_PER_SEC));
	// Behind for a moment, some time later: that time doesn't count.
	feedsource_want(&f, 6, 5, start + 60 * USEC_PER_SEC);
	EXPECT_FALSE(feedsource_must_leave(
	    &f, &has, start + 60 * USEC_PER_SEC + 400 * ms));
	has.version = 6;
	EXPECT_FALSE(feedsource_must_leave(
	    &f, &has, start + 60 * USEC_PER_SEC + 900 * ms));
	feedsource_want(&f, 7, 6, start + 61 * USEC_PER_SEC);
	has.list_fresh_us = start + 61 * USEC_PER_SEC;
	EXPECT_FALSE(feedsource_must_leave(
	    &f, &has, start + 61 * USEC_PER_SEC + 400 * ms));
}

TEST_F(Source, IsLeftWhenItDoesNotAnswer)
{
	feedsource_on_ask(&f, start);
	feedsource_on_ask(&f, start + 400 * ms);
	EXPECT_FALSE(feedsource_must_leave(&f, &has, start + 1000 * ms));
	EXPECT_TRUE(feedsource_must_leave(&f, &has, start + 1001 * ms));
	feedsource_on_answer(&f, 5);
	EXPECT_FALSE(feedsource_must_leave(&f, &has, start + 1001 * ms));
}

/// Guards against requests to a leaving server because the process that was
/// chosen can't read the list, also when another one was left shortly before.
TEST_F(Source, IsLeftForAnOldListAsSoonAsItHadTimeToSendANewerOne)
{
	EXPECT_FALSE(feedsource_must_leave(&f, &has, start + 1900 * ms));
	EXPECT_TRUE(feedsource_must_leave(&f, &has, start + 2001 * ms));
	feedsource_choose(&f, 8, start + 2001 * ms);
	EXPECT_FALSE(feedsource_must_leave(&f, &has, start + 3001 * ms));
	EXPECT_TRUE(feedsource_must_leave(&f, &has, start + 3002 * ms));
	feedsource_choose(&f, 7, start + 3002 * ms);
	has.list_fresh_us = start + 3100 * ms;
	EXPECT_FALSE(feedsource_must_leave(&f, &has, start + 5100 * ms));
}

/// Guards against gateways that look for newer lists in turns, where all lists
/// take long to be read: each turn loads control more.
TEST_F(Source, IsKeptWhileListsAreUsuallyAsOld)
{
	has.list_old_us = 3500 * ms;
	EXPECT_FALSE(feedsource_must_leave(&f, &has, start + 3000 * ms));
	EXPECT_TRUE(feedsource_must_leave(&f, &has, start + 3600 * ms));
	has.list_old_us = 500 * ms;
	EXPECT_FALSE(feedsource_must_leave(&f, &has, start + 1900 * ms));
	EXPECT_TRUE(feedsource_must_leave(&f, &has, start + 2100 * ms));
}
