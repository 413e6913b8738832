#include "fleet/listview.h"

#include "base/timerq.h"
#include "fleet/listrev.h"

/// Share of the largest age that is kept at each renewal.
#define AGE_DECAY 0.95
/// An older list is that of an outage, and not usual.
#define USUAL_MOST_US (3 * USEC_PER_SEC)
/// Readings are further apart. Smaller differences are those of the delays of
/// messages about one reading.
#define SAME_READING_US (100 * USEC_PER_MSEC)
/// A list is old when its age is this many times the usual one.
#define OLD_FACTOR 2
/// Bound on what a large list is allowed, in times of a small one.
#define OLD_MOST 2

/// Whether changes lead from the list to the update's revision. Those of a
/// revision with a digest may be tried on any list: they are the newest state
/// of the servers, and listview_end() sees what is missing. Others follow a
/// revision of the same process.
static bool
follows(
    const struct listview *v, uint64_t source, const struct feedmsg_update *u)
{
	if (v->revision == 0)
		return false;
	return v->has_digest ||
	    (source == v->source && u->since <= v->revision &&
		v->revision < u->revision);
}

static bool
is_same(
    const struct listview *v, uint64_t source, const struct feedmsg_update *u)
{
	if (v->revision == 0)
		return false;
	return v->has_digest
	    ? listrev_digest(u->revision) == v->digest
	    : source == v->source && u->revision == v->revision;
}

/// Whether an update was overtaken by what the list has. Numbers of revisions
/// grow at one process; lists of two processes compare by their age.
static bool
is_older(const struct listview *v, uint64_t source, uint64_t fresh_us,
    const struct feedmsg_update *u)
{
	if (v->fresh_us == 0 || v->revision == 0)
		return false;
	if (source == v->source)
		return listrev_number(u->revision) <
		    listrev_number(v->revision);
	return fresh_us <= v->fresh_us;
}

static void
renew(struct listview *v, uint64_t fresh_us, uint64_t now_us)
{
	const uint64_t decayed =
	    (uint64_t)((double)v->usual_age_us * AGE_DECAY);
	const uint64_t last_us = v->fresh_us;
	uint64_t age_us;

	if (fresh_us <= last_us)
		return;
	v->fresh_us = fresh_us;
	if (last_us != 0 && fresh_us - last_us < SAME_READING_US)
		return;
	age_us = last_us == 0 ? 0 : now_us - last_us;
	v->usual_age_us =
	    age_us > decayed && age_us < USUAL_MOST_US ? age_us : decayed;
}

/// Says what to do with an update. After LISTVIEW_CHANGE and LISTVIEW_REPLACE
/// the caller applies it with listview_set() and calls listview_end().
///
/// @param source    incarnation of the process that sent it
/// @param fresh_us  when the platform was asked for its list, by our clock
enum listview_action
listview_begin(struct listview *v, uint64_t source, uint64_t fresh_us,
    uint64_t now_us, const struct feedmsg_update *u)
{
	if (u->revision == 0)
		return LISTVIEW_IGNORE;
	if (is_same(v, source, u)) {
		renew(v, fresh_us, now_us);
		v->source = source;
		v->revision = u->revision;
		return LISTVIEW_KEEP;
	}
	if (is_older(v, source, fresh_us, u))
		return LISTVIEW_IGNORE;
	if (u->since == 0)
		return LISTVIEW_REPLACE;
	return follows(v, source, u) ? LISTVIEW_CHANGE : LISTVIEW_IGNORE;
}

/// A server is added, replaced or removed.
///
/// @param before  NULL: it is added
/// @param after   NULL: it is removed
void
listview_set(struct listview *v, const struct instance *before,
    const struct instance *after)
{
	if (before != NULL)
		v->digest -= listrev_digest_of(before);
	if (after != NULL)
		v->digest += listrev_digest_of(after);
}

/// The update is applied.
///
/// @return false when servers are missing or left over: listview_fill_ask()
///         asks for the whole list
bool
listview_end(struct listview *v, uint64_t source, uint64_t fresh_us,
    uint64_t now_us, const struct feedmsg_update *u)
{
	const bool matches = v->digest == listrev_digest(u->revision);
	const bool complete = u->since == 0 || !v->has_digest || matches;

	if (u->since == 0)
		v->has_digest = matches;
	renew(v, fresh_us, now_us);
	v->source = source;
	v->revision = complete ? u->revision : 0;
	return complete;
}

/// The list was replaced by one that this process has read itself.
void
listview_end_reading(struct listview *v, uint64_t fresh_us, uint64_t now_us)
{
	renew(v, fresh_us, now_us);
	v->source = 0;
	v->has_digest = true;
	v->revision = listrev_make(1, v->digest);
}

/// The age from which the list counts as old. Large lists take long to be read,
/// so that all processes' lists are older than small ones; another process then
/// has no newer one.
///
/// @param least_us  of small lists; at most twice this is returned
uint64_t
listview_old_us(const struct listview *v, uint64_t least_us)
{
	const uint64_t usual_us = OLD_FACTOR * v->usual_age_us;

	if (usual_us <= least_us)
		return least_us;
	return usual_us < OLD_MOST * least_us ? usual_us : OLD_MOST * least_us;
}

/// Fills in what an ask says of the list.
void
listview_fill_ask(
    const struct listview *v, uint64_t now_us, struct feedmsg_ask *ask)
{
	ask->revision = v->revision;
	ask->reads_compact = true;
	ask->list_age_us = v->fresh_us == 0 || v->revision == 0
	    ? FEEDMSG_NO_LIST
	    : now_us - v->fresh_us;
}
