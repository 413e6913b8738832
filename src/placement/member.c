#include "placement/member.h"

#include <stddef.h>

/// An announced reclaim never shrinks a group below this number of voters, so
/// that acknowledged entries stay in two data centres.
#define MEMBER_MIN_VOTERS 2
#define MEMBER_THREE_VOTERS 3
#define MEMBER_FOUR_VOTERS 4

static bool
is_healthy(const struct member_info *m)
{
	return m->active && !m->draining;
}

static uint32_t
count_voters(const struct member_inputs *in, bool healthy_only)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < in->n; i++) {
		const struct member_info *m = &in->members[i];

		n +=
		    m->kind == MEMBER_VOTER && (!healthy_only || is_healthy(m));
	}
	return n;
}

/// Number of data centres that have a healthy voter or a healthy learner that
/// could be promoted.
static uint32_t
count_data_centres(const struct member_inputs *in)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < in->n; i++) {
		const struct member_info *m = &in->members[i];
		bool skip = m->kind == MEMBER_JOINER || !is_healthy(m) ||
		    (m->kind == MEMBER_LEARNER && !m->synced);

		for (uint32_t k = 0; k < i && !skip; k++) {
			const struct member_info *o = &in->members[k];

			skip = o->data_centre == m->data_centre &&
			    is_healthy(o) && o->kind != MEMBER_JOINER &&
			    (o->kind == MEMBER_VOTER || o->synced);
		}
		n += !skip;
	}
	return n;
}

/// Number of voters wanted now: as configured, but four instead of three when
/// only two data centres are left. Acknowledged entries must then be in both.
/// Of three voters, the two in one data centre are a quorum by themselves; of
/// four voters, two in each, every quorum of three covers both.
static uint32_t
want_voters(const struct member_inputs *in)
{
	if (in->want_voters == MEMBER_THREE_VOTERS &&
	    count_data_centres(in) == 2)
		return MEMBER_FOUR_VOTERS;
	return in->want_voters;
}

/// Number of healthy voters in a data centre, not counting member `except`.
static uint32_t
voters_in(const struct member_inputs *in, uint32_t data_centre, uint32_t except)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < in->n; i++) {
		const struct member_info *m = &in->members[i];

		n += m->kind == MEMBER_VOTER && is_healthy(m) &&
		    m->id != except && m->data_centre == data_centre;
	}
	return n;
}

/// The learner to promote: a healthy, synced one in the data centre with the
/// fewest healthy voters.
///
/// @return NULL when there is none
static const struct member_info *
best_learner(const struct member_inputs *in)
{
	const struct member_info *best = NULL;
	uint32_t best_n_voters = 0;

	for (uint32_t i = 0; i < in->n; i++) {
		const struct member_info *m = &in->members[i];
		uint32_t n_voters_there;

		if (m->kind != MEMBER_LEARNER || !is_healthy(m) || !m->synced)
			continue;
		n_voters_there = voters_in(in, m->data_centre, m->id);
		if (best == NULL || n_voters_there < best_n_voters) {
			best = m;
			best_n_voters = n_voters_there;
		}
	}
	return best;
}

/// The voter to remove first: a lost one, else one in a draining data centre,
/// else one that shares its data centre with another healthy voter. The leader
/// is never chosen for the last reason.
///
/// @param include_colocated  whether the last reason counts
/// @return NULL when there is none
static const struct member_info *
voter_to_remove(const struct member_inputs *in, bool include_colocated)
{
	const struct member_info *draining = NULL;
	const struct member_info *colocated = NULL;

	for (uint32_t i = 0; i < in->n; i++) {
		const struct member_info *m = &in->members[i];

		if (m->kind != MEMBER_VOTER)
			continue;
		if (!m->active)
			return m;
		if (m->draining)
			draining = m;
		else if (m->id != in->self &&
		    voters_in(in, m->data_centre, m->id) > 0)
			colocated = m;
	}
	if (draining != NULL || !include_colocated)
		return draining;
	return colocated;
}

/// Removal of a voter; the leader itself transfers its leadership first.
static struct member_change
remove_voter(const struct member_inputs *in, const struct member_info *m)
{
	const struct member_change transfer = { .kind = MEMBER_TRANSFER };
	const struct member_change removal = { .kind = MEMBER_REMOVE,
		.id = m->id };

	return m->id == in->self ? transfer : removal;
}

/// Whether to promote the learner: the group has too few healthy voters, or the
/// learner's data centre has none and a voter elsewhere can be removed.
static bool
should_promote(
    const struct member_inputs *in, const struct member_info *learner)
{
	const uint32_t want = want_voters(in);
	uint32_t n_voters_there;

	if (learner == NULL)
		return false;
	n_voters_there = voters_in(in, learner->data_centre, learner->id);
	if (count_voters(in, true) < want)
		return want != MEMBER_FOUR_VOTERS || n_voters_there < want / 2;
	return n_voters_there == 0 && voter_to_remove(in, true) != NULL;
}

/// Removes a draining learner or adds a healthy joiner.
static struct member_change
next_nonvoter_change(const struct member_inputs *in)
{
	const struct member_change nothing = { .kind = MEMBER_NOTHING };

	for (uint32_t i = 0; i < in->n; i++) {
		const struct member_info *m = &in->members[i];
		const struct member_change removal = { MEMBER_REMOVE, m->id };
		const struct member_change add = { MEMBER_ADD, m->id };

		if (m->kind == MEMBER_LEARNER && m->draining)
			return removal;
		if (m->kind == MEMBER_JOINER && is_healthy(m))
			return add;
	}
	return nothing;
}

/// Chooses the next single membership change towards the wanted voters, or the
/// transfer of leadership that must precede the leader's own removal. Must not
/// be called while an earlier change is in progress.
///
/// @return MEMBER_NOTHING when no change is needed or possible
struct member_change
member_next_change(const struct member_inputs *in)
{
	const uint32_t n = count_voters(in, false);
	const uint32_t want = want_voters(in);
	const struct member_info *learner = best_learner(in);
	const struct member_info *removable;
	struct member_change promote = { .kind = MEMBER_PROMOTE };

	if (should_promote(in, learner)) {
		promote.id = learner->id;
		return promote;
	}
	removable = voter_to_remove(in, n > want && want != MEMBER_FOUR_VOTERS);
	if (removable != NULL && n > want)
		return remove_voter(in, removable);
	// No learner can replace a draining voter: remove it before it is
	// lost, so that the quorum shrinks with the group.
	if (removable != NULL && removable->draining && removable->active &&
	    n > MEMBER_MIN_VOTERS)
		return remove_voter(in, removable);
	return next_nonvoter_change(in);
}
