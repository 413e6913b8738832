#include <gtest/gtest.h>

extern "C" {
#include "hub/hubstate.h"
}

#include <cstdlib>
#include <cstring>
#include <string>

namespace
{

class State : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		s = hubstate_new();
	}

	void TearDown() override
	{
		hubstate_free(s);
	}

	void Apply(const struct hubstate_command &c)
	{
		uint8_t *bytes;
		size_t len;

		hubstate_encode(&c, &bytes, &len);
		EXPECT_EQ(hubstate_apply(s, ++index, bytes, len), STATUS_OK);
		free(bytes);
	}

	void Config(uint64_t version, const char *text)
	{
		struct hubstate_command c = {};

		c.kind = HUBSTATE_CONFIG;
		c.version = version;
		c.manifest = reinterpret_cast<const uint8_t *>(text);
		c.manifest_len = strlen(text);
		Apply(c);
	}

	void Usage(uint64_t window, uint64_t n)
	{
		struct hubstate_command c = {};
		struct hubmsg_usage u = {};

		c.kind = HUBSTATE_USAGE;
		c.usage.window = window;
		c.usage.counts =
		    g_array_new(FALSE, TRUE, sizeof(struct hubmsg_usage));
		strcpy(u.customer, "depot");
		u.n = n;
		g_array_append_val(c.usage.counts, u);
		Apply(c);
		g_array_unref(c.usage.counts);
	}

	void Evacuation(const char *zone, bool evacuate)
	{
		struct hubstate_command c = {};

		c.kind = evacuate ? HUBSTATE_EVACUATE : HUBSTATE_RESTORE;
		strcpy(c.evacuation.zone, zone);
		c.evacuation.since_us = 1000 * (index + 1);
		Apply(c);
	}

	bool IsEvacuated(const char *zone)
	{
		return evacset_covers(hubstate_evacuations(s), zone);
	}

	/// Goes on with what a snapshot holds.
	void Reload()
	{
		struct hubstate *loaded;
		uint8_t *bytes;
		size_t len;

		hubstate_save(s, &bytes, &len);
		ASSERT_EQ(hubstate_load(bytes, len, &loaded), STATUS_OK);
		free(bytes);
		hubstate_free(s);
		s = loaded;
	}

	std::string Text()
	{
		size_t len;
		const uint8_t *text = hubstate_manifest(s, &len);

		return std::string(reinterpret_cast<const char *>(text), len);
	}

	struct hubstate *s;
	uint64_t index = 0;
};

// Commands with configurations may be committed in another order than that of
// their versions.
TEST_F(State, TheHighestVersionWinsInAnyOrder)
{
	Config(7, "seven");
	Config(5, "five");
	Config(7, "other");
	EXPECT_EQ(Text(), "seven");
	Config(9, "nine");
	EXPECT_EQ(Text(), "nine");
	EXPECT_EQ(hubstate_version(s), 9U);
}

TEST_F(State, TheFencingNumberGrowsWithEachHolder)
{
	struct hubstate_command c = {};
	uint64_t last = 0;

	c.kind = HUBSTATE_DUTY;
	for (uint32_t holder = 1; holder < 5; holder++) {
		c.holder = holder;
		Apply(c);
		EXPECT_EQ(hubstate_duty(s).holder, holder);
		EXPECT_GT(hubstate_duty(s).fence, last);
		last = hubstate_duty(s).fence;
	}
}

// Guards against a state that is sent to all gateways for each command of the
// log: only commands that change it for them may do that.
TEST_F(State, OnlySomeCommandsConcernGateways)
{
	struct hubstate_command c = {};

	Config(5, "five");
	EXPECT_EQ(hubstate_gateways_index(s), 1U);
	Usage(3, 10);
	c.kind = HUBSTATE_DUTY;
	c.holder = 1;
	Apply(c);
	c.kind = HUBSTATE_NEEDED_SERVERS;
	Apply(c);
	EXPECT_EQ(hubstate_gateways_index(s), 1U);
	c.kind = HUBSTATE_ROLLOUT;
	Apply(c);
	EXPECT_EQ(hubstate_gateways_index(s), 5U);
	c.kind = HUBSTATE_BLOCK;
	Apply(c);
	EXPECT_EQ(hubstate_gateways_index(s), 6U);
}

// A second command for a window, from a new leader that doesn't know of the
// first, must not change usage that may have been reported to the cloud.
TEST_F(State, TheFirstCountsOfAWindowAreFinal)
{
	Usage(100, 412);
	Usage(100, 500);
	ASSERT_NE(hubstate_usage(s, 100), nullptr);
	EXPECT_EQ(g_array_index(
		      hubstate_usage(s, 100)->counts, struct hubmsg_usage, 0)
		      .n,
	    412U);
	EXPECT_EQ(hubstate_usage(s, 101), nullptr);
}

// A decision on a rollout may be committed after an operator has replaced that
// rollout with another one.
TEST_F(State, AnOlderRolloutDoesNotReplaceANewerOne)
{
	struct hubstate_command c = {};

	c.kind = HUBSTATE_ROLLOUT;
	strcpy(c.rollout.service, "llm");
	strcpy(c.rollout.target, "v3");
	c.rollout.record.added_us = 20;
	Apply(c);
	strcpy(c.rollout.target, "v2");
	c.rollout.record.added_us = 10;
	c.rollout.record.state = ROLLOUT_DONE;
	Apply(c);
	EXPECT_STREQ(hubstate_rollout(s, "llm")->target, "v3");
	EXPECT_EQ(hubstate_n_rollouts(s), 1U);
}

TEST_F(State, ASnapshotKeepsTheWholeState)
{
	struct hubstate_command c = {};
	uint8_t *bytes;
	size_t len;
	struct hubstate *copy;

	Config(7, "seven");
	Usage(100, 412);
	c.kind = HUBSTATE_NEEDED_SERVERS;
	strcpy(c.service, "llm");
	c.needed_milliservers = 4200;
	Apply(c);
	c.kind = HUBSTATE_DUTY;
	c.holder = 9;
	Apply(c);
	hubstate_save(s, &bytes, &len);
	ASSERT_EQ(hubstate_load(bytes, len, &copy), STATUS_OK);
	for (size_t n = 0; n < len; n++) {
		struct hubstate *cut;

		ASSERT_EQ(hubstate_load(bytes, n, &cut), STATUS_CORRUPT);
	}
	hubstate_free(s);
	s = copy;
	free(bytes);
	EXPECT_EQ(Text(), "seven");
	EXPECT_NE(hubstate_usage(s, 100), nullptr);
	EXPECT_EQ(hubstate_needed_milliservers(s, "llm"), 4200U);
	EXPECT_EQ(hubstate_duty(s).holder, 9U);
}

TEST_F(State, BlockedPartsAreKeptBySnapshotsAndBounded)
{
	struct hubstate_command c = {};
	struct hubstate *copy;
	uint8_t *bytes;
	size_t len;

	c.kind = HUBSTATE_BLOCK;
	strcpy(c.block.part.service, "llm");
	for (uint64_t i = 1; i <= 300; i++) {
		c.block.part.id = i;
		c.block.until_us = 1000 + i;
		c.block.n_blocks = 1;
		Apply(c);
	}
	EXPECT_EQ(hubstate_n_blocks(s), 256U);
	c.block.until_us = 9000;
	c.block.n_blocks = 2;
	Apply(c);
	EXPECT_EQ(hubstate_blocks_revision(s), index);
	hubstate_save(s, &bytes, &len);
	ASSERT_EQ(hubstate_load(bytes, len, &copy), STATUS_OK);
	hubstate_free(s);
	s = copy;
	free(bytes);
	EXPECT_EQ(hubstate_n_blocks(s), 256U);
	EXPECT_EQ(hubstate_blocks_revision(s), index);
	EXPECT_EQ(hubstate_block(s, &c.block.part)->n_blocks, 2U);
	EXPECT_EQ(hubstate_block(s, &c.block.part)->until_us, 9000U);
	c.block.part.id = 1;
	EXPECT_EQ(hubstate_block(s, &c.block.part), nullptr);
}

TEST_F(State, ACommandThatCantBeDecodedChangesNothing)
{
	Config(7, "seven");
	EXPECT_EQ(hubstate_apply(s, ++index,
		      reinterpret_cast<const uint8_t *>("\xc1x"), 2),
	    STATUS_CORRUPT);
	EXPECT_EQ(Text(), "seven");
}

// Operators order, withdraw and order again in quick succession.
TEST_F(State, TheLastCommandOfTheLogDecidesOnAnEvacuation)
{
	Evacuation("csepel", true);
	Evacuation("csepel", false);
	Evacuation("csepel", true);
	EXPECT_TRUE(IsEvacuated("csepel"));
	Evacuation("kelenfold", true);
	Evacuation("csepel", false);
	EXPECT_FALSE(IsEvacuated("csepel"));
	EXPECT_TRUE(IsEvacuated("kelenfold"));
	EXPECT_EQ(hubstate_evacuations(s)->revision, 5U);
}

// An operator resends an order whose ack was lost: gateways must not be sent
// the state again, and the time of the evacuation must stay.
TEST_F(State, AResentEvacuationChangesNothing)
{
	Evacuation("csepel", true);
	Evacuation("csepel", true);
	EXPECT_EQ(hubstate_gateways_index(s), 1U);
	EXPECT_EQ(hubstate_evacuations(s)->revision, 1U);
	EXPECT_EQ(hubstate_evacuations(s)->entries[0].since_us, 1000U);
	Evacuation("csepel", false);
	Evacuation("csepel", false);
	EXPECT_EQ(hubstate_gateways_index(s), 3U);
	EXPECT_EQ(hubstate_evacuations(s)->revision, 3U);
}

// Guards against members that are lost with the log's oldest entries: their
// addresses are in no other place for a process that joins.
TEST_F(State, ASnapshotHoldsTheAddressesOfSlots)
{
	struct hubstate_command c = {};

	c.kind = HUBSTATE_HOST;
	c.host.slot = 7;
	strcpy(c.host.host, "10.64.0.1");
	Apply(c);
	EXPECT_EQ(hubstate_gateways_index(s), 1U);
	Reload();
	EXPECT_TRUE(hubstate_has_host(s, 7, "10.64.0.1"));
	strcpy(c.host.host, "10.65.0.1");
	Apply(c);
	EXPECT_FALSE(hubstate_has_host(s, 7, "10.64.0.1"));
	EXPECT_EQ(hubstate_hosts(s)->len, 1U);
	for (c.host.slot = 8; c.host.slot < 200; c.host.slot++)
		Apply(c);
	EXPECT_EQ(hubstate_hosts(s)->len, 64U);
	EXPECT_TRUE(hubstate_has_host(s, 199, "10.65.0.1"));
	Reload();
	EXPECT_EQ(hubstate_hosts(s)->len, 64U);
}

// A process that starts from a snapshot, after compaction or with an empty
// disk, must know the evacuations, and the revision of the last one to end:
// gateways ignore a set with a lower revision.
TEST_F(State, ASnapshotHoldsTheEvacuations)
{
	Evacuation("csepel", true);
	Evacuation("kelenfold", true);
	Reload();
	EXPECT_TRUE(IsEvacuated("csepel"));
	EXPECT_TRUE(IsEvacuated("kelenfold"));
	Evacuation("csepel", false);
	Evacuation("kelenfold", false);
	Reload();
	EXPECT_FALSE(IsEvacuated("csepel"));
	EXPECT_EQ(hubstate_evacuations(s)->revision, 4U);
	Evacuation("csepel", true);
	EXPECT_EQ(hubstate_evacuations(s)->revision, 5U);
}

// Processes of an older version read a snapshot as long as no data centre was
// ever evacuated.
TEST_F(State, ASnapshotWithoutEvacuationsHasTheOldFormat)
{
	uint8_t *bytes;
	size_t len;

	Config(5, "five");
	hubstate_save(s, &bytes, &len);
	EXPECT_EQ(bytes[0], 1);
	free(bytes);
	Evacuation("csepel", true);
	hubstate_save(s, &bytes, &len);
	EXPECT_EQ(bytes[0], 3);
	free(bytes);
}

} // namespace
