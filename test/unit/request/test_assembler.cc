#include <gtest/gtest.h>

extern "C" {
#include "request/assembler.h"
}

#include <string>
#include <vector>

namespace
{

struct Seen {
	std::string text;
	std::vector<enum assembler_event_kind> kinds;
};

void
see(void *arg, const struct assembler_event *ev)
{
	Seen *seen = static_cast<Seen *>(arg);

	seen->kinds.push_back(ev->kind);
	if (ev->kind == ASSEMBLER_TOKEN)
		seen->text.append(ev->token.text, ev->token.len);
}

std::string
token(const std::string &id, int attempt, int offset, const std::string &text)
{
	return "data: {\"id\":\"" + id +
	    "\",\"attempt\":" + std::to_string(attempt) +
	    ",\"offset\":" + std::to_string(offset) +
	    ",\"choices\":[{\"delta\":{\"content\":\"" + text +
	    "\"},\"finish_reason\":null}]}\n\n";
}

std::string
finish(const std::string &id, int attempt, int tokens)
{
	return "data: {\"id\":\"" + id +
	    "\",\"attempt\":" + std::to_string(attempt) +
	    ",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]," +
	    "\"usage\":{\"completion_tokens\":" + std::to_string(tokens) +
	    "}}\n\ndata: [DONE]\n\n";
}

class Stream : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		s = assembler_new("q1");
	}
	void TearDown() override
	{
		assembler_free(s);
	}
	void feed(int attempt, const std::string &bytes)
	{
		assembler_feed(s, attempt,
		    reinterpret_cast<const uint8_t *>(bytes.data()),
		    bytes.size(), see, &seen);
	}

	struct assembler *s;
	Seen seen;
};

TEST_F(Stream, WholeAnswerInAnyCut)
{
	const std::string all = token("q1", 1, 0, "a ") +
	    token("q1", 1, 1, "b ") + finish("q1", 1, 2);

	EXPECT_EQ(assembler_begin_attempt(s, 1), 0U);
	for (char c : all)
		feed(1, std::string(1, c));
	EXPECT_EQ(seen.text, "a b ");
	EXPECT_TRUE(assembler_end_attempt(s, 1));
	EXPECT_EQ(seen.kinds.back(), ASSEMBLER_COMPLETE);
}

TEST_F(Stream, CrossedAndRepeatedChunksAreDropped)
{
	assembler_begin_attempt(s, 1);
	feed(1, token("q1", 1, 0, "a "));
	feed(1, token("q2", 1, 1, "x "));
	feed(1, token("q1", 1, 0, "a "));
	feed(1, token("q1", 0, 1, "y "));
	feed(1, token("q1", 1, 1, "b ") + finish("q1", 1, 2));
	EXPECT_EQ(seen.text, "a b ");
	EXPECT_TRUE(assembler_end_attempt(s, 1));
}

TEST_F(Stream, ResumedAnswerIsUnbroken)
{
	assembler_begin_attempt(s, 1);
	feed(1, token("q1", 1, 0, "a ") + token("q1", 1, 1, "b "));
	EXPECT_FALSE(assembler_end_attempt(s, 1));
	EXPECT_EQ(assembler_begin_attempt(s, 2), 2U);
	feed(1, token("q1", 1, 2, "late "));
	feed(2, token("q1", 2, 2, "c ") + finish("q1", 2, 3));
	EXPECT_EQ(seen.text, "a b c ");
	EXPECT_TRUE(assembler_end_attempt(s, 2));
}

TEST_F(Stream, MissingTokenWrongCountOrEarlyEndIsNotWhole)
{
	assembler_begin_attempt(s, 1);
	feed(1, token("q1", 1, 1, "b "));
	EXPECT_EQ(seen.kinds.back(), ASSEMBLER_PROTOCOL_ERROR);
	assembler_begin_attempt(s, 2);
	feed(2, token("q1", 2, 0, "a ") + finish("q1", 2, 2));
	EXPECT_EQ(seen.kinds.back(), ASSEMBLER_PROTOCOL_ERROR);
	assembler_begin_attempt(s, 3);
	feed(3, "data: [DONE]\n\n");
	EXPECT_EQ(seen.kinds.back(), ASSEMBLER_PROTOCOL_ERROR);
	assembler_begin_attempt(s, 4);
	feed(4, "data: {broken\n\n");
	EXPECT_EQ(seen.kinds.back(), ASSEMBLER_PROTOCOL_ERROR);
	EXPECT_FALSE(assembler_end_attempt(s, 4));
}

} // namespace
