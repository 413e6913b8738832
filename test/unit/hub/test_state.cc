#include <gtest/gtest.h>

extern "C" {
#include "hub/hs.h"
}

#include <cstdlib>
#include <cstring>
#include <string>

namespace
{

class State : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		s = hs_new();
	}

	void TearDown() override
	{
		hs_free(s);
	}

	void Apply(const struct hs_command &c)
	{
		uint8_t *bytes;
		size_t len;

		hs_encode(&c, &bytes, &len);
		EXPECT_EQ(hs_apply(s, ++index, bytes, len), STATUS_OK);
		free(bytes);
	}

	void Config(uint64_t version, const char *text)
	{
		struct hs_command c = {};

		c.kind = HS_CONFIG;
		c.version = version;
		c.text = reinterpret_cast<const uint8_t *>(text);
		c.len = strlen(text);
		Apply(c);
	}

	void Usage(uint64_t window, uint64_t n)
	{
		struct hs_command c = {};
		struct lm_usage u = {};

		c.kind = HS_USAGE;
		c.usage.window = window;
		c.usage.counts =
		    g_array_new(FALSE, TRUE, sizeof(struct lm_usage));
		strcpy(u.customer, "depot");
		u.n = n;
		g_array_append_val(c.usage.counts, u);
		Apply(c);
		g_array_unref(c.usage.counts);
	}

	std::string Text()
	{
		size_t len;
		const uint8_t *text = hs_manifest(s, &len);

		return std::string(reinterpret_cast<const char *>(text), len);
	}

	struct hs *s;
	uint64_t index = 0;
};

TEST_F(State, TheHighestVersionWinsInAnyOrder)
{
	Config(7, "seven");
	Config(5, "five");
	Config(7, "other");
	EXPECT_EQ(Text(), "seven");
	Config(9, "nine");
	EXPECT_EQ(Text(), "nine");
	EXPECT_EQ(hs_version(s), 9U);
}

TEST_F(State, FencesGrowWithEachHolder)
{
	struct hs_command c = {};
	uint64_t last = 0;

	c.kind = HS_DUTY;
	for (uint32_t holder = 1; holder < 5; holder++) {
		c.holder = holder;
		Apply(c);
		EXPECT_EQ(hs_duty(s).holder, holder);
		EXPECT_GT(hs_duty(s).fence, last);
		last = hs_duty(s).fence;
	}
}

TEST_F(State, TheFirstCountsOfAWindowAreFinal)
{
	Usage(100, 412);
	Usage(100, 500);
	ASSERT_NE(hs_usage(s, 100), nullptr);
	EXPECT_EQ(g_array_index(hs_usage(s, 100)->counts, struct lm_usage, 0).n,
	    412U);
	EXPECT_EQ(hs_usage(s, 101), nullptr);
}

TEST_F(State, AnOlderMoveDoesNotReplaceANewerOne)
{
	struct hs_command c = {};

	c.kind = HS_MOVE;
	strcpy(c.move.service, "llm");
	strcpy(c.move.target, "v3");
	c.move.move.added_us = 20;
	Apply(c);
	strcpy(c.move.target, "v2");
	c.move.move.added_us = 10;
	c.move.move.state = ROLLOUT_DONE;
	Apply(c);
	EXPECT_STREQ(hs_move(s, "llm")->target, "v3");
	EXPECT_EQ(hs_n_moves(s), 1U);
}

TEST_F(State, ASnapshotHoldsEverything)
{
	struct hs_command c = {};
	uint8_t *bytes;
	size_t len;
	struct hs *copy;

	Config(7, "seven");
	Usage(100, 412);
	c.kind = HS_NEED;
	strcpy(c.service, "llm");
	c.need_milli = 4200;
	Apply(c);
	c.kind = HS_DUTY;
	c.holder = 9;
	Apply(c);
	hs_save(s, &bytes, &len);
	ASSERT_EQ(hs_load(bytes, len, &copy), STATUS_OK);
	for (size_t n = 0; n < len; n++) {
		struct hs *cut;

		ASSERT_EQ(hs_load(bytes, n, &cut), STATUS_CORRUPT);
	}
	hs_free(s);
	s = copy;
	free(bytes);
	EXPECT_EQ(Text(), "seven");
	EXPECT_NE(hs_usage(s, 100), nullptr);
	EXPECT_EQ(hs_need(s, "llm"), 4200U);
	EXPECT_EQ(hs_duty(s).holder, 9U);
}

TEST_F(State, WhatCantBeReadChangesNothing)
{
	Config(7, "seven");
	EXPECT_EQ(
	    hs_apply(s, ++index, reinterpret_cast<const uint8_t *>("\xc1x"), 2),
	    STATUS_CORRUPT);
	EXPECT_EQ(Text(), "seven");
}

} // namespace
