#include <gtest/gtest.h>

extern "C" {
#include "fleet/partlog.h"
}

namespace
{

TEST(PartLog, TheLastAnswerOfAPartIsKnownByService)
{
	struct partlog *p = partlog_new(8);

	EXPECT_EQ(partlog_last_us(p, "llm", 7), 0U);
	partlog_record(p, "llm", 7, 100);
	partlog_record(p, "llm", 7, 200);
	EXPECT_EQ(partlog_last_us(p, "llm", 7), 200U);
	EXPECT_EQ(partlog_last_us(p, "other", 7), 0U);
	partlog_free(p);
}

TEST(PartLog, TheNewestPartsAreKeptAndTheOldestDropped)
{
	struct partlog *p = partlog_new(100);

	for (uint64_t i = 1; i <= 1000; i++) {
		partlog_record(p, "llm", i, i);
		for (uint64_t k = i > 100 ? i - 99 : 1; k <= i; k++)
			ASSERT_EQ(partlog_last_us(p, "llm", k), k) << i;
	}
	EXPECT_EQ(partlog_last_us(p, "llm", 700), 0U);
	partlog_free(p);
}

} // namespace
