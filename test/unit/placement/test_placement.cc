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

/// Three data centres, each with a cheap reclaimable class and an expensive
/// on-demand class.
placement_inputs
inputs_of(double demand)
{
	placement_inputs in = {};

	in.n_data_centres = 3;
	for (uint32_t d = 0; d < 3; d++) {
		in.classes[in.n_classes++] = { d, true, 300000, 1000, 20 };
		in.classes[in.n_classes++] = { d, false, 1000000, 1000, 20 };
	}
	in.demand_tokens_per_s = demand;
	return in;
}

void
append_effect(void *arg, const placement_effect *effect)
{
	static_cast<std::vector<placement_effect> *>(arg)->push_back(*effect);
}

std::vector<placement_effect>
tick(struct placement *p, uint64_t at_s, placement_inputs &in,
    const std::vector<placement_vm> &vms)
{
	std::vector<placement_effect> out;

	in.vms = vms.data();
	in.n_vms = static_cast<uint32_t>(vms.size());
	placement_tick(p, at_s * second, &in, append_effect, &out);
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

TEST(Plan, KeepsTheCapacityAfterTheLossOfAnyDataCentreAtTheLowestPrice)
{
	const placement_inputs in = inputs_of(0);
	struct plan q = {};
	uint32_t target[PLACEMENT_MAX_CLASSES];

	q.inputs = &in;
	q.tokens_per_s = 10000;
	std::fill_n(q.max_vms, 6, 20);
	ASSERT_TRUE(plan_solve(&q, target));
	for (int d = 0; d < 3; d++) {
		EXPECT_EQ(target[2 * d], 5U);
		EXPECT_EQ(target[2 * d + 1], 0U);
	}
	EXPECT_EQ(plan_price(&in, target), 15U * 300000);
	std::fill_n(q.max_vms, 6, 2);
	EXPECT_FALSE(plan_solve(&q, target));
}

TEST(Placement, ClassWithARefusedStartBacksOffAndAnotherIsUsed)
{
	const placement_settings settings = {};
	struct placement *p = placement_new(&settings, 1);
	placement_inputs in = inputs_of(8000);
	const auto first = tick(p, 100, in, {});
	const auto is_spot = [](const placement_effect &e) {
		return e.kind == PLACEMENT_CREATE && e.class_index % 2 == 0;
	};

	EXPECT_EQ(first.size(), 15U);
	EXPECT_TRUE(std::all_of(first.begin(), first.end(), is_spot));
	for (uint32_t c = 0; c < 6; c += 2)
		placement_start_refused(p, 101 * second, c);
	const auto after = tick(p, 102, in, {});
	EXPECT_EQ(after.size(), 15U);
	EXPECT_TRUE(std::none_of(after.begin(), after.end(), is_spot));
	const auto later = tick(p, 150, in, {});
	EXPECT_TRUE(std::all_of(later.begin(), later.end(), is_spot));
	placement_free(p);
}

TEST(Placement, SurplusIsDrainedOnlyWhenItLastsAndNeverPinnedVms)
{
	const placement_settings settings = {};
	struct placement *p = placement_new(&settings, 1);
	placement_inputs in = inputs_of(800);
	std::vector<placement_vm> vms;

	for (uint32_t d = 0; d < 3; d++) {
		for (uint64_t i = 0; i < 4; i++) {
			vms.push_back(live(10 * d + i, 2 * d));
			vms.back().pinned = i == 0;
		}
	}
	EXPECT_TRUE(tick(p, 1000, in, vms).empty());
	EXPECT_TRUE(tick(p, 1200, in, vms).empty());
	const auto drained = tick(p, 1301, in, vms);
	EXPECT_FALSE(drained.empty());
	for (const placement_effect &e : drained) {
		EXPECT_EQ(e.kind, PLACEMENT_DRAIN);
		EXPECT_NE(e.id % 10, 0U);
	}
	vms[1].state = PLACEMENT_DRAINING;
	EXPECT_EQ(tick(p, 1302, in, vms).back().kind, PLACEMENT_RELEASE);
	placement_free(p);
}

TEST(Weights, MostUrgentVersionLoadsFirstWithinTheSlotsAndUnusedOnesUnload)
{
	placement_settings settings = {};
	settings.store_slots = 2;
	settings.store_bytes_per_s = 1000;
	struct placement *p = placement_new(&settings, 1);
	placement_inputs in = inputs_of(800);
	std::vector<placement_vm> vms;

	for (uint32_t d = 0; d < 3; d++) {
		vms.push_back(live(d, 2 * d));
		vms.back().loaded_mask = d == 0 ? 1 : 0;
	}
	in.n_versions = 3;
	in.versions[0] = { 100, 1000, 0, 0, false };
	in.versions[1] = { 101, 1000, 1000, 9000 * second, true };
	in.versions[2] = { 102, 1000, 1000, 2000 * second, true };
	const auto effects = tick(p, 1000, in, vms);
	ASSERT_EQ(effects.size(), 3U);
	EXPECT_EQ(effects[0].kind, PLACEMENT_UNLOAD);
	EXPECT_EQ(effects[0].version, 100U);
	EXPECT_EQ(effects[1].kind, PLACEMENT_LOAD);
	EXPECT_EQ(effects[1].version, 102U);
	EXPECT_EQ(effects[2].version, 102U);
	EXPECT_NE(effects[1].id, effects[2].id);
	vms[1].loaded_mask = 3;
	EXPECT_EQ(placement_ready_permille(&in, 1, 0), 500U);
	EXPECT_EQ(placement_ready_permille(&in, 0, 1), 1000U);
	EXPECT_EQ(placement_ready_permille(&in, 2, 1), 0U);
	placement_free(p);
}
