#include <gtest/gtest.h>

extern "C" {
#include "platform/api_signals.h"
}

namespace
{

struct api_signals
read_one(const char *name, const char *value)
{
	struct api_signals s = {};

	EXPECT_TRUE(api_signals_read(&s, name, value));
	return s;
}

TEST(ApiSignals, ReadsDecimalNumbers)
{
	const struct api_signals limit = read_one("server-limit", "1.5");
	const struct api_signals after = read_one("Retry-After", "0.25");

	EXPECT_TRUE(limit.given[API_SIGNAL_LIMIT]);
	EXPECT_DOUBLE_EQ(limit.limit_per_s, 1.5);
	EXPECT_TRUE(after.given[API_SIGNAL_RETRY_AFTER]);
	EXPECT_EQ(after.retry_after_us, 250000U);
}

TEST(ApiSignals, LeavingIsZeroOrOne)
{
	EXPECT_TRUE(read_one("Server-Leaving", "1").leaving);
	EXPECT_FALSE(read_one("Server-Leaving", "0").leaving);
	EXPECT_TRUE(
	    read_one("Server-Leaving", "yes").malformed[API_SIGNAL_LEAVING]);
}

TEST(ApiSignals, BrittleServersMayBearNoRefusal)
{
	const struct api_signals none = read_one("server-brittle", "0");

	EXPECT_TRUE(none.given[API_SIGNAL_BRITTLE]);
	EXPECT_EQ(none.max_refusals, 0U);
	EXPECT_EQ(read_one("Server-Brittle", "12").max_refusals, 12U);
	EXPECT_TRUE(
	    read_one("Server-Brittle", "yes").malformed[API_SIGNAL_BRITTLE]);
}

TEST(ApiSignals, MalformedValuesCountAsNotGiven)
{
	for (const char *value :
	    { "", "-1", "+1", "1e3", "1.", ".5", "0x10", "nan", "inf", "1 2",
		"99999999999999999999", "Wed, 21 Oct 2026 07:28:00 GMT" }) {
		const struct api_signals limit =
		    read_one("Server-Limit", value);
		const struct api_signals after = read_one("Retry-After", value);

		EXPECT_TRUE(limit.malformed[API_SIGNAL_LIMIT]) << value;
		EXPECT_FALSE(limit.given[API_SIGNAL_LIMIT]) << value;
		EXPECT_EQ(limit.limit_per_s, 0) << value;
		EXPECT_TRUE(after.malformed[API_SIGNAL_RETRY_AFTER]) << value;
		EXPECT_EQ(after.retry_after_us, 0U) << value;
	}
}

TEST(ApiSignals, GivenTwiceCountsAsNotGiven)
{
	struct api_signals s = read_one("Server-Limit", "2");

	EXPECT_TRUE(api_signals_read(&s, "Server-Limit", "3"));
	EXPECT_TRUE(s.malformed[API_SIGNAL_LIMIT]);
	EXPECT_FALSE(s.given[API_SIGNAL_LIMIT]);
	EXPECT_TRUE(api_signals_read(&s, "Server-Limit", "4"));
	EXPECT_FALSE(s.given[API_SIGNAL_LIMIT]);
	EXPECT_TRUE(api_signals_read(&s, "Server-Leaving", "1"));
	EXPECT_TRUE(s.leaving);
}

TEST(ApiSignals, OtherHeadersAreNone)
{
	struct api_signals s = {};

	EXPECT_FALSE(api_signals_read(&s, "Server", "1"));
	EXPECT_FALSE(s.given[API_SIGNAL_LIMIT]);
}

} // namespace
