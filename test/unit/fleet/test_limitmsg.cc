#include <gtest/gtest.h>

extern "C" {
#include "fleet/limitmsg.h"
}

namespace
{

class LimitMsg : public ::testing::Test
{
      protected:
	LimitMsg()
	{
		limitmsg_init(&in);
		limitmsg_init(&out);
	}

	~LimitMsg() override
	{
		limitmsg_clear(&in);
		limitmsg_clear(&out);
		free(bytes);
	}

	enum status Transfer()
	{
		limitmsg_encode(&in, &bytes, &len);
		return limitmsg_decode(bytes, len, &out);
	}

	struct limitmsg in;
	struct limitmsg out;
	uint8_t *bytes = nullptr;
	size_t len = 0;
};

TEST_F(LimitMsg, KeepsLimitsAndNumber)
{
	in.whole = true;
	in.number = 3;
	in.n = 8;
	limitmsg_add(&in, "i-1", 1.5);
	limitmsg_add(&in, "i-2", 0);
	limitmsg_add(&in, "i-3", 0.0001);
	ASSERT_EQ(Transfer(), STATUS_OK);
	EXPECT_TRUE(out.whole);
	EXPECT_EQ(out.number, 3U);
	EXPECT_EQ(out.n, 8U);
	ASSERT_EQ(out.limits->len, 3U);

	const auto *limits =
	    reinterpret_cast<const struct limitmsg_limit *>(out.limits->data);

	EXPECT_STREQ(limits[0].server, "i-1");
	EXPECT_DOUBLE_EQ(limitmsg_per_s(&limits[0]), 1.5);
	EXPECT_EQ(limitmsg_per_s(&limits[1]), 0);
	EXPECT_GT(limitmsg_per_s(&limits[2]), 0);
}

TEST_F(LimitMsg, RefusesAnImpossibleNumber)
{
	in.number = 8;
	in.n = 8;
	limitmsg_encode(&in, &bytes, &len);
	EXPECT_EQ(limitmsg_decode(bytes, len, &out), STATUS_CORRUPT);
}

TEST_F(LimitMsg, RefusesATruncatedMessage)
{
	limitmsg_add(&in, "i-1", 1.5);
	ASSERT_EQ(Transfer(), STATUS_OK);
	EXPECT_EQ(limitmsg_decode(bytes, len - 1, &out), STATUS_CORRUPT);
}

TEST_F(LimitMsg, KeepsBrittleServers)
{
	limitmsg_add_brittle(&in, "i-1", true, 7);
	limitmsg_add_brittle(&in, "i-2", false, 0);
	ASSERT_EQ(Transfer(), STATUS_OK);
	ASSERT_EQ(out.brittles->len, 2U);

	const auto *brittles =
	    reinterpret_cast<const struct limitmsg_brittle *>(
		out.brittles->data);

	EXPECT_STREQ(brittles[0].server, "i-1");
	EXPECT_EQ(brittles[0].max_refusals, 7U);
	EXPECT_TRUE(brittles[0].is_brittle);
	EXPECT_FALSE(brittles[1].is_brittle);
	EXPECT_EQ(out.speeds->len, 0U);
}

TEST_F(LimitMsg, KeepsColdServers)
{
	limitmsg_add_cold(&in, "i-1", 2500);
	ASSERT_EQ(Transfer(), STATUS_OK);
	ASSERT_EQ(out.colds->len, 1U);

	const auto *colds =
	    reinterpret_cast<const struct limitmsg_cold *>(out.colds->data);

	EXPECT_STREQ(colds[0].server, "i-1");
	EXPECT_EQ(colds[0].left_ms, 2500U);
}

// A process of the version before knows nothing after the limits.
TEST_F(LimitMsg, LimitsAloneAreAsBefore)
{
	limitmsg_add(&in, "i-1", 1.5);
	ASSERT_EQ(Transfer(), STATUS_OK);
	EXPECT_EQ(out.colds->len, 0U);
	// Three numbers and a flag, then name, limit and flag.
	EXPECT_EQ(len, 4U + 4U + 3U + 1U);
}

TEST_F(LimitMsg, RefusesTruncatedColdServers)
{
	limitmsg_add_cold(&in, "i-1", 2500);
	ASSERT_EQ(Transfer(), STATUS_OK);
	EXPECT_EQ(limitmsg_decode(bytes, len - 1, &out), STATUS_CORRUPT);
}

} // namespace
