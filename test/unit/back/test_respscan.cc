#include <gtest/gtest.h>

extern "C" {
#include "back/respscan.h"
}

#include <cstring>
#include <string>

namespace
{

/// State of the scanner after these bytes, given at once and one at a time.
enum respscan_state
scan(const std::string &bytes)
{
	struct respscan whole;
	struct respscan parts;
	const auto *all = reinterpret_cast<const uint8_t *>(bytes.data());

	respscan_begin(&whole);
	respscan_feed(&whole, all, bytes.size());
	respscan_begin(&parts);
	for (size_t i = 0; i < bytes.size(); i++)
		respscan_feed(&parts, all + i, 1);
	EXPECT_EQ(whole.state, parts.state) << bytes;
	EXPECT_EQ(whole.state == RESPSCAN_INVALID, whole.error != nullptr);
	return whole.state;
}

} // namespace

TEST(RespScan, SoundHeadsAreValid)
{
	for (const char *head : { "HTTP/1.1 200 OK\r\nA: b\r\nX-Y_z:\r\n\r\n",
		 "HTTP/1.0 599\r\n\r\n", "HTTP/1.1 404 \nA:\tb c\n\n",
		 "HTTP/1.1 200 \xc3\xa9\r\nA: \xff\r\n\r\n" })
		EXPECT_EQ(scan(head), RESPSCAN_BODY) << head;
}

/// A line longer than the scanner keeps is still checked to its end.
TEST(RespScan, LongLines)
{
	const std::string start = "HTTP/1.1 200 OK\r\nA: ";
	const std::string value(3 * RESPSCAN_LINE_BYTES, 'v');

	EXPECT_EQ(scan(start + value + "\r\n\r\n"), RESPSCAN_BODY);
	EXPECT_EQ(scan(start + value + "\x02\r\n\r\n"), RESPSCAN_INVALID);
}

TEST(RespScan, AnotherHeadFollowsAnInterimResponse)
{
	const std::string hints = "HTTP/1.1 103 Hints\r\nA: b\r\n\r\n";

	EXPECT_EQ(scan(hints), RESPSCAN_STATUS_LINE);
	EXPECT_EQ(
	    scan(hints + hints + "HTTP/1.1 200 OK\r\n\r\n"), RESPSCAN_BODY);
	EXPECT_EQ(scan(hints + "body"), RESPSCAN_STATUS_LINE);
	EXPECT_EQ(scan(hints + "body\n"), RESPSCAN_INVALID);
	EXPECT_EQ(scan("HTTP/1.1 101 Switch\r\n"), RESPSCAN_INVALID);
}

TEST(RespScan, HeadsThatAreNone)
{
	for (const char *head : { "HTTP/1.1 2000 OK\r\n", "HTTP/1.1 099 OK\r\n",
		 "HTTP/1.1 600 OK\r\n", "\r\n", "noise\n",
		 "HTTP/1.1 200 OK\r\nno colon\r\n",
		 "HTTP/1.1 200 OK\r\n folded: x\r\n",
		 "HTTP/1.1 200 OK\r\nA : b\r\n" })
		EXPECT_EQ(scan(head), RESPSCAN_INVALID) << head;
}
