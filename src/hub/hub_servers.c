#include "hub/hub_internal.h"

#include <stdlib.h>
#include <string.h>

#define HUB_LIST_US (700 * USEC_PER_MSEC)

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

/// Servers of one list that are missing in another one or differ there.
static void
add_changes(GArray *changes, const GArray *list, GHashTable *other, bool gone)
{
	for (guint i = 0; i < list->len; i++) {
		const struct instance *s =
		    &g_array_index(list, struct instance, i);
		const struct instance *o = g_hash_table_lookup(other, s->id);
		const struct hubmsg_server change = { .instance = *s,
			.gone = gone };

		if (o == NULL || (!gone && !is_same(s, o)))
			g_array_append_val(changes, change);
	}
}

/// Encodes the new list, and what changed since the last one.
static void
note_changes(struct hub *h, const GArray *old)
{
	GArray *changes =
	    g_array_new(FALSE, TRUE, sizeof(struct hubmsg_server));
	GArray *all = g_array_new(FALSE, TRUE, sizeof(struct hubmsg_server));
	GHashTable *before = index_list(old);
	GHashTable *now = index_list(h->list);

	add_changes(changes, h->list, before, false);
	add_changes(changes, old, now, true);
	if (changes->len > 0 || h->list_revision == 0) {
		const GArray *empty = g_array_new(FALSE, TRUE, 1);
		GHashTable *none = index_list(empty);

		add_changes(all, h->list, none, false);
		g_hash_table_destroy(none);
		g_array_unref((GArray *)empty);
		free(h->change_bytes);
		free(h->list_bytes);
		hubmsg_servers_encode(
		    changes, &h->change_bytes, &h->change_len);
		hubmsg_servers_encode(all, &h->list_bytes, &h->list_len);
		// A number of another leader must not be taken for this one's.
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

/// Tells a gateway what it lacks of the list.
///
/// @param has  number of the list that it has
void
hub_servers_fill(const struct hub *h, uint64_t has, struct hubmsg_state *s)
{
	s->list = h->list_revision;
	if (h->list_revision == 0 || has == h->list_revision)
		return;
	if (has + 1 == h->list_revision) {
		s->changes_since = has;
		s->changes = h->change_bytes;
		s->changes_len = h->change_len;
	} else {
		s->changes = h->list_bytes;
		s->changes_len = h->list_len;
	}
}

static void
on_list(void *arg, const GArray *servers, uint32_t pages)
{
	struct hub *h = arg;
	GArray *old = h->list;

	(void)pages;
	if (servers == NULL)
		return;
	h->list = g_array_copy((GArray *)servers);
	h->list_fresh_us = loop_now_us(h->loop);
	note_changes(h, old);
	g_array_unref(old);
}

/// Makes ready to read the list.
void
hub_servers_start(struct hub *h)
{
	h->lister = api_lister_new(h->http, on_list, h);
}

/// Forgets the list: what an earlier time as the leader read is old.
void
hub_servers_reset(struct hub *h)
{
	h->list_revision = 0;
	h->list_fresh_us = 0;
	h->scaled_list_us = 0;
	h->next_list_us = 0;
	g_array_set_size(h->list, 0);
}

/// Reads the list again when it is due.
void
hub_servers_tick(struct hub *h, uint64_t now_us)
{
	if (api_lister_busy(h->lister) || now_us < h->next_list_us)
		return;
	h->next_list_us = now_us + HUB_LIST_US;
	api_lister_read(
	    h->lister, h->settings.cloud.host, h->settings.cloud.port);
}
