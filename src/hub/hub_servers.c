#include "hub/hub_internal.h"

#define HUB_LIST_INTERVAL_US (700 * USEC_PER_MSEC)
/// A list that was read longer ago is not sent, so that gateways read it
/// themselves.
#define HUB_LIST_OLD_US USEC_PER_SEC

/// Fills in the changes of the list that a gateway lacks, or the whole list if
/// its revision isn't one of the last ones. Without a current list the revision
/// stays 0.
///
/// @param has  revision of the list that the gateway has
/// @param s    its `changes` point into `h`
void
hub_servers_fill(const struct hub *h, uint64_t has, struct hubmsg_state *s)
{
	struct listdiff_update update;

	if (loop_now_us(h->loop) >= h->list_fresh_us + HUB_LIST_OLD_US)
		return;
	listdiff_update(h->list, has, &update);
	s->list_revision = listdiff_revision(h->list);
	s->changes_since = update.since;
	s->changes = update.bytes;
	s->changes_len = update.len;
}

static void
on_list(void *arg, const GArray *servers, uint32_t pages)
{
	struct hub *h = arg;
	// Starts at a random number, so that a gateway can't take the revision
	// of another leader for one of this leader.
	const uint64_t first = (rnd_u64(loop_random(h->loop)) >> 1) + 1;

	(void)pages;
	if (servers == NULL)
		return;
	h->list_fresh_us = loop_now_us(h->loop);
	hub_limits_prune(h, servers);
	if (listdiff_set(h->list, servers, first))
		timerq_arm_in(h->push, 0);
}

/// Makes the reader of the platform's list.
void
hub_servers_start(struct hub *h)
{
	h->list = listdiff_new();
	h->lister = api_lister_new(h->http, on_list, h);
}

/// Drops the list that was read in an earlier term as the leader: it is out of
/// date.
void
hub_servers_reset(struct hub *h)
{
	listdiff_reset(h->list);
	h->list_fresh_us = 0;
	h->scaled_list_us = 0;
	h->next_list_us = 0;
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
