#include "state/liveness.h"

#include <glib.h>

/// What earlier lists showed of one name.
struct seen {
	uint64_t incarnation; ///< of the server at the last list
	enum liveness_state last;
	bool was_draining; ///< "leaving" since before this incarnation
	bool shown;        ///< since it leaves: in the list
	bool gone;         ///< after that: not in the list
};

struct liveness {
	GHashTable *seen; ///< name -> struct seen
};

/// Starts without memory of any list.
struct liveness *
liveness_new(void)
{
	struct liveness *l = g_new0(struct liveness, 1);

	l->seen =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return l;
}

/// Releases the memory of lists; NULL is allowed.
void
liveness_free(struct liveness *l)
{
	if (l == NULL)
		return;
	g_hash_table_destroy(l->seen);
	g_free(l);
}

static struct seen *
seen_of(struct liveness *l, const struct catalog_server *s)
{
	struct seen *e = g_hash_table_lookup(l->seen, s->conf.name);

	if (e == NULL) {
		e = g_new0(struct seen, 1);
		e->incarnation = s->incarnation;
		g_hash_table_insert(l->seen, g_strdup(s->conf.name), e);
	}
	if (e->incarnation != s->incarnation) {
		e->incarnation = s->incarnation;
		e->was_draining = e->last == LIVENESS_DRAINING;
		e->shown = false;
		e->gone = false;
	}
	return e;
}

static void
propose_draining(
    const struct catalog_server *s, liveness_propose_cb propose, void *arg)
{
	struct catalog_command c = { .kind = CATALOG_CMD_DRAINING };

	(void)g_strlcpy(c.draining.name, s->conf.name, sizeof(c.draining.name));
	c.draining.incarnation = s->incarnation;
	c.draining.source = CATALOG_SOURCE_VM_LIST;
	propose(arg, &c);
}

static void
propose_returned(
    const struct catalog_server *s, liveness_propose_cb propose, void *arg)
{
	struct catalog_command c = { .kind = CATALOG_CMD_RETURNED };

	(void)g_strlcpy(
	    c.returned.server, s->conf.name, sizeof(c.returned.server));
	c.returned.incarnation = s->incarnation;
	propose(arg, &c);
}

static void
look_at_leaving(struct seen *e, const struct catalog_server *s,
    enum liveness_state state, liveness_propose_cb propose, void *arg)
{
	if (state == LIVENESS_ABSENT) {
		e->gone = e->shown;
		return;
	}
	if (state == LIVENESS_LIVE && e->gone) {
		propose_returned(s, propose, arg);
		return;
	}
	e->shown = true;
	e->gone = false;
}

static void
look_at(struct seen *e, const struct catalog_server *s,
    enum liveness_state state, liveness_propose_cb propose, void *arg)
{
	if (state != LIVENESS_DRAINING)
		e->was_draining = false;
	if (s->draining) {
		look_at_leaving(e, s, state, propose, arg);
	} else {
		e->shown = false;
		e->gone = false;
		if (state == LIVENESS_DRAINING && !e->was_draining)
			propose_draining(s, propose, arg);
	}
	e->last = state;
}

static enum liveness_state
state_of(GHashTable *listed, const char *name)
{
	const struct liveness_item *item = g_hash_table_lookup(listed, name);

	return item == NULL ? LIVENESS_ABSENT : item->state;
}

/// Looks at one list. What is proposed is proposed again with the next list,
/// until the configuration shows it.
///
/// @param propose  takes each command, in order of the servers' names
void
liveness_update(struct liveness *l, const struct catalog *s,
    const struct liveness_item *items, size_t n, liveness_propose_cb propose,
    void *arg)
{
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	const struct catalog_server *servers;
	size_t n_servers;

	for (size_t i = 0; i < n; i++)
		g_hash_table_insert(
		    listed, (gpointer)items[i].name, (gpointer)&items[i]);
	servers = catalog_servers(s, &n_servers);
	for (size_t i = 0; i < n_servers; i++) {
		const struct catalog_server *server = &servers[i];

		look_at(seen_of(l, server), server,
		    state_of(listed, server->conf.name), propose, arg);
	}
	g_hash_table_destroy(listed);
}
