#include "fleet/crashlog.h"

#include <string.h>

#include "base/timerq.h"

/// Reports of a server's crash by several gateways differ by less than this in
/// the time that they state; a server that is started again at once may crash
/// again after it.
#define CRASH_MERGE_US (400 * USEC_PER_MSEC)
/// Servers of a service that crash within this time crash together. A part is
/// suspected only if it was in flight at all of them: many servers crash
/// together when a data centre is lost.
#define CRASH_TOGETHER_US (100 * USEC_PER_MSEC)
/// Crashes that come closer to each other don't count as separate.
#define CRASH_SEPARATE_US (500 * USEC_PER_MSEC)
#define CRASH_RETENTION_US (600 * USEC_PER_SEC)
#define MAX_CRASHES 256
#define MAX_PARTS_PER_CRASH 512

/// The crash of a server.
struct crash {
	uint64_t at_us;
	char server[FLEETCFG_NAME_BYTES];
	char service[FLEETCFG_NAME_BYTES];
	GArray *in_flight; ///< struct crashlog_in_flight
};

struct crashlog {
	GPtrArray *crashes;   ///< struct crash, in the order of their times
	GHashTable *answered; ///< struct crashlog_part -> time, guint64
	GHashTable *services; ///< service -> time of its last complete answer
};

static guint
part_hash(gconstpointer p)
{
	const struct crashlog_part *part = p;

	return g_str_hash(part->service) ^ (guint)part->id ^
	    (guint)(part->id >> 32);
}

static gboolean
part_equal(gconstpointer a, gconstpointer b)
{
	const struct crashlog_part *x = a;
	const struct crashlog_part *y = b;

	return x->id == y->id && strcmp(x->service, y->service) == 0;
}

static void
crash_free(gpointer p)
{
	struct crash *crash = p;

	g_array_unref(crash->in_flight);
	g_free(crash);
}

/// Creates an empty log, to be released with crashlog_free().
struct crashlog *
crashlog_new(void)
{
	struct crashlog *c = g_new0(struct crashlog, 1);

	c->crashes = g_ptr_array_new_with_free_func(crash_free);
	c->answered =
	    g_hash_table_new_full(part_hash, part_equal, g_free, g_free);
	c->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return c;
}

/// Releases a log; NULL is allowed.
void
crashlog_free(struct crashlog *c)
{
	if (c == NULL)
		return;
	g_ptr_array_unref(c->crashes);
	g_hash_table_destroy(c->answered);
	g_hash_table_destroy(c->services);
	g_free(c);
}

/// Drops all evidence.
void
crashlog_reset(struct crashlog *c)
{
	g_ptr_array_set_size(c->crashes, 0);
	g_hash_table_remove_all(c->answered);
	g_hash_table_remove_all(c->services);
}

/// Number of crashes that aren't explained.
size_t
crashlog_count(const struct crashlog *c)
{
	return c->crashes->len;
}

static struct crash *
crash_at(const struct crashlog *c, guint i)
{
	return g_ptr_array_index(c->crashes, i);
}

static gboolean
is_older(gpointer key, gpointer value, gpointer limit)
{
	(void)key;
	return *(const guint64 *)value < *(const guint64 *)limit;
}

static void
drop_old(struct crashlog *c, uint64_t now_us)
{
	const guint64 limit =
	    now_us > CRASH_RETENTION_US ? now_us - CRASH_RETENTION_US : 0;

	while (c->crashes->len > MAX_CRASHES ||
	    (c->crashes->len > 0 && crash_at(c, 0)->at_us < limit))
		(void)g_ptr_array_remove_index(c->crashes, 0);
	(void)g_hash_table_foreach_remove(
	    c->answered, is_older, (gpointer)&limit);
}

/// The crash that a report at `at_us` is about; a new one if there is none yet.
static struct crash *
find_or_add_crash(
    struct crashlog *c, uint64_t at_us, const char *server, const char *service)
{
	struct crash *new;
	guint i = c->crashes->len;

	for (guint k = 0; k < c->crashes->len; k++) {
		struct crash *crash = crash_at(c, k);
		const uint64_t apart_us = crash->at_us > at_us
		    ? crash->at_us - at_us
		    : at_us - crash->at_us;

		if (apart_us < CRASH_MERGE_US &&
		    strcmp(crash->server, server) == 0)
			return crash;
	}
	new = g_new0(struct crash, 1);
	new->at_us = at_us;
	(void)g_strlcpy(new->server, server, sizeof(new->server));
	(void)g_strlcpy(new->service, service, sizeof(new->service));
	new->in_flight =
	    g_array_new(FALSE, TRUE, sizeof(struct crashlog_in_flight));
	while (i > 0 && crash_at(c, i - 1)->at_us > at_us)
		i--;
	g_ptr_array_insert(c->crashes, (gint)i, new);
	return new;
}

static struct crashlog_in_flight *
find_in_flight(const struct crash *crash, uint64_t id)
{
	for (guint i = 0; i < crash->in_flight->len; i++) {
		struct crashlog_in_flight *p = &g_array_index(
		    crash->in_flight, struct crashlog_in_flight, i);

		if (p->id == id)
			return p;
	}
	return NULL;
}

/// Records a report of a server's crash. Reports of the same crash by several
/// gateways, or repeated ones, are merged.
///
/// @param at_us      when it crashed
/// @param service    of the server
/// @param in_flight  struct crashlog_in_flight: parts of the prompts that the
///                   reporting gateway had in flight there
void
crashlog_add(struct crashlog *c, uint64_t at_us, const char *server,
    const char *service, const GArray *in_flight)
{
	struct crash *crash = find_or_add_crash(c, at_us, server, service);

	for (guint i = 0; i < in_flight->len; i++) {
		const struct crashlog_in_flight *p =
		    &g_array_index(in_flight, struct crashlog_in_flight, i);

		if (crash->in_flight->len < MAX_PARTS_PER_CRASH &&
		    find_in_flight(crash, p->id) == NULL)
			g_array_append_val(crash->in_flight, *p);
	}
	drop_old(c, at_us);
}

/// Sets the time of a key, which is copied, if it is later than the known one.
static void
advance(GHashTable *times, gconstpointer key, size_t key_bytes, uint64_t at_us)
{
	guint64 *known = g_hash_table_lookup(times, key);

	if (known == NULL) {
		known = g_new0(guint64, 1);
		(void)g_hash_table_insert(
		    times, g_memdup2(key, key_bytes), known);
	}
	*known = MAX(*known, at_us);
}

/// Records that a prompt with this part was answered completely at `at_us`: the
/// part isn't suspected for earlier crashes.
void
crashlog_on_answered(
    struct crashlog *c, const struct crashlog_part *part, uint64_t at_us)
{
	advance(c->answered, part, sizeof(*part), at_us);
}

/// Records that a service answered some prompt completely at `at_us`.
void
crashlog_on_service_answered(
    struct crashlog *c, const char *service, uint64_t at_us)
{
	advance(c->services, service, strlen(service) + 1, at_us);
}

/// Removes the crashes that a part is to blame for, so that no other part is
/// suspected for them.
void
crashlog_explain(struct crashlog *c, const struct crashlog_part *part)
{
	for (guint i = c->crashes->len; i > 0; i--) {
		const struct crash *crash = crash_at(c, i - 1);

		if (strcmp(crash->service, part->service) == 0 &&
		    find_in_flight(crash, part->id) != NULL)
			(void)g_ptr_array_remove_index(c->crashes, i - 1);
	}
}

/// A suspect, and the time of the last crash in its `n_separate`.
struct tally {
	struct crashlog_suspect suspect;
	uint64_t separate_us;
};

/// Servers of one service that crashed together.
struct crash_group {
	const struct crash *first;
	GPtrArray *crashes; ///< struct crash
};

/// Collects the crashes that came together with that at index `i`, and marks
/// them as taken.
static void
collect_group(
    const struct crashlog *c, guint i, bool *taken, struct crash_group *out)
{
	out->first = crash_at(c, i);
	g_ptr_array_set_size(out->crashes, 0);
	for (; i < c->crashes->len; i++) {
		struct crash *crash = crash_at(c, i);

		if (crash->at_us >= out->first->at_us + CRASH_TOGETHER_US)
			return;
		if (taken[i] ||
		    strcmp(crash->service, out->first->service) != 0)
			continue;
		taken[i] = true;
		g_ptr_array_add(out->crashes, crash);
	}
}

static bool
in_flight_at_all(const struct crash_group *group, uint64_t id)
{
	for (guint i = 0; i < group->crashes->len; i++) {
		if (find_in_flight(g_ptr_array_index(group->crashes, i), id) ==
		    NULL)
			return false;
	}
	return true;
}

/// Adds a group of crashes to a part's tally, unless the part was answered
/// since.
static void
tally_group(const struct crashlog *c, const struct crash_group *group,
    const struct crashlog_in_flight *in_flight, GHashTable *tallies)
{
	const struct crash *first = group->first;
	const guint64 *service =
	    g_hash_table_lookup(c->services, first->service);
	struct crashlog_part part = { .id = in_flight->id };
	const guint64 *answered;
	struct tally *t;

	(void)g_strlcpy(part.service, first->service, sizeof(part.service));
	answered = g_hash_table_lookup(c->answered, &part);
	if (answered != NULL && *answered >= first->at_us)
		return;
	t = g_hash_table_lookup(tallies, &part);
	if (t == NULL) {
		t = g_new0(struct tally, 1);
		t->suspect.part = part;
		t->suspect.answered_us = answered != NULL ? *answered : 0;
		t->suspect.service_answers =
		    service != NULL && *service > first->at_us;
		(void)g_hash_table_insert(tallies, &t->suspect.part, t);
	}
	t->suspect.position = in_flight->position;
	t->suspect.n_crashes += group->crashes->len;
	if (t->suspect.n_separate > 0 &&
	    first->at_us < t->separate_us + CRASH_SEPARATE_US)
		return;
	t->suspect.n_separate++;
	t->separate_us = first->at_us;
}

/// Adds all crashes to the tallies of the parts that were in flight.
static void
tally_all(const struct crashlog *c, GHashTable *tallies)
{
	struct crash_group group = { .crashes = g_ptr_array_new() };
	bool *taken = g_new0(bool, c->crashes->len);

	for (guint i = 0; i < c->crashes->len; i++) {
		if (taken[i])
			continue;
		collect_group(c, i, taken, &group);
		for (guint k = 0; k < group.first->in_flight->len; k++) {
			const struct crashlog_in_flight *p =
			    &g_array_index(group.first->in_flight,
				struct crashlog_in_flight, k);

			if (in_flight_at_all(&group, p->id))
				tally_group(c, &group, p, tallies);
		}
	}
	g_free(taken);
	g_ptr_array_unref(group.crashes);
}

/// Orders suspects: in more crashes, longer without an answer, then later in
/// the prompt, where a part is in fewer prompts.
static gint
by_suspicion(gconstpointer a, gconstpointer b)
{
	const struct crashlog_suspect *x = a;
	const struct crashlog_suspect *y = b;

	if (x->n_crashes != y->n_crashes)
		return x->n_crashes > y->n_crashes ? -1 : 1;
	if (x->answered_us != y->answered_us)
		return x->answered_us < y->answered_us ? -1 : 1;
	if (x->position != y->position)
		return x->position > y->position ? -1 : 1;
	return x->part.id < y->part.id ? -1 : x->part.id > y->part.id;
}

/// The parts that are suspected for at least `min_separate` separate crashes.
///
/// @return struct crashlog_suspect, the strongest suspicion first; to be
///         released with g_array_unref()
GArray *
crashlog_suspects(const struct crashlog *c, uint32_t min_separate)
{
	GHashTable *tallies =
	    g_hash_table_new_full(part_hash, part_equal, NULL, g_free);
	GArray *out = g_array_new(FALSE, TRUE, sizeof(struct crashlog_suspect));
	GHashTableIter it;
	gpointer value;

	tally_all(c, tallies);
	g_hash_table_iter_init(&it, tallies);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct tally *t = value;

		if (t->suspect.n_separate >= min_separate)
			g_array_append_val(out, t->suspect);
	}
	g_array_sort(out, by_suspicion);
	g_hash_table_destroy(tallies);
	return out;
}
