#include "gateway/gateway_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "fleet/feedmsg.h"

/// This gateway gets the configuration and the list of servers from one control
/// process, if possible of its own data centre, and chooses another one when
/// that doesn't answer or has only old ones.

#define GATEWAY_FEED_ASK_US (400 * USEC_PER_MSEC)
/// For how long a process that was left isn't chosen again.
#define GATEWAY_FEED_AVOID_US (5 * USEC_PER_SEC)
/// A process that has closed the link this often without an answer is of an
/// older version.
#define GATEWAY_FEED_MAX_CLOSES 3

/// Whether a control process may be chosen.
static bool
is_usable(const struct gateway *g, const struct gateway_hub *h, uint64_t now_us)
{
	return h->feed_closes < GATEWAY_FEED_MAX_CLOSES &&
	    now_us >= h->feed_avoid_until_us &&
	    transport_is_up(g->links, h->link);
}

/// Rank of a control process, the highest is chosen: the leader if this gateway
/// lacks the configuration that the leader told of, then those of the same data
/// centre, and among them evenly over the gateways.
static uint64_t
rank_of(const struct gateway *g, const struct gateway_hub *h)
{
	const uint64_t hash =
	    XXH64(g->settings.node, strlen(g->settings.node), h->slot);

	if (h->slot == g->leader &&
	    feedsource_is_behind(&g->feed, gateway_config_version(g)))
		return UINT64_MAX;
	if (strcmp(h->data_centre, g->settings.data_centre) == 0)
		return hash >> 1 | UINT64_C(1) << 62;
	return hash >> 2;
}

static struct gateway_hub *
choose_hub(struct gateway *g, uint64_t now_us)
{
	struct gateway_hub *best = NULL;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->hubs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct gateway_hub *h = value;

		if (is_usable(g, h, now_us) &&
		    (best == NULL || rank_of(g, h) > rank_of(g, best)))
			best = h;
	}
	return best;
}

/// Lets processes that were left lately be chosen again, as no other is there.
static void
allow_avoided(struct gateway *g)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->hubs);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct gateway_hub *)value)->feed_avoid_until_us = 0;
}

/// The control process to ask now; NULL: there is none.
static struct gateway_hub *
current_hub(struct gateway *g, uint64_t now_us)
{
	const struct feedsource_state has = {
		.version = gateway_config_version(g),
		.list_fresh_us = g->list_fresh_us,
		.list_old_us =
		    listview_old_us(&g->list, FEEDSOURCE_LIST_OLD_US),
	};
	struct gateway_hub *h =
	    g_hash_table_lookup(g->hubs, GUINT_TO_POINTER(g->feed.slot));
	struct gateway_hub *best;

	if (h != NULL && feedsource_must_leave(&g->feed, &has, now_us))
		h->feed_avoid_until_us = now_us + GATEWAY_FEED_AVOID_US;
	if (h != NULL && is_usable(g, h, now_us) &&
	    !feedsource_may_return(&g->feed, now_us))
		return h;
	best = choose_hub(g, now_us);
	if (best == NULL)
		allow_avoided(g);
	if (best != NULL && best != h)
		logger_event(LOGGER_INFO, "feed.chosen",
		    "slot=%u last=%u list_age_ms=%" PRIu64, best->slot,
		    g->feed.slot, timerq_ms_since(now_us, g->list_fresh_us));
	if (best == NULL || best != h || !is_usable(g, h, now_us))
		feedsource_choose(
		    &g->feed, best != NULL ? best->slot : 0, now_us);
	return best;
}

/// Asks for what is new when it is time.
void
gateway_feed_tick(struct gateway *g, uint64_t now_us)
{
	struct wire_msg msg = { .kind = WIRE_FEED_ASK };
	struct feedmsg_ask ask = { .sent_us = now_us,
		.version = gateway_config_version(g) };
	const struct gateway_hub *h = current_hub(g, now_us);
	uint8_t *bytes;

	if (h == NULL || now_us < g->next_ask_us)
		return;
	g->next_ask_us = now_us + GATEWAY_FEED_ASK_US;
	listview_fill_ask(&g->list, now_us, &ask);
	feedmsg_ask_encode(&ask, &bytes, &msg.payload.len);
	msg.payload.data = bytes;
	if (transport_send(g->links, h->link, &msg))
		feedsource_on_ask(&g->feed, now_us);
	free(bytes);
}

/// A control process sends what is new.
void
gateway_feed_on_update(struct gateway *g, const struct wire_hello *hello,
    const struct wire_bytes *bytes)
{
	struct gateway_hub *h =
	    g_hash_table_lookup(g->hubs, GUINT_TO_POINTER(hello->id));
	struct feedmsg_update u;

	if (feedmsg_update_decode(bytes->data, bytes->len, &u) != STATUS_OK) {
		logger_event(LOGGER_WARN, "feed.unreadable",
		    "peer=%s reason=\"%s\"", hello->node, status_last());
		return;
	}
	if (u.version > gateway_config_version(g) && u.manifest_len > 0) {
		gateway_apply_config(g, u.version, u.manifest, u.manifest_len);
		// The next one comes when this one is known to be in force.
		g->next_ask_us = 0;
	}
	if (h == NULL || h->slot != g->feed.slot)
		return;
	h->feed_closes = 0;
	feedsource_on_answer(&g->feed, u.version);
	if (u.echo_us > loop_now_us(g->loop) || u.age_us >= u.echo_us)
		return;
	gateway_servers_update(g, hello->incarnation, &u);
}

/// A link to a control process is down.
void
gateway_feed_on_link_down(struct gateway *g, struct gateway_hub *h)
{
	if (h->slot != g->feed.slot)
		return;
	if (g->feed.unanswered_us != 0)
		h->feed_closes++;
	g->feed.unanswered_us = 0;
}
