#include <gtest/gtest.h>

extern "C" {
#include "base/rnd.h"
#include "route/balancer.h"
}

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>
#include <vector>

namespace
{

constexpr uint64_t kSecond = 1000000;
constexpr uint64_t kMs = 1000;

/// A server that works on one prompt after the other.
struct Server {
	uint32_t pace;
	uint64_t slow_from = 0; ///< 2.5 times as long until slow_until
	uint64_t slow_until = 0;
	uint64_t free_us = 0;
	uint32_t queued = 0;
	size_t n = 0;

	uint32_t PaceAt(uint64_t now) const
	{
		return now >= slow_from && now < slow_until ? pace * 5 / 2
							    : pace;
	}
};

/// Gateways that send prompts to the same servers, each by its own balancer.
class Fleet
{
      public:
	Fleet(uint32_t n_gateways, std::vector<uint32_t> paces, bool told)
	    : rnd_(rnd_new(3))
	{
		for (const uint32_t pace : paces)
			servers.push_back({ pace });
		for (uint32_t i = 0; i < n_gateways; i++)
			AddGateway(n_gateways, told);
	}

	~Fleet()
	{
		for (auto *r : gateways)
			balancer_free(r);
		rnd_free(rnd_);
	}

	/// Sends prompts that take 20 ms at the usual pace.
	///
	/// @param load  part of what all servers bear
	void Run(uint64_t us, double load)
	{
		const double per_us = load * Capacity() / kSecond;
		const uint64_t end = now + us;
		double next = (double)now;

		while (
		    (next += rnd_exponential(rnd_, 1 / per_us)) < (double)end) {
			now = (uint64_t)next;
			End();
			Send(rnd_below(rnd_, gateways.size()));
		}
		now = end;
		End();
	}

	/// Prompts a second.
	double Capacity() const
	{
		double sum = 0;

		for (const auto &s : servers)
			sum += 50 * 100.0 / s.pace;
		return sum;
	}

	/// Share of the requests that went to servers of a pace.
	double Share(uint32_t pace) const
	{
		size_t n = 0;
		size_t all = 0;

		for (const auto &s : servers) {
			all += s.n;
			n += s.pace == pace ? s.n : 0;
		}
		return (double)n / (double)all;
	}

	/// Time to the first token that 95 of 100 requests keep, in ms.
	double P95()
	{
		std::sort(ms_.begin(), ms_.end());
		return ms_[ms_.size() * 95 / 100];
	}

	uint64_t now = 100 * kSecond;
	std::vector<Server> servers;
	std::vector<struct balancer *> gateways;

      private:
	struct Flight {
		size_t gateway;
		handle_t dispatch;
		handle_t at;
		size_t server;
		uint64_t sent_us;
		uint64_t end_us;
	};

	void AddGateway(uint32_t n, bool told)
	{
		struct balancer *r = balancer_new(&balancer_defaults);

		balancer_set_entries(r, n);
		for (size_t k = 0; k < servers.size(); k++) {
			struct balancer_server_conf s = {};
			handle_t h;

			(void)snprintf(s.name, sizeof(s.name), "i-%zu", k);
			(void)snprintf(s.pool, sizeof(s.pool), "llm");
			(void)snprintf(
			    s.data_centre, sizeof(s.data_centre), "a");
			s.tag = k;
			h = balancer_set_server(r, now, &s);
			if (told)
				balancer_set_pace(r, h, servers[k].pace);
		}
		gateways.push_back(r);
	}

	void Send(size_t i)
	{
		struct balancer_request q = {};
		struct balancer_choice choice;
		handle_t d;

		q.pool = "llm";
		q.prompt_tokens = 1000;
		ASSERT_EQ(balancer_choose(gateways[i], now, rnd_, &q, &choice),
		    STATUS_OK);
		d = balancer_begin(gateways[i], now, &q, &choice);

		Server &s = servers[choice.tag];

		s.n++;
		s.queued++;
		s.free_us =
		    std::max(s.free_us, now) + 20 * kMs * s.PaceAt(now) / 100;
		flights_.push_back(
		    { i, d, choice.server, choice.tag, now, s.free_us });
	}

	void End()
	{
		auto keep = std::partition(flights_.begin(), flights_.end(),
		    [this](const Flight &f) { return f.end_us > now; });

		for (auto f = keep; f != flights_.end(); f++)
			Respond(*f);
		flights_.erase(keep, flights_.end());
	}

	void Respond(const Flight &f)
	{
		Server &s = servers[f.server];
		struct balancer_report report = {};

		s.queued--;
		report.sequence = ++n_reports_;
		report.running = s.queued > 0;
		report.waiting = s.queued > 0 ? s.queued - 1 : 0;
		report.slots = 1;
		report.pace_percent = s.PaceAt(f.end_us);
		balancer_record_report(
		    gateways[f.gateway], f.end_us, f.at, &report);
		balancer_end(gateways[f.gateway], f.end_us, f.dispatch,
		    BALANCER_DONE, 1, UINT32_MAX);
		ms_.push_back((double)(f.end_us - f.sent_us) / kMs);
	}

	struct rnd *rnd_;
	uint64_t n_reports_ = 0;
	std::vector<Flight> flights_;
	std::vector<double> ms_;
};

std::vector<uint32_t>
ThreePaces(size_t n_each)
{
	std::vector<uint32_t> paces;

	for (const uint32_t pace : { 60, 100, 160 })
		paces.insert(paces.end(), n_each, pace);
	return paces;
}

// Three speeds at 70% load, and 70 gateways that all know which servers are
// fast: none of the three kinds gets more than it bears.
TEST(BalancerSpeed, WorkGoesBySpeedWithoutHerds)
{
	Fleet fleet(70, ThreePaces(20), true);

	fleet.Run(20 * kSecond, 0.7);
	// What they bear is in the ratio of 5, 3 and 1.875.
	EXPECT_LT(0.7 * fleet.Share(60), 5 / 9.875);
	EXPECT_LT(0.7 * fleet.Share(100), 3 / 9.875);
	EXPECT_LT(0.7 * fleet.Share(160), 1.875 / 9.875);
	EXPECT_LT(fleet.P95(), 600);
}

// The same with what each gateway sees of the servers by itself.
TEST(BalancerSpeed, OwnSamplesServeUntilTheListTells)
{
	Fleet fleet(10, ThreePaces(4), false);

	fleet.Run(20 * kSecond, 0.7);
	EXPECT_LT(fleet.Share(160), fleet.Share(100));
	EXPECT_LT(fleet.Share(100), fleet.Share(60));
	EXPECT_LT(fleet.P95(), 600);
}

class PlainService : public ::testing::Test
{
      protected:
	void Report(size_t n, uint32_t pace, uint32_t running = 0)
	{
		struct balancer_report report = {};

		report.sequence = ++sequence;
		report.running = running;
		report.slots = 6;
		report.pace_percent = pace;
		balancer_record_report(r, now, servers[n], &report);
	}

	handle_t Choose()
	{
		struct balancer_request q = {};
		struct balancer_choice choice = {};

		q.pool = "portal";
		EXPECT_EQ(balancer_choose(r, now, rnd, &q, &choice), STATUS_OK);
		return choice.server;
	}

	/// Of 300 choices, those of a server.
	size_t Count(size_t n)
	{
		size_t count = 0;

		for (int i = 0; i < 300; i++)
			count += Choose() == servers[n];
		return count;
	}

	PlainService()
	{
		for (size_t i = 0; i < servers.size(); i++) {
			struct balancer_server_conf s = {};

			(void)snprintf(s.name, sizeof(s.name), "i-%zu", i);
			(void)snprintf(s.pool, sizeof(s.pool), "portal");
			(void)snprintf(
			    s.data_centre, sizeof(s.data_centre), "a");
			s.kind = BALANCER_SERVICE;
			servers[i] = balancer_set_server(r, now, &s);
			balancer_set_pace(r, servers[i], 100);
		}
	}

	~PlainService() override
	{
		balancer_free(r);
		rnd_free(rnd);
	}

	struct balancer *r = balancer_new(&balancer_defaults);
	struct rnd *rnd = rnd_new(1);
	uint64_t now = 100 * kSecond;
	uint64_t sequence = 0;
	std::array<handle_t, 3> servers;
};

// A server of a plain service is slow for 600 ms: calls avoid it while that is
// fresh, and not after.
TEST_F(PlainService, SlowMomentCountsWhileItLasts)
{
	Report(0, 250);
	EXPECT_EQ(Count(0), 0U);
	now += 200 * kMs;
	EXPECT_EQ(Count(0), 0U);
	now += 400 * kMs;
	EXPECT_GT(Count(0), 60U);
}

// Calls go to the server whose queue is within its slots.
TEST_F(PlainService, FullServerIsAvoided)
{
	Report(0, 100, 9);
	Report(1, 100, 2);
	Report(2, 100, 3);
	EXPECT_EQ(Count(0), 0U);
	EXPECT_GT(Count(1), 60U);
	EXPECT_GT(Count(2), 60U);
}

// Guards against the ejection of a server that is slow by its own statement,
// for good and for moments; one as slow that states the usual pace is ejected.
TEST_F(PlainService, StatedPaceDoesNotEject)
{
	struct balancer_server_stats stats;

	for (int i = 0; i < 60; i++) {
		for (size_t n = 0; n < servers.size(); n++) {
			const uint32_t pace =
			    n == 0 ? 400 + 600 * (i % 2) : 100;
			struct balancer_request q = {};
			struct balancer_choice choice = {};
			handle_t d;

			q.pool = "portal";
			choice.server = servers[n];
			d = balancer_begin(r, now, &q, &choice);
			now += pace * kMs / 10;
			Report(n, pace);
			balancer_end(r, now, d, BALANCER_DONE, 1, UINT32_MAX);
		}
	}
	ASSERT_TRUE(balancer_server_stats(r, now, servers[0], &stats));
	EXPECT_FALSE(stats.ejected);
	for (int i = 0; i < 60; i++) {
		struct balancer_request q = {};
		struct balancer_choice choice = {};
		handle_t d;

		q.pool = "portal";
		choice.server = servers[1];
		d = balancer_begin(r, now, &q, &choice);
		now += 100 * kMs;
		Report(1, 100);
		balancer_end(r, now, d, BALANCER_DONE, 1, UINT32_MAX);
	}
	ASSERT_TRUE(balancer_server_stats(r, now, servers[1], &stats));
	EXPECT_TRUE(stats.ejected);
}

} // namespace
