#include "bench/log_cluster.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define ROUNDS 20
#define SETTLE_US (500 * USEC_PER_MSEC)

int bench_log_failover(uint64_t seed);

static void
settle(struct cluster *c)
{
	const uint64_t end = cluster_clock_us(NULL) + SETTLE_US;

	while (cluster_clock_us(NULL) < end)
		cluster_poll(c);
}

static uint32_t
leader_id(struct cluster *c)
{
	const struct replica *leader = cluster_leader(c);

	for (uint32_t id = 1; id <= CLUSTER_MEMBERS; id++) {
		if (c->members[id].replica == leader)
			return id;
	}
	return 0;
}

/// Returns the time in microseconds from the loss of the leader until another
/// one may serve requests.
static uint64_t
time_failover(struct cluster *c)
{
	const uint32_t member_id = leader_id(c);
	uint64_t start;

	cluster_close(c, member_id);
	start = cluster_clock_us(NULL);
	(void)cluster_leader(c);
	start = cluster_clock_us(NULL) - start;
	cluster_open(c, member_id);
	return start;
}

/// Returns the time in microseconds from the order to transfer leadership until
/// another leader may serve requests.
static uint64_t
time_leader_transfer(struct cluster *c)
{
	const uint32_t member_id = leader_id(c);
	const uint64_t start = cluster_clock_us(NULL);

	replica_transfer_leader(c->members[member_id].replica, 0);
	while (leader_id(c) == member_id &&
	    cluster_clock_us(NULL) < start + USEC_PER_SEC)
		cluster_poll(c);
	return cluster_clock_us(NULL) - start;
}

static bool
is_synced_voter(struct cluster *c, uint32_t member_id)
{
	struct replica_status leader;
	struct replica_status member;

	replica_status(cluster_leader(c), &leader);
	replica_status(c->members[member_id].replica, &member);
	return member.origin == LOGSTORE_ORIGIN_JOINED &&
	    raft_is_voter(&leader.members, member.self) &&
	    leader.members.n_voters == CLUSTER_MEMBERS &&
	    leader.members.index <= leader.commit;
}

/// Returns the time in microseconds from the start of a member with an empty
/// disk until it is a voter again and the configuration with it is committed.
static uint64_t
time_repair(struct cluster *c)
{
	const uint32_t member_id = leader_id(c) % CLUSTER_MEMBERS + 1;
	struct replica_status before;
	struct replica_status now;
	uint64_t start;

	replica_status(c->members[member_id].replica, &before);
	cluster_close(c, member_id);
	cluster_erase_disk(c, member_id);
	settle(c);
	start = cluster_clock_us(NULL);
	cluster_open(c, member_id);
	do {
		cluster_poll(c);
		replica_status(c->members[member_id].replica, &now);
	} while (now.self == before.self || !is_synced_voter(c, member_id));
	return cluster_clock_us(NULL) - start;
}

static void
measure(struct cluster *c, const char *name,
    uint64_t (*operation)(struct cluster *))
{
	GArray *durations = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (int i = 0; i < ROUNDS; i++) {
		uint64_t duration_us;

		settle(c);
		duration_us = operation(c);
		g_array_append_val(durations, duration_us);
	}
	(void)printf("%s rounds=%d p50_us=%" PRIu64 " p90_us=%" PRIu64
		     " max_us=%" PRIu64 "\n",
	    name, ROUNDS, cluster_quantile(durations, 0.5),
	    cluster_quantile(durations, 0.9), cluster_quantile(durations, 1));
	(void)fflush(stdout);
	g_array_unref(durations);
}

/// Times of a failover, of a leadership transfer, and of the repair of a lost
/// disk, with an election timeout of 300 ms and heartbeats of 50 ms.
int
bench_log_failover(uint64_t seed)
{
	struct cluster c;

	cluster_start(&c, seed, 0);
	measure(&c, "leader_lost", time_failover);
	measure(&c, "hand_over", time_leader_transfer);
	measure(&c, "repair", time_repair);
	cluster_stop(&c);
	return 0;
}
