#include <gtest/gtest.h>

extern "C" {
#include "fleet/hubmsg.h"
}

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <vector>

namespace
{

std::vector<uint8_t>
encoded_state(bool evacuated = true, bool told = false, bool peers = false)
{
	struct hosttable_entry host = { 1041, "10.64.0.1" };
	struct hubmsg_state s;
	struct hubmsg_quota q = {};
	struct hubmsg_rollout v = {};
	const uint32_t member = 1041;
	uint8_t *bytes;
	size_t len;

	hubmsg_state_init(&s);
	s.echo_us = 5;
	s.is_leader = true;
	s.version = 12;
	s.manifest = reinterpret_cast<const uint8_t *>("{}");
	s.manifest_len = 2;
	strcpy(q.customer, "depot");
	q.level = -1234;
	q.acked_spent = 99;
	strcpy(v.service, "llm");
	v.state = HUBMSG_ROLLOUT_ROLLED_BACK;
	g_array_append_val(s.members, member);
	g_array_append_val(s.quotas, q);
	g_array_append_val(s.rollouts, v);
	if (evacuated)
		(void)evacset_add(&s.evacuations, 40, "csepel", 7);
	if (told)
		g_array_append_val(s.hosts, host);
	if (peers) {
		g_array_append_val(s.peers, member);
		s.n_near_peers = 1;
	}
	hubmsg_state_encode(&s, &bytes, &len);
	hubmsg_state_clear(&s);
	std::vector<uint8_t> out(bytes, bytes + len);
	free(bytes);
	return out;
}

TEST(Messages, AStateIsDecodedAsItWasEncoded)
{
	const std::vector<uint8_t> bytes = encoded_state();
	struct hubmsg_state s;

	hubmsg_state_init(&s);
	ASSERT_EQ(
	    hubmsg_state_decode(bytes.data(), bytes.size(), &s), STATUS_OK);
	EXPECT_TRUE(s.is_leader);
	EXPECT_EQ(s.version, 12U);
	EXPECT_EQ(s.manifest_len, 2U);
	ASSERT_EQ(s.members->len, 1U);
	EXPECT_EQ(g_array_index(s.members, uint32_t, 0), 1041U);
	EXPECT_EQ(g_array_index(s.quotas, struct hubmsg_quota, 0).level, -1234);
	EXPECT_EQ(g_array_index(s.rollouts, struct hubmsg_rollout, 0).state,
	    HUBMSG_ROLLOUT_ROLLED_BACK);
	EXPECT_EQ(s.evacuations.revision, 40U);
	EXPECT_TRUE(evacset_covers(&s.evacuations, "csepel"));
	hubmsg_state_clear(&s);
}

// Guards against a gateway that takes the address of a control process from a
// slot that doesn't imply it.
TEST(Messages, AStateTellsAddresses)
{
	for (const bool evacuated : { false, true }) {
		const std::vector<uint8_t> bytes =
		    encoded_state(evacuated, true);
		struct hubmsg_state s;

		hubmsg_state_init(&s);
		ASSERT_EQ(hubmsg_state_decode(bytes.data(), bytes.size(), &s),
		    STATUS_OK);
		ASSERT_EQ(s.hosts->len, 1U);
		EXPECT_STREQ(
		    g_array_index(s.hosts, struct hosttable_entry, 0).host,
		    "10.64.0.1");
		EXPECT_EQ(s.evacuations.revision, evacuated ? 40U : 0U);
		hubmsg_state_clear(&s);
	}
}

TEST(Messages, AStateTellsPeersAfterAllThatOlderVersionsKnow)
{
	for (const bool told : { false, true }) {
		const std::vector<uint8_t> bytes =
		    encoded_state(true, told, true);
		const std::vector<uint8_t> without = encoded_state(true, told);
		struct hubmsg_state s;

		EXPECT_TRUE(
		    std::equal(without.begin(), without.end(), bytes.begin()));
		hubmsg_state_init(&s);
		ASSERT_EQ(hubmsg_state_decode(bytes.data(), bytes.size(), &s),
		    STATUS_OK);
		EXPECT_EQ(s.hosts->len, told ? 1U : 0U);
		ASSERT_EQ(s.peers->len, 1U);
		EXPECT_EQ(g_array_index(s.peers, uint32_t, 0), 1041U);
		EXPECT_EQ(s.n_near_peers, 1U);
		hubmsg_state_clear(&s);
	}
}

// A state without evacuations is what older versions send and understand.
TEST(Messages, AStateOfAnOlderVersionIsDecoded)
{
	const std::vector<uint8_t> bytes = encoded_state(false);
	const std::vector<uint8_t> newer = encoded_state(true);
	struct hubmsg_state s;

	ASSERT_LT(bytes.size(), newer.size());
	EXPECT_TRUE(std::equal(bytes.begin(), bytes.end(), newer.begin()));
	hubmsg_state_init(&s);
	ASSERT_EQ(
	    hubmsg_state_decode(bytes.data(), bytes.size(), &s), STATUS_OK);
	EXPECT_EQ(s.evacuations.revision, 0U);
	hubmsg_state_clear(&s);
}

TEST(Messages, TruncatedStatesAreRefusedAndChangedOnesDoNotCrash)
{
	const std::vector<uint8_t> bytes = encoded_state();
	const size_t older = encoded_state(false).size();

	for (size_t n = 0; n < bytes.size(); n++) {
		struct hubmsg_state s;

		hubmsg_state_init(&s);
		// Cut at exactly this length it is an older version's.
		EXPECT_EQ(hubmsg_state_decode(bytes.data(), n, &s),
		    n == older ? STATUS_OK : STATUS_CORRUPT);
		hubmsg_state_clear(&s);
	}
	for (size_t i = 0; i < bytes.size(); i++) {
		std::vector<uint8_t> other = bytes;
		struct hubmsg_state s;

		other[i] ^= 0x41;
		hubmsg_state_init(&s);
		(void)hubmsg_state_decode(other.data(), other.size(), &s);
		hubmsg_state_clear(&s);
	}
}

TEST(Messages, AReportIsDecodedAsItWasEncoded)
{
	struct hubmsg_report r;
	struct hubmsg_usage u = {};
	struct hubmsg_load l = {};
	uint8_t *bytes;
	size_t len;

	hubmsg_report_init(&r);
	r.version = 3;
	r.evac_revision = 41;
	u.window = 353445120;
	strcpy(u.customer, "hall");
	u.n = 412;
	l.tokens = 80000;
	g_array_append_val(r.usage, u);
	g_array_append_val(r.loads, l);
	hubmsg_report_encode(&r, &bytes, &len);
	hubmsg_report_clear(&r);
	hubmsg_report_init(&r);
	ASSERT_EQ(hubmsg_report_decode(bytes, len, &r), STATUS_OK);
	EXPECT_EQ(g_array_index(r.usage, struct hubmsg_usage, 0).n, 412U);
	EXPECT_EQ(g_array_index(r.loads, struct hubmsg_load, 0).tokens, 80000U);
	EXPECT_EQ(r.evac_revision, 41U);
	hubmsg_report_clear(&r);
	// Without its last byte, the revision, it is an older version's.
	hubmsg_report_init(&r);
	ASSERT_EQ(hubmsg_report_decode(bytes, len - 1, &r), STATUS_OK);
	EXPECT_EQ(r.evac_revision, 0U);
	hubmsg_report_clear(&r);
	free(bytes);
}

/// Guards against control of an older version that refuses the reports of newer
/// gateways, which then serve nobody: it knows no evacuations.
TEST(Messages, AReportWithoutEvacuationsIsWhatOlderVersionsRead)
{
	struct hubmsg_report r;
	size_t lens[2];

	hubmsg_report_init(&r);
	for (const uint64_t revision : { 0, 1 }) {
		uint8_t *bytes;

		r.evac_revision = revision;
		hubmsg_report_encode(&r, &bytes, &lens[revision]);
		free(bytes);
	}
	hubmsg_report_clear(&r);
	EXPECT_EQ(lens[0] + 1, lens[1]);
}

} // namespace

/// Older gateways and hubs send neither how long a request can wait nor whether
/// it does.
TEST(Messages, AnAskOfAnOlderGatewayIsUnderstood)
{
	struct hubmsg_ask with = {};
	struct hubmsg_ask without;
	struct hubmsg_ask out;
	uint8_t *bytes;
	size_t len;

	with.units = 900;
	with.can_wait = true;
	with.wait_us = 400000;
	with.kind = HUBMSG_ASK_WITHDRAW;
	hubmsg_ask_encode(&with, &bytes, &len);
	ASSERT_EQ(hubmsg_ask_decode(bytes, len, &out), STATUS_OK);
	EXPECT_TRUE(out.can_wait);
	EXPECT_EQ(out.wait_us, 400000U);
	EXPECT_EQ(out.kind, HUBMSG_ASK_WITHDRAW);
	EXPECT_NE(hubmsg_ask_decode(bytes, len - 1, &out), STATUS_OK);
	free(bytes);
	without = with;
	without.can_wait = false;
	hubmsg_ask_encode(&without, &bytes, &len);
	ASSERT_EQ(hubmsg_ask_decode(bytes, len, &out), STATUS_OK);
	EXPECT_FALSE(out.can_wait);
	EXPECT_EQ(out.units, 900U);
	free(bytes);
}

TEST(Messages, AnAnswerWithoutAQueueIsUnderstood)
{
	struct hubmsg_answer a = {};
	struct hubmsg_answer out;
	uint8_t *bytes;
	size_t len;

	a.level = -40;
	a.has_queue = true;
	a.queued = true;
	a.room_us = 9;
	hubmsg_answer_encode(&a, &bytes, &len);
	ASSERT_EQ(hubmsg_answer_decode(bytes, len, &out), STATUS_OK);
	EXPECT_TRUE(out.queued);
	EXPECT_EQ(out.room_us, 9U);
	free(bytes);
	a.has_queue = false;
	hubmsg_answer_encode(&a, &bytes, &len);
	ASSERT_EQ(hubmsg_answer_decode(bytes, len, &out), STATUS_OK);
	EXPECT_FALSE(out.queued);
	EXPECT_EQ(out.level, -40);
	free(bytes);
}
