extern "C" {
#include "base/timerq.h"
#include "route/brittle.h"
}

#include <gtest/gtest.h>

#include <vector>

namespace
{

constexpr uint64_t start_us = 100 * USEC_PER_SEC;

// Guards against a brittle server that gets more at once from all processes
// than it works on.
TEST(brittle, processes_divide_the_slots)
{
	for (uint32_t n : { 1U, 3U, 4U, 7U, 64U }) {
		struct brittle b = {};
		uint32_t sum = 0;

		brittle_set(&b, 5);
		for (uint32_t rank = 0; rank < n; rank++) {
			const struct brittle_senders senders = { n, rank };

			sum += brittle_places(&b, 64, &senders);
		}
		EXPECT_EQ(sum, 64U) << n;
	}
}

TEST(brittle, each_process_has_a_place_and_an_unknown_rank_no_extra_one)
{
	struct brittle b = {};
	const struct brittle_senders many = { 10, 9 };
	const struct brittle_senders unranked = { 4, 4 };

	brittle_set(&b, 5);
	EXPECT_EQ(brittle_places(&b, 6, &many), 1U);
	EXPECT_EQ(brittle_places(&b, 6, &unranked), 1U);
	EXPECT_EQ(brittle_places(&b, 0, &unranked), 1U);
}

TEST(brittle, a_full_server_gets_no_more)
{
	struct brittle b = {};
	const struct brittle_senders senders = { 2, 0 };
	struct brittle_room room = { .slots = 6, .own = 3, .others = 0 };

	EXPECT_TRUE(brittle_is_open(&b, start_us, &room, &senders));
	brittle_set(&b, 2);
	EXPECT_FALSE(brittle_is_open(&b, start_us, &room, &senders));
	EXPECT_GT(brittle_opens_us(&b, start_us, &room, &senders), start_us);
	room.own = 2;
	EXPECT_TRUE(brittle_is_open(&b, start_us, &room, &senders));
	room.others = 4;
	EXPECT_FALSE(brittle_is_open(&b, start_us, &room, &senders));
	brittle_clear(&b);
	EXPECT_TRUE(brittle_is_open(&b, start_us, &room, &senders));
}

// Guards against a brittle server that is made to refuse more than it bears:
// processes whose numbers of places are all wrong, with a server that has no
// room at all for a minute.
TEST(brittle, refusals_of_a_server_without_room_are_few)
{
	constexpr uint32_t n = 8;
	constexpr uint32_t max_refusals = 16;
	constexpr uint64_t step_us = 10 * USEC_PER_MSEC;
	std::vector<struct brittle> all(n);
	std::vector<uint64_t> refused;

	for (struct brittle &b : all)
		brittle_set(&b, max_refusals);
	for (uint64_t t = start_us; t < start_us + 60 * USEC_PER_SEC;
	     t += step_us) {
		for (uint32_t rank = 0; rank < n; rank++) {
			const struct brittle_senders senders = { n, rank };
			struct brittle_room room = {
				.slots = 16, .own = 0, .others = 0
			};

			while (brittle_is_open(&all[rank], t, &room, &senders))
				room.own++;
			for (; room.own > 0; room.own--) {
				refused.push_back(t);
				brittle_on_refused(&all[rank], t, &senders);
			}
		}
	}
	ASSERT_GT(refused.size(), max_refusals);
	for (size_t i = max_refusals; i < refused.size(); i++)
		EXPECT_GE(refused[i] - refused[i - max_refusals], USEC_PER_SEC);
}

TEST(brittle, many_processes_wait_longer_after_a_refusal)
{
	struct brittle b = {};
	const struct brittle_senders senders = { 12, 0 };

	brittle_set(&b, 3);
	brittle_on_refused(&b, start_us, &senders);
	EXPECT_EQ(b.closed_until_us, start_us + 4 * USEC_PER_SEC);
	brittle_set(&b, 0);
	brittle_on_refused(&b, start_us, &senders);
	EXPECT_EQ(b.closed_until_us, start_us + 10 * USEC_PER_SEC);
}

TEST(brittle, successes_after_a_refusal_give_the_share_back)
{
	struct brittle b = {};
	const struct brittle_senders senders = { 2, 0 };
	const uint64_t later_us = start_us + 2 * USEC_PER_SEC;

	brittle_set(&b, 2);
	brittle_on_refused(&b, start_us, &senders);
	EXPECT_EQ(brittle_places(&b, 8, &senders), 1U);
	brittle_on_done(&b, later_us, start_us - 1);
	EXPECT_EQ(brittle_places(&b, 8, &senders), 1U);
	for (uint32_t i = 2; i <= 4; i++) {
		brittle_on_done(&b, later_us, start_us + USEC_PER_SEC);
		EXPECT_EQ(brittle_places(&b, 8, &senders), i);
	}
	brittle_on_done(&b, later_us, start_us + USEC_PER_SEC);
	EXPECT_EQ(brittle_places(&b, 8, &senders), 4U);
}

TEST(brittle, rate_follows_the_time_of_work)
{
	struct brittle b = {};
	const struct brittle_senders senders = { 2, 0 };

	brittle_set(&b, 2);
	EXPECT_EQ(brittle_per_s(&b, 8, &senders), 0);
	brittle_on_done(&b, start_us + USEC_PER_SEC / 2, start_us);
	EXPECT_DOUBLE_EQ(brittle_per_s(&b, 8, &senders), 8);
}

} // namespace
