#include "proof/log_random.h"

#include "base/inv.h"
#include "proof/log_world.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RUNS_SHORT 200
#define RUNS_LONG 10000

#define ROUNDS 250
#define ROUND_US 20000
#define ROUND_PARTS 10
#define CHECK_ROUNDS 5
#define LONG_FAULT_US 400000
#define SHORT_FAULT_US 30000
#define SETTLE_US 1000000
#define SETTLE_ROUNDS 40
#define SETTLE_ROUND_US 100000
#define FAULT_ONE_IN 3

enum fault {
	FAULT_CUT,
	FAULT_HEAL,
	FAULT_PAUSE,
	FAULT_STOP,
	FAULT_POWER, ///< All nodes lose their power at once.
	FAULT_DISK,
	FAULT_WIPE,
	FAULT_MEMBERS,
	FAULT_TRANSFER,
	FAULT_NETWORK,
	N_FAULTS,
};

/// How often each fault comes; a run follows one of these.
static const uint32_t profiles[][N_FAULTS] = {
	{ 3, 4, 2, 2, 1, 3, 2, 2, 1, 2 },
	{ 2, 4, 1, 8, 3, 8, 3, 1, 0, 1 },  // crashes
	{ 9, 8, 4, 0, 0, 0, 0, 0, 3, 3 },  // network
	{ 5, 5, 1, 2, 0, 1, 3, 12, 2, 1 }, // members
	{ 9, 6, 0, 3, 0, 0, 0, 0, 6, 2 },  // elections
};

struct figures {
	uint64_t runs, accepted, unknown, refused, elections, crashes, wipes;
	uint64_t cuts, changes;
};

static uint64_t current_seed;

static uint32_t
any_slot(struct world *w)
{
	return 1 + (uint32_t)rnd_below(w->rnd, WORLD_SLOTS);
}

/// A node that faults are aimed at: the leader more often than others.
static uint32_t
target_slot(struct world *w)
{
	const struct world_node *leader = world_leader(w);

	if (leader != NULL && rnd_below(w->rnd, 3) == 0)
		return leader->slot;
	return any_slot(w);
}

static uint64_t
fault_length(struct world *w)
{
	return rnd_below(
	    w->rnd, rnd_below(w->rnd, 2) == 0 ? SHORT_FAULT_US : LONG_FAULT_US);
}

static void
on_breach(const char *name, const char *pairs)
{
	(void)printf("breached run_seed=%" PRIu64 " invariant=%s %s\n",
	    current_seed, name, pairs);
	(void)fflush(stdout);
	_Exit(1);
}

static void
cut_some(struct world *w)
{
	const uint32_t a = target_slot(w);
	const uint32_t b = any_slot(w);
	const uint64_t kind = rnd_below(w->rnd, 3);

	w->n_cuts++;
	for (uint32_t i = 1; i <= WORLD_SLOTS; i++) {
		if (kind == 0 || i == b)
			w->cut[a][i] = true;
		if (kind == 0 || (kind == 1 && i == b))
			w->cut[i][a] = true;
	}
}

/// Whether one more disk may be lost: the last loss is repaired, that is
/// the committed members hold no lost disk and no change is under way.
static bool
may_wipe(struct world *w)
{
	const struct world_node *leader = world_leader(w);
	struct replica_status s;

	if (leader == NULL)
		return false;
	replica_status(leader->replica, &s);
	if (s.members.n_voters < 3 || s.members.index > s.commit)
		return false;
	for (uint32_t i = 0; i < s.members.n_voters; i++) {
		const uint32_t id = s.members.voters[i];
		const struct world_node *n = &w->nodes[id & RAFT_SLOT_MASK];
		struct replica_status of;

		if (n->replica == NULL)
			return false;
		replica_status(n->replica, &of);
		if (of.self != id || of.origin == LOGSTORE_ORIGIN_UNKNOWN)
			return false;
	}
	return true;
}

static void
wipe(struct world *w)
{
	const uint32_t slot = target_slot(w);
	struct world_node *n = &w->nodes[slot];

	if (!n->opened || !may_wipe(w))
		return;
	world_crash(w, slot, false);
	log_disk_wipe(n->disk);
	n->back_us = w->now_us + fault_length(w);
	w->n_wipes++;
}

static void
ignore(void *arg, enum status status, const uint8_t *result, size_t len)
{
	(void)result;
	(void)len;
	if (status == STATUS_OK)
		((struct world *)arg)->n_changes++;
}

/// Asks any node that believes that it leads, so that a deposed one is asked
/// too.
static struct world_node *
believed_leader(struct world *w)
{
	const uint32_t first = any_slot(w);

	for (uint32_t i = 0; i < WORLD_SLOTS; i++) {
		struct world_node *n = &w->nodes[1 + (first + i) % WORLD_SLOTS];
		struct replica_status s;

		if (n->replica == NULL || n->died || n->frozen)
			continue;
		replica_status(n->replica, &s);
		if (s.role == RAFT_LEADER)
			return n;
	}
	return NULL;
}

static void
change_members(struct world *w)
{
	struct world_node *leader = believed_leader(w);
	struct replica_status s;
	bool remove;

	if (leader == NULL)
		return;
	replica_status(leader->replica, &s);
	remove = s.members.n_voters > 3 && rnd_below(w->rnd, 2) == 0;
	if (remove) {
		const uint64_t i = rnd_below(w->rnd, s.members.n_voters);

		replica_change_member(leader->replica, s.members.voters[i],
		    false, true, ignore, w);
	} else if (s.members.n_learners > 0) {
		replica_change_member(leader->replica, s.members.learners[0],
		    true, false, ignore, w);
	} else if (s.n_joiners > 0) {
		replica_change_member(
		    leader->replica, s.joiners[0], false, false, ignore, w);
	}
}

static void
hand_over(struct world *w)
{
	struct world_node *leader = believed_leader(w);

	if (leader != NULL)
		replica_transfer_leader(leader->replica, 0);
}

/// All nodes fall at once, so that nobody holds what wasn't synced.
static void
fail_power(struct world *w)
{
	for (uint32_t slot = 1; slot <= WORLD_SLOTS; slot++) {
		world_crash(w, slot, true);
		w->nodes[slot].back_us = w->now_us + fault_length(w);
	}
}

static void
pause_some(struct world *w)
{
	struct world_node *n = &w->nodes[target_slot(w)];

	n->back_us = w->now_us + fault_length(w);
	if (n->replica != NULL)
		n->frozen = true;
}

static void
stop_some(struct world *w)
{
	struct world_node *n = &w->nodes[target_slot(w)];

	n->back_us = w->now_us + fault_length(w);
	world_crash(w, n->slot, rnd_below(w->rnd, 2) == 0);
}

static void
change_network(struct world *w)
{
	w->drop = rnd_below(w->rnd, 2) == 0 ? 0.3 : 0.02;
	w->repeat = rnd_below(w->rnd, 2) == 0 ? 0.2 : 0.02;
	w->delay_us = (double)(1000ULL << rnd_below(w->rnd, 6));
}

static enum fault
pick_fault(struct world *w, const uint32_t *weights)
{
	uint32_t sum = 0;
	uint64_t at;
	int f = 0;

	for (int i = 0; i < N_FAULTS; i++)
		sum += weights[i];
	at = rnd_below(w->rnd, sum);
	while (at >= weights[f])
		at -= weights[f++];
	return (enum fault)f;
}

static void
fault(struct world *w, const uint32_t *weights)
{
	switch (pick_fault(w, weights)) {
	case FAULT_CUT:
		cut_some(w);
		break;
	case FAULT_HEAL:
		memset(w->cut, 0, sizeof(w->cut));
		break;
	case FAULT_PAUSE:
		pause_some(w);
		break;
	case FAULT_STOP:
		stop_some(w);
		break;
	case FAULT_POWER:
		fail_power(w);
		break;
	case FAULT_DISK:
		log_disk_fail_after(
		    w->nodes[target_slot(w)].disk, (int)rnd_below(w->rnd, 12));
		break;
	case FAULT_WIPE:
		wipe(w);
		break;
	case FAULT_MEMBERS:
		change_members(w);
		break;
	case FAULT_TRANSFER:
		hand_over(w);
		break;
	case FAULT_NETWORK:
	case N_FAULTS:
		change_network(w);
		break;
	}
}

/// Every node that believes that it leads is asked in every round.
static void
read_leaders(struct world *w)
{
	for (uint32_t slot = 1; slot <= WORLD_SLOTS; slot++) {
		const struct world_node *n = &w->nodes[slot];
		struct replica_status s;

		if (n->replica == NULL || n->died)
			continue;
		replica_status(n->replica, &s);
		if (s.role == RAFT_LEADER)
			world_read(w, slot);
	}
}

/// Cuts a leader off as soon as another one may be elected, so that it hears
/// of that as late as can be.
static void
cut_deposed(struct world *w)
{
	const struct world_node *old = world_leader(w);
	uint64_t newest = 0;
	struct replica_status s;

	if (old == NULL || rnd_below(w->rnd, 2) == 0)
		return;
	for (uint32_t slot = 1; slot <= WORLD_SLOTS; slot++) {
		if (w->nodes[slot].replica == NULL)
			continue;
		replica_status(w->nodes[slot].replica, &s);
		newest = MAX(newest, s.term);
	}
	replica_status(old->replica, &s);
	if (s.term == newest)
		return;
	for (uint32_t slot = 1; slot <= WORLD_SLOTS; slot++) {
		w->cut[old->slot][slot] = true;
		w->cut[slot][old->slot] = true;
	}
}

static void
run_round(struct world *w)
{
	for (int i = 0; i < ROUND_PARTS; i++) {
		world_run(w, ROUND_US / ROUND_PARTS);
		cut_deposed(w);
		read_leaders(w);
	}
}

static void
work(struct world *w)
{
	const uint64_t n = rnd_below(w->rnd, 3);

	for (uint64_t i = 0; i < n; i++) {
		const struct world_node *to = believed_leader(w);
		const uint32_t slot = to != NULL && rnd_below(w->rnd, 8) != 0
		    ? to->slot
		    : any_slot(w);

		if (rnd_below(w->rnd, 4) == 0)
			world_read(w, slot);
		else
			world_append(w, slot);
	}
}

static void
found(struct world *w)
{
	// A member that comes later may be there first.
	if (rnd_below(w->rnd, 3) == 0) {
		world_open(w, WORLD_SLOTS);
		world_run(w, SETTLE_ROUND_US);
	}
	for (uint32_t slot = 1; slot <= w->n_founders; slot++)
		world_open(w, slot);
	for (int i = 0; i < SETTLE_ROUNDS && world_leader(w) == NULL; i++)
		world_run(w, SETTLE_ROUND_US);
}

static bool
settled(struct world *w)
{
	struct world_node *leader = world_leader(w);
	struct replica_status s;

	if (leader == NULL || leader->list->len != w->list->len)
		return false;
	replica_status(leader->replica, &s);
	for (uint32_t i = 0; i < s.members.n_voters; i++) {
		const struct world_node *n =
		    &w->nodes[s.members.voters[i] & RAFT_SLOT_MASK];

		if (n->replica == NULL || n->list->len != w->list->len)
			return false;
	}
	return s.commit == s.last;
}

static void
print_nodes(const struct world *w)
{
	for (uint32_t slot = 1; slot <= WORLD_SLOTS; slot++) {
		const struct world_node *n = &w->nodes[slot];
		struct replica_status s;

		if (n->replica == NULL)
			continue;
		replica_status(n->replica, &s);
		(void)printf("node self=%u seat=%d role=%d leader=%u "
			     "term=%" PRIu64 " commit=%" PRIu64 " last=%" PRIu64
			     " set=%" PRIu64 " voters=",
		    s.self, s.origin, s.role, s.leader, s.term, s.commit,
		    s.last, s.members.index);
		for (uint32_t i = 0; i < s.members.n_voters; i++)
			(void)printf("%u(%" PRIu64 ") ", s.members.voters[i],
			    s.match[i]);
		(void)printf("learners=");
		for (uint32_t i = 0; i < s.members.n_learners; i++)
			(void)printf("%u(%" PRIu64 ") ", s.members.learners[i],
			    s.match[s.members.n_voters + i]);
		(void)printf("\n");
	}
}

/// After all faults have ended the group must work again.
static void
settle(struct world *w)
{
	uint64_t before;
	int rounds = 0;

	world_heal(w);
	world_run(w, SETTLE_US);
	before = log_history_count(w->history, STATUS_OK);
	for (; rounds < SETTLE_ROUNDS && w->breach == NULL; rounds++) {
		struct world_node *leader = world_leader(w);

		if (leader != NULL)
			world_append(w, leader->slot);
		world_run(w, SETTLE_ROUND_US);
		if (log_history_count(w->history, STATUS_OK) > before + 2 &&
		    settled(w))
			return;
	}
	print_nodes(w);
	world_breach(w, "no progress after all faults ended");
}

static void
add_figures(struct figures *f, const struct world *w)
{
	f->runs++;
	f->accepted += log_history_count(w->history, STATUS_OK);
	f->unknown += log_history_count(w->history, STATUS_TIMEOUT);
	f->refused += log_history_count(w->history, STATUS_UNAVAILABLE);
	f->elections += w->n_elections;
	f->crashes += w->n_crashes;
	f->wipes += w->n_wipes;
	f->cuts += w->n_cuts;
	f->changes += w->n_changes;
}

static bool
one_run(uint64_t seed, struct figures *f)
{
	struct world *w = world_new(seed);
	const uint32_t *weights =
	    profiles[rnd_below(w->rnd, G_N_ELEMENTS(profiles))];
	bool good;

	current_seed = seed;
	found(w);
	for (int i = 0; i < ROUNDS && w->breach == NULL; i++) {
		work(w);
		if (i == ROUNDS / 3)
			world_open(w, WORLD_SLOTS - 1);
		if (rnd_below(w->rnd, FAULT_ONE_IN) == 0)
			fault(w, weights);
		run_round(w);
		if (i % CHECK_ROUNDS == 0)
			world_check(w);
	}
	if (w->breach == NULL)
		settle(w);
	world_check(w);
	if (w->breach == NULL &&
	    !log_history_check(w->history,
		(const uint64_t *)(void *)w->list->data, w->list->len))
		world_breach(w, "history isn't linearizable");
	good = w->breach == NULL;
	if (!good)
		(void)printf(
		    "breached run_seed=%" PRIu64 " %s\n", seed, w->breach);
	add_figures(f, w);
	world_free(w);
	return good;
}

static int
block(uint64_t seed, uint64_t runs)
{
	struct figures f = { .runs = 0 };
	uint64_t failed = 0;

	inv_set_hook(on_breach);
	for (uint64_t i = 0; i < runs; i++)
		failed += one_run(seed * 1000003 + i, &f) ? 0 : 1;
	(void)printf("runs=%" PRIu64 " failed=%" PRIu64 " accepted=%" PRIu64
		     " unknown=%" PRIu64 " refused=%" PRIu64
		     " elections=%" PRIu64 " crashes=%" PRIu64
		     " disks_lost=%" PRIu64 " cuts=%" PRIu64
		     " member_changes=%" PRIu64 "\n",
	    f.runs, failed, f.accepted, f.unknown, f.refused, f.elections,
	    f.crashes, f.wipes, f.cuts, f.changes);
	return failed == 0 ? 0 : 1;
}

/// Random faults over a group: the invariants of the log hold, nothing
/// accepted is lost, and answers are linearizable.
int
proof_log_random(uint64_t seed)
{
	return block(seed, RUNS_SHORT);
}

/// The same over many more runs.
int
proof_log_random_long(uint64_t seed)
{
	return block(seed, RUNS_LONG);
}

/// One run again, by the run_seed that a breach printed.
int
proof_log_random_one(uint64_t seed)
{
	struct figures f = { .runs = 0 };

	inv_set_hook(on_breach);
	return one_run(seed, &f) ? 0 : 1;
}
