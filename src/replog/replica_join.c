#include "replog/replica_internal.h"

#include "base/logger.h"

#include <string.h>

/// A group starts only once all its initial voters have pinned the same set
/// of disks. So a disk that is in no founder's set can't have voted, and a
/// process that comes with one is a newcomer, whatever slot it has.

#define JOIN_HEARTBEATS 2
#define JOINER_FRESH_US (2 * USEC_PER_SEC)

static uint32_t
slot(uint32_t id)
{
	return id & RAFT_SLOT_MASK;
}

/// Position among the initial voters, or -1.
static int
position(const struct replica *g, uint32_t id)
{
	for (uint32_t i = 0; i < g->identity.initial.n_voters; i++) {
		if (g->identity.initial.voters[i] == slot(id))
			return (int)i;
	}
	return -1;
}

static bool
pinned(const struct replica *g)
{
	return g->identity.disks[0] != 0;
}

/// A process that was never meant to found the group and has nothing of its
/// log doesn't show that the group has started.
static enum logstore_origin
told_seat(const struct replica *g)
{
	const bool outsider = position(g, g->self) < 0 && !g->config.late;

	if (outsider && (g->core == NULL || raft_last_index(g->core) == 0))
		return LOGSTORE_ORIGIN_UNKNOWN;
	return g->identity.origin;
}

static void
say_hello(struct replica *g, uint32_t to, bool answer)
{
	struct replica_hello h = { .group = g->config.group,
		.id = g->self,
		.incarnation = g->identity.incarnation,
		.origin = told_seat(g),
		.answer = answer,
		.n_disks = g->identity.initial.n_voters };
	uint8_t *bytes;
	size_t len;

	memcpy(h.disks, g->identity.disks, sizeof(h.disks));
	bytes = replica_hello_encode(&h, &len);
	g->config.ops.send(g->config.arg, to, bytes, len);
	g_free(bytes);
}

static bool
write_identity(struct replica *g)
{
	const enum status st = logstore_write_identity(g->disk, &g->identity);

	if (st != STATUS_OK)
		replica_fail(g, st);
	return st == STATUS_OK;
}

static void
take_seat(struct replica *g, enum logstore_origin origin)
{
	const struct logstore_loaded nothing = { .fresh = true };

	g->identity.origin = origin;
	if (origin == LOGSTORE_ORIGIN_JOINED) {
		const uint64_t high = 1 +
		    g->identity.incarnation % (UINT32_MAX >> RAFT_SLOT_BITS);

		g->identity.id =
		    slot(g->identity.id) | (uint32_t)(high << RAFT_SLOT_BITS);
		memset(g->identity.disks, 0, sizeof(g->identity.disks));
	}
	if (!write_identity(g))
		return;
	logger_event(LOGGER_INFO, "replog.seated", "group=%u id=%u seat=%s",
	    g->config.group, g->identity.id,
	    origin == LOGSTORE_ORIGIN_INITIAL ? "founder" : "joiner");
	(void)replica_start_core(g, &nothing);
}

static bool
all_heard(const struct replica *g)
{
	for (uint32_t i = 0; i < g->identity.initial.n_voters; i++) {
		if (g->hellos[i].incarnation == 0 &&
		    g->identity.initial.voters[i] != slot(g->self))
			return false;
	}
	return true;
}

static bool
pin(struct replica *g)
{
	const int own = position(g, g->self);

	for (uint32_t i = 0; i < g->identity.initial.n_voters; i++)
		g->identity.disks[i] = g->hellos[i].incarnation;
	g->identity.disks[own] = g->identity.incarnation;
	return write_identity(g);
}

static bool
same_disks(const struct replica *g, const struct replica_hello *h)
{
	return h->n_disks == g->identity.initial.n_voters &&
	    memcmp(h->disks, g->identity.disks, sizeof(h->disks)) == 0;
}

static bool
all_pinned_same(const struct replica *g)
{
	for (uint32_t i = 0; i < g->identity.initial.n_voters; i++) {
		if (g->identity.initial.voters[i] != slot(g->self) &&
		    !same_disks(g, &g->hellos[i]))
			return false;
	}
	return true;
}

/// A disk was lost between the pinning and the start: the group can't start
/// with this set, and nobody may choose another.
static void
warn_blocked(struct replica *g)
{
	const struct raft_members *initial = &g->identity.initial;

	for (uint32_t i = 0; i < initial->n_voters && !g->warned; i++) {
		const struct replica_hello *h = &g->hellos[i];

		if (initial->voters[i] == slot(g->self) || h->incarnation == 0)
			continue;
		if (h->incarnation == g->identity.disks[i] &&
		    h->n_disks == initial->n_voters)
			continue;
		g->warned = true;
		logger_event(LOGGER_ERROR, "replog.start_blocked",
		    "group=%u slot=%u reason=%s", g->config.group,
		    initial->voters[i],
		    h->n_disks == initial->n_voters
			? "disk_changed_before_start"
			: "other_initial_voters");
	}
}

static void
found(struct replica *g)
{
	if (!pinned(g) && (!all_heard(g) || !pin(g)))
		return;
	if (all_pinned_same(g))
		take_seat(g, LOGSTORE_ORIGIN_INITIAL);
	else
		warn_blocked(g);
}

static void
hear_unseated(struct replica *g, const struct replica_hello *h)
{
	const int at = position(g, h->id);

	if (h->origin == LOGSTORE_ORIGIN_UNKNOWN) {
		if (at >= 0)
			g->hellos[at] = *h;
		found(g);
	} else if (pinned(g) && h->origin == LOGSTORE_ORIGIN_INITIAL &&
	    same_disks(g, h)) {
		take_seat(g, LOGSTORE_ORIGIN_INITIAL);
	} else if (!pinned(g) || h->origin == LOGSTORE_ORIGIN_INITIAL) {
		take_seat(g, LOGSTORE_ORIGIN_JOINED);
	}
}

/// Starts to look for the group from a disk without a seat.
enum status
replica_join_start(struct replica *g)
{
	if (position(g, g->self) < 0)
		take_seat(g, LOGSTORE_ORIGIN_JOINED);
	else if (g->identity.initial.n_voters == 1)
		found(g);
	return g->failed ? STATUS_IO : STATUS_OK;
}

/// Whether a process asked lately to be let in.
bool
replica_joiner_is_recent(
    const struct replica *g, const struct replica_joiner *j)
{
	const struct raft_members *set = raft_members(g->core);

	return j->id != 0 && raft_role(g->core) == RAFT_LEADER &&
	    timerq_now_us(g->config.tm) < j->heard_us + JOINER_FRESH_US &&
	    !raft_is_voter(set, j->id) && !raft_is_learner(set, j->id);
}

/// Tells the leader of a newcomer, who may not know its address.
static void
pass_on(struct replica *g, const struct replica_hello *h)
{
	const uint32_t leader = raft_leader(g->core);
	struct replica_hello copy = *h;
	uint8_t *bytes;
	size_t len;

	if (leader == 0 || leader == g->self || h->answer)
		return;
	copy.answer = true;
	bytes = replica_hello_encode(&copy, &len);
	g->config.ops.send(g->config.arg, slot(leader), bytes, len);
	g_free(bytes);
}

static void
note_joiner(struct replica *g, const struct replica_hello *h)
{
	const uint32_t id = h->id;
	struct replica_joiner *into = &g->joiners[0];

	for (size_t i = 0; i < RAFT_MAX_MEMBERS; i++) {
		struct replica_joiner *j = &g->joiners[i];

		if (slot(j->id) == slot(id)) {
			into = j;
			break;
		}
		if (j->heard_us < into->heard_us)
			into = j;
	}
	into->id = id;
	into->heard_us = timerq_now_us(g->config.tm);
	pass_on(g, h);
}

static void
repaired(void *arg, enum status status, const uint8_t *result, size_t len)
{
	struct replica *g = arg;

	(void)status;
	(void)result;
	(void)len;
	g->repairing = false;
}

static uint32_t
predecessor(const struct raft_members *set, uint32_t id)
{
	for (uint32_t i = 0; i < set->n_voters; i++) {
		if (set->voters[i] != id && slot(set->voters[i]) == slot(id))
			return set->voters[i];
	}
	for (uint32_t i = 0; i < set->n_learners; i++) {
		if (set->learners[i] != id &&
		    slot(set->learners[i]) == slot(id))
			return set->learners[i];
	}
	return 0;
}

static void
change(struct replica *g, uint32_t id, bool voter, bool remove)
{
	g->repairing = true;
	logger_event(LOGGER_INFO, "replog.repair", "group=%u id=%u change=%s",
	    g->config.group, id,
	    remove      ? "remove"
		: voter ? "promote"
			: "add");
	replica_change_member(g, id, voter, remove, repaired, g);
}

/// Does the next step of replacing members whose disk was lost.
///
/// The newcomer is added first: that it belongs is then in the log, however
/// often the leader changes before the last step.
static void
repair(struct replica *g, uint64_t now_us)
{
	const struct raft_members *set = raft_members(g->core);

	for (uint32_t i = 0; i < set->n_learners; i++) {
		const uint32_t id = set->learners[i];
		const uint32_t old = predecessor(set, id);

		if ((id >> RAFT_SLOT_BITS) == 0)
			continue;
		if (old != 0 && !raft_is_active(g->core, now_us, old)) {
			change(g, old, false, true);
			return;
		}
		if (old != 0)
			continue;
		if (raft_match_index(g->core, id) >=
		    raft_commit_index(g->core)) {
			change(g, id, true, false);
			return;
		}
	}
	for (size_t i = 0; i < RAFT_MAX_MEMBERS; i++) {
		const struct replica_joiner *j = &g->joiners[i];

		if (replica_joiner_is_recent(g, j) &&
		    predecessor(set, j->id) != 0) {
			change(g, j->id, false, false);
			return;
		}
	}
}

/// Says hello while this process has no leader, and repairs as the leader.
void
replica_on_join_timer(void *arg, uint64_t now_us)
{
	struct replica *g = arg;

	if (g->failed)
		return;
	timerq_arm_in(g->join, JOIN_HEARTBEATS * g->config.heartbeat_us);
	if (g->core == NULL || raft_leader(g->core) == 0) {
		for (uint32_t i = 0; i < g->config.n_voters; i++) {
			if (g->config.voters[i] != slot(g->self))
				say_hello(g, g->config.voters[i], false);
		}
		for (uint32_t i = 0; i < g->config.n_contacts; i++) {
			if (g->config.contacts[i] != slot(g->self))
				say_hello(g, g->config.contacts[i], false);
		}
		return;
	}
	if (g->config.repair && !g->repairing && replica_is_ready(g))
		repair(g, now_us);
}

/// Handles a hello.
void
replica_on_hello(struct replica *g, const uint8_t *bytes, size_t len)
{
	struct replica_hello h;

	if (replica_hello_decode(bytes, len, &h) != STATUS_OK ||
	    h.group != g->config.group || slot(h.id) == slot(g->self))
		return;
	if (g->core == NULL)
		hear_unseated(g, &h);
	else if (h.origin != LOGSTORE_ORIGIN_UNKNOWN || position(g, h.id) < 0)
		note_joiner(g, &h);
	if (!h.answer && !g->failed)
		say_hello(g, slot(h.id), true);
}
