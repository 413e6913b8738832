#include "fleet/listdiff.h"

#include <stdlib.h>
#include <string.h>

#include "base/timerq.h"
#include "fleet/hubmsg.h"
#include "fleet/listrev.h"
#include "fleet/servermsg.h"

/// Changes are kept at least as long as an outage after which the subscribers
/// come back, unless they are more than the list itself.
#define KEPT_US (60 * USEC_PER_SEC)
#define KEPT_MIN_CHANGES 1024
/// Number of the step of a subscriber that needs the whole list.
#define NO_STEP UINT32_MAX

/// A former revision, and the changes from it to the next one.
struct step {
	uint32_t digest; ///< of the former revision
	uint64_t at_us;  ///< when the next one came
	GArray *changes; ///< struct hubmsg_server
};

struct listdiff {
	GArray *servers;   ///< struct instance, of the newest revision
	GHashTable *index; ///< id -> its element of `servers`
	uint64_t revision; ///< 0: no list yet
	GPtrArray *steps;  ///< struct step; the newest is the last
	guint n_changes;   ///< in all steps
	/// Encoded updates of the newest revision, by the number of steps that
	/// they merge (0: the whole list), and the form.
	GHashTable *encoded;
};

static void
step_free(gpointer p)
{
	struct step *s = p;

	g_array_unref(s->changes);
	g_free(s);
}

static void
unref_bytes(gpointer p)
{
	g_bytes_unref(p);
}

/// Creates a history without a list, to be released with listdiff_free().
struct listdiff *
listdiff_new(void)
{
	struct listdiff *d = g_new0(struct listdiff, 1);

	d->servers = g_array_new(FALSE, TRUE, sizeof(struct instance));
	d->index = g_hash_table_new(g_str_hash, g_str_equal);
	d->steps = g_ptr_array_new_with_free_func(step_free);
	d->encoded = g_hash_table_new_full(NULL, NULL, NULL, unref_bytes);
	return d;
}

/// Releases a history; NULL is allowed.
void
listdiff_free(struct listdiff *d)
{
	if (d == NULL)
		return;
	g_hash_table_destroy(d->index);
	g_array_unref(d->servers);
	g_ptr_array_unref(d->steps);
	g_hash_table_destroy(d->encoded);
	g_free(d);
}

/// Drops the list and its history.
void
listdiff_reset(struct listdiff *d)
{
	d->revision = 0;
	g_hash_table_remove_all(d->index);
	g_array_set_size(d->servers, 0);
	g_ptr_array_set_size(d->steps, 0);
	d->n_changes = 0;
	g_hash_table_remove_all(d->encoded);
}

/// Readings of one cold time differ by the age of the platform's figures.
#define COLD_TOLERANCE_MS 1000

/// Whether a server's cold time is the one that was told. An entry that isn't
/// cold says nothing new: the end that was told passes by itself.
static bool
is_same_cold(const struct instance *now, const struct instance *told)
{
	const uint64_t a = now->cold_until_ms;
	const uint64_t b = told->cold_until_ms;

	return a == 0 || MAX(a, b) - MIN(a, b) <= COLD_TOLERANCE_MS;
}

static GHashTable *
index_servers(const GArray *servers)
{
	GHashTable *index = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < servers->len; i++) {
		struct instance *s =
		    &g_array_index(servers, struct instance, i);

		(void)g_hash_table_insert(index, s->id, s);
	}
	return index;
}

/// Appends the servers of one list that another list lacks or, unless they are
/// removed ones, shows with other properties.
static void
add_changes(
    GArray *changes, const GArray *servers, GHashTable *other, bool removed)
{
	for (guint i = 0; i < servers->len; i++) {
		const struct instance *s =
		    &g_array_index(servers, struct instance, i);
		const struct instance *o = g_hash_table_lookup(other, s->id);
		const struct hubmsg_server change = { .instance = *s,
			.removed = removed };

		if (o == NULL || (!removed && !listrev_same(s, o)))
			g_array_append_val(changes, change);
	}
}

/// Keeps the ends of cold times and the paces that were told, where a reading
/// shows nothing else.
static void
keep_told(GArray *servers, GHashTable *before)
{
	for (guint i = 0; i < servers->len; i++) {
		struct instance *s =
		    &g_array_index(servers, struct instance, i);
		const struct instance *told =
		    g_hash_table_lookup(before, s->id);

		if (told == NULL)
			continue;
		if (is_same_cold(s, told))
			s->cold_until_ms = told->cold_until_ms;
		if (s->pace_percent == 0)
			s->pace_percent = told->pace_percent;
	}
}

static uint32_t
digest_of(const GArray *servers)
{
	uint32_t digest = 0;

	for (guint i = 0; i < servers->len; i++)
		digest += listrev_digest_of(
		    &g_array_index(servers, struct instance, i));
	return digest;
}

/// The changes that lead to a list.
static GArray *
changes_to(const struct listdiff *d, const GArray *servers, GHashTable *index)
{
	GArray *changes =
	    g_array_new(FALSE, TRUE, sizeof(struct hubmsg_server));

	add_changes(changes, servers, d->index, false);
	add_changes(changes, d->servers, index, true);
	return changes;
}

/// Drops the oldest steps: those that are too old, and those that would make an
/// update larger than the list.
static void
prune_steps(struct listdiff *d, uint64_t now_us)
{
	const guint most = MAX(KEPT_MIN_CHANGES, d->servers->len);

	while (d->steps->len > 0) {
		const struct step *s = g_ptr_array_index(d->steps, 0);

		if (now_us <= s->at_us + KEPT_US && d->n_changes <= most)
			return;
		d->n_changes -= s->changes->len;
		(void)g_ptr_array_remove_index(d->steps, 0);
	}
}

static void
add_step(struct listdiff *d, GArray *changes, uint64_t now_us)
{
	struct step *s = g_new0(struct step, 1);

	s->digest = listrev_digest(d->revision);
	s->at_us = now_us;
	s->changes = changes;
	d->n_changes += changes->len;
	g_ptr_array_add(d->steps, s);
}

/// Sets the list as it was just read, or came from another process.
///
/// @param servers  struct instance; copied
/// @param number   least number of the revision; that of the other process's, 0
///                 for an own reading
/// @return whether it is a new revision
bool
listdiff_set(
    struct listdiff *d, const GArray *servers, uint64_t number, uint64_t now_us)
{
	const bool is_first = d->revision == 0;
	GArray *copy = g_array_copy((GArray *)servers);
	GHashTable *index;
	uint32_t digest;

	if (number == 0)
		keep_told(copy, d->index);
	digest = digest_of(copy);
	if (!is_first && digest == listrev_digest(d->revision) &&
	    servers->len == d->servers->len) {
		g_array_unref(copy);
		return false;
	}
	index = index_servers(copy);
	// Nobody has the revision before the first one.
	if (!is_first)
		add_step(d, changes_to(d, copy, index), now_us);
	g_hash_table_destroy(d->index);
	g_array_unref(d->servers);
	d->index = index;
	d->servers = copy;
	d->revision =
	    listrev_make(MAX(number, listrev_number(d->revision) + 1), digest);
	prune_steps(d, now_us);
	g_hash_table_remove_all(d->encoded);
	return true;
}

/// Marks listed servers as draining before a reading is complete.
///
/// @param servers  as a page of the reading shows them; those that aren't
///                 draining, or aren't listed yet, are left out
/// @return whether it is a new revision
bool
listdiff_drain(struct listdiff *d, const struct instance *servers, guint n,
    uint64_t now_us)
{
	GArray *list = NULL;
	bool changed;

	for (guint i = 0; i < n; i++) {
		const struct instance *s =
		    g_hash_table_lookup(d->index, servers[i].id);
		gsize at;

		if (!servers[i].draining || s == NULL || s->draining)
			continue;
		at = (gsize)(s -
		    &g_array_index(d->servers, const struct instance, 0));
		if (list == NULL)
			list = g_array_copy(d->servers);
		g_array_index(list, struct instance, at).draining = true;
	}
	if (list == NULL)
		return false;
	changed = listdiff_set(d, list, 0, now_us);
	g_array_unref(list);
	return changed;
}

/// The newest list; struct instance.
const GArray *
listdiff_servers(const struct listdiff *d)
{
	return d->servers;
}

/// Revision of the newest list, 0 if there is none.
uint64_t
listdiff_revision(const struct listdiff *d)
{
	return d->revision;
}

/// The newest change of each server in the last `n` steps.
static GArray *
merge_changes(const struct listdiff *d, guint n)
{
	GArray *merged = g_array_new(FALSE, TRUE, sizeof(struct hubmsg_server));
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = d->steps->len; i > d->steps->len - n; i--) {
		const struct step *s = g_ptr_array_index(d->steps, i - 1);

		// Within one step a server is added or removed, not both.
		for (guint k = 0; k < s->changes->len; k++) {
			struct hubmsg_server *c =
			    &g_array_index(s->changes, struct hubmsg_server, k);

			if (g_hash_table_add(seen, c->instance.id))
				g_array_append_val(merged, *c);
		}
	}
	g_hash_table_destroy(seen);
	return merged;
}

static GArray *
whole_list(const struct listdiff *d)
{
	GArray *all = g_array_new(FALSE, TRUE, sizeof(struct hubmsg_server));

	for (guint i = 0; i < d->servers->len; i++) {
		const struct hubmsg_server s = { .instance =
						     g_array_index(d->servers,
							 struct instance, i) };

		g_array_append_val(all, s);
	}
	return all;
}

/// Steps from a revision to the newest one; NO_STEP if it isn't kept.
static guint
steps_since(const struct listdiff *d, uint64_t revision)
{
	const uint32_t digest = listrev_digest(revision);

	if (revision == 0 || d->revision == 0)
		return NO_STEP;
	if (digest == listrev_digest(d->revision))
		return 0;
	for (guint i = d->steps->len; i > 0; i--) {
		const struct step *s = g_ptr_array_index(d->steps, i - 1);

		if (s->digest == digest)
			return d->steps->len - i + 1;
	}
	return NO_STEP;
}

/// Whether a revision, of whatever process, is the newest one or leads to it by
/// kept changes.
bool
listdiff_knows(const struct listdiff *d, uint64_t revision)
{
	return steps_since(d, revision) != NO_STEP;
}

/// What a gateway needs to get to the newest revision.
///
/// @param has      its revision; 0: none
/// @param compact  the gateway can read the compact form of servers
void
listdiff_update(
    struct listdiff *d, uint64_t has, bool compact, struct listdiff_update *out)
{
	const guint n = steps_since(d, has);
	const bool is_whole = n == NO_STEP;
	const gpointer key =
	    GUINT_TO_POINTER((is_whole ? 0 : n) << 1 | compact);
	GBytes *bytes = g_hash_table_lookup(d->encoded, key);
	gsize len;

	*out = (struct listdiff_update){ .since = is_whole ? 0 : has };
	if (d->revision == 0 || n == 0)
		return;
	if (bytes == NULL) {
		GArray *changes =
		    is_whole ? whole_list(d) : merge_changes(d, n);
		uint8_t *encoded;
		size_t size;

		if (compact)
			servermsg_encode(changes, &encoded, &size);
		else
			hubmsg_servers_encode(changes, &encoded, &size);
		bytes =
		    g_bytes_new_with_free_func(encoded, size, free, encoded);
		(void)g_hash_table_insert(d->encoded, key, bytes);
		g_array_unref(changes);
	}
	out->bytes = g_bytes_get_data(bytes, &len);
	out->len = len;
}
