#include "fleet/hosttable.h"

#include <string.h>

#include "fleet/slotaddr.h"

struct hosttable {
	char own[INSTANCE_HOST_BYTES];
	GHashTable *hosts; ///< slot -> address
};

/// Makes a table that knows its owner's address.
struct hosttable *
hosttable_new(const char *own)
{
	struct hosttable *t = g_new0(struct hosttable, 1);

	(void)g_strlcpy(t->own, own, sizeof(t->own));
	t->hosts =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	(void)hosttable_set(t, slotaddr_from_host(own), own);
	return t;
}

/// Releases a table; NULL is allowed.
void
hosttable_free(struct hosttable *t)
{
	if (t == NULL)
		return;
	g_hash_table_destroy(t->hosts);
	g_free(t);
}

/// Sets the address of a slot.
///
/// @return whether another one was used for it until now
bool
hosttable_set(struct hosttable *t, uint32_t slot, const char *host)
{
	char used[INSTANCE_HOST_BYTES];

	hosttable_get(t, slot, used);
	(void)g_hash_table_replace(
	    t->hosts, GUINT_TO_POINTER(slot), g_strdup(host));
	return strcmp(used, host) != 0;
}

/// Whether a process may have a slot: its address is the known one, or none is
/// known.
bool
hosttable_fits(const struct hosttable *t, uint32_t slot, const char *host)
{
	const char *known =
	    g_hash_table_lookup(t->hosts, GUINT_TO_POINTER(slot));

	return known == NULL || strcmp(known, host) == 0;
}

/// Address of a slot: the known one, else the implied one.
void
hosttable_get(
    const struct hosttable *t, uint32_t slot, char out[INSTANCE_HOST_BYTES])
{
	const char *known =
	    g_hash_table_lookup(t->hosts, GUINT_TO_POINTER(slot));

	if (known != NULL)
		(void)g_strlcpy(out, known, INSTANCE_HOST_BYTES);
	else
		slotaddr_to_host(t->own, slot, out, INSTANCE_HOST_BYTES);
}

/// Whether all processes in the table derive an address from its slot, so that
/// it needn't be told.
bool
hosttable_is_implied(const struct hosttable *t, const char *host)
{
	GHashTableIter it;
	gpointer known;

	g_hash_table_iter_init(&it, t->hosts);
	while (g_hash_table_iter_next(&it, NULL, &known)) {
		if (!slotaddr_is_implied(known, host))
			return false;
	}
	return true;
}

/// The slots whose addresses have to be told.
///
/// @return struct hosttable_entry, to be released with g_array_unref()
GArray *
hosttable_not_implied(const struct hosttable *t)
{
	GArray *out = g_array_new(FALSE, TRUE, sizeof(struct hosttable_entry));
	GHashTableIter it;
	gpointer slot;
	gpointer host;

	g_hash_table_iter_init(&it, t->hosts);
	while (g_hash_table_iter_next(&it, &slot, &host)) {
		struct hosttable_entry e = { .slot = GPOINTER_TO_UINT(slot) };

		if (hosttable_is_implied(t, host))
			continue;
		(void)g_strlcpy(e.host, host, sizeof(e.host));
		g_array_append_val(out, e);
	}
	return out;
}
