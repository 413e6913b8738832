#include "hub/hub_internal.h"

#include <inttypes.h>

/// Interval at which the leader reads the list.
#define HUB_LIST_INTERVAL_US (700 * USEC_PER_MSEC)
/// Another process that has had no list for this long reads it itself.
#define HUB_LIST_SILENT_US (1500 * USEC_PER_MSEC)
/// Shares of the platform's rate of calls: the leader's, and that of all others
/// together. Gateways use a part of what is left.
#define HUB_LEADER_CALLS_FACTOR 0.5
#define HUB_CALLS_FACTOR 0.25
/// Share of a leader that has no list: after a start of all, callers wait for
/// its first reading, and other processes don't read yet.
#define HUB_FIRST_CALLS_FACTOR 0.9
/// A list that was read longer ago is not sent in a state, which doesn't tell
/// its age.
#define HUB_LIST_OLD_US (1500 * USEC_PER_MSEC)

/// Fills in the changes of the list that a gateway lacks, or the whole list if
/// its revision isn't one of the last ones. Without a current list the revision
/// stays 0, and also for a gateway that gets the list by itself.
///
/// @param has  revision of the list that the gateway has
/// @param s    its `changes` point into `h`
void
hub_servers_fill(const struct hub *h, uint64_t has, struct hubmsg_state *s)
{
	struct listdiff_update update;

	if (has == HUBMSG_SUBSCRIBED ||
	    loop_now_us(h->loop) >= h->list_fresh_us + HUB_LIST_OLD_US)
		return;
	listdiff_update(h->list, has, false, &update);
	s->list_revision = listdiff_revision(h->list);
	s->changes_since = update.since;
	s->changes = update.bytes;
	s->changes_len = update.len;
}

/// Puts a list in force that is newer than the last one.
///
/// @param servers   struct instance
/// @param number    least one of its revision; 0 if this process has read it
/// @param fresh_us  when the platform was asked for it
void
hub_servers_set(
    struct hub *h, const GArray *servers, uint64_t number, uint64_t fresh_us)
{
	h->list_fresh_us = fresh_us;
	hub_limits_prune(h, servers);
	hub_feed_push_list(
	    h, listdiff_set(h->list, servers, number, loop_now_us(h->loop)));
}

static void
on_list(void *arg, const GArray *servers)
{
	struct hub *h = arg;

	if (servers == NULL || h->list_asked_us <= h->list_fresh_us)
		return;
	h->list_is_leaders = false;
	hub_servers_set(h, servers, 0, h->list_asked_us);
}

/// A page was read: what it shows as draining is sent before the other pages
/// have come.
static void
on_page(void *arg, const struct instance *servers, guint n)
{
	struct hub *h = arg;

	if (h->list_fresh_us == 0 || h->list_asked_us <= h->list_fresh_us)
		return;
	if (listdiff_drain(h->list, servers, n, loop_now_us(h->loop)))
		hub_feed_push_list(h, true);
}

/// Makes the reader of the platform's list.
void
hub_servers_start(struct hub *h)
{
	const struct api_lister_callbacks callbacks = {
		.done = on_list,
		.page = on_page,
		.arg = h,
	};

	h->list = listdiff_new();
	h->next_list_us = loop_now_us(h->loop) + HUB_LIST_SILENT_US;
	h->lister = api_lister_new(h->http, loop_timers(h->loop), &callbacks);
	for (uint32_t i = 0; i < h->settings.n_zones; i++)
		api_lister_add_zone(h->lister, h->settings.zones[i]);
}

/// The lister knows the data centres of the list in force, also if others have
/// read it.
static void
add_zones(struct hub *h)
{
	const GArray *servers = listdiff_servers(h->list);

	for (guint i = 0; i < servers->len; i++)
		api_lister_add_zone(
		    h->lister, g_array_index(servers, struct instance, i).zone);
}

/// Takes over the reading of the list as the new leader. Orders of servers wait
/// for the first list that this leader has read.
void
hub_servers_reset(struct hub *h)
{
	h->scaled_list_us = h->list_fresh_us;
	h->next_list_us = 0;
	// A reading as a substitute is slower.
	api_lister_cancel(h->lister);
	add_zones(h);
}

/// Rate at which this process may call the platform for pages of the list.
static double
calls_per_s(const struct hub *h)
{
	struct replica_status st;
	uint32_t n;

	if (hub_is_leader(h))
		return h->settings.list_calls_per_s *
		    (h->list_fresh_us == 0 ? HUB_FIRST_CALLS_FACTOR
					   : HUB_LEADER_CALLS_FACTOR);
	replica_status(h->group, &st);
	n = st.members.n_voters + st.members.n_learners;
	return HUB_CALLS_FACTOR * h->settings.list_calls_per_s / MAX(n, 1);
}

/// Whether this process has to read the list as a substitute of the leader.
static bool
leader_is_silent(const struct hub *h, uint64_t now_us)
{
	return now_us >= h->list_fresh_us +
	    listview_old_us(listcopy_view(h->leader_list), HUB_LIST_SILENT_US);
}

/// Starts to read the list when it is due: as the leader, and as a substitute
/// while the leader doesn't send it.
void
hub_servers_tick(struct hub *h, uint64_t now_us)
{
	const bool leads = hub_is_leader(h);

	if (!leads && !leader_is_silent(h, now_us)) {
		api_lister_cancel(h->lister);
		return;
	}
	if (api_lister_busy(h->lister) || now_us < h->next_list_us)
		return;
	if (!leads && h->list_is_leaders)
		logger_event(LOGGER_WARN, "list.own_reading",
		    "silent_ms=%" PRIu64 " calls_per_s=%.2f",
		    timerq_ms_since(now_us, h->list_fresh_us), calls_per_s(h));
	h->next_list_us = now_us + HUB_LIST_INTERVAL_US;
	h->list_asked_us = now_us;
	api_lister_read(h->lister, h->settings.cloud.host,
	    h->settings.cloud.port, calls_per_s(h));
}
