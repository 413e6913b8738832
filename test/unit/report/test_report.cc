#include <gtest/gtest.h>

extern "C" {
#include "report/slo.h"
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

/// Counts requests of one customer, `late` of them over the target of the time
/// to first token.
void
count(struct slo_counters *c, const char *customer, int good, int late)
{
	for (int i = 0; i < good + late; i++) {
		slo_request r = {};

		r.customer = customer;
		r.route = "/v1/chat/completions";
		r.version = "v1";
		r.totals.requests = 1;
		r.totals.ttft_missed = i < late;
		r.totals.tokens = 10;
		slo_record(c, &r);
	}
}

} // namespace

/// Guards against requests that are counted twice or lost when a snapshot is
/// repeated or an entry's process restarts with counters at 0.
TEST(History, RepeatedSnapshotsAndRestartsCountOnce)
{
	const slo_settings settings = {};
	struct slo_history *h = slo_history_new(&settings);
	struct slo_counters *c = slo_counters_new("entry-1", 1);

	count(c, "depot", 10, 0);
	const slo_snapshot *s = slo_snapshot_take(c);
	EXPECT_TRUE(slo_merge(h, 100 * minute, s));
	EXPECT_FALSE(slo_merge(h, 100 * minute, s));
	count(c, "depot", 5, 0);
	EXPECT_TRUE(slo_merge(h, 101 * minute, slo_snapshot_take(c)));
	slo_counters_free(c);
	c = slo_counters_new("entry-1", 2);
	count(c, "depot", 2, 0);
	EXPECT_TRUE(slo_merge(h, 102 * minute, slo_snapshot_take(c)));
	const std::string json = take(slo_report(h, 102 * minute, SLO_JSON));
	EXPECT_NE(json.find("\"requests\": 17"), std::string::npos);
	slo_counters_free(c);
	slo_history_free(h);
}

/// Guards against a missing alert when the burn rate is over the limit in both
/// windows of a pair, and against an alert for a customer without violations.
TEST(Report, BurnRateOverBothWindowsOfAPairAlerts)
{
	const slo_settings settings = { 0.95 };
	struct slo_history *h = slo_history_new(&settings);
	struct slo_counters *c = slo_counters_new("entry-1", 1);

	for (uint64_t m = 1000; m < 1400; m++) {
		count(c, "depot", 20, 0);
		count(c, "traders", 20, m >= 1330 ? 80 : 0);
		slo_merge(h, m * minute, slo_snapshot_take(c));
		slo_sample(h, m * minute);
	}
	const std::string text = take(slo_report(h, 1400 * minute, SLO_TEXT));
	const size_t depot = text.find("customer  depot");
	const size_t traders = text.find("customer  traders");
	ASSERT_NE(depot, std::string::npos);
	ASSERT_NE(traders, std::string::npos);
	EXPECT_NE(text.substr(depot, 130).find("none"), std::string::npos);
	EXPECT_NE(text.substr(traders, 130).find("16.00"), std::string::npos);
	EXPECT_NE(text.substr(traders, 130).find("fast"), std::string::npos);
	slo_counters_free(c);
	slo_history_free(h);
}

/// Guards against a saved history that loses samples or an entry's last
/// snapshot, by which later snapshots would be counted wrong.
TEST(Report, SavedHistoryGivesTheSameReportAfterLoading)
{
	const slo_settings settings = {};
	struct slo_history *h = slo_history_new(&settings);
	struct slo_history *copy = slo_history_new(&settings);
	struct slo_counters *c = slo_counters_new("entry-1", 1);

	for (uint64_t m = 100; m < 300; m++) {
		count(c, "depot", 20, m % 3 == 0);
		slo_merge(h, m * minute, slo_snapshot_take(c));
	}
	slo_set_cost(h, 1234567);
	const std::string saved = take(slo_save(h));
	ASSERT_EQ(slo_load(copy, saved.data(), saved.size()), STATUS_OK);
	count(c, "depot", 5, 1);
	const slo_snapshot *s = slo_snapshot_take(c);
	EXPECT_TRUE(slo_merge(h, 300 * minute, s));
	EXPECT_TRUE(slo_merge(copy, 300 * minute, s));
	EXPECT_EQ(take(slo_report(h, 301 * minute, SLO_JSON)),
	    take(slo_report(copy, 301 * minute, SLO_JSON)));
	EXPECT_EQ(slo_load(copy, "{", 1), STATUS_CORRUPT);
	slo_counters_free(c);
	slo_history_free(h);
	slo_history_free(copy);
}

/// Guards against a page that differs when rendered from JSON, and against HTML
/// injection by names of customers.
TEST(Report, PageIsRenderedFromJsonWithNamesEscaped)
{
	const slo_settings settings = {};
	struct slo_history *h = slo_history_new(&settings);
	struct slo_counters *c = slo_counters_new("entry-1", 1);

	count(c, "<b>&", 20, 5);
	slo_merge(h, 100 * minute, slo_snapshot_take(c));
	const std::string json = take(slo_report(h, 101 * minute, SLO_JSON));
	const std::string page =
	    take(slo_render_json(json.data(), json.size(), SLO_HTML));
	EXPECT_EQ(page, take(slo_report(h, 101 * minute, SLO_HTML)));
	EXPECT_EQ(page.find("<b>&"), std::string::npos);
	EXPECT_NE(page.find("&lt;b&gt;&amp;"), std::string::npos);
	EXPECT_NE(page.find("<svg"), std::string::npos);
	EXPECT_EQ(slo_render_json("[]", 2, SLO_HTML), nullptr);
	slo_counters_free(c);
	slo_history_free(h);
}
