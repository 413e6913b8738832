#include <gtest/gtest.h>

extern "C" {
#include "route/admit.h"
}

#include <map>
#include <string>

static constexpr uint64_t second_us = 1000000;

static struct admit_params
small_window(void)
{
	struct admit_params p = admit_defaults;

	p.window_tokens = 1000;
	p.min_window_tokens = 1000;
	p.growth_percent = 0;
	p.priority_lead_tokens = 500;
	return p;
}

class Admission : public ::testing::Test
{
      protected:
	void TearDown() override
	{
		admit_free(a);
	}

	struct admit_decision offer(
	    const char *customer, uint32_t tokens, uint32_t priority = 0)
	{
		const struct admit_request request = {
			.customer = customer,
			.priority = priority,
			.tokens = tokens,
			.output_tokens = 0,
			.latest_start_us = now + second_us,
			.first_token_us = 0,
			.tag = ++tag,
		};
		struct admit_decision d;

		admit_offer(a, now, &request, &d);
		return d;
	}

	struct admit_decision next(void)
	{
		struct admit_decision d;

		admit_next(a, now, &d);
		return d;
	}

	const struct admit_params params = small_window();
	struct admit *a = admit_new(&params);
	uint64_t now = second_us;
	uint64_t tag = 0;
};

TEST_F(Admission, QueuesWhenTheWindowIsFullAndRefusesLateRequests)
{
	const struct admit_decision first = offer("depot", 1000);

	EXPECT_EQ(first.action, ADMIT_START);
	EXPECT_EQ(offer("depot", 100).action, ADMIT_QUEUED);
	EXPECT_EQ(next().action, ADMIT_NOTHING);
	EXPECT_LE(admit_next_wake_us(a), now + second_us + 1);
	now += 2 * second_us;
	const struct admit_decision late = next();
	EXPECT_EQ(late.action, ADMIT_REFUSE);
	EXPECT_EQ(late.reason, ADMIT_TOO_LATE);
	EXPECT_GT(late.retry_after_ms, 0U);
	admit_end(a, now, first.ticket, 1000, false);
	/* At 500 tokens a second the 1000 queued ones take 2 s; 1 s is allowed.
	 */
	EXPECT_EQ(offer("depot", 1000).action, ADMIT_START);
	EXPECT_EQ(offer("depot", 1000).action, ADMIT_QUEUED);
	EXPECT_EQ(offer("depot", 1000).action, ADMIT_REFUSE);
}

TEST_F(Admission, CustomersAreServedByWeight)
{
	std::map<uint64_t, std::string> owner;
	std::map<std::string, int> served;

	admit_set_customer(a, "large", 3);
	struct admit_decision running = offer("other", 1000);
	for (int i = 0; i < 40; i++) {
		owner[offer("small", 1000).tag] = "small";
		owner[offer("large", 1000).tag] = "large";
	}
	for (int i = 0; i < 16; i++) {
		admit_end(a, now, running.ticket, 1000, false);
		running = next();
		ASSERT_EQ(running.action, ADMIT_START);
		served[owner[running.tag]]++;
	}
	EXPECT_NEAR(served["large"], 12, 1);
	EXPECT_NEAR(served["small"], 4, 1);
}

TEST_F(Admission, PriorityLeadIsBounded)
{
	struct admit_decision running = offer("a", 1000);
	const uint64_t low = offer("b", 200, 1).tag;
	int before = 0;

	for (int i = 0; i < 10; i++)
		(void)offer("c", 200, 0);
	for (;; before++) {
		admit_end(a, now, running.ticket, 1000, false);
		running = next();
		ASSERT_EQ(running.action, ADMIT_START);
		if (running.tag == low)
			break;
		now += 1000;
	}
	EXPECT_GE(before, 2);
	EXPECT_LE(before, 6);
}

/// Size of the window after a round in which each first token takes 200 ms.
static uint64_t
window_after_round(uint64_t target_us)
{
	struct admit *a = admit_new(&admit_defaults);
	uint64_t now = second_us;
	struct admit_decision d;
	struct admit_stats v;

	for (uint32_t i = 0; i < admit_defaults.round_samples; i++) {
		const struct admit_request request = {
			.customer = "a",
			.priority = 0,
			.tokens = 1000,
			.output_tokens = 0,
			.latest_start_us = 0,
			.first_token_us = target_us,
			.tag = 1,
		};

		admit_offer(a, now, &request, &d);
		now += 200000;
		admit_first_token(a, now, d.ticket);
		admit_end(a, now, d.ticket, 1000, false);
	}
	admit_stats(a, &v);
	admit_free(a);
	return v.window_tokens;
}

TEST(AdmissionWindow, ShrinksOnlyWhenATargetIsMissed)
{
	EXPECT_LT(window_after_round(100000), admit_defaults.window_tokens);
	EXPECT_EQ(window_after_round(300000), admit_defaults.window_tokens);
	EXPECT_EQ(window_after_round(0), admit_defaults.window_tokens);
}

TEST_F(Admission, WithoutServersEveryRequestIsRefused)
{
	const struct admit_decision d = offer("a", 1000);

	EXPECT_EQ(offer("a", 1000).action, ADMIT_QUEUED);
	admit_set_available(a, false);
	EXPECT_EQ(offer("a", 10).reason, ADMIT_NO_CAPACITY);
	EXPECT_EQ(next().action, ADMIT_REFUSE);
	EXPECT_EQ(next().action, ADMIT_NOTHING);
	admit_end(a, now, d.ticket, 1000, false);
}
