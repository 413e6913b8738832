#include "fleet/autoscale.h"

#include <assert.h>
#include <math.h>

/// Reclaimable servers are held for so many times the need, so that the loss
/// of a data centre's leaves enough.
#define SPOT_FACTOR 2.0
/// On-demand servers carry this share of the need by themselves: it is what is
/// left when all reclaimable ones go.
#define FIXED_SHARE 0.33
/// Losing this share of the reclaimable servers at once is a recall; the loss
/// of a single one isn't.
#define RECALL_SHARE 0.2
#define RECALL_MIN 2
/// Recalls come in waves; a reserve outlasts two starts of a server.
#define RESERVE_US 15000000

static uint32_t
least(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/// Whether another on-demand server is better there than in the best place so
/// far: where one runs already, else where it is cheapest.
static bool
is_better(const struct autoscale_input *in, const struct autoscale_plan *plan,
    uint32_t at, uint32_t best)
{
	bool runs;
	bool best_runs;

	if (best == in->n_zones)
		return true;
	runs = plan->zones[at].fixed < in->zones[at].fixed;
	best_runs = plan->zones[best].fixed < in->zones[best].fixed;
	if (runs != best_runs)
		return runs;
	return in->zones[at].price < in->zones[best].price;
}

/// The data centre for another on-demand server.
static uint32_t
place_fixed(const struct autoscale_input *in, const struct autoscale_plan *plan)
{
	uint32_t best = in->n_zones;

	for (uint32_t i = 0; i < in->n_zones; i++) {
		const struct autoscale_target *o = &plan->zones[i];

		if (o->fixed + o->spot >= in->max_servers)
			continue;
		if (in->zones[i].on_demand_unavailable &&
		    o->fixed >= in->zones[i].fixed)
			continue;
		if (is_better(in, plan, i, best))
			best = i;
	}
	return best;
}

/// The data centre with room that has the fewest servers.
static uint32_t
emptiest(const struct autoscale_input *in, const struct autoscale_plan *plan)
{
	uint32_t best = in->n_zones;
	uint32_t fewest = UINT32_MAX;

	for (uint32_t i = 0; i < in->n_zones; i++) {
		const struct autoscale_target *o = &plan->zones[i];
		const uint32_t n = o->fixed + o->spot;

		if (n >= in->max_servers || n >= fewest)
			continue;
		if (in->zones[i].spot_unavailable &&
		    o->spot >= in->zones[i].spot)
			continue;
		best = i;
		fewest = n;
	}
	return best;
}

/// Reclaimable servers that are there or whose order was accepted, as far as
/// the data centre has room for them.
static uint32_t
kept_spot(const struct autoscale_input *in, const struct autoscale_plan *plan,
    uint32_t i)
{
	const struct autoscale_zone *z = &in->zones[i];
	const uint32_t room = in->max_servers - plan->zones[i].fixed;

	return least(z->spot + z->starting, room);
}

static uint32_t
count(const struct autoscale_input *in, const struct autoscale_plan *plan)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < in->n_zones; i++)
		n += plan->zones[i].fixed + plan->zones[i].spot;
	return n;
}

/// Gives the least and what must stay when all reclaimable servers go.
static void
plan_base(const struct autoscale_input *in, struct autoscale_plan *out)
{
	const uint32_t base = (uint32_t)ceil(in->need * FIXED_SHARE);

	for (uint32_t i = 0; i < in->n_zones; i++)
		out->zones[i].fixed = least(in->min_servers, in->max_servers);
	while (count(in, out) < base) {
		const uint32_t at = place_fixed(in, out);

		if (at == in->n_zones)
			return;
		out->zones[at].fixed++;
	}
}

/// What reclaimable servers can't carry now, on-demand ones must.
static void
fill_up(const struct autoscale_input *in, struct autoscale_plan *out)
{
	const uint32_t need = (uint32_t)ceil(in->need);

	while (count(in, out) < need) {
		const uint32_t at = place_fixed(in, out);

		if (at == in->n_zones)
			return;
		out->zones[at].fixed++;
	}
}

static uint32_t
fullest_spot(
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

/// Brings reclaimable servers to the number that is wanted in all.
static void
plan_spot(const struct autoscale_input *in, struct autoscale_plan *out)
{
	const uint32_t want = (uint32_t)ceil(in->need * SPOT_FACTOR);

	while (count(in, out) < want) {
		const uint32_t at = emptiest(in, out);

		if (at == in->n_zones)
			return;
		out->zones[at].spot++;
	}
	while (count(in, out) > want) {
		const uint32_t at = fullest_spot(in, out);

		if (at == in->n_zones)
			return;
		out->zones[at].spot--;
	}
}

/// Servers that are left if the data centre with most reclaimable ones loses
/// these.
static uint32_t
count_left(const struct autoscale_input *in, const struct autoscale_plan *plan)
{
	uint32_t n = 0;
	uint32_t most = 0;

	for (uint32_t i = 0; i < in->n_zones; i++) {
		n += plan->zones[i].fixed + in->zones[i].spot;
		if (in->zones[i].spot > most)
			most = in->zones[i].spot;
	}
	return n - most;
}

/// Keeps the on-demand servers of a data centre as far as it has room beside
/// the reclaimable ones. Where these are only wished for, they give way as long
/// as the next recall would leave less than the work needs.
static void
keep_fixed_of(
    const struct autoscale_input *in, struct autoscale_plan *out, uint32_t i)
{
	const uint32_t need = (uint32_t)ceil(in->need);
	const struct autoscale_zone *z = &in->zones[i];
	struct autoscale_target *o = &out->zones[i];
	const uint32_t there = least(z->spot + z->starting, o->spot);
	const uint32_t beside = least(z->coming, in->max_servers - o->spot);
	const uint32_t keep = least(z->coming, in->max_servers - there);
	uint32_t left;

	if (beside > o->fixed)
		o->fixed = beside;
	left = count_left(in, out);
	if (keep <= o->fixed || left >= need)
		return;
	o->fixed = least(keep, o->fixed + need - left);
	o->spot = least(o->spot, in->max_servers - o->fixed);
}

/// Recalls come in waves, and a server takes seconds to start: on-demand ones
/// that are there or on their way stay for a while.
static void
keep_fixed(const struct autoscale_input *in, struct autoscale_plan *out)
{
	for (uint32_t i = 0; i < in->n_zones; i++)
		keep_fixed_of(in, out, i);
}

/// Plans the servers of a service.
void
autoscale_plan(const struct autoscale_input *in, struct autoscale_plan *out)
{
	assert(in->n_zones <= AUTOSCALE_MAX_ZONES);
	*out = (struct autoscale_plan){ 0 };
	plan_base(in, out);
	for (uint32_t i = 0; i < in->n_zones && in->spot_price > 0; i++)
		out->zones[i].spot = kept_spot(in, out, i);
	fill_up(in, out);
	if (in->spot_price > 0)
		plan_spot(in, out);
	if (in->recalled)
		keep_fixed(in, out);
}

/// Notes how many reclaimable servers there are.
///
/// @param wanted  ordered last, UINT32_MAX: nothing; a loss counts only as far
///                as it wasn't ordered
/// @return whether fixed servers are to be kept, since some were recalled
bool
autoscale_reclaim_watch_step(struct autoscale_reclaim_watch *r, uint64_t now_us,
    uint32_t have, uint32_t wanted)
{
	const uint32_t due = r->had < wanted ? r->had : wanted;
	const uint32_t lost = have < due ? due - have : 0;

	if (lost >= RECALL_MIN && lost >= due * RECALL_SHARE)
		r->until_us = now_us + RESERVE_US;
	r->had = have;
	return now_us < r->until_us;
}
