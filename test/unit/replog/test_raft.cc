#include <gtest/gtest.h>

extern "C" {
#include "replog/raft.h"
#include "replog/raft_codec.h"
}

#include <cstdlib>
#include <map>
#include <vector>

static constexpr uint64_t ELECTION_US = 100000;
static constexpr uint64_t HEARTBEAT_US = 20000;

/// Member 1 of three voters; the others' messages are made up by the test,
/// and a sync ends when the test says so.
class Core : public testing::Test
{
      protected:
	struct rnd *rnd = rnd_new(1);
	struct raft_core *core = nullptr;
	struct raft_effects fx = {};
	uint64_t now = 1000000;
	uint64_t asked_sync = 0;
	uint64_t deadline = 0;
	std::vector<struct raft_msg> sent;
	std::map<uint64_t, enum status> outcomes;

	void boot(std::vector<uint64_t> terms, bool restarted = false,
	    uint64_t term = 0)
	{
		struct raft_config b = {};
		std::vector<struct raft_entry> entries;

		for (size_t i = 0; i < terms.size(); i++)
			entries.push_back(
			    { i + 1, terms[i], RAFT_EMPTY, 0, nullptr });
		b.group = 1;
		b.self = 1;
		b.hard_state.term =
		    term != 0 || terms.empty() ? term : terms.back();
		b.members.n_voters = 3;
		for (uint32_t i = 0; i < 3; i++)
			b.members.voters[i] = i + 1;
		b.entries = entries.data();
		b.n_entries = entries.size();
		b.election_us = ELECTION_US;
		b.heartbeat_us = HEARTBEAT_US;
		b.restarted = restarted;
		core = raft_new(&b, rnd, now);
		tick();
	}

	void TearDown() override
	{
		raft_free(core);
		raft_effects_free(&fx);
		rnd_free(rnd);
	}

	void keep(const struct raft_effect &e)
	{
		struct raft_msg m;

		if (e.kind == RAFT_EFFECT_SYNC)
			asked_sync = e.sync.seq;
		else if (e.kind == RAFT_EFFECT_ARM_TIMER)
			deadline = e.arm.at_us;
		else if (e.kind == RAFT_EFFECT_OUTCOME)
			outcomes[e.outcome.tag] = e.outcome.status;
		if (e.kind != RAFT_EFFECT_SEND)
			return;
		ASSERT_EQ(
		    raft_msg_decode(e.send.bytes, e.send.len, &m), STATUS_OK);
		sent.push_back(m);
		sent.back().entries = nullptr;
		raft_msg_clear(&m);
	}

	void step(const struct raft_event &ev)
	{
		raft_step(core, now, &ev, &fx);
		for (size_t i = 0; i < fx.n; i++)
			keep(fx.items[i]);
		raft_effects_clear(&fx);
	}

	void tick()
	{
		struct raft_event ev = {};

		ev.kind = RAFT_EVENT_TICK;
		step(ev);
	}

	void sync()
	{
		struct raft_event ev = {};

		ev.kind = RAFT_EVENT_SYNCED;
		ev.synced.seq = asked_sync;
		step(ev);
	}

	void propose(uint64_t tag)
	{
		struct raft_event ev = {};

		ev.kind = RAFT_EVENT_PROPOSE;
		ev.propose.tag = tag;
		ev.propose.bytes = reinterpret_cast<const uint8_t *>("x");
		ev.propose.len = 1;
		step(ev);
	}

	void read(uint64_t tag)
	{
		struct raft_event ev = {};

		ev.kind = RAFT_EVENT_READ;
		ev.read.tag = tag;
		step(ev);
	}

	enum status change(uint32_t id, bool voter, bool remove)
	{
		struct raft_event ev = {};
		static uint64_t tag = 1000;

		ev.kind = RAFT_EVENT_MEMBERS;
		ev.members.tag = ++tag;
		ev.members.id = id;
		ev.members.voter = voter;
		ev.members.remove = remove;
		step(ev);
		return outcomes.count(tag) ? outcomes[tag] : STATUS_OK;
	}

	void receive(uint32_t from, struct raft_msg m)
	{
		struct raft_event ev = {};

		m.group = 1;
		m.from = from;
		m.to = 1;
		if (m.term == 0)
			m.term = raft_term(core);
		ev.kind = RAFT_EVENT_MESSAGE;
		ev.message.from = from;
		uint8_t *bytes = raft_msg_encode(&m, &ev.message.len);
		ev.message.bytes = bytes;
		step(ev);
		free(bytes);
	}

	/// The answer of a member that has synced up to an index.
	void acknowledge(uint32_t from, uint64_t index)
	{
		struct raft_msg m = {};

		m.kind = RAFT_MSG_APPEND_REPLY;
		m.ok = true;
		m.index = index;
		m.round = sent.empty() ? 0 : sent.back().round;
		m.at_us = now;
		receive(from, m);
	}

	void vote_for_it(uint32_t from, enum raft_msg_kind kind, uint64_t term)
	{
		struct raft_msg m = {};

		m.kind = kind;
		m.ok = true;
		m.term = term;
		receive(from, m);
	}

	void lead()
	{
		now = deadline;
		tick();
		ASSERT_EQ(raft_role(core), RAFT_PRE_CANDIDATE);
		vote_for_it(2, RAFT_MSG_PRE_VOTE_REPLY, raft_term(core) + 1);
		ASSERT_EQ(raft_role(core), RAFT_CANDIDATE);
		vote_for_it(2, RAFT_MSG_VOTE_REPLY, raft_term(core));
		ASSERT_EQ(raft_role(core), RAFT_CANDIDATE)
		    << "its own vote counted before it was synced";
		sync();
		ASSERT_EQ(raft_role(core), RAFT_LEADER);
	}

	bool granted_pre_vote(
	    uint32_t from, uint64_t term, uint64_t index, uint64_t log_term)
	{
		struct raft_msg m = {};

		m.kind = RAFT_MSG_PRE_VOTE;
		m.term = term;
		m.index = index;
		m.log_term = log_term;
		sent.clear();
		receive(from, m);
		return sent.size() == 1 && sent[0].ok;
	}

	bool granted_vote(
	    uint64_t index, uint64_t log_term, bool leader_transfer)
	{
		struct raft_msg m = {};

		m.kind = RAFT_MSG_VOTE;
		m.term = raft_term(core) + 1;
		m.index = index;
		m.log_term = log_term;
		m.leader_transfer = leader_transfer;
		sent.clear();
		receive(3, m);
		for (auto &s : sent)
			EXPECT_FALSE(s.ok) << "promised before the sync";
		sync();
		for (auto &s : sent) {
			if (s.kind == RAFT_MSG_VOTE_REPLY && s.ok)
				return true;
		}
		return false;
	}

	struct raft_msg append(uint64_t index, uint64_t log_term)
	{
		struct raft_msg m = {};

		m.kind = RAFT_MSG_APPEND;
		m.term = raft_term(core) == 0 ? 1 : raft_term(core);
		m.index = index;
		m.log_term = log_term;
		m.at_us = now;
		return m;
	}
};

TEST_F(Core, OwnEntriesCountOnceSynced)
{
	boot({});
	lead();
	propose(5);
	acknowledge(2, 2);
	EXPECT_EQ(raft_commit_index(core), 0U);
	sync();
	EXPECT_EQ(raft_commit_index(core), 2U);
	EXPECT_EQ(outcomes[5], STATUS_OK);
}

TEST_F(Core, FollowerAcknowledgesWhatIsSynced)
{
	struct raft_entry e = { 1, 1, RAFT_EMPTY, 0, nullptr };

	boot({});
	struct raft_msg m = append(0, 0);
	m.entries = &e;
	m.n_entries = 1;
	receive(2, m);
	receive(2, append(1, 1));
	for (auto &s : sent)
		EXPECT_EQ(s.index, 0U);
	sync();
	EXPECT_EQ(sent.back().index, 1U);
}

TEST_F(Core, EntryOfAnOldTermIsCommittedByOneOfItsOwnOnly)
{
	boot({ 1, 2 });
	lead();
	acknowledge(2, 2);
	EXPECT_EQ(raft_commit_index(core), 0U);
	sync();
	acknowledge(2, 3);
	EXPECT_EQ(raft_commit_index(core), 3U);
}

TEST_F(Core, VoteNeedsAnEqualLogAndASilentLeader)
{
	boot({ 1, 2 });
	EXPECT_FALSE(granted_vote(5, 1, false));
	EXPECT_FALSE(granted_vote(1, 2, false));
	receive(2, append(2, 2));
	EXPECT_FALSE(granted_vote(2, 2, false));
	now += ELECTION_US - 1;
	EXPECT_FALSE(granted_vote(2, 2, false));
	EXPECT_TRUE(granted_vote(2, 2, true));
	now++;
	EXPECT_TRUE(granted_vote(2, 2, false));
}

TEST_F(Core, RestartedVoterWaitsAnElectionTime)
{
	boot({ 1 }, true);
	EXPECT_FALSE(granted_vote(1, 1, false));
	now += ELECTION_US;
	EXPECT_TRUE(granted_vote(1, 1, false));
}

/// All voters restarted: the leader that any of them acknowledged is among
/// those who ask now, so its lease needn't be waited for.
TEST_F(Core, RestartedVoterWaitsNoLongerThanTheOldLeaderMayLead)
{
	boot({ 1, 2, 2 }, true);
	EXPECT_FALSE(granted_pre_vote(2, 3, 3, 2));
	EXPECT_FALSE(granted_pre_vote(2, 3, 3, 2));
	EXPECT_TRUE(granted_pre_vote(3, 3, 3, 2));
	EXPECT_TRUE(granted_pre_vote(2, 3, 3, 2));
}

/// A question from before the newest term says nothing about its leader.
TEST_F(Core, RestartedVoterHeedsQuestionsOfLaterTermsOnly)
{
	boot({ 1, 2, 2 }, true);
	EXPECT_FALSE(granted_pre_vote(2, 2, 3, 2));
	EXPECT_FALSE(granted_pre_vote(3, 3, 3, 2));
	EXPECT_FALSE(granted_pre_vote(3, 3, 3, 2));
}

/// Without an entry of the newest term its leader may be anybody.
TEST_F(Core, RestartedVoterWaitsWhereItKnowsNoEntryOfTheTerm)
{
	boot({ 1, 2 }, true, 3);
	EXPECT_FALSE(granted_pre_vote(2, 4, 3, 3));
	EXPECT_FALSE(granted_pre_vote(3, 4, 3, 3));
	now += ELECTION_US;
	EXPECT_TRUE(granted_pre_vote(3, 4, 3, 3));
}

/// Voters that restarted refuse for an election's time each; whoever asks
/// first must not wait for another whole one.
TEST_F(Core, RefusedPreVoteIsAskedForAgainSoon)
{
	boot({ 1 });
	now = deadline;
	tick();
	ASSERT_EQ(raft_role(core), RAFT_PRE_CANDIDATE);
	const uint64_t first = now;
	sent.clear();
	now = deadline;
	EXPECT_LE(now, first + ELECTION_US / 2);
	tick();
	EXPECT_EQ(raft_role(core), RAFT_PRE_CANDIDATE);
	EXPECT_EQ(raft_term(core), 1U);
	ASSERT_EQ(sent.size(), 2U);
	EXPECT_EQ(sent[0].kind, RAFT_MSG_PRE_VOTE);
}

TEST_F(Core, MembersChangeOneStepAtATime)
{
	boot({});
	lead();
	EXPECT_EQ(change(4, false, false), STATUS_UNAVAILABLE)
	    << "before an entry of this term is committed";
	sync();
	acknowledge(2, 1);
	EXPECT_EQ(change(4, false, false), STATUS_OK);
	EXPECT_EQ(change(5, false, false), STATUS_UNAVAILABLE);
	sync();
	acknowledge(2, 2);
	EXPECT_EQ(change(4, true, false), STATUS_UNAVAILABLE);
	acknowledge(4, 1);
	EXPECT_EQ(change(4, true, false), STATUS_UNAVAILABLE);
	acknowledge(4, 2);
	EXPECT_EQ(change(4, true, false), STATUS_OK);
	EXPECT_EQ(raft_members(core)->n_voters, 4U);
}

TEST_F(Core, LeaseEndsWithTheAnswersAndWithAHandOver)
{
	struct raft_event ev = {};

	boot({});
	lead();
	EXPECT_FALSE(raft_lease_holds(core, now));
	sync();
	acknowledge(2, 1);
	EXPECT_TRUE(raft_lease_holds(core, now));
	EXPECT_FALSE(raft_lease_holds(core, now + ELECTION_US * 9 / 10));
	ev.kind = RAFT_EVENT_TRANSFER;
	ev.transfer.to = 2;
	step(ev);
	EXPECT_EQ(sent.back().kind, RAFT_MSG_TIMEOUT_NOW);
	EXPECT_FALSE(raft_lease_holds(core, now));
	propose(9);
	EXPECT_EQ(outcomes[9], STATUS_UNAVAILABLE);
}

TEST_F(Core, ReadOutsideTheLeaseWaitsForAQuorum)
{
	boot({});
	lead();
	sync();
	acknowledge(2, 1);
	read(7);
	EXPECT_EQ(outcomes[7], STATUS_OK);
	const struct raft_msg before = sent.back();
	now += ELECTION_US * 9 / 10;
	read(8);
	EXPECT_EQ(outcomes.count(8), 0U);
	struct raft_msg late = {};
	late.kind = RAFT_MSG_APPEND_REPLY;
	late.ok = true;
	late.index = 1;
	late.round = before.round;
	receive(3, late);
	EXPECT_EQ(outcomes.count(8), 0U) << "an answer from before the read";
	acknowledge(3, 1);
	EXPECT_EQ(outcomes[8], STATUS_OK);
}

TEST_F(Core, LeaderWithoutAQuorumStepsDown)
{
	boot({});
	lead();
	sync();
	propose(3);
	while (now < 1000000 + 5 * ELECTION_US) {
		now += HEARTBEAT_US;
		tick();
	}
	EXPECT_NE(raft_role(core), RAFT_LEADER);
	EXPECT_EQ(outcomes[3], STATUS_TIMEOUT);
}

TEST_F(Core, EntriesOfAnEarlierLeaderAreNotAcknowledgedToTheNext)
{
	struct raft_entry e[2] = { { 1, 1, RAFT_EMPTY, 0, nullptr },
		{ 2, 1, RAFT_EMPTY, 0, nullptr } };

	boot({});
	struct raft_msg m = append(0, 0);
	m.entries = e;
	m.n_entries = 2;
	receive(2, m);
	sync();
	struct raft_msg heartbeat = {};
	heartbeat.kind = RAFT_MSG_APPEND;
	heartbeat.term = 2;
	heartbeat.heartbeat = true;
	receive(3, heartbeat);
	sync();
	EXPECT_EQ(sent.back().index, 0U);
}

TEST_F(Core, ChangedMessagesNeverBreakIt)
{
	struct raft_entry e[2] = { { 1, 1, RAFT_EMPTY, 0, nullptr },
		{ 2, 1, RAFT_COMMAND, 1, (uint8_t *)"x" } };
	struct raft_msg m = {};
	uint64_t state = 1;

	boot({});
	m.term = 1;
	m.group = 1;
	m.from = 2;
	m.to = 1;
	m.commit = 1;
	m.entries = e;
	m.n_entries = 2;
	m.members.n_voters = 1;
	m.members.voters[0] = 2;
	m.data = (const uint8_t *)"abc";
	m.len = 3;
	m.total = 3;
	for (int kind = RAFT_MSG_PRE_VOTE; kind <= RAFT_MSG_LAST; kind++) {
		size_t len;

		m.kind = static_cast<enum raft_msg_kind>(kind);
		uint8_t *good = raft_msg_encode(&m, &len);
		for (int i = 0; i < 20000; i++) {
			std::vector<uint8_t> bad(good, good + len);
			struct raft_event ev = {};

			state = state * 6364136223846793005U + 1442695040U;
			bad[(state >> 33) % len] = (uint8_t)(state >> 24);
			ev.kind = RAFT_EVENT_MESSAGE;
			ev.message.from = 2;
			ev.message.bytes = bad.data();
			ev.message.len = len;
			raft_step(core, ++now, &ev, &fx);
			raft_effects_clear(&fx);
		}
		free(good);
	}
	EXPECT_LE(raft_commit_index(core), raft_last_index(core));
}
