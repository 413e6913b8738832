#include "hub/hub_internal.h"

#include "fleet/serverspeed.h"

/// The usual pace of servers, from the samples of gateways (leader). It spreads
/// with the list.

void
hub_speed_start(struct hub *h)
{
	h->speeds = serverspeed_new();
}

void
hub_speed_stop(struct hub *h)
{
	serverspeed_free(h->speeds);
}

/// Drops the samples of an earlier term as the leader; goes on from the figures
/// in the list that the last leader told.
void
hub_speed_reset(struct hub *h)
{
	const GArray *servers = listdiff_servers(h->list);

	serverspeed_free(h->speeds);
	h->speeds = serverspeed_new();
	for (guint i = 0; i < servers->len; i++) {
		const struct instance *s =
		    &g_array_index(servers, struct instance, i);

		if (s->pace_percent > 0)
			serverspeed_set(h->speeds, s->id, s->pace_percent);
	}
}

/// Adds the samples in a gateway's message.
void
hub_speed_on_message(struct hub *h, const struct limitmsg *m)
{
	for (guint i = 0; i < m->speeds->len; i++) {
		const struct limitmsg_speed *s =
		    &g_array_index(m->speeds, struct limitmsg_speed, i);
		const uint32_t was = serverspeed_get(h->speeds, s->server);
		uint32_t is;

		serverspeed_add(h->speeds, s->server, s->pace_percent);
		is = serverspeed_get(h->speeds, s->server);
		if (is != was)
			logger_event(LOGGER_INFO, "server.pace",
			    "server=%s percent=%u was=%u", s->server, is, was);
	}
}

static bool
is_listed(void *arg, const char *server)
{
	return g_hash_table_contains(arg, server);
}

/// Fills the figures in a list that was read, and drops those of other servers.
///
/// @param servers  struct instance
void
hub_speed_fill(struct hub *h, GArray *servers)
{
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < servers->len; i++) {
		struct instance *s =
		    &g_array_index(servers, struct instance, i);

		s->pace_percent = serverspeed_get(h->speeds, s->id);
		(void)g_hash_table_add(listed, s->id);
	}
	serverspeed_retain(h->speeds, is_listed, listed);
	g_hash_table_destroy(listed);
}
