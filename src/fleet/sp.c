#include "fleet/sp.h"

#include <assert.h>
#include <math.h>

/// Reclaimable servers are held for so many times the need, so that the loss
/// of a data centre's leaves enough.
#define SPOT_FACTOR 2.0
/// On-demand servers carry this share of the need by themselves: it is what is
/// left when all reclaimable ones go.
#define FIXED_SHARE 0.33

static uint32_t
least(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/// Whether another on-demand server is better there than in the best place so
/// far: where one runs already, else where it is cheapest.
static bool
is_better(const struct sp_input *in, const struct sp_plan *plan, uint32_t at,
    uint32_t best)
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
place_fixed(const struct sp_input *in, const struct sp_plan *plan)
{
	uint32_t best = in->n_zones;

	for (uint32_t i = 0; i < in->n_zones; i++) {
		const struct sp_order *o = &plan->zones[i];

		if (o->fixed + o->spot >= in->max_servers)
			continue;
		if (in->zones[i].fixed_dry && o->fixed >= in->zones[i].fixed)
			continue;
		if (is_better(in, plan, i, best))
			best = i;
	}
	return best;
}

/// The data centre with room that has the fewest servers.
static uint32_t
emptiest(const struct sp_input *in, const struct sp_plan *plan)
{
	uint32_t best = in->n_zones;
	uint32_t fewest = UINT32_MAX;

	for (uint32_t i = 0; i < in->n_zones; i++) {
		const struct sp_order *o = &plan->zones[i];
		const uint32_t n = o->fixed + o->spot;

		if (n >= in->max_servers || n >= fewest)
			continue;
		if (in->zones[i].spot_dry && o->spot >= in->zones[i].spot)
			continue;
		best = i;
		fewest = n;
	}
	return best;
}

/// Servers that the plan would have soon. Reclaimable ones count once they are
/// there or their order was accepted.
static uint32_t
count(const struct sp_input *in, const struct sp_plan *plan)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < in->n_zones; i++) {
		const struct sp_zone *z = &in->zones[i];
		const struct sp_order *o = &plan->zones[i];

		n += o->fixed + least(o->spot, z->spot + z->starting);
	}
	return n;
}

/// Plans the servers of a service.
void
sp_plan(const struct sp_input *in, struct sp_plan *out)
{
	const uint32_t need = (uint32_t)ceil(in->need);
	const uint32_t fixed = (uint32_t)ceil(in->need * FIXED_SHARE);
	uint32_t want = (uint32_t)ceil(in->need * SPOT_FACTOR);
	uint32_t n = 0;

	assert(in->n_zones <= SP_MAX_ZONES);
	*out = (struct sp_plan){ 0 };
	for (uint32_t i = 0; i < in->n_zones; i++) {
		out->zones[i].fixed = in->min_servers;
		n += in->min_servers;
	}
	for (; n < fixed; n++) {
		const uint32_t at = place_fixed(in, out);

		if (at == in->n_zones)
			break;
		out->zones[at].fixed++;
	}
	if (in->spot_price <= 0)
		want = n;
	for (; n < want; n++) {
		const uint32_t at = emptiest(in, out);

		if (at == in->n_zones)
			break;
		out->zones[at].spot++;
	}
	// What reclaimable servers can't carry now, on-demand ones must.
	while (count(in, out) < need) {
		const uint32_t at = place_fixed(in, out);

		if (at == in->n_zones)
			break;
		out->zones[at].fixed++;
	}
}
