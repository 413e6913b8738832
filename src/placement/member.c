#include "placement/member.h"

#include <stddef.h>

/// An announced reclaim never shrinks a group below this: what is accepted
/// stays in two data centres.
#define MEMBER_MIN_VOTERS 2
#define MEMBER_THREE 3
#define MEMBER_TWO_AND_TWO 4

static bool
is_good(const struct member_info *m)
{
	return m->active && !m->draining;
}

static uint32_t
count_voters(const struct member_inputs *w, bool good_only)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < w->n; i++) {
		const struct member_info *m = &w->members[i];

		n += m->kind == MEMBER_VOTER && (!good_only || is_good(m));
	}
	return n;
}

/// Data centres that have a good voter or a learner that could be one.
static uint32_t
count_data_centres(const struct member_inputs *w)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < w->n; i++) {
		const struct member_info *m = &w->members[i];
		bool seen = m->kind == MEMBER_JOINER || !is_good(m) ||
		    (m->kind == MEMBER_LEARNER && !m->synced);

		for (uint32_t k = 0; k < i && !seen; k++) {
			const struct member_info *o = &w->members[k];

			seen = o->data_centre == m->data_centre && is_good(o) &&
			    o->kind != MEMBER_JOINER &&
			    (o->kind == MEMBER_VOTER || o->synced);
		}
		n += !seen;
	}
	return n;
}

/// Voters wanted now. With two data centres left, two in one of them would
/// be a quorum of three, and what is accepted must be in both: of four voters,
/// two in each, every quorum of three is.
static uint32_t
want_voters(const struct member_inputs *w)
{
	if (w->want_voters == MEMBER_THREE && count_data_centres(w) == 2)
		return MEMBER_TWO_AND_TWO;
	return w->want_voters;
}

/// Good voters in a data centre, but for one member.
static uint32_t
voters_there(const struct member_inputs *w, uint32_t data_centre, uint32_t but)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < w->n; i++) {
		const struct member_info *m = &w->members[i];

		n += m->kind == MEMBER_VOTER && is_good(m) && m->id != but &&
		    m->data_centre == data_centre;
	}
	return n;
}

/// The learner to promote: one in a data centre without a good voter first.
static const struct member_info *
best_learner(const struct member_inputs *w)
{
	const struct member_info *best = NULL;
	uint32_t best_there = 0;

	for (uint32_t i = 0; i < w->n; i++) {
		const struct member_info *m = &w->members[i];
		uint32_t there;

		if (m->kind != MEMBER_LEARNER || !is_good(m) || !m->synced)
			continue;
		there = voters_there(w, m->data_centre, m->id);
		if (best == NULL || there < best_there) {
			best = m;
			best_there = there;
		}
	}
	return best;
}

/// The voter to do without: a lost one, one that leaves, or one that shares
/// its data centre with another.
static const struct member_info *
worst_voter(const struct member_inputs *w, bool also_shared)
{
	const struct member_info *draining = NULL;
	const struct member_info *shared = NULL;

	for (uint32_t i = 0; i < w->n; i++) {
		const struct member_info *m = &w->members[i];

		if (m->kind != MEMBER_VOTER)
			continue;
		if (!m->active)
			return m;
		if (m->draining)
			draining = m;
		else if (m->id != w->self &&
		    voters_there(w, m->data_centre, m->id) > 0)
			shared = m;
	}
	if (draining != NULL || !also_shared)
		return draining;
	return shared;
}

static struct member_change
remove_voter(const struct member_inputs *w, const struct member_info *m)
{
	const struct member_change transfer = { .kind = MEMBER_TRANSFER };
	const struct member_change removal = { .kind = MEMBER_REMOVE,
		.id = m->id };

	return m->id == w->self ? transfer : removal;
}

/// A promotion that replaces a voter, fills the group, or spreads it.
static bool
should_promote(const struct member_inputs *w, const struct member_info *learner)
{
	const uint32_t want = want_voters(w);
	uint32_t there;

	if (learner == NULL)
		return false;
	there = voters_there(w, learner->data_centre, learner->id);
	if (count_voters(w, true) < want)
		return want != MEMBER_TWO_AND_TWO || there < want / 2;
	return there == 0 && worst_voter(w, true) != NULL;
}

static struct member_change
tend_others(const struct member_inputs *w)
{
	const struct member_change nothing = { .kind = MEMBER_NOTHING };

	for (uint32_t i = 0; i < w->n; i++) {
		const struct member_info *m = &w->members[i];
		const struct member_change removal = { MEMBER_REMOVE, m->id };
		const struct member_change add = { MEMBER_ADD, m->id };

		if (m->kind == MEMBER_LEARNER && m->draining)
			return removal;
		if (m->kind == MEMBER_JOINER && is_good(m))
			return add;
	}
	return nothing;
}

/// The next step towards the wanted voters; one step at a time, and none
/// while the last one is under way.
struct member_change
member_next_change(const struct member_inputs *w)
{
	const uint32_t n = count_voters(w, false);
	const uint32_t want = want_voters(w);
	const struct member_info *learner = best_learner(w);
	const struct member_info *worst;
	struct member_change promote = { .kind = MEMBER_PROMOTE };

	if (should_promote(w, learner)) {
		promote.id = learner->id;
		return promote;
	}
	worst = worst_voter(w, n > want && want != MEMBER_TWO_AND_TWO);
	if (worst != NULL && n > want)
		return remove_voter(w, worst);
	// Nobody can take its place: still better gone before it dies.
	if (worst != NULL && worst->draining && worst->active &&
	    n > MEMBER_MIN_VOTERS)
		return remove_voter(w, worst);
	return tend_others(w);
}
