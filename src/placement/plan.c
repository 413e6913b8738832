#include "placement/plan.h"

#include <string.h>

/// Factor on the price of a VM that exists already, so that small changes of
/// the demand do not replace VMs by others.
#define KEEP_DISCOUNT 0.9

/// Number of exponents that plan_solve() tries, see gain().
#define N_POWERS 3

/// State of one greedy run of plan_solve(). shortfall[d] is the capacity
/// missing when data centre d is lost; the last entry is for no loss at all.
struct run {
	const struct plan *q;
	uint32_t n; ///< entries of shortfall
	double shortfall[PLACEMENT_MAX_DATA_CENTRES + 1];
	uint32_t target[PLACEMENT_MAX_CLASSES];
};

/// Number of data centres in which a plan may have VMs.
static uint32_t
count_usable_data_centres(const struct plan *q)
{
	bool seen[PLACEMENT_MAX_DATA_CENTRES] = { false };
	uint32_t n = 0;

	for (uint32_t i = 0; i < q->inputs->n_classes; i++) {
		const uint32_t dc = q->inputs->classes[i].data_centre;

		if (q->max_vms[i] == 0 || seen[dc])
			continue;
		seen[dc] = true;
		n++;
	}
	return n;
}

/// Adds VMs of a class to the plan, or removes them when `count` is negative.
static void
add_vms(struct run *r, uint32_t class_index, int count)
{
	const struct placement_class *c = &r->q->inputs->classes[class_index];

	for (uint32_t d = 0; d < r->n; d++) {
		if (d != c->data_centre)
			r->shortfall[d] -= (double)c->tokens_per_s * count;
	}
	r->target[class_index] =
	    (uint32_t)((int64_t)r->target[class_index] + count);
}

static bool
is_met(const struct run *r)
{
	for (uint32_t d = 0; d < r->n; d++) {
		if (r->shortfall[d] > 0)
			return false;
	}
	return true;
}

/// x to the given power; 0 when x is not positive.
static double
power_or_zero(double x, int power)
{
	double out = 1;

	if (x <= 0)
		return 0;
	for (int i = 0; i < power; i++)
		out *= x;
	return out;
}

/// How much one more VM of a class reduces the shortfalls. A greater power
/// gives more weight to the data centre whose loss leaves the largest
/// shortfall.
static double
gain(const struct run *r, const struct placement_class *c, int power)
{
	const double required = r->q->tokens_per_s;
	double sum = 0;

	for (uint32_t d = 0; d < r->n; d++) {
		if (d == c->data_centre)
			continue;
		sum += power_or_zero(r->shortfall[d] / required, power) -
		    power_or_zero(
			(r->shortfall[d] - c->tokens_per_s) / required, power);
	}
	return sum;
}

/// Price per hour of the next VM of a class, in millionths of the currency,
/// plus one so that a gain can be divided by a price of 0.
static double
price_of(const struct run *r, uint32_t class_index)
{
	const struct placement_class *c = &r->q->inputs->classes[class_index];
	const double price = (double)c->price_micros_per_hour + 1;

	if (r->target[class_index] < r->q->current_vms[class_index])
		return price * KEEP_DISCOUNT;
	return price;
}

/// The class with the greatest gain for its price.
///
/// @return its index; n_classes when no class can be added with a gain
static uint32_t
best_class(const struct run *r, int power)
{
	const struct placement_inputs *in = r->q->inputs;
	uint32_t best = in->n_classes;
	double best_value = 0;

	for (uint32_t i = 0; i < in->n_classes; i++) {
		double value;

		if (r->target[i] >= r->q->max_vms[i])
			continue;
		value = gain(r, &in->classes[i], power) / price_of(r, i);
		if (value <= best_value)
			continue;
		best_value = value;
		best = i;
	}
	return best;
}

/// The most expensive class of which one VM can be removed with the capacity
/// still met.
///
/// @return its index; n_classes when there is none
static uint32_t
removable_class(struct run *r)
{
	const struct placement_inputs *in = r->q->inputs;
	uint32_t best = in->n_classes;
	double best_price = 0;

	for (uint32_t i = 0; i < in->n_classes; i++) {
		bool met;
		double price;

		if (r->target[i] <= r->q->min_vms[i])
			continue;
		add_vms(r, i, -1);
		met = is_met(r);
		price = price_of(r, i);
		add_vms(r, i, 1);
		if (!met || price <= best_price)
			continue;
		best_price = price;
		best = i;
	}
	return best;
}

/// Starts a run with the VMs that every plan includes. The loss of a data
/// centre is planned for only when more than one can be used.
static void
run_init(struct run *r, const struct plan *q)
{
	const bool plan_for_loss = count_usable_data_centres(q) > 1;

	memset(r, 0, sizeof(*r));
	r->q = q;
	r->n = q->inputs->n_data_centres;
	for (uint32_t d = 0; d < r->n; d++)
		r->shortfall[d] = plan_for_loss ? q->tokens_per_s : 0;
	r->shortfall[r->n] = q->tokens_per_s; // no data centre lost
	r->n++;
	for (uint32_t i = 0; i < q->inputs->n_classes; i++)
		add_vms(r, i, (int)q->min_vms[i]);
}

/// Adds VMs until the capacity is met, then removes those that turn out not to
/// be needed.
///
/// @return false when all allowed VMs do not suffice
static bool
run_greedy(struct run *r, int power)
{
	const uint32_t none = r->q->inputs->n_classes;
	uint32_t i;

	while (!is_met(r)) {
		i = best_class(r, power);
		if (i == none)
			return false;
		add_vms(r, i, 1);
	}
	for (i = removable_class(r); i != none; i = removable_class(r))
		add_vms(r, i, -1);
	return true;
}

/// Price per hour of the plan that a run made, in millionths of the currency,
/// with the discount for VMs that exist.
static double
run_cost(const struct run *r)
{
	const struct placement_inputs *in = r->q->inputs;
	double sum = 0;

	for (uint32_t i = 0; i < in->n_classes; i++) {
		const uint32_t kept = r->target[i] < r->q->current_vms[i]
		    ? r->target[i]
		    : r->q->current_vms[i];
		const double price =
		    (double)in->classes[i].price_micros_per_hour;

		sum += price * (r->target[i] - kept);
		sum += price * KEEP_DISCOUNT * kept;
	}
	return sum;
}

/// Plans how many VMs of each class to have, greedily by gain for the price.
/// Runs once for each of several powers, see gain(), and takes the cheapest
/// result.
///
/// @param target  PLACEMENT_MAX_CLASSES counts: the cheapest plan found; when
///                none suffices, all allowed VMs that add to the capacity
/// @return whether the plan keeps the capacity
bool
plan_solve(const struct plan *q, uint32_t *target)
{
	static const int powers[N_POWERS] = { 1, 2, 4 };
	bool found = false;
	double best = 0;

	for (int i = 0; i < N_POWERS; i++) {
		struct run r;
		bool met;

		run_init(&r, q);
		met = run_greedy(&r, powers[i]);
		if ((found && !met) || (found && run_cost(&r) >= best))
			continue;
		found = met;
		best = run_cost(&r);
		memcpy(target, r.target, sizeof(r.target));
	}
	return found;
}

/// Price of a plan per hour, in millionths of the currency.
uint64_t
plan_price(const struct placement_inputs *in, const uint32_t *target)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < in->n_classes; i++)
		sum += in->classes[i].price_micros_per_hour * target[i];
	return sum;
}
