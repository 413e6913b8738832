#include "gateway/gateway_internal.h"

/// What a server that isn't listed any more has said of itself is kept for this
/// long: its entry may come back, for instance after one reading in which it
/// couldn't be parsed.
#define GATEWAY_UNLISTED_US (60 * USEC_PER_SEC)

/// Signals of a server that isn't listed.
struct unlisted {
	bool leaving;
	double limit_per_s;
	uint64_t limit_since_us;
	bool is_brittle;
	uint32_t max_refusals;
	uint64_t brittle_since_us;
	uint64_t paused_until_us;
	uint64_t incarnation;
	uint64_t forget_us;
};

/// Makes the table of servers that aren't listed.
void
gateway_unlisted_start(struct gateway *g)
{
	g->unlisted =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static gboolean
is_old(gpointer id, gpointer value, gpointer now)
{
	const struct unlisted *u = value;

	(void)id;
	return *(const uint64_t *)now >= u->forget_us;
}

/// Keeps what a server has said of itself; it is about to be removed.
void
gateway_unlisted_keep(struct gateway *g, const struct gateway_server *s)
{
	uint64_t now = loop_now_us(g->loop);
	struct balancer_server_stats stats = { .load = 0 };
	struct unlisted *u;

	(void)g_hash_table_foreach_remove(g->unlisted, is_old, &now);
	(void)balancer_server_stats(
	    g->balancer, now, s->balancer_handle, &stats);
	if (!s->signalled_leaving && s->limit_per_s <= 0 && !s->is_brittle &&
	    stats.paused_until_us <= now)
		return;
	u = g_new0(struct unlisted, 1);
	*u = (struct unlisted){
		.leaving = s->signalled_leaving,
		.limit_per_s = s->limit_per_s,
		.limit_since_us = s->limit_since_us,
		.is_brittle = s->is_brittle,
		.max_refusals = s->max_refusals,
		.brittle_since_us = s->brittle_since_us,
		.paused_until_us = stats.paused_until_us,
		.incarnation = s->incarnation,
		.forget_us =
		    MAX(now + GATEWAY_UNLISTED_US, stats.paused_until_us),
	};
	(void)g_hash_table_insert(g->unlisted, g_strdup(s->instance.id), u);
}

/// Restores what a server that is listed again has said of itself.
///
/// @param s  known to the balancer
void
gateway_unlisted_restore(struct gateway *g, struct gateway_server *s)
{
	const uint64_t now = loop_now_us(g->loop);
	const struct unlisted *u =
	    g_hash_table_lookup(g->unlisted, s->instance.id);

	if (u == NULL)
		return;
	logger_event(LOGGER_INFO, "server.restored",
	    "server=%s leaving=%d limit=%g brittle=%d "
	    "paused_ms=%" G_GUINT64_FORMAT,
	    s->instance.id, u->leaving, u->limit_per_s, u->is_brittle,
	    u->paused_until_us > now
		? (u->paused_until_us - now) / USEC_PER_MSEC
		: 0);
	s->signalled_leaving = u->leaving;
	s->limit_per_s = u->limit_per_s;
	s->limit_since_us = u->limit_since_us;
	s->is_brittle = u->is_brittle;
	s->max_refusals = u->max_refusals;
	s->brittle_since_us = u->brittle_since_us;
	s->incarnation = u->incarnation;
	gateway_brittle_restore(g, s);
	if (u->limit_per_s > 0)
		balancer_set_limit(
		    g->balancer, now, s->balancer_handle, u->limit_per_s);
	if (u->paused_until_us > now)
		balancer_pause(
		    g->balancer, now, s->balancer_handle, u->paused_until_us);
	(void)g_hash_table_remove(g->unlisted, s->instance.id);
}
