#include <gtest/gtest.h>

extern "C" {
#include "state/catalog.h"
}

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>

namespace
{

const char *const first_note = R"({"note": "first", "base": 0,
  "data_centres": {"add": [{"name": "csepel", "region": "b"},
    {"name": "kelenföld", "region": "b"}]},
  "pools": {"add": [{"name": "desk", "kind": "runner"}]},
  "versions": {"add": [{"name": "v1", "pool": "desk"}]},
  "backend_servers": {"add": [
    {"name": "r1", "pool": "desk", "data_centre": "csepel",
     "address": "127.0.0.1:9001", "versions": ["v1"]},
    {"name": "r2", "pool": "desk", "data_centre": "kelenföld",
     "address": "127.0.0.1:9002"}]},
  "routes": {"add": [{"path": "/chat", "pool": "desk", "mode": "stream",
    "idempotent": true}]}})";

class Catalog : public ::testing::Test
{
      protected:
	struct catalog *s = catalog_new();
	struct catalog_result r = {};

	~Catalog() override
	{
		catalog_result_clear(&r);
		catalog_free(s);
	}

	enum catalog_status apply(const struct catalog_command &c)
	{
		uint8_t *bytes;
		size_t len;

		catalog_result_clear(&r);
		catalog_encode(&c, &bytes, &len);
		catalog_apply(s, bytes, len, &r);
		free(bytes);
		return r.status;
	}

	enum catalog_status note(const std::string &text)
	{
		struct catalog_command c = {};

		c.kind = CATALOG_CMD_NOTE;
		c.note.text = text.data();
		c.note.len = text.size();
		return apply(c);
	}

	/// Applies a note with these sections, based on the current revision.
	enum catalog_status change(const char *name, const std::string &body)
	{
		return note("{\"note\": \"" + std::string(name) +
		    "\", \"base\": " + std::to_string(catalog_revision(s)) +
		    "," + body + "}");
	}

	enum catalog_status decide(
	    const char *name, enum catalog_phase phase, uint32_t share)
	{
		const struct catalog_version *v = catalog_version(s, name);
		struct catalog_command c = {};

		c.kind = CATALOG_CMD_VERSION_SHARE;
		snprintf(c.version_share.version, SPEC_NAME_BYTES, "%s", name);
		snprintf(
		    c.version_share.reason, CATALOG_REASON_BYTES, "because");
		c.version_share.phase = phase;
		c.version_share.share_permille = share;
		c.version_share.expect_phase = v->phase;
		c.version_share.expect_share_permille = v->share_permille;
		return apply(c);
	}

	enum catalog_status draining(const char *name, uint64_t incarnation,
	    enum catalog_source source, uint64_t deadline_ms = 0,
	    bool data_centre = false)
	{
		struct catalog_command c = {};

		c.kind = CATALOG_CMD_DRAINING;
		snprintf(c.draining.name, SPEC_NAME_BYTES, "%s", name);
		c.draining.incarnation = incarnation;
		c.draining.source = source;
		c.draining.deadline_ms = deadline_ms;
		c.draining.data_centre = data_centre;
		return apply(c);
	}

	enum catalog_status notice(
	    uint64_t number, const char *name, bool data_centre)
	{
		const struct catalog_server *v = catalog_server(s, name);
		struct catalog_command c = {};

		c.kind = CATALOG_CMD_DRAINING;
		snprintf(c.draining.name, SPEC_NAME_BYTES, "%s", name);
		c.draining.incarnation = v == nullptr ? 0 : v->incarnation;
		c.draining.data_centre = data_centre;
		c.draining.notice = number;
		return apply(c);
	}

	std::string problems() const
	{
		std::string text;

		for (size_t i = 0; i < r.problems.n; i++)
			text += std::string(r.problems.items[i].path) + "\n";
		return text;
	}

	std::string snapshot() const
	{
		uint8_t *bytes;
		size_t len;

		catalog_snapshot(s, &bytes, &len);
		std::string text((const char *)bytes, len);
		free(bytes);
		return text;
	}
};

const char *const add_v2 =
    R"("versions": {"add": [{"name": "v2", "pool": "desk",
       "replaces": "v1"}]})";

} // namespace

// An operator whose request timed out sends the note again.
TEST_F(Catalog, ResentNoteGetsItsFirstResult)
{
	ASSERT_EQ(note(first_note), CATALOG_ACCEPTED) << problems();
	EXPECT_EQ(r.revision, 1U);
	EXPECT_EQ(change("second", add_v2), CATALOG_ACCEPTED);
	EXPECT_EQ(note(first_note), CATALOG_UNCHANGED);
	EXPECT_EQ(r.revision, 1U);
	EXPECT_EQ(r.sequence, 1U);
}

TEST_F(Catalog, StaleBaseOrOtherContentIsAConflictThatNamesTheAcceptedNote)
{
	ASSERT_EQ(note(first_note), CATALOG_ACCEPTED);
	EXPECT_EQ(note(R"({"note": "late", "base": 0,
	    "customers": {"add": [{"name": "a"}]}})"),
	    CATALOG_CONFLICT);
	EXPECT_STREQ(r.winner, "first");
	EXPECT_EQ(note(R"({"note": "first", "base": 1,
	    "customers": {"add": [{"name": "a"}]}})"),
	    CATALOG_CONFLICT);
	EXPECT_STREQ(r.winner, "first");
	EXPECT_EQ(note(R"({"note": "early", "base": 2,
	    "customers": {"add": [{"name": "a"}]}})"),
	    CATALOG_INVALID);
	EXPECT_EQ(problems(), "$.base\n");
}

TEST_F(Catalog, NotesAreCheckedAgainstTheConfiguration)
{
	ASSERT_EQ(note(first_note), CATALOG_ACCEPTED);
	EXPECT_EQ(change("n", R"(
	    "data_centres": {"withdraw": ["csepel"]},
	    "versions": {"add": [{"name": "v3", "pool": "desk"}],
	      "withdraw": ["v1"]},
	    "customers": {"withdraw": ["nobody"]},
	    "routes": {"add": [{"path": "/x", "pool": "no", "mode": "later",
	      "idempotent": true}]})"),
	    CATALOG_INVALID);
	EXPECT_EQ(problems(), "$.customers.withdraw[nobody]\n");
	EXPECT_EQ(change("n", R"(
	    "data_centres": {"withdraw": ["csepel"]},
	    "versions": {"add": [{"name": "v3", "pool": "desk"}],
	      "withdraw": ["v1"]},
	    "backend_servers": {"add": [{"name": "r3", "pool": "desk",
	      "data_centre": "kelenföld", "address": "127.0.0.1:9002",
	      "versions": ["v9"]}]},
	    "routes": {"add": [{"path": "/x", "pool": "no", "mode": "later",
	      "idempotent": true}]})"),
	    CATALOG_INVALID);
	EXPECT_EQ(problems(),
	    "$.versions.add[v3].replaces\n$.versions.withdraw[v1]\n"
	    "$.data_centres.withdraw[csepel]\n"
	    "$.backend_servers.add[r3].versions\n"
	    "$.backend_servers.add[r3].address\n$.routes.add[/x].pool\n");
	EXPECT_EQ(catalog_sequence(s), 1U);
}

TEST_F(Catalog, VersionIsRolledOutAndRolledBack)
{
	ASSERT_EQ(note(first_note), CATALOG_ACCEPTED);
	ASSERT_EQ(change("second", add_v2), CATALOG_ACCEPTED);
	EXPECT_EQ(catalog_version(s, "v2")->phase, CATALOG_PHASE_WAITING);
	EXPECT_EQ(decide("v2", CATALOG_PHASE_DONE, 1000), CATALOG_INVALID);
	EXPECT_EQ(
	    decide("v2", CATALOG_PHASE_ROLLING_OUT, 1001), CATALOG_INVALID);
	EXPECT_EQ(
	    decide("v2", CATALOG_PHASE_ROLLING_OUT, 50), CATALOG_ACCEPTED);
	EXPECT_EQ(catalog_version(s, "v1")->share_permille, 950U);
	EXPECT_EQ(
	    decide("v2", CATALOG_PHASE_ROLLING_OUT, 50), CATALOG_UNCHANGED);
	EXPECT_EQ(decide("v2", CATALOG_PHASE_DONE, 0), CATALOG_ACCEPTED);
	EXPECT_STREQ(catalog_version_in_force(s, "desk")->spec.name, "v2");
	EXPECT_EQ(decide("v1", CATALOG_PHASE_ROLLED_BACK, 0), CATALOG_INVALID);
	EXPECT_EQ(decide("v2", CATALOG_PHASE_ROLLED_BACK, 0), CATALOG_ACCEPTED);
	EXPECT_EQ(catalog_version(s, "v1")->share_permille, 1000U);
	EXPECT_EQ(decide("v2", CATALOG_PHASE_ROLLING_OUT, 10), CATALOG_INVALID);

	struct catalog_rollout rollouts[2];
	ASSERT_EQ(catalog_rollouts(s, 2, rollouts, 2), 1U);
	EXPECT_EQ(rollouts[0].phase, CATALOG_PHASE_ROLLED_BACK);
	EXPECT_STREQ(rollouts[0].reason, "because");
}

// A decision that was made on an older phase or share must not be applied.
TEST_F(Catalog, StaleDecisionIsRefused)
{
	struct catalog_command c = {};

	ASSERT_EQ(note(first_note), CATALOG_ACCEPTED);
	ASSERT_EQ(change("second", add_v2), CATALOG_ACCEPTED);
	ASSERT_EQ(
	    decide("v2", CATALOG_PHASE_ROLLING_OUT, 50), CATALOG_ACCEPTED);
	c.kind = CATALOG_CMD_VERSION_SHARE;
	strcpy(c.version_share.version, "v2");
	c.version_share.phase = CATALOG_PHASE_ROLLING_OUT;
	c.version_share.share_permille = 100;
	c.version_share.expect_phase = CATALOG_PHASE_WAITING;
	EXPECT_EQ(apply(c), CATALOG_CONFLICT);
	EXPECT_EQ(catalog_version(s, "v2")->share_permille, 50U);
}

// A withdrawn version must not keep its share of the requests.
TEST_F(Catalog, WithdrawalDuringRolloutRollsBack)
{
	struct catalog_rollout rollout;

	ASSERT_EQ(note(first_note), CATALOG_ACCEPTED);
	ASSERT_EQ(change("second", add_v2), CATALOG_ACCEPTED);
	ASSERT_EQ(
	    decide("v2", CATALOG_PHASE_ROLLING_OUT, 300), CATALOG_ACCEPTED);
	ASSERT_EQ(change("third", R"("versions": {"withdraw": ["v2"]})"),
	    CATALOG_ACCEPTED)
	    << problems();
	EXPECT_EQ(catalog_version(s, "v2"), nullptr);
	EXPECT_EQ(catalog_version(s, "v1")->share_permille, 1000U);
	ASSERT_EQ(catalog_rollouts(s, 2, &rollout, 1), 1U);
	EXPECT_EQ(rollout.phase, CATALOG_PHASE_ROLLED_BACK);
	EXPECT_STREQ(rollout.reason, "withdrawn by note third");
}

// Several sources report that a server is draining, in any order. A report that
// is delayed until the server has returned must not mark its new incarnation.
TEST_F(Catalog, FirstDrainingReportSetsSourceAndLaterOnesOnlyTheDeadline)
{
	struct catalog_command returned = {};

	ASSERT_EQ(note(first_note), CATALOG_ACCEPTED);
	const uint64_t incarnation = catalog_server(s, "r1")->incarnation;
	EXPECT_EQ(draining("r1", incarnation, CATALOG_SOURCE_VM_LIST, 9000),
	    CATALOG_ACCEPTED);
	EXPECT_EQ(draining("r1", incarnation, CATALOG_SOURCE_NOTICE, 9500),
	    CATALOG_UNCHANGED);
	EXPECT_EQ(draining("r1", incarnation, CATALOG_SOURCE_NOTICE, 8000),
	    CATALOG_ACCEPTED);
	EXPECT_EQ(catalog_server(s, "r1")->source, CATALOG_SOURCE_VM_LIST);
	EXPECT_EQ(catalog_server(s, "r1")->drain_deadline_ms, 8000U);
	returned.kind = CATALOG_CMD_RETURNED;
	strcpy(returned.returned.server, "r1");
	returned.returned.incarnation = incarnation;
	EXPECT_EQ(apply(returned), CATALOG_ACCEPTED);
	EXPECT_FALSE(catalog_server(s, "r1")->draining);
	EXPECT_EQ(apply(returned), CATALOG_CONFLICT);
	EXPECT_EQ(draining("r1", incarnation, CATALOG_SOURCE_SERVER),
	    CATALOG_CONFLICT);
	EXPECT_FALSE(catalog_server(s, "r1")->draining);
	EXPECT_EQ(draining("csepel", 0, CATALOG_SOURCE_NOTICE, 1, true),
	    CATALOG_ACCEPTED);
	EXPECT_TRUE(catalog_server(s, "r1")->draining);
	EXPECT_FALSE(catalog_server(s, "r2")->draining);
	EXPECT_TRUE(catalog_data_centre(s, "csepel")->reclaiming);
}

// A notice that is read again must not mark a server or data centre that was
// added or restored after the notice was applied.
TEST_F(Catalog, ReclaimNoticeIsAppliedOnce)
{
	ASSERT_EQ(note(first_note), CATALOG_ACCEPTED);
	EXPECT_EQ(notice(1, "csepel", true), CATALOG_ACCEPTED);
	EXPECT_EQ(notice(2, "r9", false), CATALOG_ACCEPTED);
	EXPECT_EQ(catalog_notice(s), 2U);
	ASSERT_EQ(change("back", R"("data_centres": {"change":
	    [{"name": "csepel", "region": "b"}]},
	    "backend_servers": {"add": [{"name": "r9", "pool": "desk",
	     "data_centre": "csepel", "address": "127.0.0.1:9009"}]})"),
	    CATALOG_ACCEPTED);
	// A new leader reads the same notices again.
	EXPECT_EQ(notice(1, "csepel", true), CATALOG_UNCHANGED);
	EXPECT_EQ(notice(2, "r9", false), CATALOG_UNCHANGED);
	EXPECT_FALSE(catalog_data_centre(s, "csepel")->reclaiming);
	EXPECT_FALSE(catalog_server(s, "r9")->draining);
	EXPECT_EQ(notice(3, "r9", false), CATALOG_ACCEPTED);
	EXPECT_TRUE(catalog_server(s, "r9")->draining);
}

TEST_F(Catalog, FollowerReachesTheSameSnapshot)
{
	uint8_t *bytes;
	size_t len;
	uint64_t to;
	struct catalog *follower = catalog_new();

	ASSERT_EQ(note(first_note), CATALOG_ACCEPTED);
	ASSERT_EQ(change("second", add_v2), CATALOG_ACCEPTED);
	ASSERT_EQ(
	    decide("v2", CATALOG_PHASE_ROLLING_OUT, 50), CATALOG_ACCEPTED);
	ASSERT_EQ(catalog_changes(s, 1, 1, &bytes, &len, &to), STATUS_OK);
	EXPECT_EQ(to, 2U);
	EXPECT_EQ(catalog_apply_changes(follower, bytes, len), STATUS_CONFLICT);
	EXPECT_EQ(catalog_sequence(follower), 0U);
	free(bytes);
	ASSERT_EQ(catalog_changes(s, 0, 1 << 20, &bytes, &len, &to), STATUS_OK);
	EXPECT_EQ(
	    catalog_apply_changes(follower, bytes, len - 1), STATUS_CORRUPT);
	EXPECT_EQ(catalog_sequence(follower), 0U);
	EXPECT_EQ(catalog_apply_changes(follower, bytes, len), STATUS_OK);
	EXPECT_EQ(catalog_apply_changes(follower, bytes, len), STATUS_OK);
	free(bytes);
	EXPECT_EQ(catalog_sequence(follower), 3U);
	std::swap(follower, s);
	const std::string followed = snapshot();
	std::swap(follower, s);
	EXPECT_EQ(followed, snapshot());
	catalog_free(follower);
	ASSERT_EQ(catalog_restore((const uint8_t *)followed.data(),
		      followed.size(), &follower),
	    STATUS_OK);
	EXPECT_EQ(catalog_changes(follower, 1, 100, &bytes, &len, &to),
	    STATUS_NOT_FOUND);
	catalog_free(follower);
	EXPECT_EQ(catalog_restore((const uint8_t *)followed.data(),
		      followed.size() - 1, &follower),
	    STATUS_CORRUPT);
}

// A leader of an earlier term must not get a number after a later leader did.
TEST_F(Catalog, FencingNumbersOnlyIncrease)
{
	struct catalog_command c = {};

	c.kind = CATALOG_CMD_FENCE;
	c.fence.term = 3;
	EXPECT_EQ(apply(c), CATALOG_ACCEPTED);
	EXPECT_EQ(r.fencing_number, 1U);
	c.fence.term = 2;
	EXPECT_EQ(apply(c), CATALOG_CONFLICT);
	c.fence.term = 4;
	EXPECT_EQ(apply(c), CATALOG_ACCEPTED);
	EXPECT_EQ(r.fencing_number, 2U);
	EXPECT_EQ(catalog_sequence(s), 0U);
}
