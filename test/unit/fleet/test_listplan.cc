#include <gtest/gtest.h>

extern "C" {
#include "base/timerq.h"
#include "fleet/instance.h"
#include "fleet/listplan.h"
}

#include <algorithm>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace
{

/// A platform with pages of 50 servers, each of which takes a while, and a rate
/// of calls that all readers share.
struct Platform {
	std::map<std::string, int> servers; ///< by data centre
	uint64_t page_us = 12 * USEC_PER_MSEC;
	double rate = 280;
	std::vector<uint64_t> calls; ///< when they came

	int pages(const char *zone) const
	{
		int n = 0;

		for (const auto &[name, count] : servers)
			if (zone == nullptr || name == zone)
				n += count;
		return std::max(1, (n + 49) / 50);
	}

	bool refuses(uint64_t nowUs)
	{
		calls.push_back(nowUs);
		const auto from = std::lower_bound(calls.begin(), calls.end(),
		    nowUs - std::min(nowUs, USEC_PER_SEC));
		return static_cast<double>(calls.end() - from) > rate;
	}
};

struct Reader {
	struct Response {
		uint64_t at_us;
		guint stream;
		std::string zone;
		int page;
		bool refused;
	};

	struct listplan *plan = listplan_new();
	std::vector<Response> open;
	std::map<std::string, int> read; ///< servers' pages by data centre
	uint64_t wake_us = 0;
	uint64_t began_us = 0;
	uint64_t took_us = 0; ///< by the last reading; 0: none is complete
	int n_refused = 0;
	int n_readings = 0;

	~Reader()
	{
		listplan_free(plan);
	}

	void request(Platform &p, uint64_t now)
	{
		struct listplan_page page;

		while (listplan_next(plan, now, &page, &wake_us))
			open.push_back({ now + p.page_us, page.stream,
			    page.zone != nullptr ? page.zone : "",
			    page.token != nullptr ? atoi(page.token) : 0,
			    p.refuses(now) });
	}

	void begin(Platform &p, uint64_t now)
	{
		began_us = now;
		read.clear();
		listplan_begin(plan);
		request(p, now);
	}

	void respond(Platform &p, const Response &r, uint64_t now)
	{
		const char *zone = r.zone.empty() ? nullptr : r.zone.c_str();

		if (r.refused) {
			n_refused++;
			(void)listplan_on_refused(plan, r.stream, now);
			return;
		}
		read[r.zone]++;
		if (r.page + 1 < p.pages(zone))
			listplan_on_page(
			    plan, r.stream, std::to_string(r.page + 1).c_str());
		else
			listplan_on_page(plan, r.stream, nullptr);
	}

	void end(const Platform &p, uint64_t now)
	{
		GArray *list =
		    g_array_new(FALSE, TRUE, sizeof(struct instance));

		for (const auto &[zone, n] : p.servers) {
			struct instance s = {};

			(void)g_strlcpy(s.zone, zone.c_str(), sizeof(s.zone));
			g_array_append_val(list, s);
		}
		listplan_end(plan, list);
		g_array_unref(list);
		took_us = now - began_us;
		n_readings++;
	}

	/// @return whether a reading is complete
	bool step(Platform &p, uint64_t now)
	{
		const std::vector<Response> came(open);

		open.clear();
		for (const Response &r : came) {
			if (r.at_us > now)
				open.push_back(r);
			else
				respond(p, r, now);
		}
		if (listplan_is_complete(plan)) {
			end(p, now);
			return true;
		}
		request(p, now);
		return false;
	}
};

Platform
large()
{
	Platform p;

	p.servers = { { "a", 1000 }, { "b", 1000 }, { "c", 1000 } };
	return p;
}

} // namespace

/// 3,000 servers are 60 pages of 12 ms: one after the other they take longer
/// than the time between two readings.
TEST(ListPlan, ALargeListIsReadDataCentreByDataCentre)
{
	Platform p = large();
	Reader r;

	listplan_set_rate(r.plan, 140);
	for (const char *zone : { "a", "b", "c" })
		listplan_add_zone(r.plan, zone);
	uint64_t now = USEC_PER_SEC;
	for (int i = 0; i < 5; i++) {
		r.begin(p, now);
		while (!r.step(p, now))
			now += USEC_PER_MSEC;
		EXPECT_EQ(r.read.size(), i == 3 ? 1U : 3U);
		if (i == 0) {
			EXPECT_LE(r.took_us, 400 * USEC_PER_MSEC);
		}
		EXPECT_EQ(listplan_pages(r.plan), 60U);
		now += USEC_PER_SEC;
	}
	EXPECT_EQ(r.read["a"], 20);
	EXPECT_LE(r.took_us, 400 * USEC_PER_MSEC);
	EXPECT_EQ(r.n_refused, 0);
}

/// A new data centre has to be found, though nobody knows its name.
TEST(ListPlan, ADataCentreThatNobodyKnewOfIsFound)
{
	Platform p = large();
	Reader r;

	listplan_set_rate(r.plan, 140);
	uint64_t now = USEC_PER_SEC;
	int readings = 0;
	for (bool found = false; !found && readings < 20; readings++) {
		if (readings == 3)
			p.servers["new"] = 10;
		r.begin(p, now);
		while (!r.step(p, now))
			now += USEC_PER_MSEC;
		found = r.read.count("new") > 0;
		now += USEC_PER_SEC;
	}
	EXPECT_LE(readings, 13);
}

/// Small lists cost one call, whatever the number of data centres.
TEST(ListPlan, ASmallListIsNotSplit)
{
	Platform p;
	Reader r;

	p.servers = { { "a", 50 }, { "b", 50 } };
	listplan_set_rate(r.plan, 140);
	for (uint64_t i = 1; i <= 20; i++) {
		uint64_t now = i * USEC_PER_SEC;

		r.begin(p, now);
		while (!r.step(p, now))
			now += USEC_PER_MSEC;
		EXPECT_EQ(r.read.size(), 1U);
		EXPECT_EQ(listplan_pages(r.plan), 2U);
	}
}

/// After a loss of all power the leader, eight other control processes and 291
/// gateways are without a list at the same moment. If each read as fast as it
/// can, the platform would refuse all of them for as long as they try.
TEST(ListPlan, HundredsOfReadersDoNotStarveTheLeader)
{
	Platform p = large();
	std::vector<Reader> readers(300);

	listplan_set_rate(readers[0].plan, 0.5 * p.rate);
	for (size_t i = 1; i < 9; i++)
		listplan_set_rate(readers[i].plan, 0.25 * p.rate / 9);
	for (size_t i = 9; i < 300; i++)
		listplan_set_rate(readers[i].plan, 0.2 * p.rate / 291);
	for (uint64_t ms = 0; ms < 8000; ms++) {
		const uint64_t now = (1000 + ms) * USEC_PER_MSEC;

		for (size_t i = 0; i < 300; i++) {
			Reader &r = readers[i];
			// The others wait for a while, gateways spread theirs.
			const uint64_t due = i == 0 ? 0
			    : i < 9                 ? 1500
						    : 3000 + i * 17;

			const bool reads =
			    ms > due && !listplan_is_complete(r.plan);

			if (reads)
				(void)r.step(p, now);
			else if (ms == due ||
			    (ms > due &&
				now >= r.began_us + 700 * USEC_PER_MSEC))
				r.begin(p, now);
		}
	}
	EXPECT_EQ(readers[0].n_refused, 0);
	EXPECT_GE(readers[0].n_readings, 8);
}

/// Another reader uses up the rate for a moment: the page is asked for again.
TEST(ListPlan, ARefusedPageIsRequestedAgain)
{
	struct listplan *p = listplan_new();
	struct listplan_page page;
	uint64_t wait;
	uint64_t now = USEC_PER_SEC;

	listplan_set_rate(p, 100);
	listplan_begin(p);
	for (int i = 0; i < 5; i++) {
		ASSERT_TRUE(listplan_next(p, now, &page, &wait));
		EXPECT_TRUE(listplan_on_refused(p, page.stream, now));
		EXPECT_FALSE(listplan_next(p, now, &page, &wait));
		EXPECT_GE(wait, now + 100 * USEC_PER_MSEC);
		now = wait;
	}
	ASSERT_TRUE(listplan_next(p, now, &page, &wait));
	EXPECT_FALSE(listplan_on_refused(p, page.stream, now));
	listplan_free(p);
}
