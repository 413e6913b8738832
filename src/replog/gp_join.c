#include "replog/gp_core.h"

#include "base/lg.h"

#include <string.h>

/// A group starts only once all its initial voters have pinned the same set
/// of disks. So a disk that is in no founder's set can't have voted, and a
/// process that comes with one is a newcomer, whatever slot it has.

#define JOIN_HEARTBEATS 2
#define JOINER_FRESH_US (2 * TM_US_PER_S)

static uint32_t
slot(uint32_t id)
{
	return id & RL_SLOT_MASK;
}

/// Position among the initial voters, or -1.
static int
position(const struct gp *g, uint32_t id)
{
	for (uint32_t i = 0; i < g->identity.initial.n_voters; i++) {
		if (g->identity.initial.voters[i] == slot(id))
			return (int)i;
	}
	return -1;
}

static bool
pinned(const struct gp *g)
{
	return g->identity.disks[0] != 0;
}

/// A process that was never meant to found the group and has nothing of its
/// log doesn't show that the group has started.
static enum dl_seat
told_seat(const struct gp *g)
{
	const bool outsider = position(g, g->self) < 0 && !g->config.late;

	if (outsider && (g->core == NULL || rl_last_index(g->core) == 0))
		return DL_UNSEATED;
	return g->identity.seat;
}

static void
say_hello(struct gp *g, uint32_t to, bool answer)
{
	struct gp_hello h = { .group = g->config.group,
		.id = g->self,
		.incarnation = g->identity.incarnation,
		.seat = told_seat(g),
		.answer = answer,
		.n_disks = g->identity.initial.n_voters };
	uint8_t *bytes;
	size_t len;

	memcpy(h.disks, g->identity.disks, sizeof(h.disks));
	bytes = gp_hello_encode(&h, &len);
	g->config.ops.send(g->config.arg, to, bytes, len);
	g_free(bytes);
}

static bool
write_identity(struct gp *g)
{
	const enum st st = dl_write_identity(g->disk, &g->identity);

	if (st != ST_OK)
		gp_fail(g, st);
	return st == ST_OK;
}

static void
take_seat(struct gp *g, enum dl_seat seat)
{
	const struct dl_loaded nothing = { .fresh = true };

	g->identity.seat = seat;
	if (seat == DL_JOINER) {
		const uint64_t high =
		    1 + g->identity.incarnation % (UINT32_MAX >> RL_SLOT_BITS);

		g->identity.id =
		    slot(g->identity.id) | (uint32_t)(high << RL_SLOT_BITS);
		memset(g->identity.disks, 0, sizeof(g->identity.disks));
	}
	if (!write_identity(g))
		return;
	lg_event(LG_INFO, "replog.seated", "group=%u id=%u seat=%s",
	    g->config.group, g->identity.id,
	    seat == DL_FOUNDER ? "founder" : "joiner");
	(void)gp_boot(g, &nothing);
}

static bool
all_heard(const struct gp *g)
{
	for (uint32_t i = 0; i < g->identity.initial.n_voters; i++) {
		if (g->hellos[i].incarnation == 0 &&
		    g->identity.initial.voters[i] != slot(g->self))
			return false;
	}
	return true;
}

static bool
pin(struct gp *g)
{
	const int own = position(g, g->self);

	for (uint32_t i = 0; i < g->identity.initial.n_voters; i++)
		g->identity.disks[i] = g->hellos[i].incarnation;
	g->identity.disks[own] = g->identity.incarnation;
	return write_identity(g);
}

static bool
same_disks(const struct gp *g, const struct gp_hello *h)
{
	return h->n_disks == g->identity.initial.n_voters &&
	    memcmp(h->disks, g->identity.disks, sizeof(h->disks)) == 0;
}

static bool
all_pinned_same(const struct gp *g)
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
warn_blocked(struct gp *g)
{
	const struct rl_members *initial = &g->identity.initial;

	for (uint32_t i = 0; i < initial->n_voters && !g->warned; i++) {
		const struct gp_hello *h = &g->hellos[i];

		if (initial->voters[i] == slot(g->self) || h->incarnation == 0)
			continue;
		if (h->incarnation == g->identity.disks[i] &&
		    h->n_disks == initial->n_voters)
			continue;
		g->warned = true;
		lg_event(LG_ERROR, "replog.start_blocked",
		    "group=%u slot=%u reason=%s", g->config.group,
		    initial->voters[i],
		    h->n_disks == initial->n_voters
			? "disk_changed_before_start"
			: "other_initial_voters");
	}
}

static void
found(struct gp *g)
{
	if (!pinned(g) && (!all_heard(g) || !pin(g)))
		return;
	if (all_pinned_same(g))
		take_seat(g, DL_FOUNDER);
	else
		warn_blocked(g);
}

static void
hear_unseated(struct gp *g, const struct gp_hello *h)
{
	const int at = position(g, h->id);

	if (h->seat == DL_UNSEATED) {
		if (at >= 0)
			g->hellos[at] = *h;
		found(g);
	} else if (pinned(g) && h->seat == DL_FOUNDER && same_disks(g, h)) {
		take_seat(g, DL_FOUNDER);
	} else if (!pinned(g) || h->seat == DL_FOUNDER) {
		take_seat(g, DL_JOINER);
	}
}

/// Starts to look for the group from a disk without a seat.
enum st
gp_join_start(struct gp *g)
{
	if (position(g, g->self) < 0)
		take_seat(g, DL_JOINER);
	else if (g->identity.initial.n_voters == 1)
		found(g);
	return g->failed ? ST_IO : ST_OK;
}

/// Whether a process asked lately to be let in.
bool
gp_joiner_fresh(const struct gp *g, const struct gp_joiner *j)
{
	const struct rl_members *set = rl_members(g->core);

	return j->id != 0 && rl_role(g->core) == RL_LEADER &&
	    tm_now_us(g->config.tm) < j->heard_us + JOINER_FRESH_US &&
	    !rl_is_voter(set, j->id) && !rl_is_learner(set, j->id);
}

/// Tells the leader of a newcomer, who may not know its address.
static void
pass_on(struct gp *g, const struct gp_hello *h)
{
	const uint32_t leader = rl_leader(g->core);
	struct gp_hello copy = *h;
	uint8_t *bytes;
	size_t len;

	if (leader == 0 || leader == g->self || h->answer)
		return;
	copy.answer = true;
	bytes = gp_hello_encode(&copy, &len);
	g->config.ops.send(g->config.arg, slot(leader), bytes, len);
	g_free(bytes);
}

static void
note_joiner(struct gp *g, const struct gp_hello *h)
{
	const uint32_t id = h->id;
	struct gp_joiner *into = &g->joiners[0];

	for (size_t i = 0; i < RL_MAX_MEMBERS; i++) {
		struct gp_joiner *j = &g->joiners[i];

		if (slot(j->id) == slot(id)) {
			into = j;
			break;
		}
		if (j->heard_us < into->heard_us)
			into = j;
	}
	into->id = id;
	into->heard_us = tm_now_us(g->config.tm);
	pass_on(g, h);
}

static void
repaired(void *arg, enum st status, const uint8_t *result, size_t len)
{
	struct gp *g = arg;

	(void)status;
	(void)result;
	(void)len;
	g->repairing = false;
}

static uint32_t
predecessor(const struct rl_members *set, uint32_t id)
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
change(struct gp *g, uint32_t id, bool voter, bool remove)
{
	g->repairing = true;
	lg_event(LG_INFO, "replog.repair", "group=%u id=%u change=%s",
	    g->config.group, id,
	    remove      ? "remove"
		: voter ? "promote"
			: "add");
	gp_change_member(g, id, voter, remove, repaired, g);
}

/// Does the next step of replacing members whose disk was lost.
///
/// The newcomer is added first: that it belongs is then in the log, however
/// often the leader changes before the last step.
static void
repair(struct gp *g, uint64_t now_us)
{
	const struct rl_members *set = rl_members(g->core);

	for (uint32_t i = 0; i < set->n_learners; i++) {
		const uint32_t id = set->learners[i];
		const uint32_t old = predecessor(set, id);

		if ((id >> RL_SLOT_BITS) == 0)
			continue;
		if (old != 0 && !rl_is_active(g->core, now_us, old)) {
			change(g, old, false, true);
			return;
		}
		if (old != 0)
			continue;
		if (rl_match_index(g->core, id) >= rl_commit_index(g->core)) {
			change(g, id, true, false);
			return;
		}
	}
	for (size_t i = 0; i < RL_MAX_MEMBERS; i++) {
		const struct gp_joiner *j = &g->joiners[i];

		if (gp_joiner_fresh(g, j) && predecessor(set, j->id) != 0) {
			change(g, j->id, false, false);
			return;
		}
	}
}

/// Says hello while this process has no leader, and repairs as the leader.
void
gp_on_join(void *arg, uint64_t now_us)
{
	struct gp *g = arg;

	if (g->failed)
		return;
	tm_arm_in(g->join, JOIN_HEARTBEATS * g->config.heartbeat_us);
	if (g->core == NULL || rl_leader(g->core) == 0) {
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
	if (g->config.repair && !g->repairing && gp_is_ready(g))
		repair(g, now_us);
}

/// Handles a hello.
void
gp_on_hello(struct gp *g, const uint8_t *bytes, size_t len)
{
	struct gp_hello h;

	if (gp_hello_decode(bytes, len, &h) != ST_OK ||
	    h.group != g->config.group || slot(h.id) == slot(g->self))
		return;
	if (g->core == NULL)
		hear_unseated(g, &h);
	else if (h.seat != DL_UNSEATED || position(g, h.id) < 0)
		note_joiner(g, &h);
	if (!h.answer && !g->failed)
		say_hello(g, slot(h.id), true);
}
