#include <gtest/gtest.h>

#include "failing.h"
#include "group.h"

static void
start(Net &net)
{
	for (uint32_t slot = 1; slot <= net.n_voters; slot++)
		ASSERT_EQ(net.open(slot), STATUS_OK) << status_last();
	net.run(2000000);
	ASSERT_NE(net.leader(), 0U);
}

TEST(Group, CommitsAndSurvivesRestartOfAll)
{
	Net net;

	start(net);
	const Net::Done d = net.propose(net.leader(), "first");
	EXPECT_EQ(d.calls, 1);
	EXPECT_EQ(d.st, STATUS_OK);
	EXPECT_EQ(d.result, "\x01");
	for (uint32_t slot = 1; slot <= 3; slot++)
		net.close(slot);
	start(net);
	net.run(200000);
	for (uint32_t slot = 1; slot <= 3; slot++)
		EXPECT_EQ(net.nodes[slot]->state,
		    std::vector<std::string>{ "first" });
}

TEST(Group, IsolatedLeaderNeitherAnswersNorCommits)
{
	Net net;

	start(net);
	const uint32_t old = net.leader();
	net.cut = { old };
	const Net::Done lost = net.propose(old, "lost", 2000000);
	EXPECT_EQ(lost.st, STATUS_TIMEOUT);
	EXPECT_FALSE(replica_is_ready(net.nodes[old]->replica));
	const uint32_t fresh = net.leader();
	ASSERT_NE(fresh, 0U);
	EXPECT_EQ(net.propose(fresh, "kept").st, STATUS_OK);
	const uint64_t term = net.status(fresh).term;
	net.cut = {};
	net.run(2000000);
	EXPECT_EQ(net.status(fresh).term, term);
	EXPECT_EQ(net.nodes[old]->state, std::vector<std::string>{ "kept" });
	EXPECT_EQ(net.propose(old, "no").st, STATUS_UNAVAILABLE);
}

TEST(Group, WhatWaitsIsEndedOnceBeforeAClose)
{
	Net net;
	int calls = 0;
	const auto count = [](void *arg, enum status st, const uint8_t *,
			       size_t) {
		EXPECT_EQ(st, STATUS_TIMEOUT);
		++*static_cast<int *>(arg);
	};

	start(net);
	struct replica *replica = net.nodes[net.leader()]->replica;
	replica_propose(
	    replica, reinterpret_cast<const uint8_t *>("x"), 1, count, &calls);
	replica_read_barrier(replica, count, &calls);
	replica_cancel_waiters(replica);
	EXPECT_EQ(calls, 2);
	replica_cancel_waiters(replica);
	net.run(200000);
	EXPECT_EQ(calls, 2);
}

TEST(Group, SnapshotBringsALateMemberUpToDate)
{
	Net net;

	net.snapshot_bytes = 100000;
	start(net);
	const uint32_t leader = net.leader();
	const uint32_t late = leader % 3 + 1;
	net.close(late);
	for (int i = 0; i < 1200; i++) {
		ASSERT_EQ(
		    net.propose(leader,
			   std::to_string(i) + std::string(800, 'x'), 5000)
			.calls,
		    1);
	}
	EXPECT_GT(net.status(leader).snapshot, 500U);
	ASSERT_EQ(net.open(late), STATUS_OK);
	net.run(1000000);
	EXPECT_TRUE(net.nodes[late]->state == net.nodes[leader]->state);
	EXPECT_EQ(net.nodes[late]->state.size(), 1200U);
	net.close(late);
	ASSERT_EQ(net.open(late), STATUS_OK);
	net.run(1000000);
	EXPECT_TRUE(net.nodes[late]->state == net.nodes[leader]->state);
}

TEST(Group, HandOverTakesNoElectionTime)
{
	Net net;

	start(net);
	const uint32_t old = net.leader();
	replica_transfer_leader(net.nodes[old]->replica, 0);
	net.run(20000);
	EXPECT_NE(net.leader(), old);
	EXPECT_NE(net.leader(), 0U);
}

TEST(Group, LeaderThatIsRemovedStepsDown)
{
	Net net;

	start(net);
	const uint32_t old = net.leader();
	EXPECT_EQ(net.change(old, old, false, true).st, STATUS_OK);
	EXPECT_NE(net.status(old).role, RAFT_LEADER);
	net.run(2000000);
	const uint32_t fresh = net.leader();
	ASSERT_NE(fresh, 0U);
	ASSERT_NE(fresh, old);
	EXPECT_EQ(net.status(fresh).members.n_voters, 2U);
	EXPECT_EQ(net.change(fresh, old, true, false).st, STATUS_UNAVAILABLE);
	EXPECT_EQ(net.change(fresh, old, false, false).st, STATUS_OK);
	EXPECT_EQ(net.change(fresh, old, true, false).st, STATUS_OK);
	EXPECT_EQ(net.status(fresh).members.n_voters, 3U);
}

TEST(Group, StartsOnlyOnceAllFoundersAgreed)
{
	Net net;

	ASSERT_EQ(net.open(1), STATUS_OK);
	ASSERT_EQ(net.open(2), STATUS_OK);
	net.run(3000000);
	EXPECT_EQ(net.status(1).origin, LOGSTORE_ORIGIN_UNKNOWN);
	EXPECT_EQ(net.propose(1, "early").st, STATUS_UNAVAILABLE);
	ASSERT_EQ(net.open(3), STATUS_OK);
	net.run(2000000);
	EXPECT_NE(net.leader(), 0U);
	EXPECT_EQ(net.status(3).origin, LOGSTORE_ORIGIN_INITIAL);
}

TEST(Group, LostDiskJoinsAnewAndASecondLossAfterRepairIsSurvived)
{
	Net net;

	start(net);
	const uint32_t leader = net.leader();
	const uint32_t lost = leader % 3 + 1;
	const uint32_t other = lost % 3 + 1;
	ASSERT_EQ(net.propose(leader, "kept").st, STATUS_OK);
	net.close(lost);
	net.lose_disk(lost);
	net.close(other);
	ASSERT_EQ(net.open(lost), STATUS_OK);
	net.run(3000000);
	EXPECT_EQ(net.status(lost).origin, LOGSTORE_ORIGIN_JOINED);
	EXPECT_EQ(net.leader(), 0U)
	    << "an empty disk made a quorum with an old one";
	ASSERT_EQ(net.open(other), STATUS_OK);
	net.run(5000000);
	const uint32_t now = net.leader();
	ASSERT_NE(now, 0U);
	const uint32_t joined = net.status(lost).self;
	EXPECT_NE(joined, lost);
	const struct replica_status after = net.status(now);
	EXPECT_TRUE(raft_is_voter(&after.members, joined));
	EXPECT_FALSE(raft_is_voter(&after.members, lost));
	net.close(now);
	net.run(3000000);
	const uint32_t last = net.leader();
	ASSERT_NE(last, 0U);
	EXPECT_EQ(net.nodes[last]->state, std::vector<std::string>{ "kept" });
	EXPECT_EQ(net.propose(last, "more").st, STATUS_OK);
}

TEST(Group, MemberThatRestartsWithinASnapshotGetsItAnew)
{
	Net net;

	net.snapshot_bytes = 20000;
	net.limits.retained_entries = 1;
	net.limits.piece_bytes = 1000;
	start(net);
	const uint32_t leader = net.leader();
	const uint32_t late = leader % 3 + 1;
	net.close(late);
	for (int i = 0; i < 100; i++)
		net.propose(leader, std::string(1000, 'x'), 4000);
	ASSERT_EQ(net.open(late), STATUS_OK);
	net.pieces = 0;
	ASSERT_TRUE(
	    net.run(2000000, [](const Net *n) { return n->pieces == 5; }));
	net.close(late);
	ASSERT_EQ(net.open(late), STATUS_OK);
	net.run(2000000);
	EXPECT_TRUE(net.nodes[late]->state == net.nodes[leader]->state);
}

TEST(Group, RemovedMemberStillLeadsWhileItsRemovalIsNotCommitted)
{
	Net net;

	net.n_voters = 4;
	start(net);
	const uint32_t old = net.leader();
	net.close(old % 4 + 1);
	net.cut = { old };
	EXPECT_NE(net.change(old, old, false, true).st, STATUS_OK);
	net.run(600000);
	net.cut = {};
	net.run(5000000);
	EXPECT_NE(net.leader(), 0U)
	    << "the others need its vote and it has the longer log";
}

TEST(Group, RemovedMemberDoesNotStandAfterARestartOfAll)
{
	Net net;

	start(net);
	const uint32_t leader = net.leader();
	const uint32_t out = leader % 3 + 1;

	ASSERT_EQ(net.change(leader, out, false, true).st, STATUS_OK);
	ASSERT_EQ(net.change(leader, out, false, false).st, STATUS_OK);
	net.run(500000);
	for (int round = 0; round < 8; round++) {
		for (uint32_t slot = 1; slot <= 3; slot++)
			net.close(slot);
		for (uint32_t slot = 1; slot <= 3; slot++)
			ASSERT_EQ(net.open(slot), STATUS_OK);
		for (int i = 0; i < 400 && net.leader() == 0; i++) {
			net.run(5000);
			EXPECT_EQ(net.status(out).role, RAFT_FOLLOWER)
			    << "round " << round;
		}
		EXPECT_NE(net.leader(), 0U);
		net.run(500000);
	}
}

TEST(Group, SettingsMayBeMendedBeforeTheFirstStart)
{
	Net net;

	net.n_voters = 2;
	ASSERT_EQ(net.open(1), STATUS_OK);
	net.run(1000000);
	net.close(1);
	net.n_voters = 3;
	start(net);
	EXPECT_EQ(net.status(1).members.n_voters, 3U);
}

TEST(Group, FullDiskEndsThatMemberAndLosesNothing)
{
	Net net;
	Failing full;

	full.code = ENOSPC;
	start(net);
	const uint32_t first = net.leader();
	net.close(first);
	ASSERT_EQ(net.open(first, &full.os), STATUS_OK);
	net.run(1000000);
	replica_transfer_leader(net.nodes[net.leader()]->replica, first);
	net.run(100000);
	ASSERT_EQ(net.leader(), first);
	ASSERT_EQ(net.propose(first, "kept").st, STATUS_OK);
	full.left = 0;
	EXPECT_NE(net.propose(first, "unsure", 2000000).st, STATUS_OK);
	EXPECT_EQ(net.nodes[first]->failure, STATUS_FULL);
	EXPECT_FALSE(replica_is_ready(net.nodes[first]->replica));
	const uint32_t second = net.leader();
	ASSERT_NE(second, 0U);
	EXPECT_EQ(net.propose(second, "more").st, STATUS_OK);
	net.close(first);
	ASSERT_EQ(net.open(first), STATUS_OK);
	net.run(1000000);
	EXPECT_TRUE(net.nodes[first]->state == net.nodes[second]->state);
	EXPECT_EQ(net.nodes[first]->state.front(), "kept");
	EXPECT_EQ(net.nodes[first]->state.back(), "more");
}
