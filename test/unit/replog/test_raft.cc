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

/// Member 1 of three voters. The test makes the messages of the others and
/// decides when a sync completes.
class Core : public testing::Test
{
      protected:
	struct rnd *rnd = rnd_new(1);
	struct raft_core *core = nullptr;
	struct raft_effects fx = {};
	uint64_t now = 1000000;
	uint64_t requested_sync = 0;
	uint64_t deadline = 0;
	std::vector<struct raft_msg> sent;
	std::map<uint64_t, enum status> outcomes;

	void start(std::vector<uint64_t> terms, bool restarted = false,
	    uint64_t term = 0)
	{
		struct raft_config config = {};
		std::vector<struct raft_entry> entries;

		for (size_t i = 0; i < terms.size(); i++)
			entries.push_back(
			    { i + 1, terms[i], RAFT_EMPTY, 0, nullptr });
		config.group = 1;
		config.self = 1;
		config.hard_state.term =
		    term != 0 || terms.empty() ? term : terms.back();
		config.members.n_voters = 3;
		for (uint32_t i = 0; i < 3; i++)
			config.members.voters[i] = i + 1;
		config.entries = entries.data();
		config.n_entries = entries.size();
		config.election_us = ELECTION_US;
		config.heartbeat_us = HEARTBEAT_US;
		config.restarted = restarted;
		core = raft_new(&config, rnd, now);
		tick();
	}

	void TearDown() override
	{
		raft_free(core);
		raft_effects_free(&fx);
		rnd_free(rnd);
	}

	void record_effect(const struct raft_effect &e)
	{
		struct raft_msg m;

		if (e.kind == RAFT_EFFECT_SYNC)
			requested_sync = e.sync.seq;
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
			record_effect(fx.items[i]);
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
		ev.synced.seq = requested_sync;
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

	/// Delivers the reply of a member that has synced up to an index.
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

	void grant(uint32_t from, enum raft_msg_kind kind, uint64_t term)
	{
		struct raft_msg m = {};

		m.kind = kind;
		m.ok = true;
		m.term = term;
		receive(from, m);
	}

	void become_leader()
	{
		now = deadline;
		tick();
		ASSERT_EQ(raft_role(core), RAFT_PRE_CANDIDATE);
		grant(2, RAFT_MSG_PRE_VOTE_REPLY, raft_term(core) + 1);
		ASSERT_EQ(raft_role(core), RAFT_CANDIDATE);
		grant(2, RAFT_MSG_VOTE_REPLY, raft_term(core));
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

/// A leader that counts its own entry before its sync would commit it with one
/// durable copy of three.
TEST_F(Core, OwnEntriesCountOnceSynced)
{
	start({});
	become_leader();
	propose(5);
	acknowledge(2, 2);
	EXPECT_EQ(raft_commit_index(core), 0U);
	sync();
	EXPECT_EQ(raft_commit_index(core), 2U);
	EXPECT_EQ(outcomes[5], STATUS_OK);
}

/// An acknowledgement before the sync would let the leader commit an entry that
/// a power loss removes; a repeated append must not cause one either.
TEST_F(Core, FollowerAcknowledgesOnlyWhatIsSynced)
{
	struct raft_entry e = { 1, 1, RAFT_EMPTY, 0, nullptr };

	start({});
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

/// An entry of an earlier term can still be overwritten by another leader
/// although a quorum holds it, until an entry of the current term follows.
TEST_F(Core, EntryOfAnOldTermIsCommittedWithOneOfTheNewTermOnly)
{
	start({ 1, 2 });
	become_leader();
	acknowledge(2, 2);
	EXPECT_EQ(raft_commit_index(core), 0U);
	sync();
	acknowledge(2, 3);
	EXPECT_EQ(raft_commit_index(core), 3U);
}

TEST_F(Core, VoteNeedsAnUpToDateLogAndNoRecentLeader)
{
	start({ 1, 2 });
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
	start({ 1 }, true);
	EXPECT_FALSE(granted_vote(1, 1, false));
	now += ELECTION_US;
	EXPECT_TRUE(granted_vote(1, 1, false));
}

/// The leader that it acknowledged right before its restart may hold a lease
/// that relies on this voter. Another voter that has lost contact with that
/// leader must not be enough for an election.
TEST_F(Core, RestartedVoterDoesNotElectItselfWithinALease)
{
	start({ 1 }, true);
	const uint64_t restart = now;
	now = deadline;
	tick();
	ASSERT_EQ(raft_role(core), RAFT_PRE_CANDIDATE);
	ASSERT_LT(now, restart + ELECTION_US);
	grant(2, RAFT_MSG_PRE_VOTE_REPLY, 2);
	EXPECT_EQ(raft_role(core), RAFT_PRE_CANDIDATE);
	EXPECT_EQ(raft_term(core), 1U);
	now = restart + ELECTION_US;
	tick();
	grant(2, RAFT_MSG_PRE_VOTE_REPLY, 2);
	EXPECT_EQ(raft_role(core), RAFT_CANDIDATE);
}

/// All voters restarted. The leader that any of them acknowledged is among
/// those that request pre-votes now, so its lease needn't be waited for.
TEST_F(Core, RestartedVoterWaitsNoLongerThanTheOldLeaderMayLead)
{
	start({ 1, 2, 2 }, true);
	EXPECT_FALSE(granted_pre_vote(2, 3, 3, 2));
	EXPECT_FALSE(granted_pre_vote(2, 3, 3, 2));
	EXPECT_TRUE(granted_pre_vote(3, 3, 3, 2));
	EXPECT_TRUE(granted_pre_vote(2, 3, 3, 2));
}

/// A pre-vote request for a term that isn't later than the current one doesn't
/// show that the leader of the current term is gone.
TEST_F(Core, RestartedVoterHeedsQuestionsOfLaterTermsOnly)
{
	start({ 1, 2, 2 }, true);
	EXPECT_FALSE(granted_pre_vote(2, 2, 3, 2));
	EXPECT_FALSE(granted_pre_vote(3, 3, 3, 2));
	EXPECT_FALSE(granted_pre_vote(3, 3, 3, 2));
}

/// Without an entry of the current term its electors are unknown, so any member
/// may be its leader.
TEST_F(Core, RestartedVoterWaitsWhereItKnowsNoEntryOfTheTerm)
{
	start({ 1, 2 }, true, 3);
	EXPECT_FALSE(granted_pre_vote(2, 4, 3, 3));
	EXPECT_FALSE(granted_pre_vote(3, 4, 3, 3));
	now += ELECTION_US;
	EXPECT_TRUE(granted_pre_vote(3, 4, 3, 3));
}

/// Restarted voters refuse pre-votes for one election time each. The first
/// candidate must not wait for another whole election time before it retries.
TEST_F(Core, RefusedPreVoteIsRetriedSoon)
{
	start({ 1 });
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

/// Votes may be delivered so late that the voters have elected another leader
/// in a later term since. The member still becomes the leader of the old term,
/// and may lack what the other one has committed. It must not commit, answer a
/// read or hold a lease.
TEST_F(Core, LeaderOfATermThatIsFollowedByAnotherCommitsNothing)
{
	struct raft_entry e = { 2, 3, RAFT_EMPTY, 0, nullptr };
	struct raft_msg later = {};

	start({ 1 });
	now = deadline;
	tick();
	grant(2, RAFT_MSG_PRE_VOTE_REPLY, 2);
	sync();
	ASSERT_EQ(raft_role(core), RAFT_CANDIDATE);
	// Here 2 and 3 elect 3 in term 3 and commit entry 2 there.
	grant(2, RAFT_MSG_VOTE_REPLY, 2);
	ASSERT_EQ(raft_role(core), RAFT_LEADER);
	propose(5);
	read(6);
	sync();
	EXPECT_FALSE(raft_lease_holds(core, now));
	EXPECT_EQ(raft_commit_index(core), 0U);
	later.kind = RAFT_MSG_APPEND_REPLY;
	later.term = 3;
	receive(2, later);
	EXPECT_EQ(raft_role(core), RAFT_FOLLOWER);
	EXPECT_EQ(outcomes[5], STATUS_TIMEOUT);
	EXPECT_EQ(outcomes[6], STATUS_UNAVAILABLE);
	struct raft_msg m = append(1, 1);
	m.entries = &e;
	m.n_entries = 1;
	m.commit = 2;
	receive(3, m);
	EXPECT_EQ(raft_commit_index(core), 2U);
	EXPECT_EQ(raft_term_at(core, 2), 3U);
}

/// The member was promoted and removed again by entries that it doesn't know to
/// be committed. The voters before the removal can't elect anyone without it,
/// and its log is longer than theirs.
TEST_F(Core, MemberOfAnUncommittedSetCampaigns)
{
	struct raft_members with = {};
	struct raft_members without = {};
	struct raft_config config = {};
	struct raft_entry entries[2] = {};
	size_t len[2];

	with.n_voters = 4;
	without.n_voters = 3;
	for (uint32_t i = 0; i < 3; i++)
		with.voters[i] = without.voters[i] = i + 2;
	with.voters[3] = 1;
	uint8_t *bytes[2] = { raft_members_encode(&with, &len[0]),
		raft_members_encode(&without, &len[1]) };
	for (int i = 0; i < 2; i++)
		entries[i] = { uint64_t(i) + 1, 1, RAFT_MEMBERS,
			uint32_t(len[i]), bytes[i] };
	config.group = 1;
	config.self = 1;
	config.hard_state.term = 1;
	config.members = without;
	config.entries = entries;
	config.n_entries = 2;
	config.election_us = ELECTION_US;
	config.heartbeat_us = HEARTBEAT_US;
	core = raft_new(&config, rnd, now);
	for (int i = 0; i < 6; i++) {
		now = deadline;
		tick();
	}
	EXPECT_EQ(raft_role(core), RAFT_PRE_CANDIDATE);
	free(bytes[0]);
	free(bytes[1]);
}

/// Two changes at once, or one before an entry of this term is committed, could
/// form two sets of members whose quorums share no voter.
TEST_F(Core, MembersChangeOneStepAtATime)
{
	start({});
	become_leader();
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

/// A lease that outlives the voters' wait, or the request to the successor,
/// would allow stale reads beside a new leader.
TEST_F(Core, LeaseEndsWithoutRepliesAndWithATransfer)
{
	struct raft_event ev = {};

	start({});
	become_leader();
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

/// A reply to a message sent before the read doesn't show that no other leader
/// existed when the read was requested.
TEST_F(Core, ReadOutsideTheLeaseWaitsForAQuorum)
{
	start({});
	become_leader();
	sync();
	acknowledge(2, 1);
	read(7);
	EXPECT_EQ(outcomes[7], STATUS_OK);
	const struct raft_msg before = sent.back();
	now += ELECTION_US * 9 / 10;
	read(8);
	EXPECT_EQ(outcomes.count(8), 0U);
	struct raft_msg earlier_reply = {};
	earlier_reply.kind = RAFT_MSG_APPEND_REPLY;
	earlier_reply.ok = true;
	earlier_reply.index = 1;
	earlier_reply.round = before.round;
	receive(3, earlier_reply);
	EXPECT_EQ(outcomes.count(8), 0U) << "an answer from before the read";
	acknowledge(3, 1);
	EXPECT_EQ(outcomes[8], STATUS_OK);
}

TEST_F(Core, LeaderWithoutAQuorumStepsDown)
{
	start({});
	become_leader();
	sync();
	propose(3);
	while (now < 1000000 + 5 * ELECTION_US) {
		now += HEARTBEAT_US;
		tick();
	}
	EXPECT_NE(raft_role(core), RAFT_LEADER);
	EXPECT_EQ(outcomes[3], STATUS_TIMEOUT);
}

/// A follower's synced entries may differ from those of a new leader. It must
/// not report them as matching before it has compared the logs.
TEST_F(Core, EntriesOfAnEarlierLeaderAreNotAcknowledgedToTheNext)
{
	struct raft_entry e[2] = { { 1, 1, RAFT_EMPTY, 0, nullptr },
		{ 2, 1, RAFT_EMPTY, 0, nullptr } };

	start({});
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

/// The log kept a number of entries in memory whatever their size, so that some
/// hundred large ones were more than the machine has.
TEST_F(Core, RetainedEntriesAreBoundedByTheirBytes)
{
	const size_t len = 100000;
	std::vector<uint8_t> data(len, 'x');
	std::vector<struct raft_entry> entries;
	struct raft_config config = {};
	struct raft_event made = {};

	for (uint64_t i = 1; i <= 100; i++)
		entries.push_back({ i, 1, RAFT_COMMAND, len, data.data() });
	config.group = 1;
	config.self = 1;
	config.hard_state.term = 1;
	config.members.n_voters = 3;
	for (uint32_t i = 0; i < 3; i++)
		config.members.voters[i] = i + 1;
	config.entries = entries.data();
	config.n_entries = entries.size();
	config.election_us = ELECTION_US;
	config.heartbeat_us = HEARTBEAT_US;
	config.limits.retained_bytes = 5 * len;
	core = raft_new(&config, rnd, now);
	made.kind = RAFT_EVENT_SNAPSHOT_MADE;
	made.snapshot.index = 90;
	made.snapshot.term = 1;
	raft_step(core, ++now, &made, &fx);
	EXPECT_EQ(raft_entry_at(core, 85), nullptr);
	EXPECT_NE(raft_entry_at(core, 86), nullptr);
	EXPECT_NE(raft_entry_at(core, 100), nullptr);
	EXPECT_EQ(raft_term_at(core, 85), 1U);
}

/// Changes one byte of a message of each kind at a time; the core must drop or
/// handle each result.
TEST_F(Core, CorruptedMessagesViolateNoInvariant)
{
	struct raft_entry e[2] = { { 1, 1, RAFT_EMPTY, 0, nullptr },
		{ 2, 1, RAFT_COMMAND, 1, (uint8_t *)"x" } };
	struct raft_msg m = {};
	uint64_t state = 1;

	start({});
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
