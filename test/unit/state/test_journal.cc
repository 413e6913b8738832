#include <gtest/gtest.h>

extern "C" {
#include "state/journal.h"
}

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

namespace
{

const struct journal_node first = { "e1", 11 };
const struct journal_node second = { "e2", 22 };

class Journal : public ::testing::Test
{
      protected:
	struct journal *j = journal_new();
	struct journal_result r = {};
	uint64_t now_us = 1000;

	~Journal() override
	{
		journal_free(j);
	}

	struct journal_command command(
	    enum journal_command_kind kind, const char *id)
	{
		struct journal_command c = {};

		c.kind = kind;
		c.now_us = now_us;
		snprintf(c.id, sizeof(c.id), "%s", id);
		return c;
	}

	enum journal_status apply(const struct journal_command &c)
	{
		uint8_t *bytes;
		size_t len;

		journal_encode(&c, &bytes, &len);
		journal_apply(j, bytes, len, &r);
		free(bytes);
		return r.status;
	}

	enum journal_status accept(const char *id, const char *key,
	    const std::string &body, bool idempotent = false)
	{
		struct journal_command c = command(JOURNAL_CMD_ACCEPT, id);

		strcpy(c.accept.key, key);
		strcpy(c.accept.customer, "depot");
		strcpy(c.accept.route, "/bookings");
		c.accept.idempotent = idempotent;
		c.accept.body = (const uint8_t *)body.data();
		c.accept.len = body.size();
		c.accept.body_hash =
		    journal_body_hash(c.accept.body, c.accept.len);
		c.accept.owner = first;
		return apply(c);
	}

	enum journal_status permit(
	    const char *id, uint32_t attempt, const struct journal_node &holder)
	{
		struct journal_command c = command(JOURNAL_CMD_PERMIT, id);

		c.permit.attempt = attempt;
		c.permit.holder = holder;
		strcpy(c.permit.server, "b1");
		return apply(c);
	}

	enum journal_status record_outcome(const char *id, uint32_t attempt,
	    const struct journal_node &reporter, enum verdict verdict,
	    const std::string &response = "")
	{
		struct journal_command c = command(JOURNAL_CMD_OUTCOME, id);

		c.outcome.attempt = attempt;
		c.outcome.by = reporter;
		c.outcome.verdict = verdict;
		c.outcome.http_status = 200;
		c.outcome.answer = (const uint8_t *)response.data();
		c.outcome.len = response.size();
		return apply(c);
	}

	enum journal_status return_permit(const char *id, uint32_t attempt,
	    const struct journal_node &reporter)
	{
		struct journal_command c =
		    command(JOURNAL_CMD_RETURN_PERMIT, id);

		c.return_permit.attempt = attempt;
		c.return_permit.by = reporter;
		return apply(c);
	}

	enum journal_status reassign(const char *id)
	{
		struct journal_command c = command(JOURNAL_CMD_REASSIGN, id);

		c.reassign.from = first;
		c.reassign.to = second;
		return apply(c);
	}

	std::string snapshot() const
	{
		uint8_t *bytes;
		size_t len;

		journal_snapshot(j, &bytes, &len);
		std::string text((const char *)bytes, len);
		free(bytes);
		return text;
	}
};

} // namespace

// A caller that lost the response sends the request again with its key.
TEST_F(Journal, ResendGetsTheRecordedResponse)
{
	ASSERT_EQ(accept("a", "k", "one"), JOURNAL_APPLIED);
	EXPECT_EQ(accept("a", "k", "one"), JOURNAL_DUPLICATE);
	EXPECT_EQ(accept("b", "k", "two"), JOURNAL_KEY_REUSED);
	ASSERT_EQ(permit("a", 1, first), JOURNAL_APPLIED);
	ASSERT_EQ(record_outcome("a", 1, first, VERDICT_RAN, "booked"),
	    JOURNAL_APPLIED);
	EXPECT_EQ(accept("b", "k", "one"), JOURNAL_DUPLICATE);
	EXPECT_STREQ(r.record->id, "a");
	EXPECT_EQ(std::string(
		      (const char *)r.record->response, r.record->response_len),
	    "booked");
	EXPECT_EQ(record_outcome("a", 1, first, VERDICT_RAN, "other"),
	    JOURNAL_REFUSED);
	EXPECT_EQ(journal_by_id(j, "b"), nullptr);
}

// A non-idempotent request must not be dispatched twice, also not by an
// entry that takes it over.
TEST_F(Journal, NonIdempotentRequestGetsOnePermit)
{
	ASSERT_EQ(accept("a", "", "x"), JOURNAL_APPLIED);
	EXPECT_EQ(permit("a", 1, second), JOURNAL_REFUSED);
	EXPECT_EQ(permit("a", 1, first), JOURNAL_APPLIED);
	EXPECT_EQ(permit("a", 1, first), JOURNAL_DUPLICATE);
	EXPECT_EQ(permit("a", 2, first), JOURNAL_REFUSED);
	EXPECT_EQ(reassign("a"), JOURNAL_APPLIED);
	EXPECT_EQ(permit("a", 2, second), JOURNAL_REFUSED);
	EXPECT_EQ(apply(command(JOURNAL_CMD_WITHDRAW, "a")), JOURNAL_REFUSED);
	EXPECT_EQ(
	    record_outcome("a", 1, second, VERDICT_NOT_RUN), JOURNAL_REFUSED);
	EXPECT_EQ(record_outcome("a", 1, second, VERDICT_MAY_HAVE_RUN),
	    JOURNAL_APPLIED);
	EXPECT_EQ(journal_by_id(j, "a")->phase, JOURNAL_PHASE_MAY_HAVE_RUN);
}

TEST_F(Journal, IdempotentRequestContinuesWithANewAttempt)
{
	ASSERT_EQ(accept("a", "", "x", true), JOURNAL_APPLIED);
	EXPECT_EQ(permit("a", 1, first), JOURNAL_APPLIED);
	EXPECT_EQ(reassign("a"), JOURNAL_APPLIED);
	EXPECT_EQ(permit("a", 1, second), JOURNAL_REFUSED);
	EXPECT_EQ(permit("a", 2, second), JOURNAL_APPLIED);
	EXPECT_EQ(
	    record_outcome("a", 2, second, VERDICT_NOT_RUN), JOURNAL_REFUSED);
	EXPECT_EQ(record_outcome("a", 1, first, VERDICT_MAY_HAVE_RUN),
	    JOURNAL_REFUSED);
	EXPECT_EQ(record_outcome("a", 3, second, VERDICT_RAN), JOURNAL_REFUSED);
	EXPECT_EQ(record_outcome("a", 1, first, VERDICT_RAN), JOURNAL_APPLIED);
}

// A repeated return must not cancel an earlier permit under which the request
// may have been sent.
TEST_F(Journal, RepeatedReturnTakesBackOnlyOnePermit)
{
	ASSERT_EQ(accept("a", "", "x", true), JOURNAL_APPLIED);
	ASSERT_EQ(permit("a", 1, first), JOURNAL_APPLIED);
	ASSERT_EQ(permit("a", 2, first), JOURNAL_APPLIED);
	EXPECT_EQ(return_permit("a", 2, second), JOURNAL_REFUSED);
	EXPECT_EQ(return_permit("a", 2, first), JOURNAL_APPLIED);
	EXPECT_EQ(return_permit("a", 2, first), JOURNAL_REFUSED);
	EXPECT_EQ(apply(command(JOURNAL_CMD_WITHDRAW, "a")), JOURNAL_REFUSED);
	EXPECT_EQ(permit("a", 2, first), JOURNAL_REFUSED);
}

TEST_F(Journal, RequestThatDidNotRunMayBeSentAgain)
{
	ASSERT_EQ(accept("a", "k", "x"), JOURNAL_APPLIED);
	EXPECT_EQ(apply(command(JOURNAL_CMD_WITHDRAW, "a")), JOURNAL_APPLIED);
	EXPECT_EQ(permit("a", 1, first), JOURNAL_REFUSED);
	EXPECT_EQ(accept("b", "k", "y"), JOURNAL_KEY_REUSED);
	EXPECT_EQ(accept("b", "k", "x"), JOURNAL_APPLIED);
	EXPECT_STREQ(journal_by_key(j, "depot", "k")->id, "b");
	EXPECT_EQ(journal_by_id(j, "a")->phase, JOURNAL_PHASE_NOT_RUN);
	EXPECT_EQ(permit("b", 1, first), JOURNAL_APPLIED);
	EXPECT_EQ(
	    record_outcome("b", 1, first, VERDICT_NOT_RUN), JOURNAL_APPLIED);
}

TEST_F(Journal, ExpiryKeepsRequestsWithoutOutcome)
{
	struct journal_command c;

	ASSERT_EQ(accept("a", "", "x"), JOURNAL_APPLIED);
	for (const char *id : { "b", "c" }) {
		now_us += 10;
		ASSERT_EQ(accept(id, id, "x"), JOURNAL_APPLIED);
		ASSERT_EQ(permit(id, 1, first), JOURNAL_APPLIED);
		ASSERT_EQ(record_outcome(id, 1, first, VERDICT_RAN, "yes"),
		    JOURNAL_APPLIED);
	}
	c = command(JOURNAL_CMD_EXPIRE, "");
	c.expire.keep_us = 10;
	EXPECT_EQ(apply(c), JOURNAL_APPLIED);
	EXPECT_EQ(r.n_dropped, 0U);
	c.expire.keep_us = 9;
	EXPECT_EQ(apply(c), JOURNAL_APPLIED);
	EXPECT_EQ(journal_by_id(j, "b"), nullptr);
	EXPECT_EQ(journal_by_key(j, "depot", "b"), nullptr);
	EXPECT_NE(journal_by_id(j, "c"), nullptr);
	c.expire.keep_bytes = 1;
	EXPECT_EQ(apply(c), JOURNAL_APPLIED);
	EXPECT_EQ(journal_count(j), 1U);
	EXPECT_NE(journal_by_id(j, "a"), nullptr);
	EXPECT_EQ(journal_response_bytes(j), 0U);
}

// A late copy of an acceptance must not run the request a second time after its
// record was dropped.
TEST_F(Journal, RepeatedAcceptanceAfterExpiryIsRefused)
{
	struct journal_command c;
	struct journal *copy;

	ASSERT_EQ(accept("a", "k", "x"), JOURNAL_APPLIED);
	ASSERT_EQ(apply(command(JOURNAL_CMD_WITHDRAW, "a")), JOURNAL_APPLIED);
	now_us += 10;
	c = command(JOURNAL_CMD_EXPIRE, "");
	ASSERT_EQ(apply(c), JOURNAL_APPLIED);
	ASSERT_EQ(journal_count(j), 0U);
	now_us -= 10;
	EXPECT_EQ(accept("a", "k", "x"), JOURNAL_REFUSED);
	const std::string bytes = snapshot();
	ASSERT_EQ(
	    journal_restore((const uint8_t *)bytes.data(), bytes.size(), &copy),
	    STATUS_OK);
	std::swap(copy, j);
	journal_free(copy);
	EXPECT_EQ(accept("a", "k", "x"), JOURNAL_REFUSED);
	now_us += 10;
	EXPECT_EQ(accept("b", "k", "x"), JOURNAL_APPLIED);
}

TEST_F(Journal, LimitsBytesOfRequestsWithoutOutcome)
{
	const std::string large(JOURNAL_MAX_OPEN_BYTES / 2 - 4096, 'x');

	EXPECT_EQ(accept("a", "", large), JOURNAL_APPLIED);
	EXPECT_EQ(accept("b", "", large), JOURNAL_APPLIED);
	EXPECT_EQ(accept("c", "", large), JOURNAL_REFUSED);
	EXPECT_EQ(accept("c", "", "x"), JOURNAL_APPLIED);
	EXPECT_EQ(apply(command(JOURNAL_CMD_WITHDRAW, "a")), JOURNAL_APPLIED);
	EXPECT_EQ(accept("d", "", large), JOURNAL_APPLIED);
	EXPECT_EQ(accept("e", "", large), JOURNAL_REFUSED);
}

TEST_F(Journal, SnapshotRestoresTheSameJournal)
{
	struct journal *copy;
	std::vector<std::string> ids;

	ASSERT_EQ(accept("a", "k", "x"), JOURNAL_APPLIED);
	ASSERT_EQ(apply(command(JOURNAL_CMD_WITHDRAW, "a")), JOURNAL_APPLIED);
	ASSERT_EQ(accept("b", "k", "x"), JOURNAL_APPLIED);
	ASSERT_EQ(accept("c", "", "x"), JOURNAL_APPLIED);
	ASSERT_EQ(reassign("c"), JOURNAL_APPLIED);
	const std::string bytes = snapshot();
	ASSERT_EQ(
	    journal_restore((const uint8_t *)bytes.data(), bytes.size(), &copy),
	    STATUS_OK);
	std::swap(copy, j);
	EXPECT_EQ(snapshot(), bytes);
	EXPECT_STREQ(journal_by_key(j, "depot", "k")->id, "b");
	journal_foreach_open(
	    j, &first,
	    [](void *arg, const struct journal_record *record) {
		    ((std::vector<std::string> *)arg)->push_back(record->id);
		    return true;
	    },
	    &ids);
	EXPECT_EQ(ids, std::vector<std::string>({ "b" }));
	journal_free(copy);
	EXPECT_EQ(journal_restore(
		      (const uint8_t *)bytes.data(), bytes.size() - 1, &copy),
	    STATUS_CORRUPT);
}

TEST(JournalId, ContainsItsGroup)
{
	char id[JOURNAL_ID_BYTES];

	journal_make_id(7, 9, 3, id);
	EXPECT_EQ(journal_group_of_id(id), 3U);
	EXPECT_EQ(journal_group_of_id("x-1"), 0U);
	EXPECT_EQ(journal_group_of("a", "k", 4), journal_group_of("a", "k", 4));
	EXPECT_LE(journal_group_of("a", "k", 4), 4U);
}
