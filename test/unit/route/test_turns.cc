#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

extern "C" {
#include "base/rnd.h"
#include "route/turns.h"
}

namespace
{

constexpr uint64_t kSecond = 1000000;
constexpr uint64_t kStep = 10000;
constexpr uint64_t kStart = UINT64_C(1780000000) * kSecond;

/// Processes that send to one server whenever they may.
class Fleet
{
      public:
	Fleet(uint32_t n, double per_s)
	    : per_s_(per_s), turns_(n), told_at_(n, UINT64_MAX), told_(n),
	      rnd_(rnd_new(n + 1))
	{
		for (uint32_t i = 0; i < n; i++)
			turns_set(&turns_[i], now_, per_s, { i, n }, kOffset);
	}

	~Fleet()
	{
		rnd_free(rnd_);
	}

	/// Numbers the processes anew, without those below `first`; each learns
	/// of it within `spread_us`.
	void Number(uint32_t first, uint64_t spread_us)
	{
		const auto n = (uint32_t)turns_.size() - first;

		first_ = first;
		for (uint32_t i = 0; i < n; i++) {
			told_[first + i] = { i, n };
			told_at_[first + i] = now_ + rnd_below(rnd_, spread_us);
		}
	}

	void Run(uint64_t us, double busy_share = 1)
	{
		const uint64_t end = now_ + us;

		for (; now_ < end; now_ += kStep) {
			for (size_t i = first_; i < turns_.size(); i++)
				Step(i, busy_share);
		}
	}

	/// Most requests within four seconds.
	size_t MostInWindow() const
	{
		size_t most = 0;
		size_t first = 0;

		for (size_t i = 0; i < sent_.size(); i++) {
			while (sent_[i] - sent_[first] >= 4 * kSecond)
				first++;
			most = std::max(most, i - first + 1);
		}
		return most;
	}

	size_t Sent() const
	{
		return sent_.size();
	}

      private:
	static constexpr uint32_t kOffset = 4000000007U;

	void Step(size_t i, double busy_share)
	{
		if (now_ >= told_at_[i]) {
			turns_set(&turns_[i], now_, per_s_, told_[i], kOffset);
			told_at_[i] = UINT64_MAX;
		}
		if (rnd_unit(rnd_) >= busy_share ||
		    !turns_is_open(&turns_[i], now_))
			return;
		turns_use(&turns_[i], now_);
		sent_.push_back(now_);
	}

	double per_s_;
	uint64_t now_ = kStart;
	uint32_t first_ = 0;
	std::vector<struct turns> turns_;
	std::vector<uint64_t> told_at_;
	std::vector<struct turns_position> told_;
	std::vector<uint64_t> sent_;
	struct rnd *rnd_;
};

/// The users' rule: half as much again as the limit allows, and five.
double
Allowed(double per_s)
{
	return 1.5 * per_s * 4 + 5;
}

// Guards against gateways that keep a server's limit each, but not together.
TEST(Turns, SumHoldsOverAFleet)
{
	for (uint32_t n : { 1U, 8U, 291U }) {
		for (double per_s : { 0.05, 0.2, 1.0, 1.5, 3.1, 20.0, 90.0 }) {
			Fleet f(n, per_s);

			f.Run(30 * kSecond);
			EXPECT_LE(f.MostInWindow(), Allowed(per_s))
			    << n << " processes, " << per_s << " per second";
			EXPECT_GE(f.Sent(), 0.9 * per_s * 30 - 2)
			    << n << " processes, " << per_s << " per second";
		}
	}
}

// Guards against a burst when requests come again after a time without any.
TEST(Turns, UnusedTurnsExpire)
{
	for (uint32_t n : { 8U, 291U }) {
		Fleet f(n, 1);

		f.Run(1200 * kSecond, 0);
		f.Run(8 * kSecond);
		EXPECT_LE(f.MostInWindow(), Allowed(1));
	}
}

// Guards against a server getting more while the numbers change: gateways come
// and go, or another leader numbers them.
TEST(Turns, SumHoldsWhileNumbersChange)
{
	for (uint32_t n : { 8U, 291U }) {
		for (double per_s : { 0.2, 1.0, 3.1, 20.0 }) {
			Fleet f(n, per_s);

			for (int i = 0; i < 40; i++) {
				f.Run(1500000 + 100000 * (i % 7));
				f.Number(i % 3, kSecond / 2);
			}
			EXPECT_LE(f.MostInWindow(), Allowed(per_s))
			    << n << " processes, " << per_s << " per second";
		}
	}
}

TEST(Turns, NumberIsNeededForALimit)
{
	struct turns t = {};

	turns_set(&t, kStart, 5, { 0, 0 }, 0);
	EXPECT_FALSE(turns_is_open(&t, kStart + 100 * kSecond));
	EXPECT_EQ(turns_next_us(&t, kStart), UINT64_MAX);
	turns_set(&t, kStart, 0, { 0, 0 }, 0);
	EXPECT_TRUE(turns_is_open(&t, kStart));
}

TEST(Turns, NextIsWhenItOpens)
{
	struct turns t = {};
	uint64_t next;

	turns_set(&t, kStart, 2, { 3, 8 }, 1);
	EXPECT_FALSE(turns_is_open(&t, kStart));
	next = turns_next_us(&t, kStart);
	EXPECT_GT(next, kStart);
	EXPECT_LE(next, kStart + 4 * kSecond);
	EXPECT_FALSE(turns_is_open(&t, next - 1));
	EXPECT_TRUE(turns_is_open(&t, next));
	turns_use(&t, next);
	EXPECT_FALSE(turns_is_open(&t, next));
	EXPECT_EQ(turns_next_us(&t, next), next + 4 * kSecond);
}

} // namespace
