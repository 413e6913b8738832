#include <gtest/gtest.h>

extern "C" {
#include "base/rnd.h"
#include "route/balancer.h"
}

#include <cstdio>

namespace
{

constexpr uint64_t kSecond = 1000000;

class BalancerIntake : public ::testing::Test
{
      protected:
	~BalancerIntake() override
	{
		balancer_free(r);
		rnd_free(rnd);
	}

	handle_t Add(const char *name, uint32_t slots = 0)
	{
		struct balancer_server_conf s = {};

		balancer_set_data_centre(r, "csepel", 0, false);
		(void)snprintf(s.name, sizeof(s.name), "%s", name);
		(void)snprintf(s.pool, sizeof(s.pool), "desk");
		(void)snprintf(s.data_centre, sizeof(s.data_centre), "csepel");
		s.slots = slots;
		return balancer_set_server(r, now, &s);
	}

	/// Sends a request.
	///
	/// @return the chosen server; HANDLE_NONE: none takes it
	handle_t Send(enum balancer_outcome end = BALANCER_DONE)
	{
		const handle_t d = Begin();

		balancer_end(r, now, d, end, 1, UINT32_MAX);
		return choice.server;
	}

	handle_t Begin()
	{
		request.pool = "desk";
		request.prompt_tokens = 100;
		choice = {};
		if (balancer_choose(r, now, rnd, &request, &choice) !=
		    STATUS_OK) {
			choice.server = HANDLE_NONE;
			return HANDLE_NONE;
		}
		return balancer_begin(r, now, &request, &choice);
	}

	/// Sends one request each 10 ms, and counts those to a server.
	int CountFor(handle_t server, uint64_t us)
	{
		int n = 0;

		for (const uint64_t end = now + us; now < end; now += 10000)
			n += Send() == server;
		return n;
	}

	struct balancer *r = balancer_new(&balancer_defaults);
	struct rnd *rnd = rnd_new(1);
	uint64_t now = kSecond;
	struct balancer_request request = {};
	struct balancer_choice choice = {};
};

// Guards against choosing a server beyond its limit while others are free.
TEST_F(BalancerIntake, LimitedServerGetsItsTurnsOnly)
{
	const handle_t limited = Add("a");

	(void)Add("b");
	balancer_set_position(r, now, { 1, 4 }, 0);
	balancer_set_limit(r, now, limited, 2);
	EXPECT_NEAR(CountFor(limited, 20 * kSecond), 10, 2);
	balancer_set_limit(r, now, limited, 0);
	EXPECT_GT(CountFor(limited, 20 * kSecond), 500);
}

// Guards against a request going to a limited server that no turn allows, where
// no other server is left.
TEST_F(BalancerIntake, NoneIsChosenBetweenTurns)
{
	const handle_t only = Add("a");
	struct balancer_openings open;

	balancer_set_position(r, now, { 1, 4 }, 0);
	balancer_set_limit(r, now, only, 2);
	EXPECT_NEAR(CountFor(only, 20 * kSecond), 10, 2);
	EXPECT_EQ(Send(), HANDLE_NONE);
	ASSERT_TRUE(balancer_openings(r, now, "desk", &open));
	EXPECT_GT(open.next_us, now);
	EXPECT_LE(open.next_us, now + 2 * kSecond);
	EXPECT_DOUBLE_EQ(open.per_s, 0.5);
	EXPECT_FALSE(open.any_unlimited);
	now = open.next_us;
	EXPECT_EQ(Send(), only);
}

TEST_F(BalancerIntake, LimitNeedsANumber)
{
	const handle_t only = Add("a");
	struct balancer_openings open;

	balancer_set_limit(r, now, only, 2);
	EXPECT_EQ(CountFor(only, 20 * kSecond), 0);
	EXPECT_FALSE(balancer_openings(r, now, "desk", &open));
}

// Guards against requests to a server before the time that it named, and
// against all that wait going there at that moment.
TEST_F(BalancerIntake, PausedServerGetsOneRequestAtATimeAfterIt)
{
	const handle_t only = Add("a");
	struct balancer_openings open;
	handle_t trial;

	balancer_pause(r, now, only, now + 2 * kSecond);
	EXPECT_EQ(CountFor(only, 2 * kSecond - 10000), 0);
	ASSERT_TRUE(balancer_openings(r, now, "desk", &open));
	EXPECT_EQ(open.next_us, kSecond + 2 * kSecond);
	EXPECT_TRUE(open.any_unlimited);
	now = open.next_us;
	trial = Begin();
	EXPECT_EQ(choice.server, only);
	EXPECT_EQ(Send(), HANDLE_NONE);
	balancer_first_token(r, now, trial);
	EXPECT_EQ(Send(), only);
	balancer_end(r, now, trial, BALANCER_DONE, 1, UINT32_MAX);
	EXPECT_EQ(CountFor(only, kSecond), 100);
}

TEST_F(BalancerIntake, RefusedTrialIsRepeatedLater)
{
	const handle_t only = Add("a");

	balancer_pause(r, now, only, now + kSecond);
	now += kSecond;
	EXPECT_EQ(Send(BALANCER_REFUSED), only);
	EXPECT_EQ(Send(), HANDLE_NONE);
	now += kSecond;
	EXPECT_EQ(Send(BALANCER_CANCELLED), only);
	EXPECT_EQ(Send(BALANCER_FAILED), only);
	EXPECT_EQ(CountFor(only, kSecond), 100);
}

TEST_F(BalancerIntake, LaterEndOfAPauseCounts)
{
	const handle_t only = Add("a");

	balancer_pause(r, now, only, now + 4 * kSecond);
	balancer_pause(r, now, only, now + kSecond);
	EXPECT_EQ(CountFor(only, 4 * kSecond), 0);
	EXPECT_TRUE(balancer_is_open(r, now, only));
}

// Guards against a brittle server that gets more than its share of slots,
// while another server or a later moment would do.
TEST_F(BalancerIntake, BrittleServerGetsItsShareAtOnce)
{
	const handle_t brittle = Add("desk-1", 8);
	const handle_t other = Add("desk-2", 8);
	int n = 0;

	balancer_set_entries(r, 4);
	balancer_set_brittle(r, brittle, true, 2);
	for (int i = 0; i < 40; i++) {
		(void)Begin();
		n += choice.server == brittle;
	}
	EXPECT_EQ(n, 2);
	balancer_set_brittle(r, other, true, 2);
	EXPECT_EQ(Begin(), HANDLE_NONE);
	// Its health may be asked all the same.
	EXPECT_TRUE(balancer_is_open(r, now, brittle));
}

TEST_F(BalancerIntake, BrittleServerIsLeftAloneAfterARefusal)
{
	const handle_t only = Add("desk-1", 8);
	struct balancer_openings open;

	balancer_set_entries(r, 2);
	balancer_set_brittle(r, only, true, 2);
	EXPECT_EQ(Send(BALANCER_REFUSED), only);
	EXPECT_EQ(Send(), HANDLE_NONE);
	ASSERT_TRUE(balancer_openings(r, now, "desk", &open));
	EXPECT_EQ(open.next_us, now + kSecond);
	now += kSecond;

	const handle_t first = Begin();

	EXPECT_EQ(choice.server, only);
	EXPECT_EQ(Begin(), HANDLE_NONE);
	now += kSecond / 10;
	balancer_end(r, now, first, BALANCER_DONE, 1, UINT32_MAX);
	(void)Begin();
	(void)Begin();
	EXPECT_EQ(choice.server, only);
	EXPECT_EQ(Begin(), HANDLE_NONE);
	ASSERT_TRUE(balancer_openings(r, now, "desk", &open));
	EXPECT_FALSE(open.any_unlimited);
	EXPECT_NEAR(open.per_s, 20, 0.01);
	balancer_set_brittle(r, only, false, 0);
	EXPECT_EQ(Send(), only);
}

} // namespace
