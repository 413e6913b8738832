#include "fleet/listcopy.h"

#include "base/logger.h"
#include "fleet/hubmsg.h"
#include "fleet/servermsg.h"

struct listcopy {
	struct listview view;
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

/// Its revision and age.
const struct listview *
listcopy_view(const struct listcopy *c)
{
	return &c->view;
}

static void
remove_server(struct listcopy *c, const char *id)
{
	const struct instance *s = g_hash_table_lookup(c->servers, id);

	if (s == NULL)
		return;
	listview_set(&c->view, s, NULL);
	(void)g_hash_table_remove(c->servers, id);
}

static void
set_server(struct listcopy *c, const struct instance *server)
{
	struct instance *s = g_memdup2(server, sizeof(*s));

	listview_set(
	    &c->view, g_hash_table_lookup(c->servers, server->id), server);
	(void)g_hash_table_replace(c->servers, s->id, s);
}

static void
apply_changes(struct listcopy *c, const GArray *changes, bool replaces)
{
	if (replaces) {
		g_hash_table_remove_all(c->servers);
		c->view.digest = 0;
	}
	for (guint i = 0; i < changes->len; i++) {
		const struct hubmsg_server *s =
		    &g_array_index(changes, struct hubmsg_server, i);

		if (s->removed)
			remove_server(c, s->instance.id);
		else
			set_server(c, &s->instance);
	}
}

/// Applies an update.
///
/// @param source    incarnation of the process that sent it
/// @param fresh_us  when the platform was asked for its list, by our clock
enum listcopy_result
listcopy_apply(struct listcopy *c, uint64_t source, uint64_t fresh_us,
    uint64_t now_us, const struct feedmsg_update *u)
{
	const enum listview_action action =
	    listview_begin(&c->view, source, fresh_us, now_us, u);
	GArray *changes;

	if (action == LISTVIEW_IGNORE)
		return LISTCOPY_UNRELATED;
	if (action == LISTVIEW_KEEP)
		return LISTCOPY_SAME;
	changes = g_array_new(FALSE, TRUE, sizeof(struct hubmsg_server));
	if (servermsg_decode(u->changes, u->len, changes) != STATUS_OK) {
		logger_event(LOGGER_WARN, "list.unreadable", "reason=\"%s\"",
		    status_last());
		g_array_unref(changes);
		return LISTCOPY_UNRELATED;
	}
	apply_changes(c, changes, action == LISTVIEW_REPLACE);
	g_array_unref(changes);
	return listview_end(&c->view, source, fresh_us, now_us, u)
	    ? LISTCOPY_CHANGED
	    : LISTCOPY_INCOMPLETE;
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
