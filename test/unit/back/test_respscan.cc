#include <gtest/gtest.h>

extern "C" {
#include "back/respscan.h"
}

#include <cstring>
#include <string>

namespace
{

constexpr uint64_t MAX_BODY = 1000;

/// State of the scanner after these bytes, given at once and one at a time.
enum respscan_state
scan(const std::string &bytes)
{
	struct respscan whole;
	struct respscan parts;
	const auto *all = reinterpret_cast<const uint8_t *>(bytes.data());

	respscan_begin(&whole, false, MAX_BODY);
	respscan_feed(&whole, all, bytes.size());
	respscan_begin(&parts, false, MAX_BODY);
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
		EXPECT_EQ(scan(head), RESPSCAN_UNTIL_CLOSE) << head;
}

/// A line longer than the scanner keeps is still checked to its end.
TEST(RespScan, LongLines)
{
	const std::string start = "HTTP/1.1 200 OK\r\nA: ";
	const std::string value(3 * HTTP1_LINE_BYTES, 'v');

	EXPECT_EQ(scan(start + value + "\r\n\r\n"), RESPSCAN_UNTIL_CLOSE);
	EXPECT_EQ(scan(start + value + "\x02\r\n\r\n"), RESPSCAN_INVALID);
}

TEST(RespScan, AnotherHeadFollowsAnInterimResponse)
{
	const std::string hints = "HTTP/1.1 103 Hints\r\nA: b\r\n\r\n";

	EXPECT_EQ(scan(hints), RESPSCAN_STATUS_LINE);
	EXPECT_EQ(scan(hints + hints + "HTTP/1.1 200 OK\r\n\r\n"),
	    RESPSCAN_UNTIL_CLOSE);
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

TEST(RespScan, BodiesOfEachFraming)
{
	const std::string ok = "HTTP/1.1 200 OK\r\n";
	const std::string chunked = ok + "Transfer-Encoding:Chunked\r\n\r\n";

	EXPECT_EQ(scan(ok + "Content-Length: 3 \r\n\r\nye"), RESPSCAN_LENGTH);
	EXPECT_EQ(scan(ok + "content-length:3\r\n\r\nyes"), RESPSCAN_COMPLETE);
	EXPECT_EQ(scan(ok + "Content-Length: 0\r\n\r\n"), RESPSCAN_COMPLETE);
	EXPECT_EQ(
	    scan(ok + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nyes"),
	    RESPSCAN_COMPLETE);
	EXPECT_EQ(scan("HTTP/1.1 204 None\r\n\r\n"), RESPSCAN_COMPLETE);
	EXPECT_EQ(scan(chunked + "3\r\nyes"), RESPSCAN_CHUNKS);
	EXPECT_EQ(scan(chunked + "3;a=b\r\nyes\r\nA\r\n"), RESPSCAN_CHUNKS);
	EXPECT_EQ(scan(chunked + "3\r\nyes\r\n0\r\n"), RESPSCAN_CHUNKS);
	EXPECT_EQ(scan(chunked + "0\r\nA: b\r\n\r\n"), RESPSCAN_COMPLETE);
}

/// A response with two framings has more than one reading, and the next hop may
/// choose another one.
TEST(RespScan, AmbiguousFraming)
{
	const std::string ok = "HTTP/1.1 200 OK\r\n";
	const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";

	for (const char *fields :
	    { "Content-Length: 3\r\nContent-Length: 4\r\n",
		"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
		"Content-Length: -1\r\n", "Content-Length: 3, 3\r\n",
		"Content-Length:\r\n", "Content-Length: 0x3\r\n",
		"Content-Length: 99999999999999999999\r\n",
		"Transfer-Encoding: gzip, chunked\r\n",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" })
		EXPECT_EQ(scan(ok + fields + "\r\n"), RESPSCAN_INVALID)
		    << fields;
	for (const char *body : { "x\r\n", "\r\n", "-1\r\n", "3 3\r\n",
		 "1\r\nyes\r\n", "0\r\nno name\r\n", "1234567890abcdef1\r\n" })
		EXPECT_EQ(scan(chunked + body), RESPSCAN_INVALID) << body;
}

TEST(RespScan, BytesAfterTheResponseAreNoted)
{
	struct respscan s;
	const std::string text =
	    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\ny";
	const auto *bytes = reinterpret_cast<const uint8_t *>(text.data());

	respscan_begin(&s, false, 1);
	respscan_feed(&s, bytes, text.size());
	EXPECT_FALSE(s.is_surplus);
	EXPECT_TRUE(respscan_may_end(&s));
	respscan_feed(&s, bytes, 1);
	EXPECT_TRUE(s.is_surplus);
	respscan_begin(&s, true, 1);
	respscan_feed(&s, bytes, text.size());
	EXPECT_EQ(s.state, RESPSCAN_COMPLETE);
	EXPECT_TRUE(s.is_surplus);
}

/// What a server sends without an end is refused after a bounded number of
/// bytes, also where each of its parts is short.
TEST(RespScan, EndlessPartsAreRefused)
{
	const std::string ok = "HTTP/1.1 200 OK\r\n";
	const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
	const struct {
		std::string start, again;
		size_t bound;
	} cases[] = {
		{ "", "HTTP/1.1 100 Continue\r\n\r\n",
		    RESPSCAN_MAX_HEAD_BYTES },
		{ "HTTP/1.1 200 ", "x", RESPSCAN_MAX_HEAD_BYTES },
		{ ok, "A: b\r\n", RESPSCAN_MAX_HEAD_BYTES },
		{ ok + "A: ", "x", RESPSCAN_MAX_HEAD_BYTES },
		{ ok + "\r\n", "x", MAX_BODY },
		{ chunked, "0", HTTP1_MAX_CHUNK_LINE_BYTES },
		{ chunked + "1;", "x", HTTP1_MAX_CHUNK_LINE_BYTES },
		{ chunked + "1\r\nx", " ", HTTP1_MAX_CHUNK_LINE_BYTES },
		{ chunked, "4\r\nbody\r\n", 3 * MAX_BODY },
		{ chunked + "0\r\n", "A: b\r\n", RESPSCAN_MAX_HEAD_BYTES },
	};

	for (const auto &c : cases) {
		struct respscan s;
		size_t sent = 0;

		respscan_begin(&s, false, MAX_BODY);
		for (const std::string *part = &c.start;
		     s.state != RESPSCAN_INVALID && sent < 1 << 20;
		     part = &c.again) {
			respscan_feed(&s,
			    reinterpret_cast<const uint8_t *>(part->data()),
			    part->size());
			sent += part->size();
		}
		EXPECT_LE(sent, c.start.size() + c.bound + c.again.size())
		    << c.start << c.again;
	}
	EXPECT_EQ(scan(ok + "Content-Length: 1001\r\n\r\n"), RESPSCAN_INVALID);
	EXPECT_EQ(scan(chunked + "3e9\r\n"), RESPSCAN_INVALID);
	EXPECT_EQ(scan(chunked + "3e8\r\n"), RESPSCAN_CHUNKS);
}
