#include "hub/hub_internal.h"

#include <stdlib.h>
#include <string.h>

#define HUB_LIST_INTERVAL_US (700 * USEC_PER_MSEC)

static bool
is_same(const struct instance *a, const struct instance *b)
{
	return strcmp(a->service, b->service) == 0 &&
	    strcmp(a->zone, b->zone) == 0 &&
	    strcmp(a->version, b->version) == 0 &&
	    strcmp(a->host, b->host) == 0 && a->port == b->port &&
	    a->slots == b->slots && a->draining == b->draining &&
	    a->spot == b->spot;
}

static GHashTable *
index_list(const GArray *list)
{
	GHashTable *index = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < list->len; i++) {
		struct instance *s = &g_array_index(list, struct instance, i);

		(void)g_hash_table_insert(index, s->id, s);
	}
	return index;
}

/// Appends the servers of one list that another list lacks or, unless they are
/// removed ones, shows with other properties.
static void
add_changes(
    GArray *changes, const GArray *list, GHashTable *other, bool removed)
{
	for (guint i = 0; i < list->len; i++) {
		const struct instance *s =
		    &g_array_index(list, struct instance, i);
		const struct instance *o = g_hash_table_lookup(other, s->id);
		const struct hubmsg_server change = { .instance = *s,
			.removed = removed };

		if (o == NULL || (!removed && !is_same(s, o)))
			g_array_append_val(changes, change);
	}
}

/// Encodes the new list and its changes since the old one, if there are any.
static void
update_encoded_list(struct hub *h, const GArray *old)
{
	GArray *changes =
	    g_array_new(FALSE, TRUE, sizeof(struct hubmsg_server));
	GArray *all = g_array_new(FALSE, TRUE, sizeof(struct hubmsg_server));
	GHashTable *before = index_list(old);
	GHashTable *now = index_list(h->servers);

	add_changes(changes, h->servers, before, false);
	add_changes(changes, old, now, true);
	if (changes->len > 0 || h->list_revision == 0) {
		const GArray *empty = g_array_new(FALSE, TRUE, 1);
		GHashTable *none = index_list(empty);

		add_changes(all, h->servers, none, false);
		g_hash_table_destroy(none);
		g_array_unref((GArray *)empty);
		free(h->list_diff_bytes);
		free(h->list_bytes);
		hubmsg_servers_encode(
		    changes, &h->list_diff_bytes, &h->list_diff_len);
		hubmsg_servers_encode(all, &h->list_bytes, &h->list_len);
		// Starts at a random number, so that a gateway can't take the
		// revision of another leader for one of this leader.
		h->list_revision = h->list_revision != 0
		    ? h->list_revision + 1
		    : rnd_u64(loop_random(h->loop)) >> 1;
		timerq_arm_in(h->push, 0);
	}
	g_hash_table_destroy(before);
	g_hash_table_destroy(now);
	g_array_unref(changes);
	g_array_unref(all);
}

/// Fills in the changes of the list that a gateway lacks, or the whole list if
/// it is more than one revision behind.
///
/// @param has  revision of the list that the gateway has
/// @param s    its `changes` point into `h`
void
hub_servers_fill(const struct hub *h, uint64_t has, struct hubmsg_state *s)
{
	s->list_revision = h->list_revision;
	if (h->list_revision == 0 || has == h->list_revision)
		return;
	if (has + 1 == h->list_revision) {
		s->changes_since = has;
		s->changes = h->list_diff_bytes;
		s->changes_len = h->list_diff_len;
	} else {
		s->changes = h->list_bytes;
		s->changes_len = h->list_len;
	}
}

static void
on_list(void *arg, const GArray *servers, uint32_t pages)
{
	struct hub *h = arg;
	GArray *old = h->servers;

	(void)pages;
	if (servers == NULL)
		return;
	h->servers = g_array_copy((GArray *)servers);
	h->list_fresh_us = loop_now_us(h->loop);
	update_encoded_list(h, old);
	g_array_unref(old);
}

/// Makes the reader of the platform's list.
void
hub_servers_start(struct hub *h)
{
	h->lister = api_lister_new(h->http, on_list, h);
}

/// Drops the list that was read in an earlier term as the leader: it is out of
/// date.
void
hub_servers_reset(struct hub *h)
{
	h->list_revision = 0;
	h->list_fresh_us = 0;
	h->scaled_list_us = 0;
	h->next_list_us = 0;
	g_array_set_size(h->servers, 0);
}

/// Starts to read the list again when it is due.
void
hub_servers_tick(struct hub *h, uint64_t now_us)
{
	if (api_lister_busy(h->lister) || now_us < h->next_list_us)
		return;
	h->next_list_us = now_us + HUB_LIST_INTERVAL_US;
	api_lister_read(
	    h->lister, h->settings.cloud.host, h->settings.cloud.port);
}
