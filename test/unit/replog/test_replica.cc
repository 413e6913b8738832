#include <gtest/gtest.h>

#include "faulty_os.h"
#include "cluster.h"

static void
start(Cluster &cluster)
{
	for (uint32_t slot = 1; slot <= cluster.n_voters; slot++)
		ASSERT_EQ(cluster.open(slot), STATUS_OK) << status_last();
	cluster.run(2000000);
	ASSERT_NE(cluster.leader(), 0U);
}

TEST(Group, CommitsAndSurvivesRestartOfAll)
{
	Cluster cluster;

	start(cluster);
	const Cluster::Outcome d = cluster.propose(cluster.leader(), "first");
	EXPECT_EQ(d.n_calls, 1);
	EXPECT_EQ(d.status, STATUS_OK);
	EXPECT_EQ(d.result, "\x01");
	for (uint32_t slot = 1; slot <= 3; slot++)
		cluster.close(slot);
	start(cluster);
	cluster.run(200000);
	for (uint32_t slot = 1; slot <= 3; slot++)
		EXPECT_EQ(cluster.nodes[slot]->state,
		    std::vector<std::string>{ "first" });
}

/// A leader without a quorum must not confirm a proposal, and its entry must
/// not survive beside one that the new leader committed.
TEST(Group, IsolatedLeaderNeitherRespondsNorCommits)
{
	Cluster cluster;

	start(cluster);
	const uint32_t old = cluster.leader();
	cluster.isolated = { old };
	const Cluster::Outcome lost = cluster.propose(old, "lost", 2000000);
	EXPECT_EQ(lost.status, STATUS_TIMEOUT);
	EXPECT_FALSE(replica_is_ready(cluster.nodes[old]->replica));
	const uint32_t new_leader = cluster.leader();
	ASSERT_NE(new_leader, 0U);
	EXPECT_EQ(cluster.propose(new_leader, "kept").status, STATUS_OK);
	const uint64_t term = cluster.status(new_leader).term;
	cluster.isolated = {};
	cluster.run(2000000);
	EXPECT_EQ(cluster.status(new_leader).term, term);
	EXPECT_EQ(
	    cluster.nodes[old]->state, std::vector<std::string>{ "kept" });
	EXPECT_EQ(cluster.propose(old, "no").status, STATUS_UNAVAILABLE);
}

/// A waiter that is cancelled must not be completed a second time by its event,
/// which is still queued.
TEST(Group, WaitersAreCancelledOnceBeforeAClose)
{
	Cluster cluster;
	int calls = 0;
	const auto count = [](void *arg, enum status status, const uint8_t *,
			       size_t) {
		EXPECT_EQ(status, STATUS_TIMEOUT);
		++*static_cast<int *>(arg);
	};

	start(cluster);
	struct replica *replica = cluster.nodes[cluster.leader()]->replica;
	replica_propose(
	    replica, reinterpret_cast<const uint8_t *>("x"), 1, count, &calls);
	replica_read_barrier(replica, count, &calls);
	replica_cancel_waiters(replica);
	EXPECT_EQ(calls, 2);
	replica_cancel_waiters(replica);
	cluster.run(200000);
	EXPECT_EQ(calls, 2);
}

/// A member that was down while the others compacted their logs can only catch
/// up from a snapshot, and must hold it after another restart.
TEST(Group, SnapshotBringsALaggingMemberUpToDate)
{
	Cluster cluster;

	cluster.snapshot_bytes = 100000;
	start(cluster);
	const uint32_t leader = cluster.leader();
	const uint32_t lagging = leader % 3 + 1;
	cluster.close(lagging);
	for (int i = 0; i < 1200; i++) {
		ASSERT_EQ(
		    cluster
			.propose(leader,
			    std::to_string(i) + std::string(800, 'x'), 5000)
			.n_calls,
		    1);
	}
	EXPECT_GT(cluster.status(leader).snapshot, 500U);
	ASSERT_EQ(cluster.open(lagging), STATUS_OK);
	cluster.run(1000000);
	EXPECT_TRUE(
	    cluster.nodes[lagging]->state == cluster.nodes[leader]->state);
	EXPECT_EQ(cluster.nodes[lagging]->state.size(), 1200U);
	cluster.close(lagging);
	ASSERT_EQ(cluster.open(lagging), STATUS_OK);
	cluster.run(1000000);
	EXPECT_TRUE(
	    cluster.nodes[lagging]->state == cluster.nodes[leader]->state);
}

TEST(Group, LeadershipTransferTakesNoElectionTime)
{
	Cluster cluster;

	start(cluster);
	const uint32_t old = cluster.leader();
	replica_transfer_leader(cluster.nodes[old]->replica, 0);
	cluster.run(20000);
	EXPECT_NE(cluster.leader(), old);
	EXPECT_NE(cluster.leader(), 0U);
}

/// A removed leader steps down and must be a learner again before it can be
/// promoted.
TEST(Group, LeaderThatIsRemovedStepsDown)
{
	Cluster cluster;

	start(cluster);
	const uint32_t old = cluster.leader();
	EXPECT_EQ(cluster.change(old, old, false, true).status, STATUS_OK);
	EXPECT_NE(cluster.status(old).role, RAFT_LEADER);
	cluster.run(2000000);
	const uint32_t new_leader = cluster.leader();
	ASSERT_NE(new_leader, 0U);
	ASSERT_NE(new_leader, old);
	EXPECT_EQ(cluster.status(new_leader).members.n_voters, 2U);
	EXPECT_EQ(cluster.change(new_leader, old, true, false).status,
	    STATUS_UNAVAILABLE);
	EXPECT_EQ(
	    cluster.change(new_leader, old, false, false).status, STATUS_OK);
	EXPECT_EQ(
	    cluster.change(new_leader, old, true, false).status, STATUS_OK);
	EXPECT_EQ(cluster.status(new_leader).members.n_voters, 3U);
}

/// A quorum alone must not start the group: the disk of the missing process
/// would be unknown, so that an empty one couldn't be told from it later.
TEST(Group, StartsOnlyOnceAllInitialVotersPinnedTheirDisks)
{
	Cluster cluster;

	ASSERT_EQ(cluster.open(1), STATUS_OK);
	ASSERT_EQ(cluster.open(2), STATUS_OK);
	cluster.run(3000000);
	EXPECT_EQ(cluster.status(1).origin, LOGSTORE_ORIGIN_UNKNOWN);
	EXPECT_EQ(cluster.propose(1, "early").status, STATUS_UNAVAILABLE);
	ASSERT_EQ(cluster.open(3), STATUS_OK);
	cluster.run(2000000);
	EXPECT_NE(cluster.leader(), 0U);
	EXPECT_EQ(cluster.status(3).origin, LOGSTORE_ORIGIN_INITIAL);
}

/// Restarts a process with an empty disk, as a platform does.
static void
restart_without_disk(Cluster &cluster, uint32_t slot)
{
	cluster.close(slot);
	cluster.lose_disk(slot);
	cluster.started_before.insert(slot);
	ASSERT_EQ(cluster.open(slot), STATUS_OK);
}

/// Delivers a number of messages, as they come.
static void
deliver(Cluster &cluster, int n)
{
	for (int i = 0; i < n; i++) {
		for (int ms = 0; ms < 1000 && cluster.queue.empty(); ms++) {
			cluster.now += 1000;
			timerq_run(cluster.timerq);
		}
		if (!cluster.queue.empty())
			cluster.deliver();
	}
}

/// Guards against a group that never starts: a process that had lost its disk
/// before the start made all others wait for a group that nobody had started.
TEST(Group, ADiskLostAtAnyPointBeforeTheStartIsReplaced)
{
	for (uint32_t slot = 1; slot <= 3; slot++) {
		for (int n = 0; n < 30; n++) {
			const uint32_t other = slot % 3 + 1;
			Cluster cluster;

			for (uint32_t i = 1; i <= 3; i++)
				ASSERT_EQ(cluster.open(i), STATUS_OK);
			deliver(cluster, n);
			restart_without_disk(cluster, slot);
			if (n % 2 == 1) {
				cluster.close(other);
				cluster.started_before.insert(other);
				ASSERT_EQ(cluster.open(other), STATUS_OK);
			}
			cluster.run(5000000);
			ASSERT_NE(cluster.leader(), 0U) << slot << " " << n;
			EXPECT_EQ(
			    cluster.propose(cluster.leader(), "first").status,
			    STATUS_OK);
		}
	}
}

/// Guards against a second group beside the first: without a majority of first
/// disks, nobody can know that there is none.
TEST(Group, ProcessesThatLostTheirDisksStartNoGroup)
{
	Cluster cluster;

	for (uint32_t i = 1; i <= 3; i++)
		ASSERT_EQ(cluster.open(i), STATUS_OK);
	restart_without_disk(cluster, 1);
	restart_without_disk(cluster, 2);
	cluster.run(5000000);
	EXPECT_EQ(cluster.leader(), 0U);
	EXPECT_EQ(cluster.status(3).origin, LOGSTORE_ORIGIN_UNKNOWN);
}

/// Guards against a second group beside one that started while one of its
/// initial voters didn't hear of it: the voter that has lost its disk has to
/// hear from all.
TEST(Group, ADiskLostAfterTheStartFoundsNoSecondGroup)
{
	for (int n = 1; n < 30; n++) {
		Cluster cluster;

		for (uint32_t i = 1; i <= 3; i++)
			ASSERT_EQ(cluster.open(i), STATUS_OK);
		deliver(cluster, n);
		cluster.isolated.insert(1);
		cluster.run(3000000);
		if (cluster.leader() == 0)
			continue;
		ASSERT_EQ(cluster.propose(cluster.leader(), "kept").status,
		    STATUS_OK);
		cluster.close(2);
		restart_without_disk(cluster, 3);
		cluster.isolated.clear();
		cluster.run(3000000);
		EXPECT_EQ(cluster.leader(), 0U);
		EXPECT_NE(cluster.status(3).origin, LOGSTORE_ORIGIN_INITIAL);
		ASSERT_EQ(cluster.open(2), STATUS_OK);
		cluster.run(5000000);
		ASSERT_NE(cluster.leader(), 0U);
		EXPECT_EQ(cluster.status(3).origin, LOGSTORE_ORIGIN_JOINED);
		EXPECT_EQ(cluster.propose(cluster.leader(), "next").status,
		    STATUS_OK);
		EXPECT_EQ(cluster.nodes[1]->state,
		    (std::vector<std::string>{ "kept", "next" }));
	}
}

/// A voter that lost its disk has forgotten what it acknowledged. If it kept
/// its vote it could form a quorum with a member that lacks a committed entry.
/// It must join as a new member that replaces the old one.
TEST(Group, LostDiskIsReplacedAndASecondLossAfterwardsIsSurvived)
{
	Cluster cluster;

	start(cluster);
	const uint32_t leader = cluster.leader();
	const uint32_t lost = leader % 3 + 1;
	const uint32_t other = lost % 3 + 1;
	ASSERT_EQ(cluster.propose(leader, "kept").status, STATUS_OK);
	cluster.close(lost);
	cluster.lose_disk(lost);
	cluster.close(other);
	ASSERT_EQ(cluster.open(lost), STATUS_OK);
	cluster.run(3000000);
	EXPECT_EQ(cluster.status(lost).origin, LOGSTORE_ORIGIN_JOINED);
	EXPECT_EQ(cluster.leader(), 0U)
	    << "an empty disk made a quorum with an old one";
	ASSERT_EQ(cluster.open(other), STATUS_OK);
	cluster.run(5000000);
	const uint32_t now = cluster.leader();
	ASSERT_NE(now, 0U);
	const uint32_t joined = cluster.status(lost).self;
	EXPECT_NE(joined, lost);
	const struct replica_status after = cluster.status(now);
	EXPECT_TRUE(raft_is_voter(&after.members, joined));
	EXPECT_FALSE(raft_is_voter(&after.members, lost));
	cluster.close(now);
	cluster.run(3000000);
	const uint32_t last = cluster.leader();
	ASSERT_NE(last, 0U);
	EXPECT_EQ(
	    cluster.nodes[last]->state, std::vector<std::string>{ "kept" });
	EXPECT_EQ(cluster.propose(last, "more").status, STATUS_OK);
}

/// A member that was removed while it was cut off knows no leader any more, but
/// it may be the only process that one with an empty disk has contact with.
/// Hellos must reach the group through it.
TEST(Group, LostDiskIsReplacedThroughAMemberThatWasRemoved)
{
	Cluster cluster;

	start(cluster);
	for (uint32_t slot = 4; slot <= 5; slot++) {
		ASSERT_EQ(cluster.open(slot), STATUS_OK);
		cluster.run(1000000);
		const uint32_t id = cluster.status(slot).self;
		ASSERT_EQ(
		    cluster.change(cluster.leader(), id, false, false).status,
		    STATUS_OK);
		ASSERT_EQ(
		    cluster.change(cluster.leader(), id, true, false).status,
		    STATUS_OK);
	}
	replica_transfer_leader(
	    cluster.nodes[cluster.leader()]->replica, cluster.status(5).self);
	cluster.run(500000);
	ASSERT_EQ(cluster.leader(), 5U);
	ASSERT_EQ(cluster.change(5, 2, false, true).status, STATUS_OK);
	cluster.close(2);
	cluster.isolated = { 1 };
	ASSERT_EQ(cluster.change(5, 1, false, true).status, STATUS_OK);
	cluster.close(3);
	cluster.lose_disk(3);
	cluster.run(2000000);
	ASSERT_EQ(cluster.status(1).leader, 0U);
	cluster.isolated = {};
	ASSERT_EQ(cluster.open(3), STATUS_OK);
	cluster.run(5000000);
	const struct replica_status after = cluster.status(5);
	EXPECT_TRUE(raft_is_voter(&after.members, cluster.status(3).self));
	EXPECT_FALSE(raft_is_voter(&after.members, 3));
}

/// The sender's offset is ahead of what the restarted member has received, so
/// the transfer must go back to the start.
TEST(Group, MemberThatRestartsDuringASnapshotTransferGetsItAgain)
{
	Cluster cluster;

	cluster.snapshot_bytes = 20000;
	cluster.limits.retained_entries = 1;
	cluster.limits.chunk_bytes = 1000;
	start(cluster);
	const uint32_t leader = cluster.leader();
	const uint32_t lagging = leader % 3 + 1;
	cluster.close(lagging);
	for (int i = 0; i < 100; i++)
		cluster.propose(leader, std::string(1000, 'x'), 4000);
	ASSERT_EQ(cluster.open(lagging), STATUS_OK);
	cluster.chunks = 0;
	ASSERT_TRUE(cluster.run(
	    2000000, [](const Cluster *n) { return n->chunks == 5; }));
	cluster.close(lagging);
	ASSERT_EQ(cluster.open(lagging), STATUS_OK);
	cluster.run(2000000);
	EXPECT_TRUE(
	    cluster.nodes[lagging]->state == cluster.nodes[leader]->state);
}

/// The entry that removes a member may be uncommitted while the remaining
/// voters need its vote. If it refused to campaign, the group would have no
/// leader.
TEST(Group, RemovedMemberStillLeadsWhileItsRemovalIsNotCommitted)
{
	Cluster cluster;

	cluster.n_voters = 4;
	start(cluster);
	const uint32_t old = cluster.leader();
	cluster.close(old % 4 + 1);
	cluster.isolated = { old };
	EXPECT_NE(cluster.change(old, old, false, true).status, STATUS_OK);
	cluster.run(600000);
	cluster.isolated = {};
	cluster.run(5000000);
	EXPECT_NE(cluster.leader(), 0U)
	    << "the others need its vote and it has the longer log";
}

/// After a restart a removed member doesn't know that its removal is committed.
/// It must leave the elections to the voters.
TEST(Group, RemovedMemberStartsNoElectionAfterARestartOfAll)
{
	Cluster cluster;

	start(cluster);
	const uint32_t leader = cluster.leader();
	const uint32_t removed = leader % 3 + 1;

	ASSERT_EQ(
	    cluster.change(leader, removed, false, true).status, STATUS_OK);
	ASSERT_EQ(
	    cluster.change(leader, removed, false, false).status, STATUS_OK);
	cluster.run(500000);
	for (int round = 0; round < 8; round++) {
		for (uint32_t slot = 1; slot <= 3; slot++)
			cluster.close(slot);
		for (uint32_t slot = 1; slot <= 3; slot++)
			ASSERT_EQ(cluster.open(slot), STATUS_OK);
		for (int i = 0; i < 400 && cluster.leader() == 0; i++) {
			cluster.run(5000);
			EXPECT_EQ(cluster.status(removed).role, RAFT_FOLLOWER)
			    << "round " << round;
		}
		EXPECT_NE(cluster.leader(), 0U);
		cluster.run(500000);
	}
}

/// A process that was started with too few initial voters must be able to use
/// the corrected settings.
TEST(Group, InitialVotersMayChangeBeforeTheFirstStart)
{
	Cluster cluster;

	cluster.n_voters = 2;
	ASSERT_EQ(cluster.open(1), STATUS_OK);
	cluster.run(1000000);
	cluster.close(1);
	cluster.n_voters = 3;
	start(cluster);
	EXPECT_EQ(cluster.status(1).members.n_voters, 3U);
}

static bool
is_suspended(Cluster &cluster, uint32_t slot)
{
	return cluster.status(slot).suspended;
}

/// Makes a member whose disk can be filled the leader.
static void
lead_with(Cluster &cluster, uint32_t slot, FaultyOs &os)
{
	cluster.close(slot);
	ASSERT_EQ(cluster.open(slot, &os.os), STATUS_OK);
	cluster.run(1000000);
	replica_transfer_leader(cluster.nodes[cluster.leader()]->replica, slot);
	cluster.run(100000);
	ASSERT_EQ(cluster.leader(), slot);
}

/// A leader whose disk is full must acknowledge nothing until there is space,
/// without ending its process, losing an acknowledged command or blocking the
/// other members.
TEST(Group, FullDiskSuspendsOneMemberAndLosesNothing)
{
	Cluster cluster;
	FaultyOs disk;

	start(cluster);
	const uint32_t first = cluster.leader();
	lead_with(cluster, first, disk);
	ASSERT_EQ(cluster.propose(first, "kept").status, STATUS_OK);
	disk.full = true;
	const Cluster::Outcome unsure =
	    cluster.propose(first, "unsure", 2000000);
	EXPECT_EQ(unsure.n_calls, 1);
	EXPECT_EQ(unsure.status, STATUS_TIMEOUT);
	EXPECT_EQ(cluster.nodes[first]->failure, STATUS_OK);
	EXPECT_TRUE(is_suspended(cluster, first));
	EXPECT_FALSE(replica_is_ready(cluster.nodes[first]->replica));
	EXPECT_EQ(cluster.propose(first, "no").status, STATUS_UNAVAILABLE);
	const uint32_t second = cluster.leader();
	ASSERT_NE(second, 0U);
	EXPECT_EQ(cluster.propose(second, "more").status, STATUS_OK);
	// Members still know the suspended one, which doesn't vote.
	EXPECT_EQ(cluster.status(first).members.n_voters, 3U);
	disk.full = false;
	cluster.run(2000000);
	EXPECT_FALSE(is_suspended(cluster, first));
	EXPECT_TRUE(
	    cluster.nodes[first]->state == cluster.nodes[second]->state);
	EXPECT_EQ(cluster.nodes[first]->state.front(), "kept");
	EXPECT_EQ(cluster.nodes[first]->state.back(), "more");
	cluster.close(second);
	cluster.run(2000000);
	EXPECT_EQ(cluster.propose(cluster.leader(), "last").status, STATUS_OK);
}

/// The members of a quorum with full disks stop the group; it goes on by itself
/// when they have space, with all that was acknowledged.
TEST(Group, FullDisksOfAQuorumStopTheGroupUntilThereIsSpace)
{
	Cluster cluster;
	FaultyOs disks[2];

	start(cluster);
	const uint32_t leader = cluster.leader();
	for (int i = 0; i < 2; i++) {
		const uint32_t slot = (leader + i) % 3 + 1;

		cluster.close(slot);
		ASSERT_EQ(cluster.open(slot, &disks[i].os), STATUS_OK);
	}
	cluster.run(1000000);
	ASSERT_EQ(cluster.propose(cluster.leader(), "kept").status, STATUS_OK);
	disks[0].full = disks[1].full = true;
	EXPECT_NE(
	    cluster.propose(cluster.leader(), "a", 2000000).status, STATUS_OK);
	EXPECT_EQ(cluster.leader(), 0U);
	disks[0].full = disks[1].full = false;
	cluster.run(3000000);
	ASSERT_NE(cluster.leader(), 0U);
	EXPECT_EQ(cluster.propose(cluster.leader(), "b").status, STATUS_OK);
	for (uint32_t slot = 1; slot <= 3; slot++)
		EXPECT_EQ(cluster.nodes[slot]->state.front(), "kept");
}

/// Guards against changes that are refused, or stay without an answer, long
/// after the disks of a group were full one after another, never two at once.
TEST(Group, DisksFullInTurnBlockNoChangeAfterwards)
{
	for (uint64_t seed = 1; seed <= 12; seed++) {
		Cluster cluster;
		FaultyOs disks[3];
		struct rnd *random = rnd_new(seed);

		for (uint32_t slot = 1; slot <= 3; slot++)
			ASSERT_EQ(
			    cluster.open(slot, &disks[slot - 1].os), STATUS_OK);
		cluster.run(2000000);
		ASSERT_EQ(cluster.propose(cluster.leader(), "first").status,
		    STATUS_OK);
		for (uint32_t i = 0; i < 6; i++) {
			FaultyOs &disk = disks[rnd_u64(random) % 3];

			disk.full = true;
			for (uint64_t n = rnd_u64(random) % 8; n > 0; n--) {
				if (cluster.leader() != 0)
					(void)cluster.propose(
					    cluster.leader(), "during", 500000);
				else
					cluster.run(500000);
			}
			disk.full = false;
			cluster.run(rnd_u64(random) % 300000);
		}
		cluster.run(3000000);
		ASSERT_NE(cluster.leader(), 0U) << seed;
		for (int i = 0; i < 5; i++)
			EXPECT_EQ(
			    cluster.propose(cluster.leader(), "after").status,
			    STATUS_OK)
			    << seed;
		cluster.run(1000000);
		for (uint32_t slot = 1; slot <= 3; slot++) {
			EXPECT_EQ(cluster.nodes[slot]->failure, STATUS_OK);
			EXPECT_TRUE(cluster.nodes[slot]->state ==
			    cluster.nodes[1]->state)
			    << seed;
		}
		rnd_free(random);
	}
}

/// A process that starts with a full and empty disk joins once it has space.
TEST(Group, ProcessStartsWithAFullDisk)
{
	Cluster cluster;
	FaultyOs disk;

	disk.full = true;
	ASSERT_EQ(cluster.open(1, &disk.os), STATUS_OK);
	EXPECT_TRUE(is_suspended(cluster, 1));
	ASSERT_EQ(cluster.open(2), STATUS_OK);
	ASSERT_EQ(cluster.open(3), STATUS_OK);
	cluster.run(2000000);
	EXPECT_EQ(cluster.leader(), 0U);
	disk.full = false;
	cluster.run(3000000);
	EXPECT_NE(cluster.leader(), 0U);
	EXPECT_EQ(cluster.status(1).origin, LOGSTORE_ORIGIN_INITIAL);
}
