#include <gtest/gtest.h>

extern "C" {
#include "fleet/quota_queue.h"
}

#include <algorithm>
#include <map>
#include <random>
#include <vector>

namespace
{

constexpr uint64_t MS = 1000;
constexpr uint64_t S = 1000 * MS;

struct Kind {
	uint32_t priority;
	double units;       ///< mean
	double part;        ///< of the requests
	uint64_t target_us; ///< of latency
	uint64_t timeout_us;
};

const Kind HINT = { 0, 1000, 0.25, 500 * MS, 15 * S };
const Kind ESSAY = { 1, 9300, 0.35, 800 * MS, 6 * S };
const Kind SHORT = { 2, 2400, 0.40, 1500 * MS, 4 * S };

struct Result {
	unsigned asked = 0;
	unsigned granted = 0;
	unsigned at_once = 0;  ///< refused when it came
	unsigned after = 0;    ///< refused after a wait
	double waited_us = 0;  ///< those granted
	double held_us = 0;    ///< those refused after a wait
	double longest_us = 0; ///< wait before a refusal
	std::vector<std::pair<double, bool>> sizes;

	double Share() const
	{
		return asked == 0 ? 1 : (double)granted / asked;
	}

	/// Share granted among the requests from the `from`th to the `to`th
	/// thousandth by size.
	double ShareOfSizes(unsigned from, unsigned to)
	{
		unsigned n = 0;
		unsigned passed = 0;

		std::sort(sizes.begin(), sizes.end());
		for (size_t i = sizes.size() * from / 1000;
		     i < sizes.size() * to / 1000; i++, n++)
			passed += sizes[i].second;
		return n == 0 ? 1 : (double)passed / n;
	}
};

/// One customer whose requests all reach the leader's queue.
struct Customer {
	explicit Customer(double rate, uint64_t seed) : random(seed)
	{
		limit = { rate, rate, 8, 0.1, 110000 };
		quota_bucket_init(&bucket, &limit, now);
	}

	~Customer()
	{
		quota_queue_free(queue);
	}

	void Note(const struct quota_decision &d, bool at_once)
	{
		Result &r = results[d.ask.priority];
		const bool granted = d.kind == QUOTA_GRANT;

		r.sizes.push_back({ d.ask.units, granted });
		if (granted) {
			r.granted++;
			r.waited_us += (double)d.waited_us;
			Pass(d.ask.units);
			return;
		}
		(at_once ? r.at_once : r.after)++;
		EXPECT_GT(d.retry_us, 0u);
		returns.push_back(now + d.retry_us);
	}

	void Pass(double units)
	{
		const double allowed =
		    (limit.rate_per_s * 8 + limit.burst) * 1.1 + 110000;

		passed.push_back({ now, units });
		in_window += units;
		while (passed[oldest].first + 8 * S < now)
			in_window -= passed[oldest++].second;
		worst = std::max(worst, in_window / allowed);
	}

	void Drain()
	{
		for (;;) {
			const struct quota_decision d =
			    quota_queue_next(queue, &bucket, &limit, now);

			if (d.kind == QUOTA_NONE)
				return;
			Note(d, false);
		}
	}

	void Ask(const Kind &k, double units, uint64_t left_us = 0)
	{
		const struct quota_ask a = {
			.link = 1,
			.tag = ++tags,
			.units = units,
			.priority = k.priority,
			.patience = quota_patience(
			    k.target_us, k.timeout_us, left_us, 0),
		};
		const struct quota_decision d =
		    quota_queue_add(queue, &bucket, &limit, now, &a);

		results[k.priority].asked++;
		if (d.kind == QUOTA_REFUSE)
			Note(d, true);
		Drain();
	}

	/// Requests of all kinds arrive at random, `times` the rate.
	void Run(uint64_t us, double times, const std::vector<Kind> &kinds)
	{
		double mean = 0;
		double parts = 0;

		for (const Kind &k : kinds) {
			mean += k.part * k.units;
			parts += k.part;
		}
		mean /= parts;
		std::exponential_distribution<double> gap(
		    limit.rate_per_s * times / mean);
		std::uniform_real_distribution<double> pick(0, parts);
		std::lognormal_distribution<double> size(-0.18, 0.6);
		double next = (double)now + gap(random) * 1e6;

		for (const uint64_t end = now + us; now < end; now += 2 * MS) {
			for (; next < (double)now; next += gap(random) * 1e6) {
				double x = pick(random);
				size_t i = 0;

				while (
				    i + 1 < kinds.size() && x > kinds[i].part)
					x -= kinds[i++].part;
				Ask(kinds[i], kinds[i].units * size(random));
			}
			Drain();
		}
	}

	struct quota_limit limit;
	struct quota_bucket bucket = {};
	struct quota_queue *queue = quota_queue_new();
	std::map<uint32_t, Result> results;
	std::vector<uint64_t> returns;
	std::vector<std::pair<uint64_t, double>> passed;
	size_t oldest = 0;
	double in_window = 0;
	double worst = 0; ///< of what the bound allows
	uint64_t now = S;
	uint64_t tags = 0;
	std::mt19937_64 random;
};

} // namespace

/// One customer at six times its usual, 3.6 times its rate: the urgent kind is
/// served, no kind starves, none is served less often than a less urgent one,
/// long requests are served like short ones, and hardly any request waits in
/// vain.
TEST(QuotaQueue, OneCustomerAtSixTimesItsUsual)
{
	for (uint64_t seed = 1; seed <= 10; seed++) {
		for (const double rate : { 300000.0, 1000000.0 }) {
			Customer c(rate, seed);

			c.Run(2 * S, 0.6, { HINT, ESSAY, SHORT });
			c.results.clear();
			c.Run(20 * S, 3.6, { HINT, ESSAY, SHORT });
			Result &essay = c.results[1];

			EXPECT_LE(c.worst, 1.0) << "seed " << seed;
			EXPECT_GE(c.results[0].Share(), 0.95);
			EXPECT_GE(essay.Share(), c.results[2].Share());
			EXPECT_GE(c.results[2].Share(), 0.05);
			EXPECT_GE(
			    essay.ShareOfSizes(900, 1000), essay.Share() / 2);
			EXPECT_GE(
			    essay.ShareOfSizes(700, 900), essay.Share() / 2);
			for (const auto &r : c.results)
				EXPECT_LE(
				    r.second.after, r.second.asked * 0.02);
		}
	}
}

/// Below its rate a customer's requests neither wait nor are refused.
TEST(QuotaQueue, BelowTheRateNothingWaits)
{
	Customer c(300000, 3);

	c.Run(30 * S, 0.6, { HINT, ESSAY, SHORT });
	for (const auto &r : c.results) {
		EXPECT_EQ(r.second.granted, r.second.asked);
		EXPECT_EQ(r.second.waited_us, 0);
	}
}

/// A short spike on a bucket that is nearly empty: what can be granted within
/// its latency target waits for it instead of coming back.
TEST(QuotaQueue, AShortSpikeWaitsForTheRefill)
{
	Customer c(100000, 1);

	quota_bucket_set_level(&c.bucket, 0);
	for (int i = 0; i < 8; i++)
		c.Ask(SHORT, 5000);
	EXPECT_EQ(c.results[2].granted, 0u);
	c.Run(700 * MS, 0, { SHORT });
	EXPECT_EQ(c.results[2].granted, 8u);
}

/// A prompt far larger than what refills within its target is refused, or
/// overdraws the bucket; small requests beside it are still granted.
TEST(QuotaQueue, SmallOnesBesideALargeOne)
{
	Customer c(100000, 1);

	quota_bucket_set_level(&c.bucket, -10000);
	c.Ask(ESSAY, 60000);
	c.Ask(ESSAY, 500);
	c.Ask(ESSAY, 500);
	c.Run(130 * MS, 0, { ESSAY });
	EXPECT_EQ(c.results[1].granted, 3u);
	// The small ones came after the large one and passed it.
	EXPECT_EQ(c.passed[2].second, 60000);
	c.Ask(ESSAY, 60000);
	EXPECT_EQ(c.results[1].at_once, 1u);
}

/// A customer at six times its usual also sends calls that take a fiftieth of
/// its prompts, can't wait and have the lowest priority: they cost the others
/// nothing.
TEST(QuotaQueue, TinyOnesBesidePrompts)
{
	const Kind call = { 3, 200, 0.25, 150 * MS, 1500 * MS };
	Customer c(400000, 7);

	c.Run(15 * S, 3.6, { call, HINT, ESSAY, SHORT });
	EXPECT_GE(c.results[3].Share(), 0.9);
	EXPECT_GE(c.results[0].Share(), 0.9);
	EXPECT_LE(c.worst, 1.0);
}

/// The urgent request is granted before patient ones that came before it, and
/// a patient one isn't refused in its favour once it waits.
TEST(QuotaQueue, UrgentBesidePatient)
{
	Customer c(100000, 1);

	quota_bucket_set_level(&c.bucket, -5000);
	c.Ask(SHORT, 2000);
	c.Ask(SHORT, 2000);
	c.Ask(HINT, 1000);
	c.Run(200 * MS, 0, { SHORT });
	ASSERT_EQ(c.passed.size(), 3u);
	EXPECT_EQ(c.passed[0].second, 1000);
}

/// Callers that come back after their target has passed don't displace those
/// that can still be served in time.
TEST(QuotaQueue, RepeatsBesideFirstAttempts)
{
	Customer c(100000, 1);

	quota_bucket_set_level(&c.bucket, -5000);
	c.Ask(HINT, 1001, 5 * S);
	c.Ask(SHORT, 2000);
	c.Run(300 * MS, 0, { SHORT });
	ASSERT_EQ(c.passed.size(), 2u);
	EXPECT_EQ(c.passed[0].second, 2000);
	EXPECT_EQ(c.passed[1].second, 1001);
}

/// Refused callers come back one after the other, earlier ones first, at the
/// pace at which there is room for them.
TEST(QuotaQueue, ReturnsAreSpreadOverTheRoom)
{
	Customer c(100000, 1);

	quota_bucket_set_level(&c.bucket, -200000);
	for (int i = 0; i < 20; i++)
		c.Ask(SHORT, 2000);
	ASSERT_EQ(c.returns.size(), 20u);
	EXPECT_GE(c.returns[0], c.now + 1800 * MS);
	for (size_t i = 1; i < c.returns.size(); i++)
		EXPECT_GE(c.returns[i], c.returns[i - 1]);
	EXPECT_GE(c.returns[19], c.returns[0] + 380 * MS);
}

/// An operator lowers the limit while requests wait: the lower one holds for
/// those.
TEST(QuotaQueue, ALoweredLimitHoldsForWhatWaits)
{
	Customer c(400000, 2);

	c.Run(10 * S, 3.6, { HINT, ESSAY, SHORT });
	c.limit = { 100000, 100000, 8, 0.1, 110000 };
	c.Run(8 * S, 3.6, { HINT, ESSAY, SHORT });
	c.worst = 0;
	c.Run(10 * S, 14, { HINT, ESSAY, SHORT });
	EXPECT_LE(c.worst, 1.0);
}

/// A gateway that is lost, or whose caller left, leaves its place to others.
TEST(QuotaQueue, WithdrawnAsksAreNotGranted)
{
	Customer c(100000, 1);

	quota_bucket_set_level(&c.bucket, -5000);
	c.Ask(SHORT, 2000);
	c.Ask(SHORT, 2000);
	EXPECT_TRUE(quota_queue_withdraw(c.queue, 1, 1));
	EXPECT_FALSE(quota_queue_withdraw(c.queue, 1, 1));
	quota_queue_drop_link(c.queue, 1);
	c.Run(400 * MS, 0, { SHORT });
	EXPECT_TRUE(c.passed.empty());
	EXPECT_EQ(quota_queue_wake_us(c.queue, &c.bucket, &c.limit, c.now), 0u);
}

/// A gateway refuses from memory only what the leader would refuse as well.
TEST(QuotaQueue, ARefusalOfALargeRequestIsNoneOfASmallOne)
{
	struct quota_view v = {};

	quota_view_on_refusal(&v, S, 1, 9000, 900 * MS);
	EXPECT_TRUE(quota_view_foresees_refusal(&v, S + MS, 1, 9500, 400 * MS));
	EXPECT_TRUE(quota_view_foresees_refusal(&v, S + MS, 2, 9000, 400 * MS));
	EXPECT_FALSE(quota_view_foresees_refusal(&v, S + MS, 1, 500, 400 * MS));
	EXPECT_FALSE(
	    quota_view_foresees_refusal(&v, S + MS, 0, 9500, 250 * MS));
	EXPECT_FALSE(
	    quota_view_foresees_refusal(&v, S + MS, 1, 9500, 950 * MS));
	EXPECT_FALSE(
	    quota_view_foresees_refusal(&v, S + 301 * MS, 1, 9500, 400 * MS));
}
