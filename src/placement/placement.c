#include "placement/placement.h"

#include "base/inv.h"
#include "base/rnd.h"
#include "base/timerq.h"
#include "placement/plan.h"
#include "placement/weights.h"

#include <assert.h>
#include <glib.h>
#include <math.h>
#include <string.h>

#define HEADROOM_PERMILLE 250
#define START_US (120 * USEC_PER_SEC)
#define HOLD_US (600 * USEC_PER_SEC)
#define SURPLUS_US (300 * USEC_PER_SEC)
#define BACKOFF_US (30 * USEC_PER_SEC)
#define BACKOFF_MAX_US (900 * USEC_PER_SEC)
#define STORE_BYTES_PER_S 1000000000ULL
#define STORE_SLOTS 4
#define VERSIONS_A_VM 2

/// A VM is a surplus when it is not needed for this much more than the
/// greatest need of late, which fades over this many settings.surplus_us.
#define KEEP_FACTOR 1.04
#define PEAK_FADE_SURPLUSES 12

/// Waits after a refusal are spread by up to this part of their length.
#define BACKOFF_SPREAD 0.25

struct class_state {
	uint64_t no_start_until_us;
	uint64_t backoff_us;
	uint64_t surplus_since_us; ///< 0: no surplus
};

struct placement {
	struct placement_settings settings;
	struct rnd *rnd;
	struct class_state classes[PLACEMENT_MAX_CLASSES];
	double peak_tokens_per_s; ///< greatest need of late, fading
	uint64_t peak_us;         ///< when it was last worked out
};

struct tick {
	struct placement *p;
	uint64_t now_us;
	const struct placement_inputs *w;
	placement_effect_cb cb;
	void *arg;
	struct plan plan;
	uint32_t target[PLACEMENT_MAX_CLASSES]; ///< to be held
	uint32_t keep[PLACEMENT_MAX_CLASSES];   ///< more than this is a surplus
	double lost[PLACEMENT_MAX_DATA_CENTRES]; ///< live capacity drained now
};

static void
set_defaults(struct placement_settings *s)
{
	if (s->headroom_permille == 0)
		s->headroom_permille = HEADROOM_PERMILLE;
	if (s->start_us == 0)
		s->start_us = START_US;
	if (s->min_lifetime_us == 0)
		s->min_lifetime_us = HOLD_US;
	if (s->surplus_us == 0)
		s->surplus_us = SURPLUS_US;
	if (s->backoff_us == 0)
		s->backoff_us = BACKOFF_US;
	if (s->backoff_max_us == 0)
		s->backoff_max_us = BACKOFF_MAX_US;
	if (s->store_bytes_per_s == 0)
		s->store_bytes_per_s = STORE_BYTES_PER_S;
	if (s->store_slots == 0)
		s->store_slots = STORE_SLOTS;
	if (s->versions_per_vm == 0)
		s->versions_per_vm = VERSIONS_A_VM;
}

/// Makes the placement of one pool.
///
/// @param seed  decides how waits are spread
struct placement *
placement_new(const struct placement_settings *settings, uint64_t seed)
{
	struct placement *p = g_new0(struct placement, 1);

	p->settings = *settings;
	set_defaults(&p->settings);
	p->rnd = rnd_new(seed);
	return p;
}

/// Releases it; NULL is allowed.
void
placement_free(struct placement *p)
{
	if (p == NULL)
		return;
	rnd_free(p->rnd);
	g_free(p);
}

/// The cloud refused a start: the class is left alone for a while, longer
/// each time.
void
placement_start_refused(
    struct placement *p, uint64_t now_us, uint32_t class_index)
{
	struct class_state *c = &p->classes[class_index];
	const double spread = 1 + BACKOFF_SPREAD * rnd_unit(p->rnd);

	assert(class_index < PLACEMENT_MAX_CLASSES);
	if (now_us < c->no_start_until_us)
		return; // asked for before the first refusal was known
	c->backoff_us = c->backoff_us == 0
	    ? p->settings.backoff_us
	    : MIN(2 * c->backoff_us, p->settings.backoff_max_us);
	c->no_start_until_us =
	    now_us + (uint64_t)((double)c->backoff_us * spread);
}

/// The cloud started a VM of the class.
void
placement_start_accepted(struct placement *p, uint32_t class_index)
{
	assert(class_index < PLACEMENT_MAX_CLASSES);
	p->classes[class_index].backoff_us = 0;
}

static bool
is_reclaiming(const struct placement_inputs *w, const struct placement_vm *vm)
{
	return w->reclaiming[w->classes[vm->class_index].data_centre];
}

/// Whether a VM serves, or will when it has started.
static bool
counts(const struct placement_inputs *w, const struct placement_vm *vm)
{
	return (vm->state == PLACEMENT_LIVE ||
		   vm->state == PLACEMENT_STARTING) &&
	    !is_reclaiming(w, vm);
}

static void
add_vm(struct tick *t, const struct placement_vm *vm, uint32_t *going)
{
	const uint32_t i = vm->class_index;

	assert(i < t->w->n_classes);
	if (!counts(t->w, vm)) {
		going[i]++;
		return;
	}
	t->plan.have[i]++;
	t->plan.least[i] += vm->fixed;
}

static uint32_t
most_of(const struct tick *t, uint32_t i, uint32_t going)
{
	const struct placement_class *c = &t->w->classes[i];
	const uint32_t have = t->plan.have[i];
	const uint32_t free = c->max_vms > going ? c->max_vms - going : 0;

	if (t->w->reclaiming[c->data_centre])
		return 0;
	if (t->now_us < t->p->classes[i].no_start_until_us)
		return have;
	return MAX(have, free);
}

/// Tokens a second to be held: what the demand will be when a VM bought now
/// serves, and the headroom that keeps the latency target.
static double
need_of(const struct tick *t)
{
	const double ahead_s =
	    (double)t->p->settings.start_us / (double)USEC_PER_SEC;
	const double rise = t->w->trend_tokens_per_s2 * ahead_s;
	const double demand = t->w->demand_tokens_per_s + MAX(rise, 0);

	return demand * (1 + t->p->settings.headroom_permille / 1000.0);
}

/// The greatest need of late: it fades slowly, so that a demand that comes
/// and goes does not let VMs go that are bought again soon after.
static double
step_peak(struct placement *p, double need, uint64_t now_us)
{
	const double fade_us =
	    (double)(PEAK_FADE_SURPLUSES * p->settings.surplus_us);
	const double past_us = (double)(now_us - p->peak_us);
	const double faded = p->peak_tokens_per_s * exp(-past_us / fade_us);

	p->peak_us = now_us;
	p->peak_tokens_per_s = MAX(need, faded);
	return p->peak_tokens_per_s;
}

static void
make_plan(struct tick *t)
{
	const double need = need_of(t);
	uint32_t going[PLACEMENT_MAX_CLASSES] = { 0 };

	t->plan.world = t->w;
	for (uint32_t i = 0; i < t->w->n_vms; i++)
		add_vm(t, &t->w->vms[i], going);
	for (uint32_t i = 0; i < t->w->n_classes; i++)
		t->plan.most[i] = most_of(t, i, going[i]);
	t->plan.tokens_per_s = step_peak(t->p, need, t->now_us) * KEEP_FACTOR;
	(void)plan_solve(&t->plan, t->keep);
	t->plan.tokens_per_s = need;
	(void)plan_solve(&t->plan, t->target);
}

static void
emit(const struct tick *t, enum placement_effect_kind kind,
    uint32_t class_index, uint64_t id)
{
	const struct placement_effect effect = {
		.kind = kind,
		.class_index = class_index,
		.id = id,
	};

	t->cb(t->arg, &effect);
}

static void
buy(const struct tick *t, uint32_t i)
{
	for (uint32_t n = t->plan.have[i]; n < t->target[i]; n++)
		emit(t, PLACEMENT_CREATE, i, 0);
}

/// Live capacity by data centre and in all.
static double
live_capacity(const struct placement_inputs *w, double *by_data_centre)
{
	double sum = 0;

	for (uint32_t i = 0; i < w->n_vms; i++) {
		const struct placement_vm *vm = &w->vms[i];
		const struct placement_class *c = &w->classes[vm->class_index];

		if (vm->state != PLACEMENT_LIVE || is_reclaiming(w, vm))
			continue;
		by_data_centre[c->data_centre] += c->tokens_per_s;
		sum += c->tokens_per_s;
	}
	return sum;
}

static double
greatest(const double *values, uint32_t n)
{
	double out = 0;

	for (uint32_t i = 0; i < n; i++)
		out = MAX(out, values[i]);
	return out;
}

/// Whether the live VMs carry this much after the loss of any one data
/// centre.
bool
placement_survives_dc_loss(
    const struct placement_inputs *w, double tokens_per_s)
{
	double by_data_centre[PLACEMENT_MAX_DATA_CENTRES] = { 0 };
	const double all = live_capacity(w, by_data_centre);

	return all - greatest(by_data_centre, w->n_data_centres) >=
	    tokens_per_s;
}

/// Whether what is live, less what was drained in this tick and this VM,
/// still carries the need through the loss of a data centre.
static bool
can_spare(const struct tick *t, const struct placement_vm *vm)
{
	const struct placement_class *c = &t->w->classes[vm->class_index];
	double by_data_centre[PLACEMENT_MAX_DATA_CENTRES] = { 0 };
	double all = live_capacity(t->w, by_data_centre);

	by_data_centre[c->data_centre] -= c->tokens_per_s;
	all -= c->tokens_per_s;
	for (uint32_t d = 0; d < t->w->n_data_centres; d++) {
		by_data_centre[d] -= t->lost[d];
		all -= t->lost[d];
	}
	return all - greatest(by_data_centre, t->w->n_data_centres) >=
	    t->plan.tokens_per_s;
}

/// The VM of a class that is let go first: of those held long enough the
/// one with the fewest requests.
static const struct placement_vm *
least_busy(const struct tick *t, uint32_t class_index)
{
	const struct placement_vm *best = NULL;

	for (uint32_t i = 0; i < t->w->n_vms; i++) {
		const struct placement_vm *vm = &t->w->vms[i];

		if (vm->class_index != class_index || vm->fixed ||
		    vm->state != PLACEMENT_LIVE ||
		    t->now_us < vm->since_us + t->p->settings.min_lifetime_us)
			continue;
		if (best == NULL || vm->requests < best->requests)
			best = vm;
	}
	return best;
}

/// Drains one VM of a class that was more than planned for long enough.
static void
shrink(struct tick *t, uint32_t i)
{
	struct class_state *c = &t->p->classes[i];
	const struct placement_vm *vm;

	if (t->plan.have[i] <= MAX(t->target[i], t->keep[i])) {
		c->surplus_since_us = 0;
		return;
	}
	if (c->surplus_since_us == 0)
		c->surplus_since_us = t->now_us;
	if (t->now_us < c->surplus_since_us + t->p->settings.surplus_us)
		return;
	vm = least_busy(t, i);
	if (vm == NULL || !can_spare(t, vm))
		return;
	inv_check(!vm->fixed, "pl_fixed_stays", "vm=%llx",
	    (unsigned long long)vm->id);
	t->lost[t->w->classes[i].data_centre] += t->w->classes[i].tokens_per_s;
	emit(t, PLACEMENT_DRAIN, i, vm->id);
}

static void
let_go_drained(const struct tick *t)
{
	for (uint32_t i = 0; i < t->w->n_vms; i++) {
		const struct placement_vm *vm = &t->w->vms[i];

		if (vm->state == PLACEMENT_DRAINING && vm->requests == 0)
			emit(t, PLACEMENT_RELEASE, vm->class_index, vm->id);
	}
}

/// Decides what to buy, drain, let go, load and unload. To be called every
/// few seconds, and at once on a reclaim notice or a refused start.
void
placement_tick(struct placement *p, uint64_t now_us,
    const struct placement_inputs *w, placement_effect_cb cb, void *arg)
{
	struct tick t = {
		.p = p,
		.now_us = now_us,
		.w = w,
		.cb = cb,
		.arg = arg,
	};

	assert(w->n_classes <= PLACEMENT_MAX_CLASSES);
	assert(w->n_data_centres <= PLACEMENT_MAX_DATA_CENTRES);
	assert(w->n_versions <= PLACEMENT_MAX_VERSIONS);
	make_plan(&t);
	for (uint32_t i = 0; i < w->n_classes; i++) {
		buy(&t, i);
		shrink(&t, i);
	}
	let_go_drained(&t);
	weights_step(&p->settings, now_us, w, cb, arg);
}
