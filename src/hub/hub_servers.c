#include "hub/hub_internal.h"

#include <inttypes.h>

/// Interval at which the leader reads the list.
#define HUB_LIST_INTERVAL_US (700 * USEC_PER_MSEC)
/// Another process that has had no list for this long reads it itself.
#define HUB_LIST_SILENT_US (1500 * USEC_PER_MSEC)
/// Share of the platform's call limit that these processes use together.
#define HUB_CALLS_FACTOR 0.5
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
	listdiff_update(h->list, has, &update);
	s->list_revision = listdiff_revision(h->list);
	s->changes_since = update.since;
	s->changes = update.bytes;
	s->changes_len = update.len;
}

/// Puts a list in force that is newer than the last one.
///
/// @param servers   struct instance
/// @param fresh_us  when the platform was asked for it
void
hub_servers_set(struct hub *h, const GArray *servers, uint64_t fresh_us)
{
	// Starts at a random number, so that a gateway can't take the revision
	// of another process for one of this process.
	const uint64_t first = (rnd_u64(loop_random(h->loop)) >> 1) + 1;

	h->list_fresh_us = fresh_us;
	hub_limits_prune(h, servers);
	hub_feed_push_list(h, listdiff_set(h->list, servers, first));
}

static void
on_list(void *arg, GArray *servers, uint32_t pages)
{
	struct hub *h = arg;

	h->list_pages = pages;
	if (servers == NULL || h->list_asked_us <= h->list_fresh_us)
		return;
	h->list_is_leaders = false;
	for (guint i = 0; i < servers->len; i++)
		instance_set_cold_end(
		    &g_array_index(servers, struct instance, i),
		    hub_wall_clock_us(h));
	if (hub_is_leader(h))
		hub_speed_fill(h, servers);
	hub_servers_set(h, servers, h->list_asked_us);
}

/// Makes the reader of the platform's list.
void
hub_servers_start(struct hub *h)
{
	h->list = listdiff_new();
	hub_speed_start(h);
	h->next_list_us = loop_now_us(h->loop) + HUB_LIST_SILENT_US;
	h->lister = api_lister_new(h->http, on_list, h);
}

/// Takes over the reading of the list as the new leader. Orders of servers wait
/// for the first list that this leader has read.
void
hub_servers_reset(struct hub *h)
{
	h->scaled_list_us = h->list_fresh_us;
	h->next_list_us = 0;
}

/// Interval at which a process reads the list that isn't the leader: all of
/// them share the platform's call limit.
static uint64_t
substitute_interval_us(const struct hub *h)
{
	struct replica_status st;
	double n_calls;
	double s;

	replica_status(h->group, &st);
	n_calls = (double)(st.members.n_voters + st.members.n_learners) *
	    MAX(h->list_pages, 1);
	s = n_calls / (HUB_CALLS_FACTOR * h->settings.list_calls_per_s);
	return MAX(HUB_LIST_INTERVAL_US, (uint64_t)(s * USEC_PER_SEC));
}

/// Starts to read the list when it is due: as the leader, and as a substitute
/// while the leader doesn't send it.
void
hub_servers_tick(struct hub *h, uint64_t now_us)
{
	const bool leads = hub_is_leader(h);

	if (api_lister_busy(h->lister) || now_us < h->next_list_us)
		return;
	if (!leads && now_us < h->list_fresh_us + HUB_LIST_SILENT_US)
		return;
	if (!leads && h->list_is_leaders)
		logger_event(LOGGER_WARN, "list.own_reading",
		    "silent_ms=%" PRIu64 " interval_ms=%" PRIu64,
		    timerq_ms_since(now_us, h->list_fresh_us),
		    substitute_interval_us(h) / USEC_PER_MSEC);
	h->next_list_us =
	    now_us + (leads ? HUB_LIST_INTERVAL_US : substitute_interval_us(h));
	h->list_asked_us = now_us;
	api_lister_read(
	    h->lister, h->settings.cloud.host, h->settings.cloud.port);
}
