#include <gtest/gtest.h>

extern "C" {
#include "request/assembler.h"
}

#include <string>
#include <vector>

namespace
{

struct Events {
	std::string text;
	std::vector<enum assembler_event_kind> kinds;
};

void
record_event(void *arg, const struct assembler_event *ev)
{
	Events *events = static_cast<Events *>(arg);

	events->kinds.push_back(ev->kind);
	if (ev->kind == ASSEMBLER_TOKEN)
		events->text.append(ev->token.text, ev->token.len);
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

class Assembler : public ::testing::Test
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
		    bytes.size(), record_event, &events);
	}

	struct assembler *s;
	Events events;
};

// The bytes of the stream arrive in pieces of any size.
TEST_F(Assembler, CompleteResponseFromSingleBytes)
{
	const std::string all = token("q1", 1, 0, "a ") +
	    token("q1", 1, 1, "b ") + finish("q1", 1, 2);

	EXPECT_EQ(assembler_begin_attempt(s, 1), 0U);
	for (char c : all)
		feed(1, std::string(1, c));
	EXPECT_EQ(events.text, "a b ");
	EXPECT_TRUE(assembler_end_attempt(s, 1));
	EXPECT_EQ(events.kinds.back(), ASSEMBLER_COMPLETE);
}

// A faulty runner sends chunks of another request or attempt, or a token twice.
TEST_F(Assembler, ForeignAndRepeatedChunksAreDropped)
{
	assembler_begin_attempt(s, 1);
	feed(1, token("q1", 1, 0, "a "));
	feed(1, token("q2", 1, 1, "x "));
	feed(1, token("q1", 1, 0, "a "));
	feed(1, token("q1", 0, 1, "y "));
	feed(1, token("q1", 1, 1, "b ") + finish("q1", 1, 2));
	EXPECT_EQ(events.text, "a b ");
	EXPECT_TRUE(assembler_end_attempt(s, 1));
}

// A stream is cut off, and a new attempt resumes it while bytes of the first
// one still come.
TEST_F(Assembler, ResumedResponseHasEachTokenOnce)
{
	assembler_begin_attempt(s, 1);
	feed(1, token("q1", 1, 0, "a ") + token("q1", 1, 1, "b "));
	EXPECT_FALSE(assembler_end_attempt(s, 1));
	EXPECT_EQ(assembler_begin_attempt(s, 2), 2U);
	feed(1, token("q1", 1, 2, "late "));
	feed(2, token("q1", 2, 2, "c ") + finish("q1", 2, 3));
	EXPECT_EQ(events.text, "a b c ");
	EXPECT_TRUE(assembler_end_attempt(s, 2));
}

TEST_F(Assembler, MissingTokenWrongCountOrEarlyEndIsAProtocolError)
{
	assembler_begin_attempt(s, 1);
	feed(1, token("q1", 1, 1, "b "));
	EXPECT_EQ(events.kinds.back(), ASSEMBLER_PROTOCOL_ERROR);
	assembler_begin_attempt(s, 2);
	feed(2, token("q1", 2, 0, "a ") + finish("q1", 2, 2));
	EXPECT_EQ(events.kinds.back(), ASSEMBLER_PROTOCOL_ERROR);
	assembler_begin_attempt(s, 3);
	feed(3, "data: [DONE]\n\n");
	EXPECT_EQ(events.kinds.back(), ASSEMBLER_PROTOCOL_ERROR);
	assembler_begin_attempt(s, 4);
	feed(4, "data: {broken\n\n");
	EXPECT_EQ(events.kinds.back(), ASSEMBLER_PROTOCOL_ERROR);
	EXPECT_FALSE(assembler_end_attempt(s, 4));
}

} // namespace
