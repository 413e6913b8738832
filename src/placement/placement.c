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
#define VM_START_US (120 * USEC_PER_SEC)
#define MIN_LIFETIME_US (600 * USEC_PER_SEC)
#define SCALE_DOWN_DELAY_US (300 * USEC_PER_SEC)
#define BACKOFF_US (30 * USEC_PER_SEC)
#define BACKOFF_MAX_US (900 * USEC_PER_SEC)
#define STORE_BYTES_PER_S 1000000000ULL
#define STORE_SLOTS 4
#define VERSIONS_PER_VM 2

/// VMs are surplus beyond a plan for SURPLUS_MARGIN times the recent peak of
/// the required capacity.
#define SURPLUS_MARGIN 1.04
/// Time constant of the peak's decay, in settings.scale_down_delay_us.
#define PEAK_DECAY_DELAYS 12

/// Greatest jitter added to a backoff, as a part of its length.
#define BACKOFF_JITTER 0.25

struct class_state {
	uint64_t no_start_until_us;
	uint64_t backoff_us;
	uint64_t surplus_since_us; ///< 0: no surplus
};

struct placement {
	struct placement_settings settings;
	struct rnd *rnd;
	struct class_state classes[PLACEMENT_MAX_CLASSES];
	double peak_tokens_per_s; ///< decaying peak of the required capacity
	uint64_t peak_us;         ///< when the peak was last updated
};

struct tick {
	struct placement *p;
	uint64_t now_us;
	const struct placement_inputs *in;
	placement_effect_cb cb;
	void *arg;
	struct plan plan;
	uint32_t target[PLACEMENT_MAX_CLASSES];      ///< VMs to have
	uint32_t keep_target[PLACEMENT_MAX_CLASSES]; ///< above it is surplus
	/// Live capacity drained in this tick, in tokens a second.
	double drained[PLACEMENT_MAX_DATA_CENTRES];
};

static void
set_defaults(struct placement_settings *s)
{
	if (s->headroom_permille == 0)
		s->headroom_permille = HEADROOM_PERMILLE;
	if (s->vm_start_us == 0)
		s->vm_start_us = VM_START_US;
	if (s->min_lifetime_us == 0)
		s->min_lifetime_us = MIN_LIFETIME_US;
	if (s->scale_down_delay_us == 0)
		s->scale_down_delay_us = SCALE_DOWN_DELAY_US;
	if (s->backoff_us == 0)
		s->backoff_us = BACKOFF_US;
	if (s->backoff_max_us == 0)
		s->backoff_max_us = BACKOFF_MAX_US;
	if (s->store_bytes_per_s == 0)
		s->store_bytes_per_s = STORE_BYTES_PER_S;
	if (s->store_slots == 0)
		s->store_slots = STORE_SLOTS;
	if (s->versions_per_vm == 0)
		s->versions_per_vm = VERSIONS_PER_VM;
}

/// Makes the placement of one pool; to be released with placement_free().
///
/// @param settings  copied
/// @param seed      of the jitter of backoffs
struct placement *
placement_new(const struct placement_settings *settings, uint64_t seed)
{
	struct placement *p = g_new0(struct placement, 1);

	p->settings = *settings;
	set_defaults(&p->settings);
	p->rnd = rnd_new(seed);
	return p;
}

/// Releases a placement; NULL is allowed.
void
placement_free(struct placement *p)
{
	if (p == NULL)
		return;
	rnd_free(p->rnd);
	g_free(p);
}

/// Records that the platform refused to start a VM of the class: no VM of the
/// class is created during a backoff that doubles with each refusal.
void
placement_start_refused(
    struct placement *p, uint64_t now_us, uint32_t class_index)
{
	struct class_state *c = &p->classes[class_index];
	const double jitter = 1 + BACKOFF_JITTER * rnd_unit(p->rnd);

	assert(class_index < PLACEMENT_MAX_CLASSES);
	if (now_us < c->no_start_until_us)
		return; // was requested before the first refusal arrived
	c->backoff_us = c->backoff_us == 0
	    ? p->settings.backoff_us
	    : MIN(2 * c->backoff_us, p->settings.backoff_max_us);
	c->no_start_until_us =
	    now_us + (uint64_t)((double)c->backoff_us * jitter);
}

/// Records that the platform started a VM of the class, which resets the
/// backoff.
void
placement_start_accepted(struct placement *p, uint32_t class_index)
{
	assert(class_index < PLACEMENT_MAX_CLASSES);
	p->classes[class_index].backoff_us = 0;
}

static bool
is_reclaiming(const struct placement_inputs *in, const struct placement_vm *vm)
{
	return in->reclaiming[in->classes[vm->class_index].data_centre];
}

/// Whether a VM counts towards the capacity: it serves, or will when it has
/// started.
static bool
counts_as_capacity(
    const struct placement_inputs *in, const struct placement_vm *vm)
{
	return (vm->state == PLACEMENT_LIVE ||
		   vm->state == PLACEMENT_STARTING) &&
	    !is_reclaiming(in, vm);
}

/// Counts a VM as current or as departing.
static void
add_vm(struct tick *t, const struct placement_vm *vm, uint32_t *departing)
{
	const uint32_t i = vm->class_index;

	assert(i < t->in->n_classes);
	if (!counts_as_capacity(t->in, vm)) {
		departing[i]++;
		return;
	}
	t->plan.current_vms[i]++;
	t->plan.min_vms[i] += vm->pinned;
}

/// Most VMs of a class that a plan may have.
///
/// @param departing  VMs of the class that exist but no longer count
static uint32_t
max_vms_of(const struct tick *t, uint32_t i, uint32_t departing)
{
	const struct placement_class *c = &t->in->classes[i];
	const uint32_t current = t->plan.current_vms[i];
	const uint32_t free =
	    c->max_vms > departing ? c->max_vms - departing : 0;

	if (t->in->reclaiming[c->data_centre])
		return 0;
	if (t->now_us < t->p->classes[i].no_start_until_us)
		return current;
	return MAX(current, free);
}

/// Required capacity in tokens a second: the demand expected when a VM created
/// now will serve, plus the headroom that keeps the latency target.
static double
required_capacity(const struct tick *t)
{
	const double start_s =
	    (double)t->p->settings.vm_start_us / (double)USEC_PER_SEC;
	const double rise = t->in->trend_tokens_per_s2 * start_s;
	const double demand = t->in->demand_tokens_per_s + MAX(rise, 0);

	return demand * (1 + t->p->settings.headroom_permille / 1000.0);
}

/// Updates the recent peak of the required capacity. It decays slowly, so that
/// VMs aren't released in a short dip of the demand and created again after it.
static double
update_peak(struct placement *p, double required, uint64_t now_us)
{
	const double decay_us =
	    (double)(PEAK_DECAY_DELAYS * p->settings.scale_down_delay_us);
	const double elapsed_us = (double)(now_us - p->peak_us);
	const double decayed =
	    p->peak_tokens_per_s * exp(-elapsed_us / decay_us);

	p->peak_us = now_us;
	p->peak_tokens_per_s = MAX(required, decayed);
	return p->peak_tokens_per_s;
}

/// Plans the VMs to have, and those to keep before any is surplus.
static void
make_plan(struct tick *t)
{
	const double required = required_capacity(t);
	uint32_t departing[PLACEMENT_MAX_CLASSES] = { 0 };

	t->plan.inputs = t->in;
	for (uint32_t i = 0; i < t->in->n_vms; i++)
		add_vm(t, &t->in->vms[i], departing);
	for (uint32_t i = 0; i < t->in->n_classes; i++)
		t->plan.max_vms[i] = max_vms_of(t, i, departing[i]);
	t->plan.tokens_per_s =
	    update_peak(t->p, required, t->now_us) * SURPLUS_MARGIN;
	(void)plan_solve(&t->plan, t->keep_target);
	t->plan.tokens_per_s = required;
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

/// Creates the VMs of a class that the plan lacks.
static void
create_vms(const struct tick *t, uint32_t i)
{
	for (uint32_t n = t->plan.current_vms[i]; n < t->target[i]; n++)
		emit(t, PLACEMENT_CREATE, i, 0);
}

/// Capacity of the live VMs in tokens a second, without those of data centres
/// that are being reclaimed.
///
/// @param by_data_centre  zeroed by the caller; gets each data centre's part
/// @return the total
static double
live_capacity(const struct placement_inputs *in, double *by_data_centre)
{
	double sum = 0;

	for (uint32_t i = 0; i < in->n_vms; i++) {
		const struct placement_vm *vm = &in->vms[i];
		const struct placement_class *c = &in->classes[vm->class_index];

		if (vm->state != PLACEMENT_LIVE || is_reclaiming(in, vm))
			continue;
		by_data_centre[c->data_centre] += c->tokens_per_s;
		sum += c->tokens_per_s;
	}
	return sum;
}

static double
max_of(const double *values, uint32_t n)
{
	double out = 0;

	for (uint32_t i = 0; i < n; i++)
		out = MAX(out, values[i]);
	return out;
}

/// Whether the live VMs, without those of data centres that are being
/// reclaimed, still have this capacity after the loss of any one data centre.
bool
placement_survives_dc_loss(
    const struct placement_inputs *in, double tokens_per_s)
{
	double by_data_centre[PLACEMENT_MAX_DATA_CENTRES] = { 0 };
	const double all = live_capacity(in, by_data_centre);

	return all - max_of(by_data_centre, in->n_data_centres) >= tokens_per_s;
}

/// Whether the live VMs, without this one and those drained in this tick, still
/// have the required capacity after the loss of any one data centre.
static bool
can_spare(const struct tick *t, const struct placement_vm *vm)
{
	const struct placement_class *c = &t->in->classes[vm->class_index];
	double by_data_centre[PLACEMENT_MAX_DATA_CENTRES] = { 0 };
	double all = live_capacity(t->in, by_data_centre);

	by_data_centre[c->data_centre] -= c->tokens_per_s;
	all -= c->tokens_per_s;
	for (uint32_t d = 0; d < t->in->n_data_centres; d++) {
		by_data_centre[d] -= t->drained[d];
		all -= t->drained[d];
	}
	return all - max_of(by_data_centre, t->in->n_data_centres) >=
	    t->plan.tokens_per_s;
}

/// The VM of a class to drain first: the one with the fewest requests among
/// those that are not pinned and are past their minimum lifetime.
///
/// @return NULL when there is none
static const struct placement_vm *
least_busy(const struct tick *t, uint32_t class_index)
{
	const struct placement_vm *best = NULL;

	for (uint32_t i = 0; i < t->in->n_vms; i++) {
		const struct placement_vm *vm = &t->in->vms[i];

		if (vm->class_index != class_index || vm->pinned ||
		    vm->state != PLACEMENT_LIVE ||
		    t->now_us < vm->created_us + t->p->settings.min_lifetime_us)
			continue;
		if (best == NULL || vm->requests < best->requests)
			best = vm;
	}
	return best;
}

/// Drains one VM of a class whose surplus has lasted long enough, if the
/// remaining VMs have the required capacity.
static void
scale_down(struct tick *t, uint32_t i)
{
	struct class_state *c = &t->p->classes[i];
	const struct placement_vm *vm;

	if (t->plan.current_vms[i] <= MAX(t->target[i], t->keep_target[i])) {
		c->surplus_since_us = 0;
		return;
	}
	if (c->surplus_since_us == 0)
		c->surplus_since_us = t->now_us;
	if (t->now_us <
	    c->surplus_since_us + t->p->settings.scale_down_delay_us)
		return;
	vm = least_busy(t, i);
	if (vm == NULL || !can_spare(t, vm))
		return;
	inv_check(!vm->pinned, "pl_fixed_stays", "vm=%llx",
	    (unsigned long long)vm->id);
	t->drained[t->in->classes[i].data_centre] +=
	    t->in->classes[i].tokens_per_s;
	emit(t, PLACEMENT_DRAIN, i, vm->id);
}

/// Releases draining VMs that have no requests left.
static void
release_drained(const struct tick *t)
{
	for (uint32_t i = 0; i < t->in->n_vms; i++) {
		const struct placement_vm *vm = &t->in->vms[i];

		if (vm->state == PLACEMENT_DRAINING && vm->requests == 0)
			emit(t, PLACEMENT_RELEASE, vm->class_index, vm->id);
	}
}

/// Decides which VMs to create, drain and release and which weights to load and
/// unload. To be called every few seconds, and at once on a reclaim notice or a
/// refused start.
///
/// @param cb  is called for each effect before this returns
void
placement_tick(struct placement *p, uint64_t now_us,
    const struct placement_inputs *in, placement_effect_cb cb, void *arg)
{
	struct tick t = {
		.p = p,
		.now_us = now_us,
		.in = in,
		.cb = cb,
		.arg = arg,
	};

	assert(in->n_classes <= PLACEMENT_MAX_CLASSES);
	assert(in->n_data_centres <= PLACEMENT_MAX_DATA_CENTRES);
	assert(in->n_versions <= PLACEMENT_MAX_VERSIONS);
	make_plan(&t);
	for (uint32_t i = 0; i < in->n_classes; i++) {
		create_vms(&t, i);
		scale_down(&t, i);
	}
	release_drained(&t);
	weights_step(&p->settings, now_us, in, cb, arg);
}
