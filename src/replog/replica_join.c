#include "replog/replica_internal.h"

#include "base/logger.h"

#include <string.h>

/// How a process joins its group. A group starts only once all its initial
/// voters have pinned the same set of disks. So a disk that isn't in that set
/// can't have voted as an initial voter, and a process with such a disk is a
/// new member, whatever its slot is. A disk that is lost before the start is
/// replaced in the set as long as a majority of the initial voters still have
/// their first disks and haven't started: then nothing was committed. See
/// docs/design/members.md.

#define HELLO_INTERVAL_HEARTBEATS 2
#define JOINER_RECENT_US (2 * USEC_PER_SEC)

static uint32_t
slot_of(uint32_t id)
{
	return id & RAFT_SLOT_MASK;
}

/// Whether it isn't known yet if a disk is one of those that the group started
/// with.
bool
replica_origin_is_open(enum logstore_origin origin)
{
	return origin == LOGSTORE_ORIGIN_UNKNOWN ||
	    origin == LOGSTORE_ORIGIN_LATE;
}

/// Position of an id's slot among the initial voters, or -1.
static int
initial_voter_position(const struct replica *g, uint32_t id)
{
	for (uint32_t i = 0; i < g->identity.initial.n_voters; i++) {
		if (g->identity.initial.voters[i] == slot_of(id))
			return (int)i;
	}
	return -1;
}

static bool
has_pinned_disks(const struct replica *g)
{
	return g->identity.disks[0] != 0;
}

/// Origin to report in a hello. A process that isn't an initial voter and has
/// no log entries reports an unknown one: that it joined doesn't show that the
/// group has started.
static enum logstore_origin
reported_origin(const struct replica *g)
{
	if (initial_voter_position(g, g->self) < 0 &&
	    (g->core == NULL || raft_last_index(g->core) == 0))
		return LOGSTORE_ORIGIN_UNKNOWN;
	return g->identity.origin;
}

static void
send_hello(struct replica *g, uint32_t to, bool is_reply)
{
	struct replica_hello h = { .group = g->config.group,
		.id = g->self,
		.incarnation = g->identity.incarnation,
		.origin = reported_origin(g),
		.is_reply = is_reply,
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
	const enum status status =
	    logstore_write_identity(g->disk, &g->identity);

	if (status != STATUS_OK)
		replica_fail(g, status);
	return status == STATUS_OK;
}

/// Writes the origin of this disk, once per disk, and starts the core. A member
/// that joins gets an id unlike that of an earlier disk in the same slot.
static void
set_origin(struct replica *g, enum logstore_origin origin)
{
	const struct logstore_loaded empty = { .fresh = true };

	g->identity.origin = origin;
	if (origin == LOGSTORE_ORIGIN_JOINED) {
		const uint64_t id_high_bits = 1 +
		    g->identity.incarnation % (UINT32_MAX >> RAFT_SLOT_BITS);

		g->identity.id = slot_of(g->identity.id) |
		    (uint32_t)(id_high_bits << RAFT_SLOT_BITS);
		memset(g->identity.disks, 0, sizeof(g->identity.disks));
	}
	if (!write_identity(g))
		return;
	logger_event(LOGGER_INFO, "replog.seated", "group=%u id=%u seat=%s",
	    g->config.group, g->identity.id,
	    origin == LOGSTORE_ORIGIN_INITIAL ? "founder" : "joiner");
	(void)replica_start_core(g, &empty);
}

static bool
has_hello_from_all(const struct replica *g)
{
	for (uint32_t i = 0; i < g->identity.initial.n_voters; i++) {
		if (g->hellos[i].incarnation == 0 &&
		    g->identity.initial.voters[i] != slot_of(g->self))
			return false;
	}
	return true;
}

/// Whether a majority of the initial voters have their first disks and haven't
/// started the group. Then no quorum of them ever has, and nothing that a lost
/// disk held was committed.
static bool
most_disks_are_first(const struct replica *g)
{
	const uint32_t n = g->identity.initial.n_voters;
	uint32_t n_first = 0;

	for (uint32_t i = 0; i < n; i++) {
		const enum logstore_origin origin =
		    g->identity.initial.voters[i] == slot_of(g->self)
		    ? g->identity.origin
		    : g->hellos[i].origin;

		n_first += origin == LOGSTORE_ORIGIN_UNKNOWN;
	}
	return n_first > n / 2;
}

/// Incarnation of the disk that an initial voter has now. One that was pinned
/// is replaced only by one that says of itself that it came later.
static uint64_t
current_disk(const struct replica *g, uint32_t position)
{
	const struct replica_hello *h = &g->hellos[position];

	if (g->identity.initial.voters[position] == slot_of(g->self))
		return g->identity.incarnation;
	return has_pinned_disks(g) && h->origin != LOGSTORE_ORIGIN_LATE
	    ? g->identity.disks[position]
	    : h->incarnation;
}

/// Stores the disks that the initial voters have now as those of the group.
///
/// @return false if they can't be stored
static bool
pin_disks(struct replica *g)
{
	uint64_t disks[RAFT_MAX_MEMBERS] = { 0 };

	for (uint32_t i = 0; i < g->identity.initial.n_voters; i++)
		disks[i] = current_disk(g, i);
	if (memcmp(disks, g->identity.disks, sizeof(disks)) == 0)
		return true;
	memcpy(g->identity.disks, disks, sizeof(disks));
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
		if (g->identity.initial.voters[i] != slot_of(g->self) &&
		    !same_disks(g, &g->hellos[i]))
			return false;
	}
	return true;
}

/// Logs once why the group can't start, and the slot of the initial voter that
/// prevents it: the voter lost its disk after it was pinned and doesn't say so,
/// or has another number of initial voters.
static void
log_start_blocked(struct replica *g)
{
	const struct raft_members *initial = &g->identity.initial;

	for (uint32_t i = 0; i < initial->n_voters && !g->warned; i++) {
		const struct replica_hello *h = &g->hellos[i];

		if (initial->voters[i] == slot_of(g->self) ||
		    h->incarnation == 0)
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
log_too_many_lost(struct replica *g)
{
	if (g->warned)
		return;
	g->warned = true;
	logger_event(LOGGER_ERROR, "replog.start_blocked",
	    "group=%u slot=%u reason=disks_lost_before_start", g->config.group,
	    slot_of(g->self));
}

/// Pins the disks once all initial voters have sent a hello, and starts the
/// group once all have pinned the same ones.
static void
try_start_group(struct replica *g)
{
	if (!has_hello_from_all(g)) {
		if (has_pinned_disks(g))
			log_start_blocked(g);
		return;
	}
	if (!most_disks_are_first(g)) {
		log_too_many_lost(g);
		return;
	}
	if (!pin_disks(g))
		return;
	if (all_pinned_same(g))
		set_origin(g, LOGSTORE_ORIGIN_INITIAL);
	else
		log_start_blocked(g);
}

/// Whether the group of a sender that is one of its initial voters started with
/// the disk of this process.
static bool
started_with_own_disk(const struct replica *g, const struct replica_hello *h)
{
	const int own_position = initial_voter_position(g, g->self);

	return h->n_disks == g->identity.initial.n_voters &&
	    h->disks[own_position] == g->identity.incarnation;
}

/// Handles a hello while the origin of this disk is unknown. A sender with an
/// origin shows that the group has started: this disk is an initial one if it
/// is among those that an initial voter started with, else a joined one. A
/// joined sender decides nothing for a process that has pinned disks.
static void
on_hello_without_origin(struct replica *g, const struct replica_hello *h)
{
	const int position = initial_voter_position(g, h->id);

	if (replica_origin_is_open(h->origin)) {
		if (position >= 0)
			g->hellos[position] = *h;
		try_start_group(g);
	} else if (h->origin == LOGSTORE_ORIGIN_INITIAL &&
	    started_with_own_disk(g, h)) {
		memcpy(g->identity.disks, h->disks, sizeof(h->disks));
		set_origin(g, LOGSTORE_ORIGIN_INITIAL);
	} else if (!has_pinned_disks(g) ||
	    h->origin == LOGSTORE_ORIGIN_INITIAL) {
		set_origin(g, LOGSTORE_ORIGIN_JOINED);
	}
}

/// Starts to look for the group with a disk of unknown origin.
///
/// @return STATUS_OK, or STATUS_IO if the identity couldn't be written
enum status
replica_join_start(struct replica *g)
{
	if (initial_voter_position(g, g->self) < 0)
		set_origin(g, LOGSTORE_ORIGIN_JOINED);
	else if (g->identity.initial.n_voters == 1)
		try_start_group(g);
	return g->failed && !g->suspended ? STATUS_IO : STATUS_OK;
}

/// Whether this process leads, and a process in the table of joiners asked to
/// join recently and isn't a member.
bool
replica_joiner_is_recent(
    const struct replica *g, const struct replica_joiner *j)
{
	const struct raft_members *set = raft_members(g->core);

	return j->id != 0 && raft_role(g->core) == RAFT_LEADER &&
	    timerq_now_us(g->config.timerq) <
	    j->last_hello_us + JOINER_RECENT_US &&
	    !raft_is_voter(set, j->id) && !raft_is_learner(set, j->id);
}

/// Forwards the hello of a joining process, which may know neither the leader
/// nor any other member: to the leader, or to all voters that this process
/// knows of while it knows no leader. It may itself have been removed from the
/// group without having heard of it.
static void
forward_hello(struct replica *g, const struct replica_hello *h)
{
	const uint32_t leader = raft_leader(g->core);
	const struct raft_members *set = raft_members(g->core);
	struct replica_hello copy = *h;
	uint8_t *bytes;
	size_t len;

	if (leader == g->self || h->is_reply)
		return;
	copy.is_reply = true;
	bytes = replica_hello_encode(&copy, &len);
	if (leader != 0)
		g->config.ops.send(g->config.arg, slot_of(leader), bytes, len);
	for (uint32_t i = 0; i < set->n_voters && leader == 0; i++) {
		const uint32_t slot = slot_of(set->voters[i]);

		if (slot != slot_of(g->self) && slot != slot_of(h->id))
			g->config.ops.send(g->config.arg, slot, bytes, len);
	}
	g_free(bytes);
}

/// Records a joining process, in place of the one with its slot or of the
/// oldest one, and forwards its hello to the leader.
static void
record_joiner(struct replica *g, const struct replica_hello *h)
{
	const uint32_t id = h->id;
	struct replica_joiner *entry = &g->joiners[0];

	for (size_t i = 0; i < RAFT_MAX_MEMBERS; i++) {
		struct replica_joiner *j = &g->joiners[i];

		if (slot_of(j->id) == slot_of(id)) {
			entry = j;
			break;
		}
		if (j->last_hello_us < entry->last_hello_us)
			entry = j;
	}
	entry->id = id;
	entry->last_hello_us = timerq_now_us(g->config.timerq);
	forward_hello(g, h);
}

static void
on_change_done(void *arg, enum status status, const uint8_t *result, size_t len)
{
	struct replica *g = arg;

	(void)status;
	(void)result;
	(void)len;
	g->change_pending = false;
}

/// Another member with the same slot, 0 if none.
static uint32_t
previous_member(const struct raft_members *set, uint32_t id)
{
	for (uint32_t i = 0; i < set->n_voters; i++) {
		if (set->voters[i] != id &&
		    slot_of(set->voters[i]) == slot_of(id))
			return set->voters[i];
	}
	for (uint32_t i = 0; i < set->n_learners; i++) {
		if (set->learners[i] != id &&
		    slot_of(set->learners[i]) == slot_of(id))
			return set->learners[i];
	}
	return 0;
}

static void
start_change(struct replica *g, uint32_t id, bool voter, bool remove)
{
	g->change_pending = true;
	logger_event(LOGGER_INFO, "replog.repair", "group=%u id=%u change=%s",
	    g->config.group, id,
	    remove      ? "remove"
		: voter ? "promote"
			: "add");
	replica_change_member(g, id, voter, remove, on_change_done, g);
}

/// Starts the next member change to replace members whose disk was lost.
///
/// The new member is added as a learner first. The log then shows that it is
/// to replace the old one, however often the leader changes before the last
/// step.
static void
replace_members(struct replica *g, uint64_t now_us)
{
	const struct raft_members *set = raft_members(g->core);

	for (uint32_t i = 0; i < set->n_learners; i++) {
		const uint32_t id = set->learners[i];
		const uint32_t old = previous_member(set, id);

		if ((id >> RAFT_SLOT_BITS) == 0)
			continue;
		if (old != 0 && !raft_is_active(g->core, now_us, old)) {
			start_change(g, old, false, true);
			return;
		}
		if (old != 0)
			continue;
		if (raft_match_index(g->core, id) >=
		    raft_commit_index(g->core)) {
			start_change(g, id, true, false);
			return;
		}
	}
	for (size_t i = 0; i < RAFT_MAX_MEMBERS; i++) {
		const struct replica_joiner *j = &g->joiners[i];

		if (replica_joiner_is_recent(g, j) &&
		    previous_member(set, j->id) != 0) {
			start_change(g, j->id, false, false);
			return;
		}
	}
}

/// Sends hellos while this process knows no leader, and replaces members whose
/// disk was lost as the leader.
void
replica_on_join_timer(void *arg, uint64_t now_us)
{
	struct replica *g = arg;

	if (g->failed)
		return;
	timerq_arm_in(
	    g->join_timer, HELLO_INTERVAL_HEARTBEATS * g->config.heartbeat_us);
	if (g->core == NULL || raft_leader(g->core) == 0) {
		for (uint32_t i = 0; i < g->config.n_voters; i++) {
			if (g->config.voters[i] != slot_of(g->self))
				send_hello(g, g->config.voters[i], false);
		}
		for (uint32_t i = 0; i < g->config.n_contacts; i++) {
			if (g->config.contacts[i] != slot_of(g->self))
				send_hello(g, g->config.contacts[i], false);
		}
		return;
	}
	if (g->config.auto_replace && !g->change_pending && replica_is_ready(g))
		replace_members(g, now_us);
}

/// Whether the sender of a hello wants to join a started group. An initial
/// voter that doesn't know the origin of its disk learns it from the reply, and
/// has another id then.
static bool
is_joiner(const struct replica *g, const struct replica_hello *h)
{
	if (h->origin == LOGSTORE_ORIGIN_LATE)
		return false;
	return h->origin != LOGSTORE_ORIGIN_UNKNOWN ||
	    initial_voter_position(g, h->id) < 0 ||
	    h->id >> RAFT_SLOT_BITS != 0;
}

/// Handles a hello; one that is malformed or of another group is dropped.
void
replica_on_hello(struct replica *g, const uint8_t *bytes, size_t len)
{
	struct replica_hello h;

	if (replica_hello_decode(bytes, len, &h) != STATUS_OK ||
	    h.group != g->config.group || slot_of(h.id) == slot_of(g->self))
		return;
	if (g->core == NULL)
		on_hello_without_origin(g, &h);
	else if (is_joiner(g, &h))
		record_joiner(g, &h);
	if (!h.is_reply && !g->failed)
		send_hello(g, slot_of(h.id), true);
}
