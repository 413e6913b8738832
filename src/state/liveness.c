#include "state/liveness.h"

#include <glib.h>

/// What earlier VM lists showed for one name.
struct observation {
	uint64_t incarnation; ///< Of the server when the last list came.
	enum liveness_state last_state;
	/// The list has shown "draining" since before this incarnation, so it
	/// means an earlier one.
	bool stale_draining;
	bool listed; ///< Since the server is draining: it was in a list.
	bool absent; ///< After that: it was missing from a list.
};

/// Tracks the VM lists.
struct liveness {
	GHashTable *observations; ///< name -> struct observation
};

/// Makes a tracker that has seen no list.
struct liveness *
liveness_new(void)
{
	struct liveness *l = g_new0(struct liveness, 1);

	l->observations =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return l;
}

/// Releases a tracker; NULL is allowed.
void
liveness_free(struct liveness *l)
{
	if (l == NULL)
		return;
	g_hash_table_destroy(l->observations);
	g_free(l);
}

/// Observation of a server. It is reset, except for the last state, when the
/// server has another incarnation.
static struct observation *
find_observation(struct liveness *l, const struct catalog_server *s)
{
	struct observation *e =
	    g_hash_table_lookup(l->observations, s->spec.name);

	if (e == NULL) {
		e = g_new0(struct observation, 1);
		e->incarnation = s->incarnation;
		g_hash_table_insert(l->observations, g_strdup(s->spec.name), e);
	}
	if (e->incarnation != s->incarnation) {
		e->incarnation = s->incarnation;
		e->stale_draining = e->last_state == LIVENESS_DRAINING;
		e->listed = false;
		e->absent = false;
	}
	return e;
}

static void
propose_draining(
    const struct catalog_server *s, liveness_propose_cb propose, void *arg)
{
	struct catalog_command c = { .kind = CATALOG_CMD_DRAINING };

	(void)g_strlcpy(c.draining.name, s->spec.name, sizeof(c.draining.name));
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
	    c.returned.server, s->spec.name, sizeof(c.returned.server));
	c.returned.incarnation = s->incarnation;
	propose(arg, &c);
}

/// Proposes that a draining server has returned, once the VM list has contained
/// it, then has not contained it, and now shows it as live.
static void
observe_draining(struct observation *e, const struct catalog_server *s,
    enum liveness_state state, liveness_propose_cb propose, void *arg)
{
	if (state == LIVENESS_ABSENT) {
		e->absent = e->listed;
		return;
	}
	if (state == LIVENESS_LIVE && e->absent) {
		propose_returned(s, propose, arg);
		return;
	}
	e->listed = true;
	e->absent = false;
}

static void
observe_server(struct observation *e, const struct catalog_server *s,
    enum liveness_state state, liveness_propose_cb propose, void *arg)
{
	if (state != LIVENESS_DRAINING)
		e->stale_draining = false;
	if (s->draining) {
		observe_draining(e, s, state, propose, arg);
	} else {
		e->listed = false;
		e->absent = false;
		if (state == LIVENESS_DRAINING && !e->stale_draining)
			propose_draining(s, propose, arg);
	}
	e->last_state = state;
}

static enum liveness_state
listed_state(GHashTable *by_name, const char *name)
{
	const struct liveness_item *item = g_hash_table_lookup(by_name, name);

	return item == NULL ? LIVENESS_ABSENT : item->state;
}

/// Compares one VM list with the configuration and proposes the commands that
/// follow from it. A command is proposed again with the next list until the
/// configuration shows its effect.
///
/// @param items    the list; not used after the return
/// @param propose  called with each command, in order of the servers' names
void
liveness_update(struct liveness *l, const struct catalog *s,
    const struct liveness_item *items, size_t n, liveness_propose_cb propose,
    void *arg)
{
	GHashTable *by_name = g_hash_table_new(g_str_hash, g_str_equal);
	const struct catalog_server *servers;
	size_t n_servers;

	for (size_t i = 0; i < n; i++)
		g_hash_table_insert(
		    by_name, (gpointer)items[i].name, (gpointer)&items[i]);
	servers = catalog_servers(s, &n_servers);
	for (size_t i = 0; i < n_servers; i++) {
		const struct catalog_server *server = &servers[i];

		observe_server(find_observation(l, server), server,
		    listed_state(by_name, server->spec.name), propose, arg);
	}
	g_hash_table_destroy(by_name);
}
