#include <gtest/gtest.h>

extern "C" {
#include "fleet/lm.h"
}

#include <cstdlib>
#include <cstring>
#include <vector>

namespace
{

std::vector<uint8_t>
encoded_state()
{
	struct lm_state s;
	struct lm_quota q = {};
	struct lm_move v = {};
	const uint32_t member = 1041;
	uint8_t *bytes;
	size_t len;

	lm_state_init(&s);
	s.echo_us = 5;
	s.leads = true;
	s.version = 12;
	s.manifest = reinterpret_cast<const uint8_t *>("{}");
	s.manifest_len = 2;
	strcpy(q.customer, "depot");
	q.level = -1234;
	q.counted = 99;
	strcpy(v.service, "llm");
	v.state = LM_TAKEN_BACK;
	g_array_append_val(s.members, member);
	g_array_append_val(s.quotas, q);
	g_array_append_val(s.moves, v);
	lm_state_encode(&s, &bytes, &len);
	lm_state_clear(&s);
	std::vector<uint8_t> out(bytes, bytes + len);
	free(bytes);
	return out;
}

TEST(Messages, AStateIsReadAsItWasWritten)
{
	const std::vector<uint8_t> bytes = encoded_state();
	struct lm_state s;

	lm_state_init(&s);
	ASSERT_EQ(lm_state_decode(bytes.data(), bytes.size(), &s), STATUS_OK);
	EXPECT_TRUE(s.leads);
	EXPECT_EQ(s.version, 12U);
	EXPECT_EQ(s.manifest_len, 2U);
	ASSERT_EQ(s.members->len, 1U);
	EXPECT_EQ(g_array_index(s.members, uint32_t, 0), 1041U);
	EXPECT_EQ(g_array_index(s.quotas, struct lm_quota, 0).level, -1234);
	EXPECT_EQ(
	    g_array_index(s.moves, struct lm_move, 0).state, LM_TAKEN_BACK);
	lm_state_clear(&s);
}

TEST(Messages, CutOrChangedOnesAreRefusedOrHarmless)
{
	const std::vector<uint8_t> bytes = encoded_state();

	for (size_t n = 0; n < bytes.size(); n++) {
		struct lm_state s;

		lm_state_init(&s);
		EXPECT_EQ(lm_state_decode(bytes.data(), n, &s), STATUS_CORRUPT);
		lm_state_clear(&s);
	}
	for (size_t i = 0; i < bytes.size(); i++) {
		std::vector<uint8_t> other = bytes;
		struct lm_state s;

		other[i] ^= 0x41;
		lm_state_init(&s);
		(void)lm_state_decode(other.data(), other.size(), &s);
		lm_state_clear(&s);
	}
}

TEST(Messages, AReportIsReadAsItWasWritten)
{
	struct lm_report r;
	struct lm_usage u = {};
	struct lm_load l = {};
	uint8_t *bytes;
	size_t len;

	lm_report_init(&r);
	r.version = 3;
	u.window = 353445120;
	strcpy(u.customer, "hall");
	u.n = 412;
	l.tokens = 80000;
	g_array_append_val(r.usage, u);
	g_array_append_val(r.loads, l);
	lm_report_encode(&r, &bytes, &len);
	lm_report_clear(&r);
	lm_report_init(&r);
	ASSERT_EQ(lm_report_decode(bytes, len, &r), STATUS_OK);
	EXPECT_EQ(g_array_index(r.usage, struct lm_usage, 0).n, 412U);
	EXPECT_EQ(g_array_index(r.loads, struct lm_load, 0).tokens, 80000U);
	lm_report_clear(&r);
	free(bytes);
}

} // namespace
