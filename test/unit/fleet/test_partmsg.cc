#include <gtest/gtest.h>

extern "C" {
#include "fleet/partmsg.h"
}

#include <cstdlib>

namespace
{

struct partmsg_timed
timed(uint64_t id, uint64_t time_us)
{
	struct partmsg_timed t = {};

	(void)g_strlcpy(t.part.service, "llm", sizeof(t.part.service));
	t.part.id = id;
	t.time_us = time_us;
	return t;
}

TEST(PartMessages, ACrashIsDecodedAsItWasEncodedAndNotWhenItIsCut)
{
	const struct crashlog_in_flight p = { UINT64_MAX, 3 };
	struct partmsg_crash in;
	struct partmsg_crash out;
	uint8_t *bytes;
	size_t len;

	partmsg_crash_init(&in);
	(void)g_strlcpy(in.server, "i-7", sizeof(in.server));
	(void)g_strlcpy(in.service, "llm", sizeof(in.service));
	in.age_us = 5;
	g_array_append_val(in.in_flight, p);
	partmsg_crash_encode(&in, &bytes, &len);
	for (size_t n = 0; n < len; n++) {
		partmsg_crash_init(&out);
		EXPECT_EQ(partmsg_crash_decode(bytes, n, &out), STATUS_CORRUPT);
		partmsg_crash_clear(&out);
	}
	partmsg_crash_init(&out);
	ASSERT_EQ(partmsg_crash_decode(bytes, len, &out), STATUS_OK);
	EXPECT_STREQ(out.server, "i-7");
	EXPECT_STREQ(out.service, "llm");
	EXPECT_EQ(out.age_us, 5U);
	ASSERT_EQ(out.in_flight->len, 1U);
	EXPECT_EQ(g_array_index(out.in_flight, struct crashlog_in_flight, 0).id,
	    UINT64_MAX);
	partmsg_crash_clear(&in);
	partmsg_crash_clear(&out);
	free(bytes);
}

TEST(PartMessages, AStateIsDecodedAsItWasEncoded)
{
	const struct partmsg_timed blocked = timed(13, 600);
	const struct crashlog_part suspect = timed(14, 0).part;
	struct partmsg_state in;
	struct partmsg_state out;
	uint8_t *bytes;
	size_t len;

	partmsg_state_init(&in);
	in.blocked_revision = 9;
	in.question = 4;
	g_array_append_val(in.blocked, blocked);
	g_array_append_val(in.suspects, suspect);
	partmsg_state_encode(&in, &bytes, &len);
	partmsg_state_init(&out);
	ASSERT_EQ(partmsg_state_decode(bytes, len, &out), STATUS_OK);
	EXPECT_EQ(out.blocked_revision, 9U);
	EXPECT_EQ(out.question, 4U);
	ASSERT_EQ(out.blocked->len, 1U);
	EXPECT_EQ(
	    g_array_index(out.blocked, struct partmsg_timed, 0).time_us, 600U);
	ASSERT_EQ(out.suspects->len, 1U);
	EXPECT_EQ(g_array_index(out.suspects, struct crashlog_part, 0).id, 14U);
	partmsg_state_clear(&in);
	partmsg_state_clear(&out);
	free(bytes);
}

TEST(PartMessages, AnAnswerIsDecodedAsItWasEncoded)
{
	const struct partmsg_timed answered = timed(14, 20);
	const struct partmsg_timed service = timed(0, 10);
	struct partmsg_answer in;
	struct partmsg_answer out;
	uint8_t *bytes;
	size_t len;

	partmsg_answer_init(&in);
	in.question = 4;
	g_array_append_val(in.answered, answered);
	g_array_append_val(in.services, service);
	partmsg_answer_encode(&in, &bytes, &len);
	partmsg_answer_init(&out);
	ASSERT_EQ(partmsg_answer_decode(bytes, len, &out), STATUS_OK);
	EXPECT_EQ(out.question, 4U);
	EXPECT_EQ(
	    g_array_index(out.answered, struct partmsg_timed, 0).part.id, 14U);
	EXPECT_EQ(
	    g_array_index(out.services, struct partmsg_timed, 0).time_us, 10U);
	partmsg_answer_clear(&in);
	partmsg_answer_clear(&out);
	free(bytes);
}

} // namespace
