#include <gtest/gtest.h>

extern "C" {
#include "fleet/quota.h"
}

#include <algorithm>
#include <random>
#include <vector>

namespace
{

constexpr uint64_t MS = 1000;
constexpr uint64_t S = 1000 * MS;

/// Gateways that report to control, in time steps of ten milliseconds.
struct World {
	explicit World(unsigned n, const struct quota_limit &l) : limit(l)
	{
		views.resize(n);
		reported.resize(n);
		for (auto &v : views)
			quota_view_update(
			    &v, now, quota_capacity(&limit), 0, 0);
		quota_bucket_init(&bucket, &limit, now);
	}

	/// Gateway `i` reports its spending and receives an update.
	void Report(unsigned i)
	{
		struct quota_view &v = views[i];

		quota_bucket_spend(
		    &bucket, &limit, now, (double)(v.spent - reported[i]));
		reported[i] = v.spent;
		quota_view_update(
		    &v, now, bucket.level, bucket.demand_per_s, reported[i]);
	}

	/// Another process leads, which knows the levels that gateways had.
	void NewLeader()
	{
		quota_bucket_init(&bucket, &limit, now);
		for (auto &v : views)
			quota_bucket_set_level(&bucket, v.level);
	}

	/// Requests units at gateway `i`.
	///
	/// @param lost  control doesn't answer
	/// @return whether they were granted
	bool Take(unsigned i, double units, bool lost = false)
	{
		struct quota_view &v = views[i];
		struct quota_result a =
		    quota_take(&v, &limit, now, (uint32_t)views.size(), units);

		if (a.outcome == QUOTA_ASK && lost) {
			a = quota_take_offline(&v, &limit, now,
			    (uint32_t)views.size(), units, draw(random));
		} else if (a.outcome == QUOTA_ASK) {
			quota_bucket_want(&bucket, now, (double)v.refused);
			v.refused = 0;
			a = quota_bucket_ask(&bucket, &limit, now, units);
			quota_view_on_answer(
			    &v, now, bucket.level, bucket.demand_per_s, &a);
		}
		if (a.outcome != QUOTA_GRANTED)
			return false;
		passed.push_back({ now, units });
		return true;
	}

	/// Most units that passed within any window.
	double Worst() const
	{
		const auto window = (uint64_t)(limit.window_s * 1e6);
		double worst = 0;

		for (size_t i = 0; i < passed.size(); i++) {
			double sum = 0;

			for (size_t k = i; k < passed.size() &&
			     passed[k].first < passed[i].first + window;
			     k++)
				sum += passed[k].second;
			worst = std::max(worst, sum);
		}
		return worst;
	}

	/// Bound on the units that may pass within a window.
	double Allowed() const
	{
		return (limit.rate_per_s * limit.window_s + limit.burst) *
		    (1 + limit.tolerance) +
		    limit.slack_units;
	}

	struct quota_limit limit;
	struct quota_bucket bucket = {};
	std::vector<struct quota_view> views;
	std::vector<uint64_t> reported;
	std::vector<std::pair<uint64_t, double>> passed;
	uint64_t now = S;
	std::mt19937 random{ 5 };
	std::uniform_real_distribution<double> draw{ 0, 1 };
};

struct quota_limit
tokens(double rate)
{
	return { rate, rate, 8, 0.1, 110000 };
}

/// A customer requests `times` its quota at random gateways for 30 seconds;
/// control is lost from second 4 to second `lost_to`.
///
/// @param share_passed  gets the share of the requested units that passed
/// @return the most units that passed in a window, as a share of the bound
double
run(unsigned seed, double rate, double times, unsigned lost_to,
    unsigned n_gateways, double *share_passed)
{
	World w(n_gateways, tokens(rate));
	std::mt19937 random(seed);
	std::exponential_distribution<double> size(1.0 / 5000);
	double requested = 0;
	double passed = 0;

	for (unsigned step = 0; step < 3000; step++) {
		const bool lost = step >= 400 && step < lost_to * 100;

		if (step == lost_to * 100)
			w.NewLeader();
		double remaining = rate * times / 100;

		w.now += 10 * MS;
		while (remaining > 0) {
			const double units = 200 + size(random);
			const unsigned at = random() % n_gateways;

			remaining -= units;
			if (remaining < 0 &&
			    (double)(random() % 1000) / 1000 >
				(units + remaining) / units)
				break;
			requested += units;
			passed += w.Take(at, units, lost) ? units : 0;
		}
		for (unsigned i = 0; i < n_gateways; i++) {
			if (!lost && (step + 7 * i) % 40 == 0)
				w.Report(i);
		}
	}
	*share_passed = passed / requested;
	return w.Worst() / w.Allowed();
}

TEST(Quota, OneCustomerAtSevenTimesItsRateStaysWithinTheBound)
{
	for (unsigned seed = 1; seed <= 5; seed++) {
		double share;

		EXPECT_LE(run(seed, 60000, 7, 4, 6, &share), 1.0)
		    << "seed " << seed;
		EXPECT_GE(share, 0.12) << "seed " << seed;
	}
}

TEST(Quota, GatewaysStayWithinTheBoundWhileControlIsLost)
{
	for (unsigned seed = 1; seed <= 5; seed++) {
		double share;

		EXPECT_LE(run(seed, 90000, 6, 6, 6, &share), 1.0)
		    << "seed " << seed;
		EXPECT_LE(run(seed, 30000, 7, 7, 8, &share), 1.0)
		    << "seed " << seed;
	}
}

TEST(Quota, RequestsWithinTheQuotaPass)
{
	for (unsigned seed = 1; seed <= 5; seed++) {
		double share;

		(void)run(seed, 120000, 0.5, 4, 6, &share);
		EXPECT_GE(share, 0.97) << "seed " << seed;
	}
}

/// A prompt larger than what is refilled in seconds passes, and the next one
/// waits until the bucket is refilled.
TEST(Quota, ARequestLargerThanTheRatePassesAndOverdrawsTheBucket)
{
	const struct quota_limit limit = tokens(24000);
	struct quota_bucket p;
	struct quota_result a;

	quota_bucket_init(&p, &limit, S);
	EXPECT_EQ(
	    quota_bucket_ask(&p, &limit, S, 70000).outcome, QUOTA_GRANTED);
	a = quota_bucket_ask(&p, &limit, S, 70000);
	EXPECT_EQ(a.outcome, QUOTA_EXCEEDED);
	EXPECT_EQ(
	    quota_bucket_ask(&p, &limit, S + a.wait_us + S, 70000).outcome,
	    QUOTA_GRANTED);
}

TEST(Quota, WithoutALimitEverythingPasses)
{
	const struct quota_limit limit = { 0, 0, 8, 0.1, 0 };
	struct quota_view v = {};

	quota_view_update(&v, S, 0, 0, 0);
	EXPECT_EQ(quota_take(&v, &limit, S, 6, 1e9).outcome, QUOTA_GRANTED);
}

TEST(Quota, TheWaitIsTheTimeUntilTheUnitsAreThere)
{
	const struct quota_limit limit = tokens(24000);
	struct quota_bucket p;
	struct quota_result a;

	quota_bucket_init(&p, &limit, S);
	quota_bucket_set_level(&p, -36000);
	a = quota_bucket_ask(&p, &limit, S, 1000);
	EXPECT_EQ(a.outcome, QUOTA_EXCEEDED);
	EXPECT_GE(a.wait_us, S);
	EXPECT_LE(a.wait_us, 2 * S);
}

TEST(Quota, ARefusalAlwaysHasAWait)
{
	const struct quota_limit limit = tokens(80000);
	struct quota_bucket p;
	struct quota_view v = {};
	struct quota_result a = { QUOTA_GRANTED, 0 };

	quota_bucket_init(&p, &limit, S);
	while (a.outcome == QUOTA_GRANTED)
		a = quota_bucket_ask(&p, &limit, S, 7000);
	EXPECT_GE(a.wait_us, 100 * MS);
	quota_view_update(&v, S, p.level, 0, 0);
	quota_view_on_answer(&v, S, p.level, 1e6, &a);
	a = quota_take(&v, &limit, S + MS, 6, 7000);
	EXPECT_EQ(a.outcome, QUOTA_EXCEEDED);
	EXPECT_GE(a.wait_us, 100 * MS);
}

/// The even part of one gateway among hundreds is less than one prompt. Without
/// a grant each of them would let one pass.
TEST(Quota, HundredsOfGatewaysAskForLongPrompts)
{
	const struct quota_limit limit = tokens(600000);
	struct quota_view v = {};

	quota_view_update(&v, S, quota_capacity(&limit), 0, 0);
	EXPECT_EQ(quota_take(&v, &limit, S, 300, 9000).outcome, QUOTA_ASK);
	EXPECT_EQ(quota_take(&v, &limit, S, 300, 200).outcome, QUOTA_GRANTED);
	EXPECT_EQ(quota_take(&v, &limit, S, 4, 9000).outcome, QUOTA_GRANTED);
}

} // namespace
