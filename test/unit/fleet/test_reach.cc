#include <gtest/gtest.h>

extern "C" {
#include "base/timerq.h"
#include "fleet/reach.h"
}

namespace
{

const uint64_t ms = USEC_PER_MSEC;
const uint64_t start = 100 * USEC_PER_SEC;

struct Reach : ::testing::Test {
	struct reach r = {};
	struct reach_server s[6] = {};

	void SetUp() override
	{
		for (auto &server : s)
			server.known_us = start;
	}

	void cutOff()
	{
		for (uint64_t i = 0; i < REACH_CUT_SERVERS; i++)
			(void)reach_failed(&r, &s[i], start + (10 + i) * ms);
	}

	bool isLost(int i)
	{
		return reach_is_lost(&r, &s[i]);
	}
};

TEST_F(Reach, OneServerThatCannotBeConnectedToIsLostAlone)
{
	EXPECT_FALSE(reach_failed(&r, &s[0], start + ms));
	EXPECT_FALSE(reach_failed(&r, &s[0], start + 2 * ms));
	EXPECT_FALSE(reach_failed(&r, &s[0], start + 3 * ms));
	EXPECT_TRUE(isLost(0));
	EXPECT_FALSE(isLost(1));
	EXPECT_FALSE(reach_succeeded(&r, &s[0], start + 4 * ms));
	EXPECT_FALSE(isLost(0));
}

TEST_F(Reach, SeveralInARowMeanThatAllAreLost)
{
	cutOff();
	EXPECT_TRUE(r.is_cut);
	EXPECT_TRUE(isLost(5));
}

TEST_F(Reach, AServerThatIsReachedBetweenFailuresEndsTheRow)
{
	(void)reach_failed(&r, &s[0], start + ms);
	(void)reach_failed(&r, &s[1], start + 2 * ms);
	(void)reach_succeeded(&r, &s[4], start + 3 * ms);
	EXPECT_FALSE(reach_failed(&r, &s[2], start + 4 * ms));
	EXPECT_FALSE(isLost(5));
}

TEST_F(Reach, NewServersAreInReachOfAGatewayThatIsCutOff)
{
	cutOff();
	s[5].known_us = start + USEC_PER_SEC;
	EXPECT_FALSE(isLost(5));
	for (int i = 0; i < 5; i++)
		EXPECT_FALSE(reach_succeeded(&r, &s[5], start + 2000 * ms));
	EXPECT_TRUE(r.is_cut);
	EXPECT_TRUE(isLost(4));
}

TEST_F(Reach, TheCutEndsWhenServersAreReachedAgain)
{
	cutOff();
	EXPECT_FALSE(reach_succeeded(&r, &s[4], start + 2000 * ms));
	EXPECT_FALSE(isLost(4));
	EXPECT_TRUE(isLost(5));
	EXPECT_TRUE(reach_succeeded(&r, &s[0], start + 2010 * ms));
	EXPECT_FALSE(isLost(5));
	EXPECT_FALSE(r.is_cut);
}

TEST_F(Reach, OnlyLostAndSilentServersAreCheckedAndNotAllTheTime)
{
	EXPECT_FALSE(reach_needs_check(&r, &s[0], start));
	s[0].is_suspect = true;
	EXPECT_TRUE(reach_needs_check(&r, &s[0], start));
	s[0].checked_us = start;
	EXPECT_FALSE(reach_needs_check(&r, &s[0], start + 100 * ms));
	EXPECT_TRUE(reach_needs_check(&r, &s[0], start + 1000 * ms));
}

} // namespace
