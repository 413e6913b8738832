#include <gtest/gtest.h>

extern "C" {
#include "request/chunk.h"
}

#include <string>

namespace
{

const std::string kPlain =
    "{\"id\":\"q1\",\"object\":\"chat.completion.chunk\",\"model\":\"v1\","
    "\"attempt\":2,\"offset\":17,\"choices\":[{\"index\":0,\"delta\":"
    "{\"content\":\"roll \"},\"finish_reason\":null}]}";

bool
parses(const std::string &json)
{
	struct chunk_token c;

	return chunk_parse(json.data(), json.size(), &c);
}

std::string
replaced(const std::string &from, const std::string &to)
{
	std::string s = kPlain;

	return s.replace(s.find(from), from.size(), to);
}

} // namespace

TEST(Chunk, ParsesTheUsualForm)
{
	struct chunk_token c;

	ASSERT_TRUE(chunk_parse(kPlain.data(), kPlain.size(), &c));
	EXPECT_EQ(std::string(c.id, c.id_len), "q1");
	EXPECT_EQ(std::string(c.text, c.text_len), "roll ");
	EXPECT_EQ(c.attempt, 2U);
	EXPECT_EQ(c.offset, 17U);
	EXPECT_TRUE(parses(replaced(
	    "\"delta\":{\"content\":\"roll \"}", "\"text\":\"roll\"")));
	EXPECT_TRUE(parses(replaced("\"attempt\":2", "\"attempt\": 2")));
}

// Whatever isn't plainly valid must be left to the full parser, or the two
// could disagree about a chunk.
TEST(Chunk, RejectsEveryOtherForm)
{
	for (size_t n = 0; n < kPlain.size(); n++)
		EXPECT_FALSE(parses(kPlain.substr(0, n))) << n;
	EXPECT_FALSE(parses(kPlain + "x"));
	EXPECT_FALSE(parses(replaced("roll ", "\\n")));
	EXPECT_FALSE(parses(replaced("roll ", "\xc5\xb1")));
	EXPECT_FALSE(parses(replaced("roll ", "")));
	EXPECT_FALSE(parses(replaced("null", "\"stop\"")));
	EXPECT_FALSE(parses(replaced("\"attempt\":2", "\"attempt\":02")));
	EXPECT_FALSE(parses(replaced("\"attempt\":2", "\"attempt\":-2")));
	EXPECT_FALSE(parses(replaced("\"attempt\":2", "\"attempt\":2.5")));
	EXPECT_FALSE(
	    parses(replaced("\"attempt\":2", "\"attempt\":4294967298")));
	EXPECT_FALSE(parses(replaced("\"offset\":17,", "")));
	EXPECT_FALSE(parses(replaced("\"model\":\"v1\"", "\"id\":\"q2\"")));
	EXPECT_FALSE(parses(replaced("\"model\":\"v1\"", "\"error\":{}")));
	EXPECT_FALSE(parses(replaced("}]}", "},{}]}")));
}
