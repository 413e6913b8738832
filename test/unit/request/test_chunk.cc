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
reads(const std::string &json)
{
	struct chunk_token c;

	return chunk_parse(json.data(), json.size(), &c);
}

std::string
with(const std::string &from, const std::string &to)
{
	std::string s = kPlain;

	return s.replace(s.find(from), from.size(), to);
}

} // namespace

TEST(Chunk, ReadsThePlainForm)
{
	struct chunk_token c;

	ASSERT_TRUE(chunk_parse(kPlain.data(), kPlain.size(), &c));
	EXPECT_EQ(std::string(c.id, c.id_len), "q1");
	EXPECT_EQ(std::string(c.text, c.text_len), "roll ");
	EXPECT_EQ(c.attempt, 2U);
	EXPECT_EQ(c.offset, 17U);
	EXPECT_TRUE(reads(
	    with("\"delta\":{\"content\":\"roll \"}", "\"text\":\"roll\"")));
	EXPECT_TRUE(reads(with("\"attempt\":2", "\"attempt\": 2")));
}

TEST(Chunk, LeavesAllElseToTheParser)
{
	for (size_t n = 0; n < kPlain.size(); n++)
		EXPECT_FALSE(reads(kPlain.substr(0, n))) << n;
	EXPECT_FALSE(reads(kPlain + "x"));
	EXPECT_FALSE(reads(with("roll ", "\\n")));
	EXPECT_FALSE(reads(with("roll ", "\xc5\xb1")));
	EXPECT_FALSE(reads(with("roll ", "")));
	EXPECT_FALSE(reads(with("null", "\"stop\"")));
	EXPECT_FALSE(reads(with("\"attempt\":2", "\"attempt\":02")));
	EXPECT_FALSE(reads(with("\"attempt\":2", "\"attempt\":-2")));
	EXPECT_FALSE(reads(with("\"attempt\":2", "\"attempt\":2.5")));
	EXPECT_FALSE(reads(with("\"attempt\":2", "\"attempt\":4294967298")));
	EXPECT_FALSE(reads(with("\"offset\":17,", "")));
	EXPECT_FALSE(reads(with("\"model\":\"v1\"", "\"id\":\"q2\"")));
	EXPECT_FALSE(reads(with("\"model\":\"v1\"", "\"error\":{}")));
	EXPECT_FALSE(reads(with("}]}", "},{}]}")));
}
