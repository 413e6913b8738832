#include "placement/plan.h"

#include <string.h>

/// A VM that stands counts as this much cheaper, so that small changes of
/// the demand do not swap VMs.
#define KEEP_DISCOUNT 0.9

#define POWERS 3

/// State of one greedy run. lack[d] is the capacity missing when data
/// centre d is lost; the last one is for no loss at all.
struct run {
	const struct plan *q;
	uint32_t n;
	double lack[PLACEMENT_MAX_DATA_CENTRES + 1];
	uint32_t target[PLACEMENT_MAX_CLASSES];
};

/// Data centres that can take work at all.
static uint32_t
usable(const struct plan *q)
{
	bool seen[PLACEMENT_MAX_DATA_CENTRES] = { false };
	uint32_t n = 0;

	for (uint32_t i = 0; i < q->world->n_classes; i++) {
		const uint32_t dc = q->world->classes[i].data_centre;

		if (q->most[i] == 0 || seen[dc])
			continue;
		seen[dc] = true;
		n++;
	}
	return n;
}

static void
add(struct run *r, uint32_t class_index, int count)
{
	const struct placement_class *c = &r->q->world->classes[class_index];

	for (uint32_t d = 0; d < r->n; d++) {
		if (d != c->data_centre)
			r->lack[d] -= (double)c->tokens_per_s * count;
	}
	r->target[class_index] =
	    (uint32_t)((int64_t)r->target[class_index] + count);
}

static bool
is_met(const struct run *r)
{
	for (uint32_t d = 0; d < r->n; d++) {
		if (r->lack[d] > 0)
			return false;
	}
	return true;
}

static double
power_of(double x, int power)
{
	double out = 1;

	if (x <= 0)
		return 0;
	for (int i = 0; i < power; i++)
		out *= x;
	return out;
}

/// How much one more VM of a class eases what is lacking. A greater power
/// weighs the data centre whose loss would hurt most.
static double
gain(const struct run *r, const struct placement_class *c, int power)
{
	const double need = r->q->tokens_per_s;
	double sum = 0;

	for (uint32_t d = 0; d < r->n; d++) {
		if (d == c->data_centre)
			continue;
		sum += power_of(r->lack[d] / need, power) -
		    power_of((r->lack[d] - c->tokens_per_s) / need, power);
	}
	return sum;
}

static double
price_of(const struct run *r, uint32_t class_index)
{
	const struct placement_class *c = &r->q->world->classes[class_index];
	const double price = (double)c->price_micros_per_hour + 1;

	if (r->target[class_index] < r->q->have[class_index])
		return price * KEEP_DISCOUNT;
	return price;
}

/// The class that eases most for its price.
///
/// @return its index, n_classes when none is left
static uint32_t
best_class(const struct run *r, int power)
{
	const struct placement_inputs *w = r->q->world;
	uint32_t best = w->n_classes;
	double best_value = 0;

	for (uint32_t i = 0; i < w->n_classes; i++) {
		double value;

		if (r->target[i] >= r->q->most[i])
			continue;
		value = gain(r, &w->classes[i], power) / price_of(r, i);
		if (value <= best_value)
			continue;
		best_value = value;
		best = i;
	}
	return best;
}

/// The dearest class of which one VM can be spared.
static uint32_t
spare_class(struct run *r)
{
	const struct placement_inputs *w = r->q->world;
	uint32_t best = w->n_classes;
	double best_price = 0;

	for (uint32_t i = 0; i < w->n_classes; i++) {
		bool met;
		double price;

		if (r->target[i] <= r->q->least[i])
			continue;
		add(r, i, -1);
		met = is_met(r);
		price = price_of(r, i);
		add(r, i, 1);
		if (!met || price <= best_price)
			continue;
		best_price = price;
		best = i;
	}
	return best;
}

static void
start(struct run *r, const struct plan *q)
{
	const bool spare = usable(q) > 1;

	memset(r, 0, sizeof(*r));
	r->q = q;
	r->n = q->world->n_data_centres;
	for (uint32_t d = 0; d < r->n; d++)
		r->lack[d] = spare ? q->tokens_per_s : 0;
	r->lack[r->n] = q->tokens_per_s; // of no class's data centre
	r->n++;
	for (uint32_t i = 0; i < q->world->n_classes; i++)
		add(r, i, (int)q->least[i]);
}

static bool
greedy(struct run *r, int power)
{
	const uint32_t none = r->q->world->n_classes;
	uint32_t at;

	while (!is_met(r)) {
		at = best_class(r, power);
		if (at == none)
			return false;
		add(r, at, 1);
	}
	for (at = spare_class(r); at != none; at = spare_class(r))
		add(r, at, -1);
	return true;
}

static double
cost(const struct run *r)
{
	const struct placement_inputs *w = r->q->world;
	double sum = 0;

	for (uint32_t i = 0; i < w->n_classes; i++) {
		const uint32_t kept =
		    r->target[i] < r->q->have[i] ? r->target[i] : r->q->have[i];
		const double price =
		    (double)w->classes[i].price_micros_per_hour;

		sum += price * (r->target[i] - kept);
		sum += price * KEEP_DISCOUNT * kept;
	}
	return sum;
}

/// Plans how many VMs of each class to hold: greedy by what a VM eases for
/// its price, tried with several ways of weighing data centres.
///
/// @param target  the cheapest plan found; all there is when none suffices
/// @return whether it suffices
bool
plan_solve(const struct plan *q, uint32_t *target)
{
	static const int powers[POWERS] = { 1, 2, 4 };
	bool found = false;
	double best = 0;

	for (int i = 0; i < POWERS; i++) {
		struct run r;
		bool met;

		start(&r, q);
		met = greedy(&r, powers[i]);
		if ((found && !met) || (found && cost(&r) >= best))
			continue;
		found = met;
		best = cost(&r);
		memcpy(target, r.target, sizeof(r.target));
	}
	return found;
}

/// Price of a plan an hour, in millionths of the currency.
uint64_t
plan_price(const struct placement_inputs *w, const uint32_t *target)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < w->n_classes; i++)
		sum += w->classes[i].price_micros_per_hour * target[i];
	return sum;
}
