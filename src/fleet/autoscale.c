#include "fleet/autoscale.h"

#include <assert.h>
#include <math.h>

/// Servers that should be left when the reclaimable ones of a data centre are
/// reclaimed, as a multiple of the needed ones: others crash or turn slow at
/// the same time.
#define LEFT_FACTOR 1.4
/// Part of a data centre's on-demand servers that is given up with one plan.
#define MAX_FALL_PART 0.25
/// With all reclaimable servers the plan has at most this many times the needed
/// ones.
#define MAX_FACTOR 2.0
/// Reclaimable servers are given up once there are more than this many times
/// those that it takes: the need changes with each sample, and a server that is
/// ordered again has to start, with an empty cache.
#define SURPLUS_FACTOR 1.1
/// Share of the needed servers that are on-demand: all that is left when every
/// reclaimable server is reclaimed.
#define ON_DEMAND_SHARE 0.2
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
/// reclaimable ones, as those of one are reclaimed together.
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

		if (in->zones[i].closed || o->spot >= fewest ||
		    o->on_demand + o->spot >= in->max_servers)
			continue;
		if (in->zones[i].spot_unavailable &&
		    o->spot >= in->zones[i].spot)
			continue;
		best = i;
		fewest = o->spot;
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

/// Number of planned reclaimable servers that take requests.
static uint32_t
count_spot(const struct autoscale_input *in, const struct autoscale_plan *plan)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < in->n_zones; i++) {
		if (!in->zones[i].closed)
			n += plan->zones[i].spot;
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

/// Number of data centres that can have reclaimable servers.
static uint32_t
count_spot_zones(const struct autoscale_input *in)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < in->n_zones; i++)
		n += !in->zones[i].closed && in->max_servers > in->min_servers;
	return n;
}

/// Number of reclaimable servers that the plan should have. Spread evenly over
/// the data centres, those that are left when one data centre's are reclaimed
/// make the needed ones together with the on-demand servers.
///
/// @param on_demand  servers that stay when all reclaimable ones run
static double
wanted_spot(const struct autoscale_input *in, uint32_t on_demand)
{
	const uint32_t n = count_spot_zones(in);
	const double left = in->needed_servers * LEFT_FACTOR;
	const double rest = fmax(left - on_demand, 0);
	const double most = in->needed_servers * MAX_FACTOR - on_demand;

	return n > 1 ? fmin(rest * n / (n - 1), most) : fmax(most, 0);
}

/// Moves one reclaimable server to the data centre with the fewest, if they are
/// uneven: those of one are reclaimed together.
static void
level_spot(const struct autoscale_input *in, struct autoscale_plan *out)
{
	const uint32_t to = zone_for_spot(in, out);
	const uint32_t from = zone_with_most_spot(in, out);

	if (to == in->n_zones || from == in->n_zones || in->need_is_guess ||
	    out->zones[from].spot < out->zones[to].spot + 2)
		return;
	out->zones[from].spot--;
	out->zones[to].spot++;
}

/// Adds or removes reclaimable servers until the plan has the number that it
/// should have.
///
/// @param on_demand  as for wanted_spot()
static void
plan_spot(const struct autoscale_input *in, uint32_t on_demand,
    struct autoscale_plan *out)
{
	const double wanted = wanted_spot(in, on_demand);

	while (count_spot(in, out) < wanted) {
		const uint32_t zone = zone_for_spot(in, out);

		if (zone == in->n_zones)
			return;
		out->zones[zone].spot++;
	}
	if (in->need_is_guess ||
	    count_spot(in, out) <= ceil(wanted * SURPLUS_FACTOR))
		return;
	while (count_spot(in, out) > ceil(wanted)) {
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

/// Keeps on-demand servers that run or are ordered for a while after a reclaim,
/// because reclaims come in waves and a server takes seconds to start.
/// Reclaimable servers that are only planned give way to them.
static void
keep_on_demand(const struct autoscale_input *in, struct autoscale_plan *out)
{
	for (uint32_t i = 0; i < in->n_zones; i++) {
		const struct autoscale_zone *z = &in->zones[i];
		struct autoscale_target *o = &out->zones[i];
		const uint32_t spot =
		    min_u32(z->spot + z->spot_starting, o->spot);
		const uint32_t fits =
		    min_u32(z->on_demand_expected, in->max_servers - spot);

		if (z->closed || fits <= o->on_demand)
			continue;
		o->on_demand = fits;
		o->spot = min_u32(o->spot, in->max_servers - fits);
	}
}

/// The cheapest data centre that has more on-demand servers than planned, and
/// room for them beside the reclaimable ones that exist; n_zones when none has.
static uint32_t
zone_to_keep(
    const struct autoscale_input *in, const struct autoscale_plan *plan)
{
	uint32_t best = in->n_zones;

	for (uint32_t i = 0; i < in->n_zones; i++) {
		const struct autoscale_zone *z = &in->zones[i];
		const struct autoscale_target *o = &plan->zones[i];
		const uint32_t spot =
		    min_u32(z->spot + z->spot_starting, o->spot);

		if (!z->closed && o->on_demand < z->on_demand &&
		    o->on_demand + spot < in->max_servers &&
		    (best == in->n_zones || z->price < in->zones[best].price))
			best = i;
	}
	return best;
}

/// Keeps on-demand servers that run, the cheapest first, until those that are
/// left after a reclaim are `enough`.
static void
keep_running(
    const struct autoscale_input *in, struct autoscale_plan *out, double enough)
{
	while (count_left(in, out) < enough) {
		const uint32_t zone = zone_to_keep(in, out);
		struct autoscale_target *o;

		if (zone == in->n_zones)
			return;
		o = &out->zones[zone];
		o->on_demand++;
		o->spot = min_u32(o->spot, in->max_servers - o->on_demand);
	}
}

/// Adds on-demand servers until those that are left after another reclaim are
/// enough: reclaims come in waves, and a server takes seconds to start.
static void
cover_next_reclaim(const struct autoscale_input *in, struct autoscale_plan *out)
{
	const double need = ceil(in->needed_servers);

	while (count_left(in, out) < need) {
		const uint32_t zone = zone_for_on_demand(in, out);

		if (zone == in->n_zones)
			return;
		out->zones[zone].on_demand++;
	}
}

/// Plans the servers of a service for each data centre.
///
/// @param out  is overwritten
void
autoscale_plan(const struct autoscale_input *in, struct autoscale_plan *out)
{
	uint32_t on_demand;

	assert(in->n_zones <= AUTOSCALE_MAX_ZONES);
	*out = (struct autoscale_plan){ 0 };
	plan_on_demand(in, out);
	on_demand = count_servers(in, out);
	for (uint32_t i = 0; i < in->n_zones && in->spot_price > 0; i++)
		out->zones[i].spot = retained_spot(in, out, i);
	cover_need(in, out);
	if (in->spot_price > 0) {
		plan_spot(in, on_demand, out);
		level_spot(in, out);
	}
	keep_running(
	    in, out, in->need_is_guess ? INFINITY : ceil(in->needed_servers));
	if (in->spot_reclaimed) {
		keep_on_demand(in, out);
		cover_next_reclaim(in, out);
	}
}

/// Lets the on-demand servers of each data centre fall by a part of them only:
/// a reclaim of several data centres at once may come while they are given up.
///
/// @param plan  of autoscale_plan()
void
autoscale_limit_fall(
    const struct autoscale_input *in, struct autoscale_plan *plan)
{
	for (uint32_t i = 0; i < in->n_zones; i++) {
		const struct autoscale_zone *z = &in->zones[i];
		struct autoscale_target *o = &plan->zones[i];
		const uint32_t least =
		    (uint32_t)ceil(z->on_demand * (1 - MAX_FALL_PART));
		const uint32_t room =
		    in->max_servers - min_u32(o->spot, in->max_servers);

		if (!z->closed && z->on_demand > 1 && o->on_demand < least)
			o->on_demand =
			    min_u32(min_u32(least, z->on_demand - 1), room);
	}
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
