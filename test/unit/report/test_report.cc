#include <gtest/gtest.h>

extern "C" {
#include "report/sl.h"
}

#include <cstdlib>
#include <string>

namespace
{

constexpr uint64_t minute = 60000000;

std::string
take(char *text)
{
	std::string s = text == nullptr ? "" : text;

	free(text);
	return s;
}

/// Counts requests of one customer, some of them late.
void
count(struct sl_counters *c, const char *customer, int good, int late)
{
	for (int i = 0; i < good + late; i++) {
		sl_request r = {};

		r.customer = customer;
		r.route = "/v1/chat/completions";
		r.version = "v1";
		r.totals.requests = 1;
		r.totals.late_first = i < late;
		r.totals.tokens = 10;
		sl_count(c, &r);
	}
}

} // namespace

TEST(History, RestartsAndRepeatsOfSnapshotsCountOnce)
{
	const sl_settings settings = {};
	struct sl_history *h = sl_history_new(&settings);
	struct sl_counters *c = sl_counters_new("entry-1", 1);

	count(c, "depot", 10, 0);
	const sl_snapshot *s = sl_snapshot_take(c);
	EXPECT_TRUE(sl_merge(h, 100 * minute, s));
	EXPECT_FALSE(sl_merge(h, 100 * minute, s));
	count(c, "depot", 5, 0);
	EXPECT_TRUE(sl_merge(h, 101 * minute, sl_snapshot_take(c)));
	sl_counters_free(c);
	c = sl_counters_new("entry-1", 2);
	count(c, "depot", 2, 0);
	EXPECT_TRUE(sl_merge(h, 102 * minute, sl_snapshot_take(c)));
	const std::string json = take(sl_report(h, 102 * minute, SL_JSON));
	EXPECT_NE(json.find("\"requests\": 17"), std::string::npos);
	sl_counters_free(c);
	sl_history_free(h);
}

TEST(Report, BurnOverBothWindowsOfAPairCalls)
{
	const sl_settings settings = { 0.95 };
	struct sl_history *h = sl_history_new(&settings);
	struct sl_counters *c = sl_counters_new("entry-1", 1);

	for (uint64_t m = 1000; m < 1400; m++) {
		count(c, "depot", 20, 0);
		count(c, "traders", 20, m >= 1330 ? 80 : 0);
		sl_merge(h, m * minute, sl_snapshot_take(c));
		sl_sample(h, m * minute);
	}
	const std::string text = take(sl_report(h, 1400 * minute, SL_TEXT));
	const size_t depot = text.find("customer  depot");
	const size_t traders = text.find("customer  traders");
	ASSERT_NE(depot, std::string::npos);
	ASSERT_NE(traders, std::string::npos);
	EXPECT_NE(text.substr(depot, 130).find("none"), std::string::npos);
	EXPECT_NE(text.substr(traders, 130).find("16.00"), std::string::npos);
	EXPECT_NE(text.substr(traders, 130).find("fast"), std::string::npos);
	sl_counters_free(c);
	sl_history_free(h);
}

TEST(Report, SavedHistoryGivesTheSameReportAndGoesOn)
{
	const sl_settings settings = {};
	struct sl_history *h = sl_history_new(&settings);
	struct sl_history *copy = sl_history_new(&settings);
	struct sl_counters *c = sl_counters_new("entry-1", 1);

	for (uint64_t m = 100; m < 300; m++) {
		count(c, "depot", 20, m % 3 == 0);
		sl_merge(h, m * minute, sl_snapshot_take(c));
	}
	sl_set_cost(h, 1234567);
	const std::string saved = take(sl_save(h));
	ASSERT_EQ(sl_load(copy, saved.data(), saved.size()), STATUS_OK);
	count(c, "depot", 5, 1);
	const sl_snapshot *s = sl_snapshot_take(c);
	EXPECT_TRUE(sl_merge(h, 300 * minute, s));
	EXPECT_TRUE(sl_merge(copy, 300 * minute, s));
	EXPECT_EQ(take(sl_report(h, 301 * minute, SL_JSON)),
	    take(sl_report(copy, 301 * minute, SL_JSON)));
	EXPECT_EQ(sl_load(copy, "{", 1), STATUS_CORRUPT);
	sl_counters_free(c);
	sl_history_free(h);
	sl_history_free(copy);
}

TEST(Report, PageIsMadeFromJsonAndNamesAreEscaped)
{
	const sl_settings settings = {};
	struct sl_history *h = sl_history_new(&settings);
	struct sl_counters *c = sl_counters_new("entry-1", 1);

	count(c, "<b>&", 20, 5);
	sl_merge(h, 100 * minute, sl_snapshot_take(c));
	const std::string json = take(sl_report(h, 101 * minute, SL_JSON));
	const std::string page =
	    take(sl_render_json(json.data(), json.size(), SL_HTML));
	EXPECT_EQ(page, take(sl_report(h, 101 * minute, SL_HTML)));
	EXPECT_EQ(page.find("<b>&"), std::string::npos);
	EXPECT_NE(page.find("&lt;b&gt;&amp;"), std::string::npos);
	EXPECT_NE(page.find("<svg"), std::string::npos);
	EXPECT_EQ(sl_render_json("[]", 2, SL_HTML), nullptr);
	sl_counters_free(c);
	sl_history_free(h);
}
