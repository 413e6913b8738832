#include <gtest/gtest.h>

extern "C" {
#include "base/rnd.h"
#include "route/balancer.h"
}

#include <algorithm>
#include <cstdio>
#include <map>
#include <vector>

namespace
{

constexpr uint64_t kSecond = 1000000;
constexpr uint64_t kStep = 10000;
/// As a service says: cold for 3 s, 12 requests a second; the bound is 23.
constexpr struct balancer_cold_rule kRule = { 3 * kSecond, 12, 23 };

/// Gateways that choose among the same servers, each by its own balancer.
class Fleet
{
      public:
	Fleet(uint32_t n_gateways, uint32_t n_servers)
	    : n_servers_(n_servers), rnd_(rnd_new(7))
	{
		for (uint32_t i = 0; i < n_gateways; i++)
			AddGateway(i, n_gateways);
	}

	~Fleet()
	{
		for (auto *r : gateways_)
			balancer_free(r);
		rnd_free(rnd_);
	}

	handle_t Server(size_t gateway, uint32_t n) const
	{
		return balancer_find(gateways_[gateway], Name(n).c_str());
	}

	/// A gateway learns that a server is cold.
	void Tell(size_t gateway, uint32_t n, uint64_t until_us)
	{
		balancer_set_cold(
		    gateways_[gateway], now, Server(gateway, n), until_us);
	}

	void TellAll(uint32_t n, uint64_t until_us)
	{
		for (size_t i = 0; i < gateways_.size(); i++)
			Tell(i, n, until_us);
	}

	/// Each gateway sends `per_s` requests a second; each takes 200 ms.
	void Run(uint64_t us, double per_s)
	{
		const double p = per_s * kStep / kSecond;

		for (const uint64_t end = now + us; now < end; now += kStep) {
			End();
			for (size_t i = 0; i < gateways_.size(); i++) {
				if (rnd_unit(rnd_) < p)
					Send(i);
			}
		}
	}

	/// Most requests that a server got within a second.
	size_t Most(uint32_t n) const
	{
		const auto at = sent_.find(Name(n));
		size_t most = 0;

		if (at == sent_.end())
			return 0;
		for (auto i = at->second.begin(); i != at->second.end(); i++)
			most = std::max(most,
			    (size_t)(std::lower_bound(
					 i, at->second.end(), *i + kSecond) -
				i));
		return most;
	}

	size_t Count(uint32_t n) const
	{
		const auto at = sent_.find(Name(n));

		return at == sent_.end() ? 0 : at->second.size();
	}

	uint64_t now = 100 * kSecond;
	size_t refused = 0;
	std::vector<struct balancer *> gateways_;

      private:
	struct Flight {
		size_t gateway;
		handle_t dispatch;
		handle_t server;
		uint64_t end_us;
	};

	static std::string Name(uint32_t n)
	{
		return "i-" + std::to_string(n);
	}

	void AddGateway(uint32_t i, uint32_t n)
	{
		struct balancer *r = balancer_new(&balancer_defaults);

		for (uint32_t k = 0; k < n_servers_; k++) {
			struct balancer_server_conf s = {};

			(void)snprintf(
			    s.name, sizeof(s.name), "%s", Name(k).c_str());
			(void)snprintf(s.pool, sizeof(s.pool), "llm");
			(void)snprintf(s.data_centre, sizeof(s.data_centre),
			    "dc%u", k % 3);
			balancer_set_server(r, now, &s);
		}
		balancer_set_cold_rule(r, "llm", &kRule);
		balancer_set_position(r, now, { i, n }, 0);
		gateways_.push_back(r);
	}

	void Send(size_t i)
	{
		struct balancer_request q = {};
		struct balancer_choice choice;
		struct balancer *r = gateways_[i];
		handle_t d;

		q.pool = "llm";
		q.prompt_tokens = 2000;
		if (balancer_choose(r, now, rnd_, &q, &choice) != STATUS_OK) {
			refused++;
			return;
		}
		d = balancer_begin(r, now, &q, &choice);
		sent_[balancer_get(r, choice.server)->name].push_back(now);
		running_[balancer_get(r, choice.server)->name]++;
		flights_.push_back({ i, d, choice.server, now + kSecond / 5 });
	}

	void End()
	{
		auto keep = std::partition(flights_.begin(), flights_.end(),
		    [this](const Flight &f) { return f.end_us > now; });

		for (auto f = keep; f != flights_.end(); f++)
			Respond(*f);
		flights_.erase(keep, flights_.end());
	}

	/// A response tells its gateway the server's load.
	void Respond(const Flight &f)
	{
		struct balancer *r = gateways_[f.gateway];
		struct balancer_report report = {};

		report.running = --running_[balancer_get(r, f.server)->name];
		balancer_end(r, now, f.dispatch, BALANCER_DONE, 1, UINT32_MAX);
		report.sequence = ++n_reports_;
		balancer_record_report(r, now, f.server, &report);
	}

	uint32_t n_servers_;
	uint64_t n_reports_ = 0;
	std::map<std::string, uint32_t> running_;
	struct rnd *rnd_;
	std::vector<Flight> flights_;
	std::map<std::string, std::vector<uint64_t>> sent_;
};

// A server turns cold, and 70 gateways learn of it one after the other within
// two of the three seconds; the load is 9 requests a second for each server.
TEST(BalancerCold, BoundHoldsWhileMostGatewaysDoNotKnow)
{
	Fleet fleet(70, 60);
	const uint64_t until = fleet.now + 2 * kSecond + 3 * kSecond;

	fleet.Run(2 * kSecond, 8);
	for (size_t i = 0; i < 70; i++) {
		fleet.Tell(i, 5, until);
		fleet.Run(2 * kSecond / 70, 8);
	}
	fleet.Run(kSecond, 8);
	EXPECT_LE(fleet.Most(5), 23U);
	EXPECT_EQ(fleet.refused, 0U);
}

// All 20 servers of a data centre come back cold at the crest, and are idle
// where the 40 others are busy.
TEST(BalancerCold, DataCentreReturnsColdAtTheCrest)
{
	Fleet fleet(70, 60);

	for (uint32_t n = 0; n < 60; n += 3)
		fleet.TellAll(n, fleet.now + 3 * kSecond);
	fleet.Run(3 * kSecond, 16);
	for (uint32_t n = 0; n < 60; n += 3) {
		EXPECT_LE(fleet.Most(n), 23U);
		EXPECT_GT(fleet.Count(n), 3U);
	}
	EXPECT_EQ(fleet.refused, 0U);
}

// Guards against requests beyond the bound where only cold servers are left:
// they have to wait for turns.
TEST(BalancerCold, OnlyColdServersAreLeft)
{
	Fleet fleet(70, 2);
	struct balancer_openings open;

	for (uint32_t n = 0; n < 2; n++)
		fleet.TellAll(n, fleet.now + 3 * kSecond);
	fleet.Run(2 * kSecond, 8);
	EXPECT_LE(fleet.Most(0), 23U);
	EXPECT_LE(fleet.Most(1), 23U);
	EXPECT_GT(fleet.refused, 0U);
	ASSERT_TRUE(
	    balancer_openings(fleet.gateways_[0], fleet.now, "llm", &open));
	EXPECT_FALSE(open.any_unlimited);
	EXPECT_NEAR(open.per_s, 2 * 12 / 70.0, 0.01);
}

// A server becomes cold again before its cold time has ended.
TEST(BalancerCold, ColdAgain)
{
	Fleet fleet(70, 10);

	fleet.TellAll(0, fleet.now + 3 * kSecond);
	fleet.Run(2 * kSecond, 4);
	fleet.TellAll(0, fleet.now + 3 * kSecond);
	fleet.Run(2 * kSecond, 4);
	EXPECT_LE(fleet.Most(0), 23U);
	EXPECT_GT(balancer_cold_state(
		      fleet.gateways_[0], fleet.now, fleet.Server(0, 0))
		      .until_us,
	    fleet.now);
	// Warm: the tenth part of 280 requests a second.
	fleet.Run(6 * kSecond, 4);
	EXPECT_EQ(balancer_cold_state(
		      fleet.gateways_[0], fleet.now, fleet.Server(0, 0))
		      .until_us,
	    0U);
	EXPECT_GT(fleet.Most(0), 23U);
}

class OneGateway : public ::testing::Test
{
      protected:
	struct balancer_cold_state State(uint32_t n) const
	{
		return balancer_cold_state(
		    fleet.gateways_[0], fleet.now, fleet.Server(0, n));
	}

	Fleet fleet{ 1, 3 };
};

// A presumption that the server itself refutes ends; the list of before it,
// which knows of no cold time, isn't asked.
TEST_F(OneGateway, PresumptionEndsWithAnAnswer)
{
	balancer_presume_cold(
	    fleet.gateways_[0], fleet.now, fleet.Server(0, 0));
	EXPECT_TRUE(State(0).presumed);
	EXPECT_EQ(State(0).until_us, fleet.now + 3 * kSecond);
	fleet.Tell(0, 0, fleet.now);
	EXPECT_EQ(State(0).until_us, 0U);
}

TEST_F(OneGateway, KnownEndStaysWhenTheServerSaysLess)
{
	fleet.Tell(0, 0, fleet.now + 2 * kSecond);
	fleet.Tell(0, 0, fleet.now);
	EXPECT_EQ(State(0).until_us, fleet.now + 2 * kSecond);
}

// Guards against a wrong clock that keeps a server cold.
TEST_F(OneGateway, EndIsAtMostAStartAway)
{
	fleet.Tell(0, 0, fleet.now + 3600 * kSecond);
	EXPECT_EQ(State(0).until_us, fleet.now + 3 * kSecond);
}

// A data centre that was closed gets requests again: its servers may be cold.
TEST_F(OneGateway, ReturnedDataCentreIsPresumedCold)
{
	balancer_set_data_centre(fleet.gateways_[0], "dc1", 0, true);
	fleet.Run(kSecond, 1);
	EXPECT_FALSE(State(1).presumed);
	balancer_set_data_centre(fleet.gateways_[0], "dc1", 0, false);
	fleet.Run(kSecond, 5);
	EXPECT_TRUE(State(1).presumed);
	EXPECT_FALSE(State(0).presumed);
}

// Guards against affinity to a server whose cache is empty; once it is warm, it
// is preferred again.
TEST_F(OneGateway, ColdServerIsNotPreferred)
{
	struct balancer *r = fleet.gateways_[0];
	struct rnd *rnd = rnd_new(1);
	struct balancer_request q = {};
	struct balancer_choice choice;
	handle_t home;

	q.pool = "llm";
	q.prompt_tokens = 6000;
	q.shared_tokens = 5000;
	q.shared_hash = 99;
	ASSERT_EQ(balancer_choose(r, fleet.now, rnd, &q, &choice), STATUS_OK);
	home = choice.preferred;
	balancer_set_cold(r, fleet.now, home, fleet.now + 3 * kSecond);
	ASSERT_EQ(balancer_choose(r, fleet.now, rnd, &q, &choice), STATUS_OK);
	EXPECT_NE(choice.preferred, home);
	EXPECT_NE(choice.server, home);
	ASSERT_EQ(balancer_choose(r, fleet.now + 3 * kSecond, rnd, &q, &choice),
	    STATUS_OK);
	EXPECT_EQ(choice.preferred, home);
	rnd_free(rnd);
}

} // namespace
