#include "placement/weights.h"

#include "base/timerq.h"

#include <glib.h>

/// Orders of one step.
struct step {
	const struct placement_settings *settings;
	const struct placement_inputs *w;
	placement_effect_cb cb;
	void *arg;
	uint32_t slots;  ///< loads that may still be started
	uint32_t *ahead; ///< for each VM, what it has or gets
};

static uint32_t
count_bits(uint32_t bits)
{
	return (uint32_t)__builtin_popcount(bits);
}

static bool
takes_orders(const struct placement_inputs *w, const struct placement_vm *vm)
{
	return vm->state == PLACEMENT_LIVE &&
	    !w->reclaiming[w->classes[vm->class_index].data_centre];
}

/// Capacity of the VMs that have or get a version, in each data centre.
static double
held(const struct step *s, uint32_t version, double *by_data_centre)
{
	double sum = 0;

	for (uint32_t d = 0; d < s->w->n_data_centres; d++)
		by_data_centre[d] = 0;
	for (uint32_t i = 0; i < s->w->n_vms; i++) {
		const struct placement_vm *vm = &s->w->vms[i];
		const struct placement_class *c =
		    &s->w->classes[vm->class_index];

		if (!takes_orders(s->w, vm) ||
		    (s->ahead[i] & (1U << version)) == 0)
			continue;
		by_data_centre[c->data_centre] += c->tokens_per_s;
		sum += c->tokens_per_s;
	}
	return sum;
}

static double
all_capacity(const struct placement_inputs *w)
{
	double sum = 0;

	for (uint32_t i = 0; i < w->n_vms; i++) {
		if (takes_orders(w, &w->vms[i]))
			sum += w->classes[w->vms[i].class_index].tokens_per_s;
	}
	return sum;
}

/// Time at which loading must have begun for the version to be there in
/// time when the store gives its whole rate to it.
static uint64_t
latest_start_us(const struct step *s, uint32_t version, uint64_t now_us)
{
	const struct placement_version *v = &s->w->versions[version];
	double by_data_centre[PLACEMENT_MAX_DATA_CENTRES];
	uint64_t left_vms = 0;
	uint64_t load_us;

	if (v->needed_by_us == 0)
		return now_us;
	(void)held(s, version, by_data_centre);
	for (uint32_t i = 0; i < s->w->n_vms; i++) {
		if (takes_orders(s->w, &s->w->vms[i]) &&
		    (s->ahead[i] & (1U << version)) == 0)
			left_vms++;
	}
	load_us = (uint64_t)((double)(left_vms * v->weight_bytes) /
	    (double)s->settings->store_bytes_per_s * (double)USEC_PER_SEC);
	return v->needed_by_us > load_us ? v->needed_by_us - load_us : 0;
}

/// The VM that loads a version next: an empty one first, then in the data
/// centre that has the least of the version.
///
/// @return its index, n_vms when there is none
static uint32_t
choose_vm(const struct step *s, uint32_t version, const double *by_data_centre)
{
	uint32_t best = s->w->n_vms;

	for (uint32_t i = 0; i < s->w->n_vms; i++) {
		const struct placement_vm *vm = &s->w->vms[i];
		const struct placement_vm *old = &s->w->vms[best];
		uint32_t dc;
		uint32_t old_dc;

		if (!takes_orders(s->w, vm) || vm->loading != 0 ||
		    (s->ahead[i] & (1U << version)) != 0 ||
		    count_bits(s->ahead[i]) >= s->settings->versions_per_vm)
			continue;
		if (best == s->w->n_vms) {
			best = i;
			continue;
		}
		if ((vm->loaded == 0) != (old->loaded == 0)) {
			best = vm->loaded == 0 ? i : best;
			continue;
		}
		dc = s->w->classes[vm->class_index].data_centre;
		old_dc = s->w->classes[old->class_index].data_centre;
		if (by_data_centre[dc] < by_data_centre[old_dc])
			best = i;
	}
	return best;
}

static void
order(const struct step *s, enum placement_effect_kind kind, uint32_t vm,
    uint32_t version)
{
	const struct placement_effect effect = {
		.kind = kind,
		.id = s->w->vms[vm].id,
		.version = s->w->versions[version].version,
	};

	s->cb(s->arg, &effect);
}

/// Orders loads of a version until enough of the capacity has or gets it.
static void
load_version(struct step *s, uint32_t version)
{
	const struct placement_version *v = &s->w->versions[version];
	const double want = all_capacity(s->w) * v->target_permille / 1000.0;
	double by_data_centre[PLACEMENT_MAX_DATA_CENTRES];

	while (s->slots > 0 && held(s, version, by_data_centre) < want) {
		const uint32_t vm = choose_vm(s, version, by_data_centre);

		if (vm == s->w->n_vms)
			return;
		order(s, PLACEMENT_LOAD, vm, version);
		s->ahead[vm] |= 1U << version;
		s->slots--;
	}
}

/// Unloads what is neither in use nor kept.
static void
unload(struct step *s)
{
	for (uint32_t i = 0; i < s->w->n_vms; i++) {
		for (uint32_t v = 0; v < s->w->n_versions; v++) {
			const struct placement_version *version =
			    &s->w->versions[v];

			if (version->keep || version->target_permille > 0 ||
			    (s->w->vms[i].loaded & (1U << v)) == 0 ||
			    !takes_orders(s->w, &s->w->vms[i]))
				continue;
			order(s, PLACEMENT_UNLOAD, i, v);
		}
	}
}

static void
load_by_urgency(struct step *s, uint64_t now_us)
{
	uint64_t start_us[PLACEMENT_MAX_VERSIONS];
	bool done[PLACEMENT_MAX_VERSIONS] = { false };

	for (uint32_t v = 0; v < s->w->n_versions; v++)
		start_us[v] = latest_start_us(s, v, now_us);
	for (uint32_t i = 0; i < s->w->n_versions; i++) {
		uint32_t next = PLACEMENT_MAX_VERSIONS;

		for (uint32_t v = 0; v < s->w->n_versions; v++) {
			if (!done[v] &&
			    (next == PLACEMENT_MAX_VERSIONS ||
				start_us[v] < start_us[next]))
				next = v;
		}
		if (next == PLACEMENT_MAX_VERSIONS)
			return;
		done[next] = true;
		load_version(s, next);
	}
}

/// Orders to load and unload weights, the most urgent version first, within
/// what the weight store gives at a time.
void
weights_step(const struct placement_settings *settings, uint64_t now_us,
    const struct placement_inputs *w, placement_effect_cb cb, void *arg)
{
	struct step s = {
		.settings = settings,
		.w = w,
		.cb = cb,
		.arg = arg,
		.slots = settings->store_slots,
	};

	s.ahead = g_new0(uint32_t, w->n_vms + 1);
	for (uint32_t i = 0; i < w->n_vms; i++) {
		const uint32_t loading = count_bits(w->vms[i].loading);

		s.ahead[i] = w->vms[i].loaded | w->vms[i].loading;
		s.slots -= MIN(s.slots, loading);
	}
	unload(&s);
	load_by_urgency(&s, now_us);
	g_free(s.ahead);
}

static double
loaded_capacity(const struct placement_inputs *w, uint32_t version_index)
{
	double sum = 0;

	for (uint32_t i = 0; i < w->n_vms; i++) {
		const struct placement_vm *vm = &w->vms[i];

		if (takes_orders(w, vm) &&
		    (vm->loaded & (1U << version_index)) != 0)
			sum += w->classes[vm->class_index].tokens_per_s;
	}
	return sum;
}

/// Live capacity that has a version loaded, in permille of the capacity that
/// has the one it replaces; at most 1000.
uint32_t
placement_ready_permille(const struct placement_inputs *w,
    uint32_t version_index, uint32_t old_index)
{
	const double new = loaded_capacity(w, version_index);
	const double old = loaded_capacity(w, old_index);

	if (new >= old)
		return new > 0 ? 1000 : 0;
	return (uint32_t)(1000.0 * new / old);
}
