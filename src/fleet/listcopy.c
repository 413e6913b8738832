#include "fleet/listcopy.h"

#include "base/logger.h"
#include "fleet/hubmsg.h"

struct listcopy {
	uint64_t source;     ///< run of the process that the list is from
	uint64_t revision;   ///< 0: no list yet
	GHashTable *servers; ///< id -> struct instance
};

/// Creates a copy without a list, to be released with listcopy_free().
struct listcopy *
listcopy_new(void)
{
	struct listcopy *c = g_new0(struct listcopy, 1);

	c->servers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	return c;
}

/// Releases a copy; NULL is allowed.
void
listcopy_free(struct listcopy *c)
{
	if (c == NULL)
		return;
	g_hash_table_destroy(c->servers);
	g_free(c);
}

/// Revision of the list that is held from a source; 0: none.
///
/// @param source  incarnation of the process
uint64_t
listcopy_revision(const struct listcopy *c, uint64_t source)
{
	return c->source == source ? c->revision : 0;
}

static void
apply_change(struct listcopy *c, const struct hubmsg_server *change)
{
	struct instance *s;

	if (change->removed) {
		(void)g_hash_table_remove(c->servers, change->instance.id);
		return;
	}
	s = g_memdup2(&change->instance, sizeof(*s));
	(void)g_hash_table_replace(c->servers, s->id, s);
}

/// Applies an update. Changes hold the newest state of each server that changed
/// since a revision, so that those from an older one lead to the same list.
///
/// @param source  incarnation of the process that sent it
enum listcopy_result
listcopy_apply(
    struct listcopy *c, uint64_t source, const struct feedmsg_update *u)
{
	const uint64_t has = listcopy_revision(c, source);
	GArray *changes;

	if (u->revision == 0)
		return LISTCOPY_UNRELATED;
	if (u->revision == has)
		return LISTCOPY_SAME;
	if (u->since != 0 && (u->since > has || has > u->revision))
		return LISTCOPY_UNRELATED;
	changes = g_array_new(FALSE, TRUE, sizeof(struct hubmsg_server));
	if (hubmsg_servers_decode(u->changes, u->len, changes) != STATUS_OK) {
		logger_event(LOGGER_WARN, "list.unreadable", "reason=\"%s\"",
		    status_last());
		g_array_unref(changes);
		return LISTCOPY_UNRELATED;
	}
	if (u->since == 0)
		g_hash_table_remove_all(c->servers);
	for (guint i = 0; i < changes->len; i++)
		apply_change(
		    c, &g_array_index(changes, struct hubmsg_server, i));
	g_array_unref(changes);
	c->source = source;
	c->revision = u->revision;
	return LISTCOPY_CHANGED;
}

/// The servers of the list.
///
/// @return struct instance, to be released with g_array_unref()
GArray *
listcopy_servers(const struct listcopy *c)
{
	GArray *servers = g_array_new(FALSE, TRUE, sizeof(struct instance));
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->servers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		g_array_append_vals(servers, value, 1);
	return servers;
}
