#include "fleet/listdiff.h"

#include <stdlib.h>
#include <string.h>

#include "fleet/hubmsg.h"

/// Revisions whose changes are kept: gateways report theirs several times in
/// the time in which that many can be made.
#define KEPT_REVISIONS 16

struct listdiff {
	GArray *servers;   ///< struct instance, of the newest revision
	uint64_t revision; ///< 0: no list yet
	/// Changes that lead to the last revisions, struct hubmsg_server; the
	/// newest is the last.
	GPtrArray *changes;
	/// Encoded updates of the newest revision, by the revision that they
	/// follow (0: the whole list).
	GHashTable *encoded;
};

static void
unref_changes(gpointer p)
{
	g_array_unref(p);
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
	d->changes = g_ptr_array_new_with_free_func(unref_changes);
	d->encoded = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, unref_bytes);
	return d;
}

/// Releases a history; NULL is allowed.
void
listdiff_free(struct listdiff *d)
{
	if (d == NULL)
		return;
	g_array_unref(d->servers);
	g_ptr_array_unref(d->changes);
	g_hash_table_destroy(d->encoded);
	g_free(d);
}

/// Drops the list and its history.
void
listdiff_reset(struct listdiff *d)
{
	d->revision = 0;
	g_array_set_size(d->servers, 0);
	g_ptr_array_set_size(d->changes, 0);
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

static bool
is_same(const struct instance *a, const struct instance *b)
{
	return strcmp(a->service, b->service) == 0 &&
	    strcmp(a->zone, b->zone) == 0 &&
	    strcmp(a->version, b->version) == 0 &&
	    strcmp(a->host, b->host) == 0 && a->port == b->port &&
	    a->slots == b->slots && a->draining == b->draining &&
	    a->spot == b->spot && is_same_cold(a, b) &&
	    a->pace_percent == b->pace_percent;
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

		if (o == NULL || (!removed && !is_same(s, o)))
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

/// Sets the list as it was just read.
///
/// @param servers         struct instance; copied
/// @param first_revision  of the first list after a reset, not 0
/// @return whether it is a new revision
bool
listdiff_set(struct listdiff *d, const GArray *servers, uint64_t first_revision)
{
	GArray *changes =
	    g_array_new(FALSE, TRUE, sizeof(struct hubmsg_server));
	GHashTable *before = index_servers(d->servers);
	GArray *kept = g_array_copy((GArray *)servers);
	GHashTable *now = index_servers(kept);
	bool changed;

	keep_told(kept, before);
	add_changes(changes, kept, before, false);
	add_changes(changes, d->servers, now, true);
	g_hash_table_destroy(before);
	g_hash_table_destroy(now);
	changed = changes->len > 0 || d->revision == 0;
	g_array_unref(d->servers);
	d->servers = kept;
	if (!changed) {
		g_array_unref(changes);
		return false;
	}
	if (d->revision == 0) {
		// Nobody has the revision before the first one.
		g_array_unref(changes);
		d->revision = first_revision;
	} else {
		d->revision++;
		g_ptr_array_add(d->changes, changes);
	}
	if (d->changes->len > KEPT_REVISIONS)
		(void)g_ptr_array_remove_index(d->changes, 0);
	g_hash_table_remove_all(d->encoded);
	return true;
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

/// The newest change of each server in the last `n` revisions.
static GArray *
merge_changes(const struct listdiff *d, guint n)
{
	GArray *merged = g_array_new(FALSE, TRUE, sizeof(struct hubmsg_server));
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = d->changes->len; i > d->changes->len - n; i--) {
		const GArray *changes = g_ptr_array_index(d->changes, i - 1);

		// Within one revision a server is added or removed, not both.
		for (guint k = 0; k < changes->len; k++) {
			struct hubmsg_server *c =
			    &g_array_index(changes, struct hubmsg_server, k);

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

/// What a gateway needs to get to the newest revision.
///
/// @param has  its revision; 0: none
void
listdiff_update(struct listdiff *d, uint64_t has, struct listdiff_update *out)
{
	const uint64_t behind = d->revision - has;
	const bool known =
	    has != 0 && has <= d->revision && behind <= d->changes->len;
	const uint64_t since = known ? has : 0;
	GBytes *bytes = g_hash_table_lookup(d->encoded, &since);
	gsize len;

	*out = (struct listdiff_update){ .since = since };
	if (d->revision == 0 || has == d->revision)
		return;
	if (bytes == NULL) {
		GArray *changes =
		    known ? merge_changes(d, (guint)behind) : whole_list(d);
		uint8_t *encoded;
		size_t n;

		hubmsg_servers_encode(changes, &encoded, &n);
		bytes = g_bytes_new_with_free_func(encoded, n, free, encoded);
		(void)g_hash_table_insert(
		    d->encoded, g_memdup2(&since, sizeof(since)), bytes);
		g_array_unref(changes);
	}
	out->bytes = g_bytes_get_data(bytes, &len);
	out->len = len;
}
