#include "fleet/hosttable.h"

#include <stdlib.h>
#include <string.h>

#include "fleet/slotaddr.h"

struct known_host {
	char host[INSTANCE_HOST_BYTES];
	bool told; ///< else the slot is assumed
};

struct hosttable {
	char own[INSTANCE_HOST_BYTES];
	GHashTable *hosts; ///< slot -> struct known_host
};

/// Makes an empty table.
///
/// @param own  its owner's address; gives the first byte of implied ones
struct hosttable *
hosttable_new(const char *own)
{
	struct hosttable *t = g_new0(struct hosttable, 1);

	(void)g_strlcpy(t->own, own, sizeof(t->own));
	t->hosts =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
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

static const struct known_host *
find(const struct hosttable *t, uint32_t slot)
{
	return g_hash_table_lookup(t->hosts, GUINT_TO_POINTER(slot));
}

static void
put(struct hosttable *t, uint32_t slot, const char *host, bool told)
{
	struct known_host *k = g_new0(struct known_host, 1);

	(void)g_strlcpy(k->host, host, sizeof(k->host));
	k->told = told;
	(void)g_hash_table_replace(t->hosts, GUINT_TO_POINTER(slot), k);
}

/// Slot of an address; 0 if none is known.
uint32_t
hosttable_slot(const struct hosttable *t, const char *host)
{
	GHashTableIter it;
	gpointer slot;
	gpointer value;

	g_hash_table_iter_init(&it, t->hosts);
	while (g_hash_table_iter_next(&it, &slot, &value)) {
		const struct known_host *k = value;

		if (strcmp(k->host, host) == 0)
			return GPOINTER_TO_UINT(slot);
	}
	return 0;
}

static gboolean
is_assumed(gpointer slot, gpointer value, gpointer host)
{
	const struct known_host *k = value;

	(void)slot;
	return !k->told && strcmp(k->host, host) == 0;
}

/// Sets the address of a slot, as its process told it.
///
/// @return whether another address was used for the slot until now
bool
hosttable_set(struct hosttable *t, uint32_t slot, const char *host)
{
	char used[INSTANCE_HOST_BYTES];

	hosttable_get(t, slot, used);
	(void)g_hash_table_foreach_remove(t->hosts, is_assumed, (char *)host);
	put(t, slot, host, true);
	return strcmp(used, host) != 0;
}

/// Forgets the address of a slot.
void
hosttable_forget(struct hosttable *t, uint32_t slot)
{
	(void)g_hash_table_remove(t->hosts, GUINT_TO_POINTER(slot));
}

/// Whether no address is known for a slot, not even an assumed one.
bool
hosttable_is_free(const struct hosttable *t, uint32_t slot)
{
	return find(t, slot) == NULL;
}

/// Finds the slot of an address, or assumes one that no other address has.
///
/// @return 0 if `host` isn't an IPv4 address, or others have all its slots
uint32_t
hosttable_assume(struct hosttable *t, const char *host)
{
	uint32_t slot = hosttable_slot(t, host);

	for (uint32_t i = 0; slot == 0 && i < SLOTADDR_CHOICES; i++) {
		slot = slotaddr_choice(host, i);
		if (slot == 0)
			return 0;
		if (find(t, slot) == NULL)
			put(t, slot, host, false);
		else
			slot = 0;
	}
	return slot;
}

static int
compare_hosts(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/// Assumes the slots of seeds. Processes that know nothing else and have the
/// same seeds assume the same ones, whatever the order of the seeds.
void
hosttable_assume_seeds(
    struct hosttable *t, const struct settings_addr *seeds, uint32_t n)
{
	const char **sorted = g_new0(const char *, n);

	for (uint32_t i = 0; i < n; i++)
		sorted[i] = seeds[i].host;
	qsort(sorted, n, sizeof(*sorted), compare_hosts);
	for (uint32_t i = 0; i < n; i++)
		(void)hosttable_assume(t, sorted[i]);
	g_free(sorted);
}

/// Whether a process at `host` may have a slot: no other address has told that
/// it has it.
bool
hosttable_fits(const struct hosttable *t, uint32_t slot, const char *host)
{
	const struct known_host *k = find(t, slot);

	return k == NULL || !k->told || strcmp(k->host, host) == 0;
}

/// Address of a slot: the known one, else the implied one.
void
hosttable_get(
    const struct hosttable *t, uint32_t slot, char out[INSTANCE_HOST_BYTES])
{
	const struct known_host *k = find(t, slot);

	if (k != NULL)
		(void)g_strlcpy(out, k->host, INSTANCE_HOST_BYTES);
	else
		slotaddr_to_host(t->own, slot, out, INSTANCE_HOST_BYTES);
}

/// Whether all processes in the table derive an address from its slot, so that
/// it needn't be told.
bool
hosttable_is_implied(const struct hosttable *t, uint32_t slot, const char *host)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, t->hosts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct known_host *k = value;

		if (!slotaddr_implies(k->host, slot, host))
			return false;
	}
	return true;
}

/// The slots whose addresses were told.
///
/// @return struct hosttable_entry, to be released with g_array_unref()
GArray *
hosttable_told(const struct hosttable *t)
{
	GArray *out = g_array_new(FALSE, TRUE, sizeof(struct hosttable_entry));
	GHashTableIter it;
	gpointer slot;
	gpointer value;

	g_hash_table_iter_init(&it, t->hosts);
	while (g_hash_table_iter_next(&it, &slot, &value)) {
		const struct known_host *k = value;
		struct hosttable_entry e = { .slot = GPOINTER_TO_UINT(slot) };

		if (!k->told)
			continue;
		(void)g_strlcpy(e.host, k->host, sizeof(e.host));
		g_array_append_val(out, e);
	}
	return out;
}

/// The slots whose addresses were told and have to be told on.
///
/// @return as hosttable_told()
GArray *
hosttable_not_implied(const struct hosttable *t)
{
	GArray *out = hosttable_told(t);

	for (guint i = out->len; i > 0; i--) {
		const struct hosttable_entry *e =
		    &g_array_index(out, struct hosttable_entry, i - 1);

		if (hosttable_is_implied(t, e->slot, e->host))
			g_array_remove_index_fast(out, i - 1);
	}
	return out;
}
