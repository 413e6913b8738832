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
/// A disk lost at the start is lost, and comes back, within this time.
#define EARLY_LOSS_US 1500000
#define EARLY_LOSS_SEED 0x6c6f7373
#define SETTLE_ROUND_US 100000
#define FAULT_ONE_IN 3

/// Faults that are injected at random.
enum fault {
	FAULT_CUT_LINKS,
	FAULT_HEAL_LINKS,
	FAULT_PAUSE,
	FAULT_CRASH,
	FAULT_POWER, ///< All nodes lose their power at once.
	FAULT_DISK,  ///< System calls of one disk fail.
	FAULT_WIPE,  ///< One node loses its disk.
	FAULT_MEMBERS,
	FAULT_TRANSFER,
	FAULT_NETWORK, ///< Delays, losses and repeats of messages change.
	FAULT_FULL,    ///< A disk is full.
	FAULT_SPACE,   ///< Full disks have space again.
	N_FAULTS,
};

/// Weights of the faults, by enum fault; each run uses one of these rows.
static const uint32_t fault_profiles[][N_FAULTS] = {
	{ 3, 4, 2, 2, 1, 3, 2, 2, 1, 2 },
	{ 2, 4, 1, 8, 3, 8, 3, 1, 0, 1 },  // crashes
	{ 9, 8, 4, 0, 0, 0, 0, 0, 3, 3 },  // network
	{ 5, 5, 1, 2, 0, 1, 3, 12, 2, 1 }, // members
	{ 9, 6, 0, 3, 0, 0, 0, 0, 6, 2 },  // elections
};

/// Weights for runs with full disks.
static const uint32_t full_disk_profiles[][N_FAULTS] = {
	{ 2, 4, 1, 2, 1, 1, 1, 1, 1, 1, 6, 4 },
	{ 1, 2, 1, 8, 2, 3, 2, 1, 0, 0, 8, 6 },  // crashes
	{ 4, 5, 1, 1, 0, 0, 2, 10, 2, 1, 6, 6 }, // members
};

struct profiles {
	const uint32_t (*rows)[N_FAULTS];
	size_t n;
};

static const struct profiles without_full_disks = { fault_profiles,
	G_N_ELEMENTS(fault_profiles) };
static const struct profiles with_full_disks = { full_disk_profiles,
	G_N_ELEMENTS(full_disk_profiles) };

struct totals {
	uint64_t runs, accepted, unknown, refused, elections, crashes, wipes;
	uint64_t cuts, changes;
};

static uint64_t current_seed;

static uint32_t
any_slot(struct world *w)
{
	return 1 + (uint32_t)rnd_below(w->rnd, WORLD_SLOTS);
}

/// Slot of the node that a fault hits: the leader more often than others.
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
on_invariant_violated(const char *name, const char *pairs)
{
	(void)printf("breached run_seed=%" PRIu64 " invariant=%s %s\n",
	    current_seed, name, pairs);
	(void)fflush(stdout);
	_Exit(1);
}

/// Cuts all links of a node, one link, or one direction of it.
static void
cut_links(struct world *w)
{
	const uint32_t a = target_slot(w);
	const uint32_t b = any_slot(w);
	const uint64_t kind = rnd_below(w->rnd, 3);

	w->n_cuts++;
	for (uint32_t i = 1; i <= WORLD_SLOTS; i++) {
		if (kind == 0 || i == b)
			w->link_cut[a][i] = true;
		if (kind == 0 || (kind == 1 && i == b))
			w->link_cut[i][a] = true;
	}
}

/// Whether another disk may be lost. The last loss must be repaired: all voters
/// run with the disk that they are members with and that isn't full, and no
/// change of members is under way.
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
		struct replica_status status;

		if (n->replica == NULL)
			return false;
		replica_status(n->replica, &status);
		if (status.self != id || status.suspended ||
		    status.origin == LOGSTORE_ORIGIN_UNKNOWN ||
		    status.origin == LOGSTORE_ORIGIN_LATE)
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
	n->resume_us = w->now_us + fault_length(w);
	w->n_wipes++;
}

static void
count_change(void *arg, enum status status, const uint8_t *result, size_t len)
{
	(void)result;
	(void)len;
	if (status == STATUS_OK)
		((struct world *)arg)->n_changes++;
}

/// A node that has the role of leader, searched from a random slot on, so that
/// a deposed leader gets operations too; NULL if there is none.
static struct world_node *
claimed_leader(struct world *w)
{
	const uint32_t first = any_slot(w);

	for (uint32_t i = 0; i < WORLD_SLOTS; i++) {
		struct world_node *n = &w->nodes[1 + (first + i) % WORLD_SLOTS];
		struct replica_status s;

		if (n->replica == NULL || n->disk_failed || n->paused)
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
	struct world_node *leader = claimed_leader(w);
	struct replica_status s;
	bool remove;

	if (leader == NULL)
		return;
	replica_status(leader->replica, &s);
	remove = s.members.n_voters > 3 && rnd_below(w->rnd, 2) == 0;
	if (remove) {
		const uint64_t i = rnd_below(w->rnd, s.members.n_voters);

		replica_change_member(leader->replica, s.members.voters[i],
		    false, true, count_change, w);
	} else if (s.members.n_learners > 0) {
		replica_change_member(leader->replica, s.members.learners[0],
		    true, false, count_change, w);
	} else if (s.n_joiners > 0) {
		replica_change_member(leader->replica, s.joiners[0], false,
		    false, count_change, w);
	}
}

static void
transfer_leader(struct world *w)
{
	struct world_node *leader = claimed_leader(w);

	if (leader != NULL)
		replica_transfer_leader(leader->replica, 0);
}

/// Crashes all nodes at once, so that no node has what wasn't synced.
static void
fail_power(struct world *w)
{
	for (uint32_t slot = 1; slot <= WORLD_SLOTS; slot++) {
		world_crash(w, slot, true);
		w->nodes[slot].resume_us = w->now_us + fault_length(w);
	}
}

static void
pause_node(struct world *w)
{
	struct world_node *n = &w->nodes[target_slot(w)];

	n->resume_us = w->now_us + fault_length(w);
	if (n->replica != NULL)
		n->paused = true;
}

static void
crash_node(struct world *w)
{
	struct world_node *n = &w->nodes[target_slot(w)];

	n->resume_us = w->now_us + fault_length(w);
	world_crash(w, n->slot, rnd_below(w->rnd, 2) == 0);
}

static void
change_network(struct world *w)
{
	w->drop_probability = rnd_below(w->rnd, 2) == 0 ? 0.3 : 0.02;
	w->repeat_probability = rnd_below(w->rnd, 2) == 0 ? 0.2 : 0.02;
	w->delay_us = (double)(1000ULL << rnd_below(w->rnd, 6));
}

static void
free_space(struct world *w)
{
	for (uint32_t slot = 1; slot <= WORLD_SLOTS; slot++)
		log_disk_fill(w->nodes[slot].disk, false);
}

static enum fault
choose_fault(struct world *w, const uint32_t *weights)
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
inject_fault(struct world *w, const uint32_t *weights)
{
	switch (choose_fault(w, weights)) {
	case FAULT_CUT_LINKS:
		cut_links(w);
		break;
	case FAULT_HEAL_LINKS:
		memset(w->link_cut, 0, sizeof(w->link_cut));
		break;
	case FAULT_PAUSE:
		pause_node(w);
		break;
	case FAULT_CRASH:
		crash_node(w);
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
		transfer_leader(w);
		break;
	case FAULT_FULL:
		log_disk_fill(w->nodes[target_slot(w)].disk, true);
		break;
	case FAULT_SPACE:
		free_space(w);
		break;
	case FAULT_NETWORK:
	case N_FAULTS:
		change_network(w);
		break;
	}
}

/// Reads at every node that has the role of leader, deposed or not.
static void
read_leaders(struct world *w)
{
	for (uint32_t slot = 1; slot <= WORLD_SLOTS; slot++) {
		const struct world_node *n = &w->nodes[slot];
		struct replica_status s;

		if (n->replica == NULL || n->disk_failed)
			continue;
		replica_status(n->replica, &s);
		if (s.role == RAFT_LEADER)
			world_read(w, slot);
	}
}

/// Often isolates a leader as soon as a newer term exists, so that it learns of
/// its successor as late as possible.
static void
isolate_deposed_leader(struct world *w)
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
		w->link_cut[old->slot][slot] = true;
		w->link_cut[slot][old->slot] = true;
	}
}

static void
run_round(struct world *w)
{
	for (int i = 0; i < ROUND_PARTS; i++) {
		world_run(w, ROUND_US / ROUND_PARTS);
		isolate_deposed_leader(w);
		read_leaders(w);
	}
}

static void
start_operations(struct world *w)
{
	const uint64_t n = rnd_below(w->rnd, 3);

	for (uint64_t i = 0; i < n; i++) {
		const struct world_node *to = claimed_leader(w);
		const uint32_t slot = to != NULL && rnd_below(w->rnd, 8) != 0
		    ? to->slot
		    : any_slot(w);

		if (rnd_below(w->rnd, 4) == 0)
			world_read(w, slot);
		else
			world_append(w, slot);
	}
}

/// Sometimes loses the disk of one initial voter before there is a leader, and
/// the power of another one. Drawn apart from the other faults.
static void
lose_disk_at_start(struct world *w)
{
	struct rnd *rnd = rnd_new(w->seed ^ EARLY_LOSS_SEED);
	const uint32_t n = w->n_initial_voters;
	const uint32_t slot = 1 + (uint32_t)rnd_below(rnd, n);
	const uint32_t other = 1 + (uint32_t)rnd_below(rnd, n);

	if (rnd_below(rnd, 3) == 0) {
		world_run(w, rnd_below(rnd, EARLY_LOSS_US));
		world_crash(w, slot, false);
		log_disk_wipe(w->nodes[slot].disk);
		w->n_wipes++;
		if (other != slot)
			world_crash(w, other, true);
		world_run(w, rnd_below(rnd, EARLY_LOSS_US));
		world_open(w, slot);
		world_open(w, other);
	}
	rnd_free(rnd);
}

static void
start_group(struct world *w)
{
	// A node that isn't an initial voter may start first.
	if (rnd_below(w->rnd, 3) == 0) {
		world_open(w, WORLD_SLOTS);
		world_run(w, SETTLE_ROUND_US);
	}
	for (uint32_t slot = 1; slot <= w->n_initial_voters; slot++)
		world_open(w, slot);
	lose_disk_at_start(w);
	for (int i = 0; i < SETTLE_ROUNDS && world_leader(w) == NULL; i++)
		world_run(w, SETTLE_ROUND_US);
}

/// Whether the leader and all voters have applied every command.
static bool
is_settled(struct world *w)
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

/// Checks that the group works again after all faults have ended.
static void
check_progress(struct world *w)
{
	uint64_t before;
	int rounds = 0;

	world_heal(w);
	world_run(w, SETTLE_US);
	before = log_history_count(w->history, STATUS_OK);
	for (; rounds < SETTLE_ROUNDS && w->violation == NULL; rounds++) {
		struct world_node *leader = world_leader(w);

		if (leader != NULL)
			world_append(w, leader->slot);
		world_run(w, SETTLE_ROUND_US);
		if (log_history_count(w->history, STATUS_OK) > before + 2 &&
		    is_settled(w))
			return;
	}
	print_nodes(w);
	world_report_violation(w, "no progress after all faults ended");
}

static void
add_totals(struct totals *f, const struct world *w)
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
run_once(uint64_t seed, const struct profiles *profiles, struct totals *f)
{
	struct world *w = world_new(seed);
	const uint32_t *weights =
	    profiles->rows[rnd_below(w->rnd, profiles->n)];
	bool ok;

	current_seed = seed;
	start_group(w);
	for (int i = 0; i < ROUNDS && w->violation == NULL; i++) {
		start_operations(w);
		if (i == ROUNDS / 3)
			world_open(w, WORLD_SLOTS - 1);
		if (rnd_below(w->rnd, FAULT_ONE_IN) == 0)
			inject_fault(w, weights);
		run_round(w);
		if (i % CHECK_ROUNDS == 0)
			world_check(w);
	}
	if (w->violation == NULL)
		check_progress(w);
	world_check(w);
	if (w->violation == NULL &&
	    !log_history_check(w->history,
		(const uint64_t *)(void *)w->list->data, w->list->len))
		world_report_violation(w, "history isn't linearizable");
	ok = w->violation == NULL;
	if (!ok)
		(void)printf(
		    "breached run_seed=%" PRIu64 " %s\n", seed, w->violation);
	add_totals(f, w);
	world_free(w);
	return ok;
}

static int
run_block(uint64_t seed, uint64_t runs, const struct profiles *profiles)
{
	struct totals f = { .runs = 0 };
	uint64_t failed = 0;

	inv_set_hook(on_invariant_violated);
	for (uint64_t i = 0; i < runs; i++)
		failed += run_once(seed * 1000003 + i, profiles, &f) ? 0 : 1;
	(void)printf("runs=%" PRIu64 " failed=%" PRIu64 " accepted=%" PRIu64
		     " unknown=%" PRIu64 " refused=%" PRIu64
		     " elections=%" PRIu64 " crashes=%" PRIu64
		     " disks_lost=%" PRIu64 " cuts=%" PRIu64
		     " member_changes=%" PRIu64 "\n",
	    f.runs, failed, f.accepted, f.unknown, f.refused, f.elections,
	    f.crashes, f.wipes, f.cuts, f.changes);
	return failed == 0 ? 0 : 1;
}

static int
repeat_run(uint64_t seed, const struct profiles *profiles)
{
	struct totals f = { .runs = 0 };

	inv_set_hook(on_invariant_violated);
	return run_once(seed, profiles, &f) ? 0 : 1;
}

/// Injects random faults into a group. The invariants of the log must hold, no
/// accepted command may be lost, and the history must be linearizable.
int
proof_log_random(uint64_t seed)
{
	return run_block(seed, RUNS_SHORT, &without_full_disks);
}

/// The same with RUNS_LONG runs.
int
proof_log_random_long(uint64_t seed)
{
	return run_block(seed, RUNS_LONG, &without_full_disks);
}

/// Repeats one run, by the run_seed printed with a violation.
int
proof_log_random_one(uint64_t seed)
{
	return repeat_run(seed, &without_full_disks);
}

/// As proof_log_random(), with disks that are full for a while.
int
proof_log_full(uint64_t seed)
{
	return run_block(seed, RUNS_SHORT, &with_full_disks);
}

/// The same with RUNS_LONG runs.
int
proof_log_full_long(uint64_t seed)
{
	return run_block(seed, RUNS_LONG, &with_full_disks);
}

/// Repeats one run of these.
int
proof_log_full_one(uint64_t seed)
{
	return repeat_run(seed, &with_full_disks);
}
