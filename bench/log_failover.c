#include "bench/log_cluster.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define ROUNDS 20
#define REST_US (500 * USEC_PER_MSEC)

int bench_log_failover(uint64_t seed);

static void
rest(struct cluster *c)
{
	const uint64_t end = cluster_clock_us(NULL) + REST_US;

	while (cluster_clock_us(NULL) < end)
		cluster_turn(c);
}

static uint32_t
leader_slot(struct cluster *c)
{
	const struct replica *leader = cluster_leader(c);

	for (uint32_t id = 1; id <= CLUSTER_MEMBERS; id++) {
		if (c->members[id].replica == leader)
			return id;
	}
	return 0;
}

/// From the loss of the leader until another one may answer.
static uint64_t
lose_leader(struct cluster *c)
{
	const uint32_t slot = leader_slot(c);
	uint64_t start;

	cluster_close(c, slot);
	start = cluster_clock_us(NULL);
	(void)cluster_leader(c);
	start = cluster_clock_us(NULL) - start;
	cluster_open(c, slot);
	return start;
}

/// From the order to hand over until another one may answer.
static uint64_t
hand_over(struct cluster *c)
{
	const uint32_t slot = leader_slot(c);
	const uint64_t start = cluster_clock_us(NULL);

	replica_transfer_leader(c->members[slot].replica, 0);
	while (leader_slot(c) == slot &&
	    cluster_clock_us(NULL) < start + USEC_PER_SEC)
		cluster_turn(c);
	return cluster_clock_us(NULL) - start;
}

static bool
votes(struct cluster *c, uint32_t slot)
{
	struct replica_status leader;
	struct replica_status own;

	replica_status(cluster_leader(c), &leader);
	replica_status(c->members[slot].replica, &own);
	return own.origin == LOGSTORE_ORIGIN_JOINED &&
	    raft_is_voter(&leader.members, own.self) &&
	    leader.members.n_voters == CLUSTER_MEMBERS &&
	    leader.members.index <= leader.commit;
}

/// From the start of a member with an empty disk until it votes, with all
/// synced.
static uint64_t
repair(struct cluster *c)
{
	const uint32_t slot = leader_slot(c) % CLUSTER_MEMBERS + 1;
	struct replica_status before;
	struct replica_status now;
	uint64_t start;

	replica_status(c->members[slot].replica, &before);
	cluster_close(c, slot);
	cluster_wipe(c, slot);
	rest(c);
	start = cluster_clock_us(NULL);
	cluster_open(c, slot);
	do {
		cluster_turn(c);
		replica_status(c->members[slot].replica, &now);
	} while (now.self == before.self || !votes(c, slot));
	return cluster_clock_us(NULL) - start;
}

static void
measure(struct cluster *c, const char *name, uint64_t (*once)(struct cluster *))
{
	GArray *took = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (int i = 0; i < ROUNDS; i++) {
		uint64_t us;

		rest(c);
		us = once(c);
		g_array_append_val(took, us);
	}
	(void)printf("%s rounds=%d p50_us=%" PRIu64 " p90_us=%" PRIu64
		     " max_us=%" PRIu64 "\n",
	    name, ROUNDS, cluster_quantile(took, 0.5),
	    cluster_quantile(took, 0.9), cluster_quantile(took, 1));
	(void)fflush(stdout);
	g_array_unref(took);
}

/// Times without a leader, of a hand-over, and of the repair of a lost disk,
/// with elections of 300 ms and heartbeats of 50 ms.
int
bench_log_failover(uint64_t seed)
{
	struct cluster c;

	cluster_start(&c, seed, 0);
	measure(&c, "leader_lost", lose_leader);
	measure(&c, "hand_over", hand_over);
	measure(&c, "repair", repair);
	cluster_stop(&c);
	return 0;
}
