#include "fleet/autoscale.h"

#include <assert.h>
#include <math.h>

/// With reclaimable servers the plan has this many times the needed servers, so
/// that enough are left when those of one data centre are reclaimed.
#define SPOT_FACTOR 2.0
/// Share of the needed servers that are on-demand: all that is left when every
/// reclaimable server is reclaimed.
#define ON_DEMAND_SHARE 0.33
/// The loss of this share of the reclaimable servers at once counts as a
/// reclaim of the data centre; the loss of fewer than RECLAIM_MIN_SERVERS never
/// does.
#define RECLAIM_SHARE 0.2
#define RECLAIM_MIN_SERVERS 2
/// How long on-demand servers are kept after a reclaim. Reclaims come in waves;
/// this is longer than two starts of a server.
#define RESERVE_US 15000000

static uint32_t
min_u32(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/// Whether another on-demand server is better placed in zone `i` than in zone
/// `best`: where one runs already, else where it is cheaper.
static bool
is_better_zone(const struct autoscale_input *in,
    const struct autoscale_plan *plan, uint32_t i, uint32_t best)
{
	bool runs;
	bool best_runs;

	if (best == in->n_zones)
		return true;
	runs = plan->zones[i].on_demand < in->zones[i].on_demand;
	best_runs = plan->zones[best].on_demand < in->zones[best].on_demand;
	if (runs != best_runs)
		return runs;
	return in->zones[i].price < in->zones[best].price;
}

/// The data centre for another on-demand server.
///
/// @return its index; n_zones when none can have one
static uint32_t
zone_for_on_demand(
    const struct autoscale_input *in, const struct autoscale_plan *plan)
{
	uint32_t best = in->n_zones;

	for (uint32_t i = 0; i < in->n_zones; i++) {
		const struct autoscale_target *o = &plan->zones[i];

		if (in->zones[i].closed ||
		    o->on_demand + o->spot >= in->max_servers)
			continue;
		if (in->zones[i].on_demand_unavailable &&
		    o->on_demand >= in->zones[i].on_demand)
			continue;
		if (is_better_zone(in, plan, i, best))
			best = i;
	}
	return best;
}

/// The data centre for another reclaimable server: the one with the fewest
/// servers.
///
/// @return its index; n_zones when none can have one
static uint32_t
zone_for_spot(
    const struct autoscale_input *in, const struct autoscale_plan *plan)
{
	uint32_t best = in->n_zones;
	uint32_t fewest = UINT32_MAX;

	for (uint32_t i = 0; i < in->n_zones; i++) {
		const struct autoscale_target *o = &plan->zones[i];
		const uint32_t n = o->on_demand + o->spot;

		if (in->zones[i].closed || n >= in->max_servers || n >= fewest)
			continue;
		if (in->zones[i].spot_unavailable &&
		    o->spot >= in->zones[i].spot)
			continue;
		best = i;
		fewest = n;
	}
	return best;
}

/// Number of reclaimable servers that run or whose order was accepted, limited
/// to the room in the data centre.
static uint32_t
retained_spot(const struct autoscale_input *in,
    const struct autoscale_plan *plan, uint32_t i)
{
	const struct autoscale_zone *z = &in->zones[i];
	const uint32_t room = in->max_servers - plan->zones[i].on_demand;

	return z->closed ? 0 : min_u32(z->spot + z->spot_starting, room);
}

/// Number of planned servers that take requests.
static uint32_t
count_servers(
    const struct autoscale_input *in, const struct autoscale_plan *plan)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < in->n_zones; i++) {
		if (!in->zones[i].closed)
			n += plan->zones[i].on_demand + plan->zones[i].spot;
	}
	return n;
}

/// Plans on-demand servers: the minimum in each data centre, and more until all
/// data centres together have the ON_DEMAND_SHARE of the need that must remain
/// when all reclaimable servers are reclaimed.
static void
plan_on_demand(const struct autoscale_input *in, struct autoscale_plan *out)
{
	const uint32_t wanted =
	    (uint32_t)ceil(in->needed_servers * ON_DEMAND_SHARE);

	for (uint32_t i = 0; i < in->n_zones; i++)
		out->zones[i].on_demand =
		    min_u32(in->min_servers, in->max_servers);
	while (count_servers(in, out) < wanted) {
		const uint32_t zone = zone_for_on_demand(in, out);

		if (zone == in->n_zones)
			return;
		out->zones[zone].on_demand++;
	}
}

/// Adds on-demand servers for the need that the reclaimable ones planned so far
/// don't cover.
static void
cover_need(const struct autoscale_input *in, struct autoscale_plan *out)
{
	const uint32_t need = (uint32_t)ceil(in->needed_servers);

	while (count_servers(in, out) < need) {
		const uint32_t zone = zone_for_on_demand(in, out);

		if (zone == in->n_zones)
			return;
		out->zones[zone].on_demand++;
	}
}

/// The data centre with the most planned reclaimable servers; n_zones when none
/// has any.
static uint32_t
zone_with_most_spot(
    const struct autoscale_input *in, const struct autoscale_plan *plan)
{
	uint32_t best = in->n_zones;

	for (uint32_t i = 0; i < in->n_zones; i++) {
		if (plan->zones[i].spot > 0 &&
		    (best == in->n_zones ||
			plan->zones[i].spot > plan->zones[best].spot))
			best = i;
	}
	return best;
}

/// Adds or removes reclaimable servers until the plan has SPOT_FACTOR times the
/// needed servers.
static void
plan_spot(const struct autoscale_input *in, struct autoscale_plan *out)
{
	const uint32_t wanted =
	    (uint32_t)ceil(in->needed_servers * SPOT_FACTOR);

	while (count_servers(in, out) < wanted) {
		const uint32_t zone = zone_for_spot(in, out);

		if (zone == in->n_zones)
			return;
		out->zones[zone].spot++;
	}
	while (count_servers(in, out) > wanted) {
		const uint32_t zone = zone_with_most_spot(in, out);

		if (zone == in->n_zones)
			return;
		out->zones[zone].spot--;
	}
}

/// Number of servers left if the data centre with the most running reclaimable
/// servers loses them. Counts planned on-demand and running reclaimable
/// servers.
static uint32_t
count_left(const struct autoscale_input *in, const struct autoscale_plan *plan)
{
	uint32_t n = 0;
	uint32_t largest = 0;

	for (uint32_t i = 0; i < in->n_zones; i++) {
		if (in->zones[i].closed)
			continue;
		n += plan->zones[i].on_demand + in->zones[i].spot;
		if (in->zones[i].spot > largest)
			largest = in->zones[i].spot;
	}
	return n - largest;
}

/// Keeps the on-demand servers of a data centre, running or ordered, as far as
/// they fit beside the planned reclaimable ones. Reclaimable servers that are
/// only planned are dropped for more on-demand ones as long as the next reclaim
/// would leave fewer servers than needed.
static void
keep_on_demand_in(
    const struct autoscale_input *in, struct autoscale_plan *out, uint32_t i)
{
	const uint32_t need = (uint32_t)ceil(in->needed_servers);
	const struct autoscale_zone *z = &in->zones[i];
	struct autoscale_target *o = &out->zones[i];
	const uint32_t existing_spot =
	    min_u32(z->spot + z->spot_starting, o->spot);
	const uint32_t fits_planned =
	    min_u32(z->on_demand_expected, in->max_servers - o->spot);
	const uint32_t fits_existing =
	    min_u32(z->on_demand_expected, in->max_servers - existing_spot);
	uint32_t left;

	if (fits_planned > o->on_demand)
		o->on_demand = fits_planned;
	left = count_left(in, out);
	if (fits_existing <= o->on_demand || left >= need)
		return;
	o->on_demand = min_u32(fits_existing, o->on_demand + need - left);
	o->spot = min_u32(o->spot, in->max_servers - o->on_demand);
}

/// Keeps on-demand servers that run or are ordered for a while after a reclaim,
/// because reclaims come in waves and a server takes seconds to start.
static void
keep_on_demand(const struct autoscale_input *in, struct autoscale_plan *out)
{
	for (uint32_t i = 0; i < in->n_zones; i++) {
		if (!in->zones[i].closed)
			keep_on_demand_in(in, out, i);
	}
}

/// Plans the servers of a service for each data centre.
///
/// @param out  is overwritten
void
autoscale_plan(const struct autoscale_input *in, struct autoscale_plan *out)
{
	assert(in->n_zones <= AUTOSCALE_MAX_ZONES);
	*out = (struct autoscale_plan){ 0 };
	plan_on_demand(in, out);
	for (uint32_t i = 0; i < in->n_zones && in->spot_price > 0; i++)
		out->zones[i].spot = retained_spot(in, out, i);
	cover_need(in, out);
	if (in->spot_price > 0)
		plan_spot(in, out);
	if (in->spot_reclaimed)
		keep_on_demand(in, out);
}

/// Records the number of reclaimable servers and detects a reclaim.
///
/// @param have    reclaimable servers now
/// @param wanted  number ordered last; UINT32_MAX: nothing was ordered. Servers
///                beyond it aren't expected, so losing them is no reclaim.
/// @return whether on-demand servers are to be kept, because reclaimable ones
///         were reclaimed recently
bool
autoscale_reclaim_watch_step(struct autoscale_reclaim_watch *r, uint64_t now_us,
    uint32_t have, uint32_t wanted)
{
	const uint32_t expected =
	    r->last_count < wanted ? r->last_count : wanted;
	const uint32_t lost = have < expected ? expected - have : 0;

	if (lost >= RECLAIM_MIN_SERVERS && lost >= expected * RECLAIM_SHARE)
		r->hold_until_us = now_us + RESERVE_US;
	r->last_count = have;
	return now_us < r->hold_until_us;
}
