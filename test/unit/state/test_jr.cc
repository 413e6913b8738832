#include <gtest/gtest.h>

extern "C" {
#include "state/jr.h"
}

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

namespace
{

const struct jr_entry first = { "e1", 11 };
const struct jr_entry second = { "e2", 22 };

class Journal : public ::testing::Test
{
      protected:
	struct jr *j = jr_new();
	struct jr_result r = {};
	uint64_t now_us = 1000;

	~Journal() override
	{
		jr_free(j);
	}

	struct jr_command command(enum jr_command_kind kind, const char *id)
	{
		struct jr_command c = {};

		c.kind = kind;
		c.now_us = now_us;
		snprintf(c.id, sizeof(c.id), "%s", id);
		return c;
	}

	enum jr_outcome apply(const struct jr_command &c)
	{
		uint8_t *bytes;
		size_t len;

		jr_encode(&c, &bytes, &len);
		jr_apply(j, bytes, len, &r);
		free(bytes);
		return r.outcome;
	}

	enum jr_outcome accept(const char *id, const char *key,
	    const std::string &body, bool idempotent = false)
	{
		struct jr_command c = command(JR_ACCEPT, id);

		strcpy(c.accept.key, key);
		strcpy(c.accept.customer, "depot");
		strcpy(c.accept.route, "/bookings");
		c.accept.idempotent = idempotent;
		c.accept.body = (const uint8_t *)body.data();
		c.accept.len = body.size();
		c.accept.body_hash = jr_body_hash(c.accept.body, c.accept.len);
		c.accept.owner = first;
		return apply(c);
	}

	enum jr_outcome permit(
	    const char *id, uint32_t attempt, const struct jr_entry &holder)
	{
		struct jr_command c = command(JR_PERMIT, id);

		c.permit.attempt = attempt;
		c.permit.holder = holder;
		strcpy(c.permit.server, "b1");
		return apply(c);
	}

	enum jr_outcome ended(const char *id, uint32_t attempt,
	    const struct jr_entry &by, enum verdict verdict,
	    const std::string &answer = "")
	{
		struct jr_command c = command(JR_OUTCOME, id);

		c.outcome.attempt = attempt;
		c.outcome.by = by;
		c.outcome.verdict = verdict;
		c.outcome.http_status = 200;
		c.outcome.answer = (const uint8_t *)answer.data();
		c.outcome.len = answer.size();
		return apply(c);
	}

	enum jr_outcome give_back(
	    const char *id, uint32_t attempt, const struct jr_entry &by)
	{
		struct jr_command c = command(JR_RETURN, id);

		c.give_back.attempt = attempt;
		c.give_back.by = by;
		return apply(c);
	}

	enum jr_outcome reassign(const char *id)
	{
		struct jr_command c = command(JR_REASSIGN, id);

		c.reassign.from = first;
		c.reassign.to = second;
		return apply(c);
	}

	std::string saved() const
	{
		uint8_t *bytes;
		size_t len;

		jr_save(j, &bytes, &len);
		std::string text((const char *)bytes, len);
		free(bytes);
		return text;
	}
};

} // namespace

TEST_F(Journal, ResendFindsTheRecordedAnswer)
{
	ASSERT_EQ(accept("a", "k", "one"), JR_DONE);
	EXPECT_EQ(accept("a", "k", "one"), JR_SAME);
	EXPECT_EQ(accept("b", "k", "two"), JR_OTHER_BODY);
	ASSERT_EQ(permit("a", 1, first), JR_DONE);
	ASSERT_EQ(ended("a", 1, first, VERDICT_RAN, "booked"), JR_DONE);
	EXPECT_EQ(accept("b", "k", "one"), JR_SAME);
	EXPECT_STREQ(r.record->id, "a");
	EXPECT_EQ(
	    std::string((const char *)r.record->answer, r.record->answer_len),
	    "booked");
	EXPECT_EQ(ended("a", 1, first, VERDICT_RAN, "other"), JR_REFUSED);
	EXPECT_EQ(jr_by_id(j, "b"), nullptr);
}

TEST_F(Journal, OnePermissionForWhatMayNotBeRepeated)
{
	ASSERT_EQ(accept("a", "", "x"), JR_DONE);
	EXPECT_EQ(permit("a", 1, second), JR_REFUSED);
	EXPECT_EQ(permit("a", 1, first), JR_DONE);
	EXPECT_EQ(permit("a", 1, first), JR_SAME);
	EXPECT_EQ(permit("a", 2, first), JR_REFUSED);
	EXPECT_EQ(reassign("a"), JR_DONE);
	EXPECT_EQ(permit("a", 2, second), JR_REFUSED);
	EXPECT_EQ(apply(command(JR_WITHDRAW, "a")), JR_REFUSED);
	EXPECT_EQ(ended("a", 1, second, VERDICT_NOT_RUN), JR_REFUSED);
	EXPECT_EQ(ended("a", 1, second, VERDICT_MAY_HAVE_RUN), JR_DONE);
	EXPECT_EQ(jr_by_id(j, "a")->phase, JR_MAY_HAVE_RUN);
}

TEST_F(Journal, IdempotentOneGoesOnWithANewAttempt)
{
	ASSERT_EQ(accept("a", "", "x", true), JR_DONE);
	EXPECT_EQ(permit("a", 1, first), JR_DONE);
	EXPECT_EQ(reassign("a"), JR_DONE);
	EXPECT_EQ(permit("a", 1, second), JR_REFUSED);
	EXPECT_EQ(permit("a", 2, second), JR_DONE);
	EXPECT_EQ(ended("a", 2, second, VERDICT_NOT_RUN), JR_REFUSED);
	EXPECT_EQ(ended("a", 1, first, VERDICT_MAY_HAVE_RUN), JR_REFUSED);
	EXPECT_EQ(ended("a", 3, second, VERDICT_RAN), JR_REFUSED);
	EXPECT_EQ(ended("a", 1, first, VERDICT_RAN), JR_DONE);
}

TEST_F(Journal, ReturnThatComesTwiceTakesOnlyOneBack)
{
	ASSERT_EQ(accept("a", "", "x", true), JR_DONE);
	ASSERT_EQ(permit("a", 1, first), JR_DONE);
	ASSERT_EQ(permit("a", 2, first), JR_DONE);
	EXPECT_EQ(give_back("a", 2, second), JR_REFUSED);
	EXPECT_EQ(give_back("a", 2, first), JR_DONE);
	EXPECT_EQ(give_back("a", 2, first), JR_REFUSED);
	EXPECT_EQ(apply(command(JR_WITHDRAW, "a")), JR_REFUSED);
	EXPECT_EQ(permit("a", 2, first), JR_REFUSED);
}

TEST_F(Journal, WhatDidNotRunMayBeSentAgain)
{
	ASSERT_EQ(accept("a", "k", "x"), JR_DONE);
	EXPECT_EQ(apply(command(JR_WITHDRAW, "a")), JR_DONE);
	EXPECT_EQ(permit("a", 1, first), JR_REFUSED);
	EXPECT_EQ(accept("b", "k", "y"), JR_OTHER_BODY);
	EXPECT_EQ(accept("b", "k", "x"), JR_DONE);
	EXPECT_STREQ(jr_by_key(j, "depot", "k")->id, "b");
	EXPECT_EQ(jr_by_id(j, "a")->phase, JR_NOT_RUN);
	EXPECT_EQ(permit("b", 1, first), JR_DONE);
	EXPECT_EQ(ended("b", 1, first, VERDICT_NOT_RUN), JR_DONE);
}

TEST_F(Journal, ExpiryNeverDropsWhatHasNoOutcome)
{
	struct jr_command c;

	ASSERT_EQ(accept("a", "", "x"), JR_DONE);
	for (const char *id : { "b", "c" }) {
		now_us += 10;
		ASSERT_EQ(accept(id, id, "x"), JR_DONE);
		ASSERT_EQ(permit(id, 1, first), JR_DONE);
		ASSERT_EQ(ended(id, 1, first, VERDICT_RAN, "yes"), JR_DONE);
	}
	c = command(JR_EXPIRE, "");
	c.expire.keep_us = 10;
	EXPECT_EQ(apply(c), JR_DONE);
	EXPECT_EQ(r.n_dropped, 0U);
	c.expire.keep_us = 9;
	EXPECT_EQ(apply(c), JR_DONE);
	EXPECT_EQ(jr_by_id(j, "b"), nullptr);
	EXPECT_EQ(jr_by_key(j, "depot", "b"), nullptr);
	EXPECT_NE(jr_by_id(j, "c"), nullptr);
	c.expire.keep_bytes = 1;
	EXPECT_EQ(apply(c), JR_DONE);
	EXPECT_EQ(jr_count(j), 1U);
	EXPECT_NE(jr_by_id(j, "a"), nullptr);
	EXPECT_EQ(jr_answer_bytes(j), 0U);
}

TEST_F(Journal, AcceptanceThatComesAgainAfterExpiryIsRefused)
{
	struct jr_command c;
	struct jr *copy;

	ASSERT_EQ(accept("a", "k", "x"), JR_DONE);
	ASSERT_EQ(apply(command(JR_WITHDRAW, "a")), JR_DONE);
	now_us += 10;
	c = command(JR_EXPIRE, "");
	ASSERT_EQ(apply(c), JR_DONE);
	ASSERT_EQ(jr_count(j), 0U);
	now_us -= 10;
	EXPECT_EQ(accept("a", "k", "x"), JR_REFUSED);
	const std::string bytes = saved();
	ASSERT_EQ(jr_load((const uint8_t *)bytes.data(), bytes.size(), &copy),
	    STATUS_OK);
	std::swap(copy, j);
	jr_free(copy);
	EXPECT_EQ(accept("a", "k", "x"), JR_REFUSED);
	now_us += 10;
	EXPECT_EQ(accept("b", "k", "x"), JR_DONE);
}

TEST_F(Journal, HoldsOnlySoMuchWithoutOutcome)
{
	const std::string large(JR_MAX_OPEN_BYTES / 2 - 4096, 'x');

	EXPECT_EQ(accept("a", "", large), JR_DONE);
	EXPECT_EQ(accept("b", "", large), JR_DONE);
	EXPECT_EQ(accept("c", "", large), JR_REFUSED);
	EXPECT_EQ(accept("c", "", "x"), JR_DONE);
	EXPECT_EQ(apply(command(JR_WITHDRAW, "a")), JR_DONE);
	EXPECT_EQ(accept("d", "", large), JR_DONE);
	EXPECT_EQ(accept("e", "", large), JR_REFUSED);
}

TEST_F(Journal, SnapshotGivesTheSameJournal)
{
	struct jr *copy;
	std::vector<std::string> ids;

	ASSERT_EQ(accept("a", "k", "x"), JR_DONE);
	ASSERT_EQ(apply(command(JR_WITHDRAW, "a")), JR_DONE);
	ASSERT_EQ(accept("b", "k", "x"), JR_DONE);
	ASSERT_EQ(accept("c", "", "x"), JR_DONE);
	ASSERT_EQ(reassign("c"), JR_DONE);
	const std::string bytes = saved();
	ASSERT_EQ(jr_load((const uint8_t *)bytes.data(), bytes.size(), &copy),
	    STATUS_OK);
	std::swap(copy, j);
	EXPECT_EQ(saved(), bytes);
	EXPECT_STREQ(jr_by_key(j, "depot", "k")->id, "b");
	jr_unfinished(
	    j, &first,
	    [](void *arg, const struct jr_record *record) {
		    ((std::vector<std::string> *)arg)->push_back(record->id);
		    return true;
	    },
	    &ids);
	EXPECT_EQ(ids, std::vector<std::string>({ "b" }));
	jr_free(copy);
	EXPECT_EQ(
	    jr_load((const uint8_t *)bytes.data(), bytes.size() - 1, &copy),
	    STATUS_CORRUPT);
}

TEST(JournalId, NamesItsGroup)
{
	char id[JR_ID_BYTES];

	jr_make_id(7, 9, 3, id);
	EXPECT_EQ(jr_group_of_id(id), 3U);
	EXPECT_EQ(jr_group_of_id("x-1"), 0U);
	EXPECT_EQ(jr_group_of("a", "k", 4), jr_group_of("a", "k", 4));
	EXPECT_LE(jr_group_of("a", "k", 4), 4U);
}
