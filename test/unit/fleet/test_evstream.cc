#include <gtest/gtest.h>

extern "C" {
#include "fleet/evstream.h"
}

#include <random>
#include <string>

namespace
{

void
gather(void *arg, const char *text, size_t len)
{
	static_cast<std::string *>(arg)->append(text, len);
}

std::string
event(unsigned id)
{
	return "id: " + std::to_string(id) + "\ndata: t" + std::to_string(id) +
	    "\n\n";
}

enum evstream_status
feed(struct evstream *s, const std::string &text, std::string *out)
{
	return evstream_feed(s, reinterpret_cast<const uint8_t *>(text.data()),
	    text.size(), gather, out);
}

class Events : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		s = evstream_new();
		evstream_restart(s, 0);
	}

	void TearDown() override
	{
		evstream_free(s);
	}

	struct evstream *s;
	std::string out;
};

TEST_F(Events, AnIncompleteEventIsNotDelivered)
{
	EXPECT_EQ(feed(s, event(1) + "id: 2\nda", &out), EVSTREAM_OK);
	EXPECT_EQ(out, event(1));
	EXPECT_TRUE(evstream_has_partial(s));
	EXPECT_EQ(feed(s, "ta: t2\n\n", &out), EVSTREAM_OK);
	EXPECT_EQ(out, event(1) + event(2));
	EXPECT_FALSE(evstream_has_partial(s));
}

TEST_F(Events, AnySplitOfTheBytesGivesTheSameEvents)
{
	std::mt19937 random(1);
	std::string all;
	std::string want;

	for (unsigned i = 1; i <= 50; i++)
		want += event(i);
	for (size_t at = 0; at < want.size();) {
		const size_t n = 1 + random() % 9;

		EXPECT_EQ(feed(s, want.substr(at, n), &out), EVSTREAM_OK);
		at += n;
	}
	EXPECT_EQ(out, want);
	EXPECT_EQ(evstream_last_id(s), 50U);
	EXPECT_EQ(evstream_n_events(s), 50U);
}

TEST_F(Events, AResumedResponseContinuesWithoutRepeatedEvents)
{
	EXPECT_EQ(feed(s, event(1) + event(2) + "id: 3\n", &out), EVSTREAM_OK);
	evstream_restart(s, 0);
	EXPECT_EQ(feed(s, event(2) + event(3) + event(4), &out), EVSTREAM_OK);
	EXPECT_EQ(out, event(1) + event(2) + event(3) + event(4));
}

TEST_F(Events, ASkippedOrRepeatedEventIsInvalid)
{
	EXPECT_EQ(feed(s, event(1) + event(3), &out), EVSTREAM_INVALID);
	EXPECT_EQ(out, event(1));
	evstream_restart(s, 0);
	EXPECT_EQ(feed(s, event(2) + event(2), &out), EVSTREAM_INVALID);
}

/// A server without a framing began another response, whose events went on as
/// those of the first.
TEST_F(Events, AnotherResponseInTheStreamIsInvalid)
{
	const std::string heads[] = { "HTTP/1.1 200 OK\r\nA: b\r\n\r\n",
		"id: 2\ndata: t2\nHTTP/1.0 200\r\n\r\n",
		"data: t\nid: 2\nHTTP/1.1 503 \n\n" };

	for (const std::string &head : heads) {
		struct evstream *e = evstream_new();
		std::string text;

		EXPECT_EQ(feed(e, event(1) + head + event(2), &text),
		    EVSTREAM_INVALID)
		    << head;
		EXPECT_EQ(text, event(1));
		EXPECT_STREQ(evstream_error(e), "another response follows");
		evstream_free(e);
	}
	EXPECT_EQ(
	    feed(s, "id: 1\ndata: HTTP/1.1 200 OK\n\n", &out), EVSTREAM_OK);
}

/// A response that was cut off within a line hid the status line of the next
/// one, whose events went on as its own.
TEST_F(Events, AnotherResponseBehindAPartOfALineIsInvalid)
{
	const std::string head = "HTTP/1.1 200 OK\r\nServer-Stamp: b\r\n\r\n";

	for (const char *part : { "id: 2\ndata: t", "id: 2", "da" }) {
		struct evstream *e = evstream_new();
		std::string text;

		EXPECT_EQ(feed(e, event(1) + part + head + event(3), &text),
		    EVSTREAM_INVALID)
		    << part;
		EXPECT_EQ(text, event(1));
		evstream_free(e);
	}
	EXPECT_EQ(feed(s, "id: 1\ndata: HTTP/1.1 200 OK\ndata: A: b\n\n", &out),
	    EVSTREAM_OK);
}

/// An id beyond 64 bits was taken for the next one.
TEST_F(Events, AnIdBeyond64BitsIsNotTheNextOne)
{
	const std::string far = "id: 18446744073709551618\ndata: t2\n\n";

	EXPECT_EQ(feed(s, event(1) + far, &out), EVSTREAM_INVALID);
	EXPECT_EQ(out, event(1));
}

TEST_F(Events, EventsThatTheCallerHasAreDropped)
{
	evstream_restart(s, 12);
	EXPECT_EQ(feed(s, event(12) + event(13), &out), EVSTREAM_OK);
	EXPECT_EQ(out, event(13));
}

/// A run that ended before the events that the caller has counted as complete.
TEST_F(Events, AResponseThatRepeatsOnlyAPartIsBehind)
{
	evstream_restart(s, 3);
	EXPECT_FALSE(evstream_is_behind(s));
	EXPECT_EQ(feed(s, event(1) + event(2), &out), EVSTREAM_OK);
	EXPECT_TRUE(evstream_is_behind(s));
	EXPECT_EQ(feed(s, event(3), &out), EVSTREAM_OK);
	EXPECT_FALSE(evstream_is_behind(s));
	EXPECT_EQ(out, "");
}

TEST_F(Events, LinesMayEndWithCarriageReturns)
{
	EXPECT_EQ(feed(s, "id: 1\r\ndata: x\r\n\r\n", &out), EVSTREAM_OK);
	EXPECT_EQ(evstream_last_id(s), 1U);
}

} // namespace

/// Bytes without an end that are no event must not be kept without a bound.
TEST(EventsWithoutEnd, BytesThatNeverEndAnEventAreRefused)
{
	for (const std::string &bytes :
	    { std::string(4096, 'x'), std::string(2048, '\r') + "data: a\n" }) {
		struct evstream *s = evstream_new();
		std::string out;
		size_t n = 0;

		evstream_restart(s, 0);
		while (n < (8U << 20) && feed(s, bytes, &out) == EVSTREAM_OK)
			n += bytes.size();
		EXPECT_LE(n, 1U << 20);
		EXPECT_EQ(out, "");
		evstream_free(s);
	}
}

/// An event may come byte by byte.
TEST(EventsWithoutEnd, AnEventInSingleBytesIsDelivered)
{
	struct evstream *s = evstream_new();
	const std::string text = event(1) + "id: 2\r\ndata: b\r\n\r\n";
	std::string out;

	evstream_restart(s, 0);
	for (const char c : text)
		ASSERT_EQ(feed(s, std::string(1, c), &out), EVSTREAM_OK);
	EXPECT_EQ(out, text);
	evstream_free(s);
}
