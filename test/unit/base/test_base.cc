#include <gtest/gtest.h>

extern "C" {
#include "base/metrics.h"
#include "base/slotmap.h"
#include "base/rnd.h"
#include "base/timerq.h"
#include "base/verdict.h"
}

#include <cstdlib>
#include <string>
#include <vector>

TEST(Verdict, JoinPromisesTheLeast)
{
	EXPECT_EQ(
	    verdict_merge(VERDICT_NOT_RUN, VERDICT_NOT_RUN), VERDICT_NOT_RUN);
	EXPECT_EQ(verdict_merge(VERDICT_NOT_RUN, VERDICT_MAY_HAVE_RUN),
	    VERDICT_MAY_HAVE_RUN);
	EXPECT_EQ(
	    verdict_merge(VERDICT_MAY_HAVE_RUN, VERDICT_RAN), VERDICT_RAN);
}

TEST(Verdict, RetryOnlyWhereItCannotRunTwice)
{
	EXPECT_TRUE(verdict_may_retry(VERDICT_NOT_RUN, false));
	EXPECT_FALSE(verdict_may_retry(VERDICT_MAY_HAVE_RUN, false));
	EXPECT_TRUE(verdict_may_retry(VERDICT_MAY_HAVE_RUN, true));
	EXPECT_FALSE(verdict_may_retry(VERDICT_RAN, true));
}

TEST(Handles, StaleHandleIsNeverValid)
{
	struct slotmap *t = slotmap_new(sizeof(int));
	void *item;
	const handle_t first = slotmap_add(t, &item);

	slotmap_remove(t, first);
	const handle_t second = slotmap_add(t, &item);
	EXPECT_NE(first, second);
	EXPECT_EQ(slotmap_get(t, first), nullptr);
	EXPECT_EQ(slotmap_get(t, second), item);
	EXPECT_EQ(slotmap_count(t), 1U);
	slotmap_free(t);
}

TEST(Handles, WalkSeesEachItemOnce)
{
	struct slotmap *t = slotmap_new(sizeof(int));
	size_t seen = 0;

	for (int i = 0; i < 100; i++) {
		void *item;
		const handle_t h = slotmap_add(t, &item);
		if (i % 3 == 0)
			slotmap_remove(t, h);
	}
	for (handle_t h = slotmap_next(t, HANDLE_NONE); h != HANDLE_NONE;
	     h = slotmap_next(t, h))
		seen++;
	EXPECT_EQ(seen, slotmap_count(t));
	slotmap_free(t);
}

static uint64_t hand_now;

static uint64_t
hand_now_us(void *)
{
	return hand_now;
}

static void
hand_wake(void *, uint64_t)
{
}

static void
note_time(void *arg, uint64_t now_us)
{
	static_cast<std::vector<uint64_t> *>(arg)->push_back(now_us);
}

TEST(Timers, RunInOrderOnceAndNotWhenDisarmed)
{
	const struct timerq_source source = {
		.now_us = hand_now_us, .wake_at = hand_wake, .arg = nullptr
	};
	struct timerq *s = timerq_new(&source);
	std::vector<uint64_t> a, b;
	struct timerq_timer *ta = timerq_timer_new(s, note_time, &a);
	struct timerq_timer *tb = timerq_timer_new(s, note_time, &b);

	hand_now = 0;
	timerq_arm(ta, 10);
	timerq_arm(tb, 5);
	hand_now = 5;
	timerq_run(s);
	EXPECT_EQ(a.size(), 0U);
	EXPECT_EQ(b.size(), 1U);
	timerq_disarm(ta);
	hand_now = 20;
	timerq_run(s);
	EXPECT_EQ(a.size(), 0U);
	timerq_timer_free(ta);
	timerq_timer_free(tb);
	timerq_free(s);
}

TEST(Counters, QuantileCoversTheValue)
{
	struct metrics_registry *s = metrics_new();
	struct metrics_hist *h = metrics_hist(s, "latency", "route=\"/x\"");
	size_t len;

	for (uint64_t i = 1; i <= 1000; i++)
		metrics_observe(h, i * 100);
	EXPECT_GE(metrics_quantile(h, 0.5), 50000U);
	EXPECT_LE(metrics_quantile(h, 0.5), 63000U);
	metrics_counter(s, "calls_total", "")->n = 3;
	char *text = metrics_text(s, &len);
	EXPECT_NE(std::string(text).find("calls_total{} 3"), std::string::npos);
	free(text);
	metrics_free(s);
}

TEST(Random, EqualSeedsGiveEqualNumbers)
{
	struct rnd *a = rnd_new(7);
	struct rnd *b = rnd_new(7);

	for (int i = 0; i < 10; i++)
		EXPECT_EQ(rnd_u64(a), rnd_u64(b));
	rnd_free(a);
	rnd_free(b);
}
