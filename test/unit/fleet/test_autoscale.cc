#include <gtest/gtest.h>

extern "C" {
#include "fleet/sizing.h"
#include "fleet/autoscale.h"
}

#include <algorithm>
#include <cmath>

namespace
{

constexpr uint64_t S = 1000000;

struct autoscale_input
three_zones(double need)
{
	struct autoscale_input in = {};

	in.n_zones = 3;
	in.zones[0].price = 0.85;
	in.zones[1].price = 1.2;
	in.zones[2].price = 1.0;
	in.min_servers = 1;
	in.max_servers = 6;
	in.spot_price = 0.2;
	in.needed_servers = need;
	return in;
}

unsigned
fixed(const struct autoscale_plan &p)
{
	return p.zones[0].on_demand + p.zones[1].on_demand +
	    p.zones[2].on_demand;
}

unsigned
spot(const struct autoscale_plan &p)
{
	return p.zones[0].spot + p.zones[1].spot + p.zones[2].spot;
}

/// Makes all planned servers run.
void
arrive(struct autoscale_input *in, const struct autoscale_plan &p)
{
	for (unsigned i = 0; i < in->n_zones; i++) {
		in->zones[i].on_demand = p.zones[i].on_demand;
		in->zones[i].spot = p.zones[i].spot;
		in->zones[i].spot_starting = 0;
	}
}

TEST(Plan, ReclaimableServersAreSpreadOverDataCentres)
{
	struct autoscale_input in = three_zones(6);
	struct autoscale_plan p;

	autoscale_plan(&in, &p);
	for (int i = 0; i < 3; i++) {
		arrive(&in, p);
		autoscale_plan(&in, &p);
	}
	EXPECT_EQ(fixed(p), 3U);
	EXPECT_EQ(spot(p), 9U);
	for (unsigned i = 0; i < 3; i++)
		EXPECT_EQ(p.zones[i].spot, 3U);
}

/// The reclaimable servers of any one data centre are reclaimed, and a few of
/// the others crash: those that are left are enough, and one fewer in each data
/// centre wouldn't be.
TEST(Plan, EnoughServersAreLeftWhenOneDataCentreIsReclaimed)
{
	for (double need = 4; need < 60; need += 1.3) {
		for (unsigned n = 2; n <= 3; n++) {
			struct autoscale_input in = three_zones(need);
			struct autoscale_plan p;
			unsigned all = 0;
			unsigned largest = 0;

			in.n_zones = n;
			in.max_servers = 200;
			for (int i = 0; i < 4; i++) {
				autoscale_plan(&in, &p);
				arrive(&in, p);
			}
			for (unsigned i = 0; i < n; i++) {
				all += p.zones[i].spot + p.zones[i].on_demand;
				largest = std::max(largest, p.zones[i].spot);
			}
			const double enough = n > 2 ? need * 1.4 : need;

			// Three data centres don't divide every number.
			EXPECT_GT(all - largest, enough - 1) << n;
			EXPECT_LT(all - largest, enough * 1.1 + n) << n;
			EXPECT_LE(all, need * 2.2 + 1) << n;
		}
	}
}

/// Many on-demand servers stand at the start. Guards against keeping all of
/// them for as long as the number of reclaimable ones goes up and down.
TEST(Plan, OnDemandServersGoAsReclaimableOnesArrive)
{
	struct autoscale_input in = three_zones(40);
	struct autoscale_plan p;
	unsigned last = 60;

	in.max_servers = 40;
	for (unsigned i = 0; i < 3; i++)
		in.zones[i].on_demand = in.zones[i].on_demand_expected = 20;
	for (unsigned arrived = 0; arrived <= 20; arrived++) {
		for (unsigned i = 0; i < 3; i++)
			in.zones[i].spot = arrived;
		autoscale_plan(&in, &p);
		EXPECT_LE(fixed(p), last);
		EXPECT_GE(fixed(p) + 2 * arrived, 40U);
		last = fixed(p);
	}
	EXPECT_EQ(last, 8U);
}

/// The load isn't known yet: a guess orders servers, but gives none up.
TEST(Plan, AGuessGivesUpNoServers)
{
	struct autoscale_input in = three_zones(12);
	struct autoscale_plan p;

	in.max_servers = 40;
	in.need_is_guess = true;
	for (unsigned i = 0; i < 3; i++) {
		in.zones[i].on_demand = in.zones[i].on_demand_expected = 8;
		in.zones[i].spot = 20;
	}
	autoscale_plan(&in, &p);
	EXPECT_EQ(fixed(p), 24U);
	EXPECT_EQ(spot(p), 60U);
	in.need_is_guess = false;
	autoscale_plan(&in, &p);
	EXPECT_EQ(fixed(p), 3U);
	EXPECT_EQ(spot(p), 21U);
}

/// Data centres are reclaimed one after the other, sooner than a server takes
/// to start. Guards against waiting for the second reclaim with the order, and
/// against taking back servers that are starting elsewhere.
TEST(Plan, ReclaimsInWavesAreCoveredAhead)
{
	struct autoscale_input in = three_zones(30);
	struct autoscale_plan p;
	unsigned first;

	in.max_servers = 60;
	for (unsigned i = 0; i < 3; i++) {
		in.zones[i].on_demand = in.zones[i].on_demand_expected = 2;
		in.zones[i].spot = 15;
		in.zones[i].spot_unavailable = true;
	}
	in.zones[0].spot = 0;
	in.spot_reclaimed = true;
	autoscale_plan(&in, &p);
	EXPECT_GE(fixed(p) + 15, 30U) << "before the second wave";
	first = fixed(p);
	for (unsigned i = 0; i < 3; i++)
		in.zones[i].on_demand_expected = p.zones[i].on_demand;
	in.zones[1].spot = 0;
	in.needed_servers = 26;
	autoscale_plan(&in, &p);
	EXPECT_GE(fixed(p), first);
	EXPECT_GE(fixed(p), 26U) << "before the third one";
	for (unsigned i = 0; i < 3; i++)
		EXPECT_GE(p.zones[i].on_demand, in.zones[i].on_demand_expected);
}

/// The need changes by a server or two with each sample: nothing is ordered or
/// given up for that.
TEST(Plan, SmallChangesOfTheNeedChangeNothing)
{
	struct autoscale_input in = three_zones(30);
	struct autoscale_plan before;
	struct autoscale_plan p;

	in.max_servers = 40;
	for (int i = 0; i < 4; i++) {
		autoscale_plan(&in, &before);
		arrive(&in, before);
	}
	for (double need : { 29.5, 28.9, 28.2, 29.0, 30.0 }) {
		in.needed_servers = need;
		autoscale_plan(&in, &p);
		EXPECT_EQ(spot(p), spot(before)) << need;
	}
}

TEST(Plan, OnDemandServersReplaceThoseOfAReclaimedDataCentre)
{
	struct autoscale_input in = three_zones(9);
	struct autoscale_plan before;
	struct autoscale_plan p;

	for (int i = 0; i < 3; i++) {
		autoscale_plan(&in, &before);
		arrive(&in, before);
	}
	in.zones[2].spot = 0;
	for (unsigned i = 0; i < 3; i++)
		in.zones[i].spot_unavailable = true;
	autoscale_plan(&in, &p);
	EXPECT_GE(fixed(p) + in.zones[0].spot + in.zones[1].spot, 9U);
	// The plan is stable while reclaimable servers are unavailable.
	for (int i = 0; i < 6; i++) {
		const unsigned last = fixed(p);

		for (unsigned z = 0; z < 3; z++) {
			in.zones[z].on_demand = p.zones[z].on_demand;
			in.zones[z].spot_unavailable = i % 2 == 0;
		}
		autoscale_plan(&in, &p);
		EXPECT_EQ(fixed(p), last);
	}
}

/// Runners of several data centres are reclaimed seconds apart. Guards against
/// releasing on-demand servers ordered after the first reclaim in favour of
/// reclaimable ones that are only planned.
TEST(Plan, OnDemandServersAreKeptAfterAReclaim)
{
	struct autoscale_input in = three_zones(9);
	struct autoscale_plan p;

	in.zones[0].on_demand_expected = 5;
	in.zones[1].spot = 5;
	in.zones[1].on_demand = in.zones[1].on_demand_expected = 1;
	in.zones[2].spot_unavailable = true;
	autoscale_plan(&in, &p);
	EXPECT_LT(p.zones[0].on_demand, 5U)
	    << "without a reclaim they may be released";
	in.spot_reclaimed = true;
	autoscale_plan(&in, &p);
	EXPECT_EQ(p.zones[0].on_demand, 5U);
	for (unsigned i = 0; i < 3; i++)
		EXPECT_LE(
		    p.zones[i].on_demand + p.zones[i].spot, in.max_servers);
}

/// If enough servers are left after another reclaim, planned reclaimable
/// servers are not replaced by on-demand ones.
TEST(Plan, AReclaimThatLeavesEnoughReplacesNoReclaimableServers)
{
	struct autoscale_input in = three_zones(3);
	struct autoscale_plan without;
	struct autoscale_plan with;

	for (unsigned i = 0; i < 3; i++) {
		in.zones[i].spot = 5;
		in.zones[i].on_demand = in.zones[i].on_demand_expected = 1;
	}
	autoscale_plan(&in, &without);
	in.spot_reclaimed = true;
	autoscale_plan(&in, &with);
	for (unsigned i = 0; i < 3; i++)
		EXPECT_EQ(with.zones[i].on_demand, without.zones[i].on_demand);
}

TEST(Plan, OnDemandServersAreReleasedOnceReclaimableOnesRun)
{
	struct autoscale_input in = three_zones(9);
	struct autoscale_plan p;

	for (unsigned i = 0; i < 3; i++) {
		in.zones[i].on_demand = 3;
		in.zones[i].spot = 3;
	}
	autoscale_plan(&in, &p);
	EXPECT_EQ(fixed(p), 3U);
	EXPECT_EQ(fixed(p) + spot(p), 18U);
}

TEST(Plan, LimitsOfADataCentreAreKept)
{
	for (double need = 0; need < 40; need += 1.7) {
		struct autoscale_input in = three_zones(need);
		struct autoscale_plan p;

		in.zones[1].spot = 9;
		in.zones[0].on_demand = 7;
		autoscale_plan(&in, &p);
		for (unsigned i = 0; i < 3; i++) {
			EXPECT_LE(p.zones[i].on_demand + p.zones[i].spot, 6U);
			EXPECT_GE(p.zones[i].on_demand, 1U);
		}
	}
}

TEST(Plan, WithoutReclaimableServersOnlyTheNeededOnesAreOrdered)
{
	struct autoscale_input in = three_zones(7.2);
	struct autoscale_plan p;

	in.spot_price = 0;
	autoscale_plan(&in, &p);
	EXPECT_EQ(spot(p), 0U);
	EXPECT_EQ(fixed(p), 8U);
	EXPECT_EQ(p.zones[0].on_demand, 6U);
}

/// A data centre is evacuated: its servers are replaced in the others, by
/// on-demand ones at once if reclaimable ones are refused there.
TEST(Plan, AClosedDataCentreIsReplacedInTheOthers)
{
	struct autoscale_input in = three_zones(9);
	struct autoscale_plan p;

	in.max_servers = 20;
	for (unsigned i = 0; i < 3; i++) {
		in.zones[i].on_demand = in.zones[i].on_demand_expected = 1;
		in.zones[i].spot = 5;
	}
	in.zones[0].closed = true;
	autoscale_plan(&in, &p);
	EXPECT_EQ(p.zones[0].spot, 0U);
	EXPECT_EQ(p.zones[0].on_demand, in.min_servers);
	EXPECT_EQ(spot(p), 16U) << "the loss of the second one leaves enough";
	EXPECT_EQ(p.zones[1].spot, p.zones[2].spot);
	in.zones[1].spot_unavailable = in.zones[2].spot_unavailable = true;
	in.zones[1].spot = in.zones[2].spot = 2;
	autoscale_plan(&in, &p);
	EXPECT_GE(p.zones[1].on_demand + p.zones[2].on_demand + 4, 9U);
}

/// Most on-demand servers have been replaced: they go in steps, to the planned
/// number.
TEST(Plan, OnDemandServersAreGivenUpInSteps)
{
	struct autoscale_input in = three_zones(12);
	struct autoscale_plan p;
	unsigned last = 60;
	unsigned steps = 0;

	in.max_servers = 40;
	for (unsigned i = 0; i < 3; i++) {
		in.zones[i].on_demand = 20;
		in.zones[i].spot = 8;
	}
	for (;; steps++) {
		autoscale_plan(&in, &p);
		autoscale_limit_fall(&in, &p);
		if (fixed(p) == last)
			break;
		EXPECT_LT(fixed(p), last);
		EXPECT_GE(fixed(p), last * 3 / 4 - 1);
		last = fixed(p);
		for (unsigned i = 0; i < 3; i++)
			in.zones[i].on_demand = p.zones[i].on_demand;
	}
	EXPECT_EQ(last, 3U);
	EXPECT_LE(steps, 14U);
}

TEST(Plan, AllDataCentresButOneClosed)
{
	struct autoscale_input in = three_zones(5);
	struct autoscale_plan p;

	in.zones[0].closed = in.zones[2].closed = true;
	autoscale_plan(&in, &p);
	EXPECT_EQ(p.zones[1].on_demand + p.zones[1].spot, in.max_servers);
	EXPECT_EQ(p.zones[0].spot + p.zones[2].spot, 0U);
}

struct sizing_sample
prompts(double tokens)
{
	struct sizing_sample s = {};

	s.tokens = tokens;
	s.tokens_per_s = 40000;
	return s;
}

TEST(ReclaimWatch, ReserveIsKeptForAWhileAfterAReclaim)
{
	struct autoscale_reclaim_watch r = {};

	EXPECT_FALSE(autoscale_reclaim_watch_step(&r, 1 * S, 50, 50));
	EXPECT_TRUE(autoscale_reclaim_watch_step(&r, 2 * S, 10, 50));
	EXPECT_TRUE(autoscale_reclaim_watch_step(&r, 12 * S, 10, 50));
	EXPECT_FALSE(autoscale_reclaim_watch_step(&r, 18 * S, 10, 50));
	EXPECT_TRUE(autoscale_reclaim_watch_step(&r, 19 * S, 0, 50))
	    << "a second reclaim";
}

TEST(ReclaimWatch, ServersRemovedByOrderAreNoReclaim)
{
	struct autoscale_reclaim_watch r = {};

	EXPECT_FALSE(autoscale_reclaim_watch_step(&r, 1 * S, 50, 50));
	EXPECT_FALSE(autoscale_reclaim_watch_step(&r, 2 * S, 20, 20));
	EXPECT_FALSE(autoscale_reclaim_watch_step(&r, 3 * S, 10, 10));
	EXPECT_TRUE(autoscale_reclaim_watch_step(&r, 4 * S, 2, 9))
	    << "more than ordered";
}

TEST(ReclaimWatch, ASingleLostServerIsNoReclaim)
{
	struct autoscale_reclaim_watch r = {};

	EXPECT_FALSE(autoscale_reclaim_watch_step(&r, 1 * S, 3, 3));
	EXPECT_FALSE(autoscale_reclaim_watch_step(&r, 2 * S, 2, 3));
	EXPECT_FALSE(autoscale_reclaim_watch_step(&r, 3 * S, 1, 3));
}

TEST(Sizing, NeedFollowsABurstAtOnceAndFallsSlowly)
{
	struct sizing n;
	uint64_t now = 100 * S;
	double calm;
	double busy;

	sizing_init(&n, 6);
	for (int i = 0; i < 60; i++) {
		const struct sizing_sample s = prompts(80000);

		sizing_update(&n, now += S, &s);
	}
	calm = n.servers;
	EXPECT_NEAR(calm, 2 / 0.6, 0.2);
	for (int i = 0; i < 4; i++) {
		const struct sizing_sample s = prompts(200000);

		sizing_update(&n, now += S, &s);
	}
	busy = n.servers;
	EXPECT_GT(busy, 1.8 * calm);
	for (int i = 0; i < 5; i++) {
		const struct sizing_sample s = prompts(80000);

		sizing_update(&n, now += S, &s);
	}
	EXPECT_GT(n.servers, 0.75 * busy);
}

/// A new leader takes over in a burst. Guards against averages that count the
/// time before its first sample as time without load.
TEST(Sizing, NeedIsKnownThreeSecondsAfterTheFirstSample)
{
	const struct sizing_sample s = prompts(400000);
	struct sizing n;
	uint64_t now = 100 * S;

	sizing_init(&n, 6);
	for (int i = 0; i < 4; i++) {
		EXPECT_FALSE(sizing_is_measured(&n, now));
		sizing_update(&n, now += S, &s);
	}
	EXPECT_TRUE(sizing_is_measured(&n, now));
	EXPECT_NEAR(n.servers, 10 / 0.6, 0.5);
}

TEST(Sizing, InitialNeedIsKeptUntilLoadWasSeen)
{
	const struct sizing_sample none = {};
	struct sizing n;

	sizing_init(&n, 6);
	for (uint64_t i = 1; i < 30; i++)
		sizing_update(&n, i * S, &none);
	EXPECT_EQ(n.servers, 6);
}

TEST(Sizing, WithoutPromptTokensTheBusyTimeCounts)
{
	struct sizing_sample s = {};
	struct sizing n;

	s.busy_s = 12;
	s.concurrency_per_server = 6;
	sizing_init(&n, 1);
	for (uint64_t i = 1; i < 60; i++)
		sizing_update(&n, i * S, &s);
	EXPECT_NEAR(n.servers, 2 / 0.6, 0.2);
}

} // namespace
