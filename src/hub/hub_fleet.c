#include "hub/hub_internal.h"

/// Figures over all gateways. They are needed for each report of a gateway, so
/// computing them each time would cost the square of the number of gateways.

/// The figures are computed again after this time.
#define HUB_FLEET_AGE_US (100 * USEC_PER_MSEC)
/// A gateway that hasn't reported for this long may let requests pass without
/// asking for a grant.
#define HUB_QUOTA_SILENT_US (700 * USEC_PER_MSEC)

struct hub_fleet {
	uint64_t computed_us; ///< 0: never
	uint32_t n_live;
	int64_t clock_offset_us;
	double contact_share;
	GArray *offsets; ///< int64_t, of the clocks
};

static gint
by_offset(gconstpointer a, gconstpointer b)
{
	const gint64 x = *(const gint64 *)a;
	const gint64 y = *(const gint64 *)b;

	return x < y ? -1 : x > y;
}

static bool
is_alive(const struct hub_gateway *g, uint64_t now_us)
{
	return now_us < g->last_report_us + HUB_GATEWAY_LOST_US && !g->stopping;
}

/// Whether a gateway has reported within HUB_GATEWAY_LOST_US and isn't
/// stopping.
bool
hub_gateway_is_alive(const struct hub *h, const struct hub_gateway *g)
{
	return is_alive(g, loop_now_us(h->loop));
}

static void
compute(const struct hub *h, uint64_t now_us)
{
	const uint64_t lease_us =
	    (uint64_t)(h->settings.bounds.revoke_ms * USEC_PER_MSEC);
	const gint64 own = (gint64)loop_wall_us() - (gint64)now_us;
	struct hub_fleet *f = h->fleet;
	uint32_t in_contact = 0;
	uint32_t silent = 0;
	GHashTableIter it;
	gpointer value;

	f->computed_us = now_us;
	f->n_live = 0;
	g_array_set_size(f->offsets, 0);
	g_array_append_val(f->offsets, own);
	g_hash_table_iter_init(&it, h->gateways);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct hub_gateway *g = value;

		if (is_alive(g, now_us)) {
			f->n_live++;
			g_array_append_val(f->offsets, g->clock_offset_us);
		}
		if (g->stopping || now_us >= g->last_report_us + lease_us)
			continue;
		if (now_us < g->last_report_us + HUB_QUOTA_SILENT_US)
			in_contact++;
		else
			silent++;
	}
	g_array_sort(f->offsets, by_offset);
	f->clock_offset_us =
	    g_array_index(f->offsets, gint64, f->offsets->len / 2);
	f->contact_share =
	    in_contact == 0 ? 1 : (double)in_contact / (in_contact + silent);
}

static const struct hub_fleet *
current(const struct hub *h)
{
	const uint64_t now = loop_now_us(h->loop);

	if (h->fleet->computed_us == 0 ||
	    now >= h->fleet->computed_us + HUB_FLEET_AGE_US)
		compute(h, now);
	return h->fleet;
}

/// Number of gateways that are alive.
uint32_t
hub_fleet_live(const struct hub *h)
{
	return current(h)->n_live;
}

/// Part of the gateways that may let requests pass now that is in contact with
/// this process. One that is silent may be cut off, and goes on until its lease
/// ends.
double
hub_fleet_contact_share(const struct hub *h)
{
	return current(h)->contact_share;
}

/// Time since 1970 in microseconds: the median of the clocks of this process
/// and of the live gateways, so that a minority of wrong clocks has no effect.
uint64_t
hub_wall_clock_us(const struct hub *h)
{
	const int64_t offset_us = current(h)->clock_offset_us;

	return (uint64_t)((int64_t)loop_now_us(h->loop) + offset_us);
}

/// Makes the figures, to be released with hub_fleet_stop().
void
hub_fleet_start(struct hub *h)
{
	h->fleet = g_new0(struct hub_fleet, 1);
	h->fleet->offsets = g_array_new(FALSE, FALSE, sizeof(gint64));
}

/// Releases the figures.
void
hub_fleet_stop(struct hub *h)
{
	g_array_unref(h->fleet->offsets);
	g_free(h->fleet);
}
