#include <gtest/gtest.h>

extern "C" {
#include "fleet/waitq.h"
}

static constexpr uint64_t MS = 1000;
static constexpr uint64_t START = 1000000;

/// All control processes are lost for a moment and gateways are back before
/// them. Guards against refusals that callers would retry too early.
TEST(WaitQueue, RequestsWaitWhileControlIsLikelyToComeBack)
{
	EXPECT_EQ(waitq_max_wait_us(START, START, 6000 * MS), 400 * MS);
	EXPECT_EQ(
	    waitq_max_wait_us(START + 1400 * MS, START, 6000 * MS), 400 * MS);
}

/// Control stays lost: requests that can't be served are refused at once.
TEST(WaitQueue, RequestsAreRefusedDuringALongOutage)
{
	EXPECT_EQ(waitq_max_wait_us(START + 1500 * MS, START, 6000 * MS), 0U);
	EXPECT_EQ(waitq_max_wait_us(START + 60000 * MS, START, 6000 * MS), 0U);
}

/// Callers with little time left keep most of it for another try.
TEST(WaitQueue, TheWaitIsAPartOfTheCallersTime)
{
	EXPECT_EQ(waitq_max_wait_us(START, START, 600 * MS), 150 * MS);
	EXPECT_EQ(waitq_max_wait_us(START, START, 0), 0U);
}
