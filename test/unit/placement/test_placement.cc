#include <gtest/gtest.h>

extern "C" {
#include "placement/placement.h"
#include "placement/plan.h"
}

#include <algorithm>
#include <vector>

namespace
{

constexpr uint64_t second = 1000000;

/// Three data centres, each with a cheap reclaimable and a dear class.
placement_inputs
world_of(double demand)
{
	placement_inputs w = {};

	w.n_data_centres = 3;
	for (uint32_t d = 0; d < 3; d++) {
		w.classes[w.n_classes++] = { d, true, 300000, 1000, 20 };
		w.classes[w.n_classes++] = { d, false, 1000000, 1000, 20 };
	}
	w.demand_tokens_per_s = demand;
	return w;
}

void
keep(void *arg, const placement_effect *effect)
{
	static_cast<std::vector<placement_effect> *>(arg)->push_back(*effect);
}

std::vector<placement_effect>
tick(struct placement *p, uint64_t at_s, placement_inputs &w,
    const std::vector<placement_vm> &vms)
{
	std::vector<placement_effect> out;

	w.vms = vms.data();
	w.n_vms = static_cast<uint32_t>(vms.size());
	placement_tick(p, at_s * second, &w, keep, &out);
	return out;
}

placement_vm
live(uint64_t id, uint32_t class_index)
{
	placement_vm vm = {};

	vm.id = id;
	vm.class_index = class_index;
	vm.state = PLACEMENT_LIVE;
	return vm;
}

} // namespace

TEST(Plan, HoldsTheNeedThroughTheLossOfAnyDataCentreAtTheLeastPrice)
{
	const placement_inputs w = world_of(0);
	struct plan q = {};
	uint32_t target[PLACEMENT_MAX_CLASSES];

	q.world = &w;
	q.tokens_per_s = 10000;
	std::fill_n(q.most, 6, 20);
	ASSERT_TRUE(plan_solve(&q, target));
	for (int d = 0; d < 3; d++) {
		EXPECT_EQ(target[2 * d], 5U);
		EXPECT_EQ(target[2 * d + 1], 0U);
	}
	EXPECT_EQ(plan_price(&w, target), 15U * 300000);
	std::fill_n(q.most, 6, 2);
	EXPECT_FALSE(plan_solve(&q, target));
}

TEST(Placement, RefusedClassIsLeftAloneAndAnotherBought)
{
	const placement_settings settings = {};
	struct placement *p = placement_new(&settings, 1);
	placement_inputs w = world_of(8000);
	const auto first = tick(p, 100, w, {});
	const auto is_spot = [](const placement_effect &e) {
		return e.kind == PLACEMENT_CREATE && e.class_index % 2 == 0;
	};

	EXPECT_EQ(first.size(), 15U);
	EXPECT_TRUE(std::all_of(first.begin(), first.end(), is_spot));
	for (uint32_t c = 0; c < 6; c += 2)
		placement_start_refused(p, 101 * second, c);
	const auto after = tick(p, 102, w, {});
	EXPECT_EQ(after.size(), 15U);
	EXPECT_TRUE(std::none_of(after.begin(), after.end(), is_spot));
	const auto later = tick(p, 150, w, {});
	EXPECT_TRUE(std::all_of(later.begin(), later.end(), is_spot));
	placement_free(p);
}

TEST(Placement, SurplusIsDrainedOnlyWhenItLastsAndNeverFixedVms)
{
	const placement_settings settings = {};
	struct placement *p = placement_new(&settings, 1);
	placement_inputs w = world_of(800);
	std::vector<placement_vm> vms;

	for (uint32_t d = 0; d < 3; d++) {
		for (uint64_t i = 0; i < 4; i++) {
			vms.push_back(live(10 * d + i, 2 * d));
			vms.back().fixed = i == 0;
		}
	}
	EXPECT_TRUE(tick(p, 1000, w, vms).empty());
	EXPECT_TRUE(tick(p, 1200, w, vms).empty());
	const auto drained = tick(p, 1301, w, vms);
	EXPECT_FALSE(drained.empty());
	for (const placement_effect &e : drained) {
		EXPECT_EQ(e.kind, PLACEMENT_DRAIN);
		EXPECT_NE(e.id % 10, 0U);
	}
	vms[1].state = PLACEMENT_DRAINING;
	EXPECT_EQ(tick(p, 1302, w, vms).back().kind, PLACEMENT_RELEASE);
	placement_free(p);
}

TEST(Weights, UrgentVersionFirstWithinTheSlotsAndOldOnesUnloaded)
{
	placement_settings settings = {};
	settings.store_slots = 2;
	settings.store_bytes_per_s = 1000;
	struct placement *p = placement_new(&settings, 1);
	placement_inputs w = world_of(800);
	std::vector<placement_vm> vms;

	for (uint32_t d = 0; d < 3; d++) {
		vms.push_back(live(d, 2 * d));
		vms.back().loaded = d == 0 ? 1 : 0;
	}
	w.n_versions = 3;
	w.versions[0] = { 100, 1000, 0, 0, false };
	w.versions[1] = { 101, 1000, 1000, 9000 * second, true };
	w.versions[2] = { 102, 1000, 1000, 2000 * second, true };
	const auto effects = tick(p, 1000, w, vms);
	ASSERT_EQ(effects.size(), 3U);
	EXPECT_EQ(effects[0].kind, PLACEMENT_UNLOAD);
	EXPECT_EQ(effects[0].version, 100U);
	EXPECT_EQ(effects[1].kind, PLACEMENT_LOAD);
	EXPECT_EQ(effects[1].version, 102U);
	EXPECT_EQ(effects[2].version, 102U);
	EXPECT_NE(effects[1].id, effects[2].id);
	vms[1].loaded = 3;
	EXPECT_EQ(placement_ready_permille(&w, 1, 0), 500U);
	EXPECT_EQ(placement_ready_permille(&w, 0, 1), 1000U);
	EXPECT_EQ(placement_ready_permille(&w, 2, 1), 0U);
	placement_free(p);
}
