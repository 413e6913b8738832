#include <gtest/gtest.h>

extern "C" {
#include "fleet/fleetcfg.h"
#include "fleet/hosttable.h"
#include "fleet/slotaddr.h"
}

namespace
{

class Config : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		c = fleetcfg_new(7);
		ASSERT_NE(fleetcfg_add_service(c, "app"), nullptr);
		ASSERT_NE(fleetcfg_add_service(c, "llm"), nullptr);
	}

	void TearDown() override
	{
		fleetcfg_unref(c);
	}

	struct fleetcfg_route *Route(
	    const char *name, const char *host, const char *prefix)
	{
		struct fleetcfg_route *r = fleetcfg_add_route(c, host, prefix);

		if (r == nullptr)
			return nullptr;
		snprintf(r->name, sizeof(r->name), "%s", name);
		r->timeout_ms = 1000;
		EXPECT_EQ(fleetcfg_add_split(c, r, "app", 1), STATUS_OK);
		return r;
	}

	struct fleetcfg *c;
};

TEST_F(Config, LongestPrefixOfTheHostWins)
{
	Route("short", "a.example", "/x/");
	Route("long", "a.example", "/x/y/");
	Route("other", "b.example", "/x/");
	ASSERT_EQ(fleetcfg_validate(c), STATUS_OK);
	EXPECT_STREQ(
	    fleetcfg_match_route(c, "a.example", "/x/y/z")->name, "long");
	EXPECT_STREQ(
	    fleetcfg_match_route(c, "a.example", "/x/yz")->name, "short");
	EXPECT_STREQ(
	    fleetcfg_match_route(c, "b.example", "/x/y/z")->name, "other");
	EXPECT_EQ(fleetcfg_match_route(c, "a.example", "/x"), nullptr);
	EXPECT_EQ(fleetcfg_match_route(c, "c.example", "/x/"), nullptr);
}

TEST_F(Config, EqualHostAndPrefixAreRefused)
{
	Route("one", "a.example", "/x/");
	EXPECT_EQ(fleetcfg_add_route(c, "a.example", "/x/"), nullptr);
	EXPECT_NE(fleetcfg_add_route(c, "b.example", "/x/"), nullptr);
}

TEST_F(Config, WeightsDecideTheService)
{
	struct fleetcfg_route *r = Route("split", "a.example", "/x/");
	unsigned n[2] = { 0, 0 };

	ASSERT_EQ(fleetcfg_add_split(c, r, "llm", 3), STATUS_OK);
	EXPECT_EQ(fleetcfg_add_split(c, r, "none", 3), STATUS_INVALID);
	for (uint64_t i = 0; i < 400; i++)
		n[fleetcfg_pick_service(r, i)]++;
	EXPECT_EQ(n[0], 100U);
	EXPECT_EQ(n[1], 300U);
}

TEST_F(Config, NoWeightOrNoTimeoutIsRefused)
{
	struct fleetcfg_route *r = Route("zero", "a.example", "/x/");

	r->splits[0].weight = 0;
	EXPECT_EQ(fleetcfg_validate(c), STATUS_INVALID);
	r->splits[0].weight = 1;
	r->timeout_ms = 0;
	EXPECT_EQ(fleetcfg_validate(c), STATUS_INVALID);
}

TEST_F(Config, KeysBelongToOneCustomer)
{
	struct fleetcfg_customer *u = fleetcfg_add_customer(c, "depot");
	struct fleetcfg_customer *v = fleetcfg_add_customer(c, "hall");

	ASSERT_EQ(fleetcfg_add_key(c, u, "k1"), STATUS_OK);
	EXPECT_EQ(fleetcfg_add_key(c, v, "k1"), STATUS_INVALID);
	EXPECT_EQ(fleetcfg_customer_by_key(c, "k1"), u);
	EXPECT_EQ(fleetcfg_customer_by_key(c, "k2"), nullptr);
}

TEST_F(Config, IdempotentRequestsAndResumableStreamsAreRetryable)
{
	struct fleetcfg_route *r = Route("r", "a.example", "/x/");

	r->kind = FLEETCFG_IDEMPOTENT;
	EXPECT_TRUE(fleetcfg_is_retryable(r));
	r->kind = FLEETCFG_NON_IDEMPOTENT;
	EXPECT_FALSE(fleetcfg_is_retryable(r));
	r->kind = FLEETCFG_STREAM;
	EXPECT_FALSE(fleetcfg_is_retryable(r));
	r->resumable = true;
	EXPECT_TRUE(fleetcfg_is_retryable(r));
}

TEST(Slots, ConvertBackToTheAddress)
{
	char host[32];

	for (const char *at : { "10.1.0.17", "10.63.3.255", "10.0.0.1" }) {
		slotaddr_to_host(
		    "10.9.9.9", slotaddr_from_host(at), host, sizeof(host));
		EXPECT_STREQ(host, at);
	}
	EXPECT_EQ(slotaddr_from_host("no address"), 0U);
	EXPECT_EQ(slotaddr_from_host("10.1.0.1.5"), 0U);
	EXPECT_EQ(slotaddr_from_host("10.1.0.256"), 0U);
}

/// Guards against control processes that don't start at an address whose bytes
/// don't fit a slot.
TEST(Slots, EveryAddressHasOneAndItsAddressIsKnown)
{
	const uint32_t own = slotaddr_from_host("10.1.0.17");
	struct hosttable *t = hosttable_new("10.1.0.17");
	char host[INSTANCE_HOST_BYTES];
	GArray *told;

	(void)hosttable_set(t, own, "10.1.0.17");
	EXPECT_TRUE(slotaddr_implies("10.9.9.9", own, "10.1.0.17"));
	EXPECT_FALSE(slotaddr_implies("11.9.9.9", own, "10.1.0.17"));
	for (const char *at : { "10.64.0.1", "10.1.4.1", "192.168.255.9" }) {
		const uint32_t slot = slotaddr_from_host(at);

		EXPECT_NE(slot, 0U) << at;
		EXPECT_LE(slot, 0xffffU) << at;
		EXPECT_FALSE(slotaddr_implies("10.1.0.17", slot, at));
		EXPECT_TRUE(hosttable_fits(t, slot, at));
		EXPECT_TRUE(hosttable_set(t, slot, at));
		EXPECT_FALSE(hosttable_set(t, slot, at));
		EXPECT_FALSE(hosttable_fits(t, slot, "10.1.0.9"));
		hosttable_get(t, slot, host);
		EXPECT_STREQ(host, at);
	}
	// A process at 192.168.255.9 takes the others' first byte for its own.
	told = hosttable_not_implied(t);
	EXPECT_EQ(told->len, 4U);
	g_array_unref(told);
	hosttable_free(t);
	t = hosttable_new("10.1.0.17");
	(void)hosttable_set(t, own, "10.1.0.17");
	(void)hosttable_set(t, slotaddr_from_host("10.1.1.5"), "10.1.1.5");
	told = hosttable_not_implied(t);
	EXPECT_EQ(told->len, 0U);
	g_array_unref(told);
	hosttable_free(t);
}

/// Guards against a gateway that is asked for an attempt at another address
/// than its own: one whose slot doesn't imply it, or of another network.
TEST(Slots, APackedAddressIsWhole)
{
	char host[INSTANCE_HOST_BYTES];

	for (const char *at : { "10.2.0.5", "172.2.0.5", "10.64.0.1",
		 "127.255.255.255", "192.168.7.9", "1.0.0.0" }) {
		slotaddr_unpack(
		    "10.9.9.9", slotaddr_pack(at), host, sizeof(host));
		EXPECT_STREQ(host, at);
	}
	EXPECT_EQ(slotaddr_pack("no address"), 0U);
	// What older versions send, and what they read.
	slotaddr_unpack(
	    "10.9.9.9", slotaddr_from_host("10.2.0.5"), host, sizeof(host));
	EXPECT_STREQ(host, "10.2.0.5");
	EXPECT_EQ(
	    slotaddr_pack("10.2.0.5") & 0xffff, slotaddr_from_host("10.2.0.5"));
	EXPECT_TRUE(slotaddr_fits_slot(slotaddr_pack("10.2.0.5")));
	EXPECT_FALSE(slotaddr_fits_slot(slotaddr_pack("10.64.0.5")));
	EXPECT_FALSE(slotaddr_fits_slot(slotaddr_pack("10.2.4.5")));
}

/// Two addresses whose usual slots are the same.
constexpr const char *kSameSlot[] = { "127.200.27.11", "127.236.39.12" };

/// Guards against processes that know each other by different slots: seeds with
/// one usual slot get different ones, the same at all processes.
TEST(Slots, SeedsWithOneSlotGetTheSameOnesEverywhere)
{
	struct settings_addr seeds[3] = {};
	uint32_t slots[2][3];

	ASSERT_EQ(
	    slotaddr_from_host(kSameSlot[0]), slotaddr_from_host(kSameSlot[1]));
	for (int order = 0; order < 2; order++) {
		struct hosttable *t = hosttable_new("127.9.9.9");

		g_strlcpy(seeds[order].host, kSameSlot[0], SPEC_HOST_BYTES);
		g_strlcpy(seeds[1 - order].host, kSameSlot[1], SPEC_HOST_BYTES);
		g_strlcpy(seeds[2].host, "127.200.27.13", SPEC_HOST_BYTES);
		hosttable_assume_seeds(t, seeds, 3);
		slots[order][0] = hosttable_slot(t, kSameSlot[0]);
		slots[order][1] = hosttable_slot(t, kSameSlot[1]);
		slots[order][2] = hosttable_slot(t, seeds[2].host);
		for (int i = 0; i < 2; i++)
			EXPECT_TRUE(
			    slotaddr_is_choice(kSameSlot[i], slots[order][i]));
		hosttable_free(t);
	}
	EXPECT_EQ(memcmp(slots[0], slots[1], sizeof(slots[0])), 0);
	EXPECT_NE(slots[0][0], slots[0][1]);
}

/// Guards against a seed that takes the slot of a process that has told its
/// own.
TEST(Slots, AnAssumedSlotGivesWayToOneThatIsTold)
{
	struct hosttable *t = hosttable_new("127.9.9.9");
	const uint32_t slot = hosttable_assume(t, kSameSlot[0]);
	char host[INSTANCE_HOST_BYTES];

	EXPECT_TRUE(hosttable_fits(t, slot, kSameSlot[1]));
	EXPECT_TRUE(hosttable_set(t, slot, kSameSlot[1]));
	EXPECT_FALSE(hosttable_fits(t, slot, kSameSlot[0]));
	EXPECT_NE(hosttable_assume(t, kSameSlot[0]), slot);
	hosttable_get(t, slot, host);
	EXPECT_STREQ(host, kSameSlot[1]);
	// Told at last, its slot is another one than was assumed.
	EXPECT_TRUE(
	    hosttable_set(t, slotaddr_choice(kSameSlot[0], 5), kSameSlot[0]));
	EXPECT_EQ(
	    hosttable_slot(t, kSameSlot[0]), slotaddr_choice(kSameSlot[0], 5));
	hosttable_free(t);
}

} // namespace
