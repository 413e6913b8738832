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

TEST(Verdict, MergeReturnsTheMoreCautiousOne)
{
	EXPECT_EQ(
	    verdict_merge(VERDICT_NOT_RUN, VERDICT_NOT_RUN), VERDICT_NOT_RUN);
	EXPECT_EQ(verdict_merge(VERDICT_NOT_RUN, VERDICT_MAY_HAVE_RUN),
	    VERDICT_MAY_HAVE_RUN);
	EXPECT_EQ(
	    verdict_merge(VERDICT_MAY_HAVE_RUN, VERDICT_RAN), VERDICT_RAN);
}

TEST(Verdict, AllowsRetryOnlyIfRepetitionIsHarmless)
{
	EXPECT_TRUE(verdict_may_retry(VERDICT_NOT_RUN, false));
	EXPECT_FALSE(verdict_may_retry(VERDICT_MAY_HAVE_RUN, false));
	EXPECT_TRUE(verdict_may_retry(VERDICT_MAY_HAVE_RUN, true));
	EXPECT_FALSE(verdict_may_retry(VERDICT_RAN, true));
}

/// Guards against a late event reaching the new item of a reused slot.
TEST(SlotMap, StaleHandleStaysInvalid)
{
	struct slotmap *map = slotmap_new(sizeof(int));
	void *item;
	const handle_t first = slotmap_add(map, &item);

	slotmap_remove(map, first);
	const handle_t second = slotmap_add(map, &item);
	EXPECT_NE(first, second);
	EXPECT_EQ(slotmap_get(map, first), nullptr);
	EXPECT_EQ(slotmap_get(map, second), item);
	EXPECT_EQ(slotmap_count(map), 1U);
	slotmap_free(map);
}

TEST(SlotMap, IterationReturnsEachItemOnce)
{
	struct slotmap *map = slotmap_new(sizeof(int));
	size_t seen = 0;

	for (int i = 0; i < 100; i++) {
		void *item;
		const handle_t h = slotmap_add(map, &item);
		if (i % 3 == 0)
			slotmap_remove(map, h);
	}
	for (handle_t h = slotmap_next(map, HANDLE_NONE); h != HANDLE_NONE;
	     h = slotmap_next(map, h))
		seen++;
	EXPECT_EQ(seen, slotmap_count(map));
	slotmap_free(map);
}

static uint64_t fake_now;

static uint64_t
fake_now_us(void *)
{
	return fake_now;
}

static void
ignore_wakeup(void *, uint64_t)
{
}

static void
record_time(void *arg, uint64_t now_us)
{
	static_cast<std::vector<uint64_t> *>(arg)->push_back(now_us);
}

TEST(Timers, RunInOrderOnceAndNotWhenDisarmed)
{
	const struct timerq_source source = {
		.now_us = fake_now_us, .wake_at = ignore_wakeup, .arg = nullptr
	};
	struct timerq *queue = timerq_new(&source);
	std::vector<uint64_t> a, b;
	struct timerq_timer *ta = timerq_timer_new(queue, record_time, &a);
	struct timerq_timer *tb = timerq_timer_new(queue, record_time, &b);

	fake_now = 0;
	timerq_arm(ta, 10);
	timerq_arm(tb, 5);
	fake_now = 5;
	timerq_run(queue);
	EXPECT_EQ(a.size(), 0U);
	EXPECT_EQ(b.size(), 1U);
	timerq_disarm(ta);
	fake_now = 20;
	timerq_run(queue);
	EXPECT_EQ(a.size(), 0U);
	timerq_timer_free(ta);
	timerq_timer_free(tb);
	timerq_free(queue);
}

TEST(Metrics, QuantileIsAtMostOneBucketTooHigh)
{
	struct metrics_registry *registry = metrics_new();
	struct metrics_hist *h =
	    metrics_hist(registry, "latency", "route=\"/x\"");
	size_t len;

	for (uint64_t i = 1; i <= 1000; i++)
		metrics_observe(h, i * 100);
	EXPECT_GE(metrics_quantile(h, 0.5), 50000U);
	EXPECT_LE(metrics_quantile(h, 0.5), 63000U);
	metrics_counter(registry, "calls_total", "")->value = 3;
	char *text = metrics_text(registry, &len);
	EXPECT_NE(std::string(text).find("calls_total{} 3"), std::string::npos);
	free(text);
	metrics_free(registry);
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
