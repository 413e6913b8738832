#include "hub/hub_internal.h"

#include <stdlib.h>

#include "fleet/listcopy.h"
#include "fleet/listrev.h"

/// What all gateways need alike spreads in two steps. The replicated log
/// carries configurations to all control processes, and the leader, which reads
/// the list of servers from the platform, sends that to the others. Each of
/// them sends both to the gateways that chose it. A control process to which
/// the list doesn't come reads it itself (hub_servers.c), so that its gateways
/// don't depend on the leader.

#define HUB_FEED_ASK_US (400 * USEC_PER_MSEC)
/// A subscriber that hasn't asked for this long gets no more changes.
#define HUB_SUBSCRIBER_LOST_US (2 * USEC_PER_SEC)
/// A process that has closed the link this often without an answer is of an
/// older version.
#define HUB_FEED_MAX_CLOSES 3
/// Ages differ by less than this if two lists are of the same reading.
#define HUB_FEED_NEWER_US (100 * USEC_PER_MSEC)
/// Subscribers that are sent something new in one run of the timer, or the
/// bytes after which no further one is, so that the loop isn't held up by all
/// of them.
#define HUB_FEED_SLICE 16
#define HUB_FEED_SLICE_BYTES (512UL << 10)

/// A process that asks this one for what is new.
struct hub_subscriber {
	handle_t link;
	uint64_t asked_us;
	uint64_t echo_us;     ///< its clock when it asked last
	uint64_t revision;    ///< of the list that it has, or was sent; 0: none
	uint64_t list_age_us; ///< of its list when it asked last
	bool reads_compact;   ///< the compact form of servers
	bool whole_sent;  ///< the last list that it was sent was the whole one
	uint64_t version; ///< of the configuration that it has
	uint64_t sent_version; ///< of the last one that it was sent
	bool is_hub;
	bool due; ///< to be sent what is new
};

/// Adds the list or its changes. A subscriber whose list didn't come to be the
/// one of this process needs it only if it is newer.
static void
add_list(const struct hub *h, struct hub_subscriber *s, uint64_t now_us,
    struct feedmsg_update *u)
{
	const uint64_t age_us = now_us - h->list_fresh_us;
	struct listdiff_update changes;

	if (h->list_fresh_us == 0 ||
	    (!listdiff_knows(h->list, s->revision) &&
		s->list_age_us != FEEDMSG_NO_LIST &&
		age_us + HUB_FEED_NEWER_US >
		    s->list_age_us + now_us - s->asked_us))
		return;
	listdiff_update(h->list, s->revision, s->reads_compact, &changes);
	u->age_us = age_us;
	u->revision = listdiff_revision(h->list);
	u->since = changes.since;
	u->changes = changes.bytes;
	u->len = changes.len;
	if (changes.len > 0)
		s->whole_sent = changes.since == 0;
}

/// Adds the configuration if a gateway has an older one, unless the last one
/// that was sent is still on its way.
static void
add_config(
    const struct hub *h, struct hub_subscriber *s, struct feedmsg_update *u)
{
	u->version = hubstate_version(h->state);
	if (s->is_hub || s->version >= u->version ||
	    s->sent_version > s->version)
		return;
	u->manifest = hubstate_manifest(h->state, &u->manifest_len);
	s->sent_version = u->version;
}

/// Sends a subscriber what is new.
///
/// @return bytes of the message
static size_t
send_update(struct hub *h, struct hub_subscriber *s)
{
	struct wire_msg msg = { .kind = WIRE_FEED };
	const uint64_t now = loop_now_us(h->loop);
	struct feedmsg_update u = { .echo_us = s->echo_us + now - s->asked_us };
	uint8_t *bytes;

	s->due = false;
	add_list(h, s, now, &u);
	add_config(h, s, &u);
	feedmsg_update_encode(&u, &bytes, &msg.payload.len);
	msg.payload.data = bytes;
	if (transport_send(h->links, s->link, &msg) && u.revision != 0)
		s->revision = u.revision;
	free(bytes);
	return msg.payload.len;
}

static struct hub_subscriber *
find_due(const struct hub *h)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, h->subscribers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct hub_subscriber *s = value;

		if (s->due)
			return s;
	}
	return NULL;
}

static void
on_feed_timer(void *arg, uint64_t now_us)
{
	struct hub *h = arg;
	struct hub_subscriber *s;
	size_t len = 0;
	int n = 0;

	// Sending closes a link whose queue is full, which removes a
	// subscriber.
	while ((s = find_due(h)) != NULL) {
		if (n++ == HUB_FEED_SLICE || len > HUB_FEED_SLICE_BYTES) {
			timerq_arm(h->feed, now_us + HUB_SLICE_PAUSE_US);
			return;
		}
		len += send_update(h, s);
	}
}

/// The list was read, or came from the leader: sends it to the subscribers.
/// Gateways learn that an unchanged list is current when they ask.
void
hub_feed_push_list(struct hub *h, bool changed)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, h->subscribers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct hub_subscriber *s = value;

		s->due = s->due || changed || s->is_hub;
	}
	timerq_arm_in(h->feed, 0);
}

/// A configuration was applied: sends it to the gateways.
void
hub_feed_push_config(struct hub *h)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, h->subscribers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct hub_subscriber *s = value;

		s->due = s->due || !s->is_hub;
	}
	timerq_arm_in(h->feed, 0);
}

/// A gateway or another control process asks for what is new.
void
hub_feed_on_ask(struct hub *h, handle_t link, const struct wire_hello *hello,
    const struct wire_bytes *bytes)
{
	struct hub_subscriber *s;
	struct feedmsg_ask ask;

	if (feedmsg_ask_decode(bytes->data, bytes->len, &ask) != STATUS_OK) {
		logger_event(LOGGER_WARN, "feed.unreadable",
		    "peer=%s reason=\"%s\"", hello->node, status_last());
		return;
	}
	s = g_hash_table_lookup(h->subscribers, &link);
	if (s == NULL) {
		s = g_new0(struct hub_subscriber, 1);
		s->link = link;
		s->is_hub = hello->role == WIRE_ROLE_CONTROL;
		(void)g_hash_table_insert(h->subscribers, &s->link, s);
	}
	s->asked_us = loop_now_us(h->loop);
	s->echo_us = ask.sent_us;
	// A whole list may still be on its way over a slow link.
	if (!s->whole_sent || transport_queued(h->links, link) == 0)
		s->revision = ask.revision;
	s->version = ask.version;
	s->list_age_us = ask.list_age_us;
	s->reads_compact = ask.reads_compact;
	(void)send_update(h, s);
}

/// The leader's list, or its changes.
void
hub_feed_on_update(struct hub *h, const struct wire_hello *hello,
    const struct wire_bytes *bytes)
{
	const uint64_t now = loop_now_us(h->loop);
	struct hub_peer *p = hub_peer(h, hello->id);
	struct feedmsg_update u;
	enum listcopy_result result;
	uint64_t fresh_us;
	GArray *servers;

	if (p == NULL ||
	    feedmsg_update_decode(bytes->data, bytes->len, &u) != STATUS_OK) {
		logger_event(LOGGER_WARN, "feed.unreadable",
		    "peer=%s reason=\"%s\"", hello->node, status_last());
		return;
	}
	p->asked = false;
	p->closes = 0;
	if (u.echo_us > now || u.age_us >= u.echo_us)
		return;
	fresh_us = u.echo_us - u.age_us;
	result = listcopy_apply(
	    h->leader_list, hello->incarnation, fresh_us, now, &u);
	if (result == LISTCOPY_UNRELATED || result == LISTCOPY_INCOMPLETE ||
	    hub_is_leader(h))
		return;
	// Servers that drain are sent before the reading is complete, and so
	// with the age of the last one.
	if (fresh_us <= h->list_fresh_us && !h->list_is_leaders)
		return;
	fresh_us = MAX(fresh_us, h->list_fresh_us);
	if (result == LISTCOPY_SAME && h->list_is_leaders) {
		h->list_fresh_us = fresh_us;
		return;
	}
	servers = listcopy_servers(h->leader_list);
	hub_servers_set(h, servers, listrev_number(u.revision), fresh_us);
	h->list_is_leaders = true;
	g_array_unref(servers);
}

/// A link is down: its subscription ends.
void
hub_feed_on_link_down(
    struct hub *h, handle_t link, const struct wire_hello *hello)
{
	struct hub_peer *p;

	(void)g_hash_table_remove(h->subscribers, &link);
	p = hello->role == WIRE_ROLE_CONTROL ? hub_peer(h, hello->id) : NULL;
	if (p != NULL && p->asked)
		p->closes++;
}

static void
drop_silent_subscribers(struct hub *h, uint64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, h->subscribers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct hub_subscriber *s = value;

		if (now_us > s->asked_us + HUB_SUBSCRIBER_LOST_US)
			g_hash_table_iter_remove(&it);
	}
}

static void
ask_leader(struct hub *h, uint64_t now_us)
{
	struct wire_msg msg = { .kind = WIRE_FEED_ASK };
	struct feedmsg_ask ask = { .sent_us = now_us };
	struct replica_status st;
	struct hub_peer *p;
	uint8_t *bytes;

	replica_status(h->group, &st);
	p = hub_peer(h, st.leader & RAFT_SLOT_MASK);
	if (p == NULL || p->closes >= HUB_FEED_MAX_CLOSES)
		return;
	listview_fill_ask(listcopy_view(h->leader_list), now_us, &ask);
	// It is followed, also after a change of leader.
	ask.list_age_us = FEEDMSG_NO_LIST;
	feedmsg_ask_encode(&ask, &bytes, &msg.payload.len);
	msg.payload.data = bytes;
	p->asked = transport_send(h->links, p->dialled, &msg) ||
	    (p->accepted != HANDLE_NONE &&
		transport_send(h->links, p->accepted, &msg));
	free(bytes);
}

/// Asks the leader for its list when it is time, unless this process leads.
void
hub_feed_tick(struct hub *h, uint64_t now_us)
{
	drop_silent_subscribers(h, now_us);
	if (now_us < h->next_ask_us || hub_is_leader(h))
		return;
	h->next_ask_us = now_us + HUB_FEED_ASK_US;
	ask_leader(h, now_us);
}

/// Makes the table of subscribers and the copy of the leader's list.
void
hub_feed_start(struct hub *h)
{
	h->subscribers =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	h->leader_list = listcopy_new();
	h->feed = timerq_timer_new(loop_timers(h->loop), on_feed_timer, h);
}

/// Releases what hub_feed_start() made.
void
hub_feed_stop(struct hub *h)
{
	timerq_timer_free(h->feed);
	listcopy_free(h->leader_list);
	g_hash_table_destroy(h->subscribers);
}
