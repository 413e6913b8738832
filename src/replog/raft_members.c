#include "replog/raft_internal.h"

#include "base/inv.h"

#include <string.h>

static bool
contains(const uint32_t *ids, uint32_t n, uint32_t id)
{
	for (uint32_t i = 0; i < n; i++) {
		if (ids[i] == id)
			return true;
	}
	return false;
}

/// Whether an id is that of a voter.
bool
raft_is_voter(const struct raft_members *m, uint32_t id)
{
	return contains(m->voters, m->n_voters, id);
}

/// Whether an id is that of a learner.
bool
raft_is_learner(const struct raft_members *m, uint32_t id)
{
	return contains(m->learners, m->n_learners, id);
}

/// Current members: those of the last entry that sets them, committed or not.
/// Valid until the next step.
const struct raft_members *
raft_members(const struct raft_core *c)
{
	return &g_array_index(
	    c->member_sets, struct raft_members, c->member_sets->len - 1);
}

/// Members as of an index at or after the last snapshot. Valid until the next
/// step.
const struct raft_members *
raft_members_at(const struct raft_core *c, uint64_t index)
{
	guint i = c->member_sets->len - 1;

	while (i > 0 &&
	    g_array_index(c->member_sets, struct raft_members, i).index > index)
		i--;
	return &g_array_index(c->member_sets, struct raft_members, i);
}

/// Makes the members of an appended entry the current ones.
void
raft_members_push(struct raft_core *c, const struct raft_entry *e)
{
	struct raft_members set;
	const enum status status = raft_members_decode(e->data, e->len, &set);

	inv_check(status == STATUS_OK, "replog.members_decode",
	    "index=%" PRIu64, e->index);
	set.index = e->index;
	g_array_append_val(c->member_sets, set);
	raft_peers_refresh(c);
}

/// Restores the members from before the entries that were truncated.
void
raft_members_truncate(struct raft_core *c, uint64_t from)
{
	const guint before = c->member_sets->len;

	while (c->member_sets->len > 1 && raft_members(c)->index >= from)
		g_array_set_size(c->member_sets, c->member_sets->len - 1);
	if (c->member_sets->len != before)
		raft_peers_refresh(c);
}

static void
add_peer(struct raft_core *c, struct raft_peer *old, size_t n_old, uint32_t id,
    bool voter)
{
	struct raft_peer *p;

	if (id == c->self)
		return;
	p = &c->peers[c->n_peers++];
	memset(p, 0, sizeof(*p));
	p->id = id;
	p->next = raft_last_index(c) + 1;
	for (size_t i = 0; i < n_old; i++) {
		if (old[i].id != id)
			continue;
		*p = old[i];
		old[i].snapshot = NULL;
	}
	p->voter = voter;
}

/// Rebuilds the table of peers from the current members, keeping the
/// replication state of those that stay.
void
raft_peers_refresh(struct raft_core *c)
{
	const struct raft_members *set = raft_members(c);
	struct raft_peer old[RAFT_MAX_PEERS];
	const size_t n_old = c->n_peers;

	memcpy(old, c->peers, sizeof(old));
	c->n_peers = 0;
	for (uint32_t i = 0; i < set->n_voters; i++)
		add_peer(c, old, n_old, set->voters[i], true);
	for (uint32_t i = 0; i < set->n_learners; i++)
		add_peer(c, old, n_old, set->learners[i], false);
	for (size_t i = 0; i < n_old; i++)
		raft_peer_drop_snapshot(&old[i]);
}

static void
remove_id(uint32_t *ids, uint32_t *n, uint32_t id)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < *n; i++) {
		if (ids[i] != id)
			ids[kept++] = ids[i];
	}
	*n = kept;
}

static enum status
remove_member(struct raft_members *set, uint32_t id)
{
	if (!raft_is_voter(set, id) && !raft_is_learner(set, id))
		return STATUS_NOT_FOUND;
	remove_id(set->voters, &set->n_voters, id);
	remove_id(set->learners, &set->n_learners, id);
	return set->n_voters == 0 ? STATUS_INVALID : STATUS_OK;
}

/// Whether a member is active and has synced every committed entry.
static bool
is_caught_up(struct raft_core *c, uint32_t id)
{
	const struct raft_peer *p = raft_peer(c, id);

	return p != NULL && p->match >= c->commit && p->match > 0 &&
	    c->now_us <= p->acked_at_us + c->election_us;
}

static enum status
promote(struct raft_core *c, struct raft_members *set, uint32_t id)
{
	if (raft_is_voter(set, id))
		return STATUS_CONFLICT;
	if (!raft_is_learner(set, id) || !is_caught_up(c, id))
		return STATUS_UNAVAILABLE;
	if (set->n_voters == RAFT_MAX_MEMBERS)
		return STATUS_FULL;
	remove_id(set->learners, &set->n_learners, id);
	set->voters[set->n_voters++] = id;
	return STATUS_OK;
}

static enum status
add_learner(struct raft_members *set, uint32_t id)
{
	if (raft_is_voter(set, id) || raft_is_learner(set, id))
		return STATUS_CONFLICT;
	if (set->n_learners == RAFT_MAX_MEMBERS)
		return STATUS_FULL;
	set->learners[set->n_learners++] = id;
	return STATUS_OK;
}

/// Whether the members may change now: one change at a time, and only after an
/// entry of this term is committed. Otherwise the quorums of two sets might not
/// share a voter.
static bool
change_allowed(const struct raft_core *c)
{
	return c->role == RAFT_LEADER && !c->transferring &&
	    c->commit >= c->term_start && raft_members(c)->index <= c->commit;
}

/// Handles RAFT_EVENT_MEMBERS: adds a learner, promotes a learner or removes a
/// member. The outcome is
/// - STATUS_UNAVAILABLE if no change may be made now, or the learner to promote
///   isn't one or hasn't synced all,
/// - STATUS_CONFLICT if it is a member already,
/// - STATUS_FULL beyond RAFT_MAX_MEMBERS,
/// - STATUS_NOT_FOUND for the removal of a member that isn't one,
/// - STATUS_INVALID for the removal of the last voter, or
/// - that of the entry.
void
raft_change_members(struct raft_core *c, const struct raft_event *ev)
{
	const uint32_t id = ev->members.id;
	struct raft_members set = *raft_members(c);
	uint8_t *bytes;
	size_t len;
	enum status status = STATUS_UNAVAILABLE;

	if (change_allowed(c) && id != 0) {
		if (ev->members.remove)
			status = remove_member(&set, id);
		else if (ev->members.voter)
			status = promote(c, &set, id);
		else
			status = add_learner(&set, id);
	}
	if (status != STATUS_OK) {
		raft_emit_outcome(c, ev->members.tag, status, 0);
		return;
	}
	set.index = raft_last_index(c) + 1;
	bytes = raft_members_encode(&set, &len);
	raft_propose(c, ev->members.tag, RAFT_MEMBERS, bytes, len);
	g_free(bytes);
	raft_broadcast(c, false);
}

/// Steps a leader down once the entry that removes it is committed.
///
/// @param before  commit index before the entries just committed
void
raft_members_committed(struct raft_core *c, uint64_t before)
{
	const struct raft_members *set = raft_members(c);

	if (set->index <= before || set->index > c->commit)
		return;
	if (raft_is_voter(set, c->self))
		return;
	raft_broadcast(c, true);
	raft_become_follower(c, c->hard_state.term, 0);
}
