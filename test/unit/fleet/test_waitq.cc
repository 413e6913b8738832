#include <gtest/gtest.h>

extern "C" {
#include "fleet/waitq.h"
}

static constexpr uint64_t MS = 1000;
static constexpr uint64_t START = 1000000;

/// All of control is gone for a moment and gateways are back before it:
/// callers wait here rather than come back too early.
TEST(Hold, RequestsWaitWhileControlIsLikelyToComeBack)
{
	EXPECT_EQ(waitq_max_wait_us(START, START, 6000 * MS), 400 * MS);
	EXPECT_EQ(
	    waitq_max_wait_us(START + 1400 * MS, START, 6000 * MS), 400 * MS);
}

/// Control that stays away: whoever can't be served is told so at once.
TEST(Hold, ALongLossIsNotWaitedFor)
{
	EXPECT_EQ(waitq_max_wait_us(START + 1500 * MS, START, 6000 * MS), 0U);
	EXPECT_EQ(waitq_max_wait_us(START + 60000 * MS, START, 6000 * MS), 0U);
}

/// Callers in a hurry keep most of their time for another try.
TEST(Hold, TheWaitIsAPartOfTheCallersTime)
{
	EXPECT_EQ(waitq_max_wait_us(START, START, 600 * MS), 150 * MS);
	EXPECT_EQ(waitq_max_wait_us(START, START, 0), 0U);
}
