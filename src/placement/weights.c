#include "placement/weights.h"

#include "base/timerq.h"

#include <glib.h>

/// State of one call of weights_step().
struct step {
	const struct placement_settings *settings;
	const struct placement_inputs *in;
	placement_effect_cb cb;
	void *arg;
	uint32_t slots;     ///< loads that may still be started
	uint32_t *assigned; ///< for each VM: mask of versions loaded or ordered
};

static uint32_t
count_bits(uint32_t bits)
{
	return (uint32_t)__builtin_popcount(bits);
}

/// Whether a VM may be ordered to load or unload weights: it is live and its
/// data centre isn't being reclaimed.
static bool
takes_orders(const struct placement_inputs *in, const struct placement_vm *vm)
{
	return vm->state == PLACEMENT_LIVE &&
	    !in->reclaiming[in->classes[vm->class_index].data_centre];
}

/// Capacity of the VMs that have or load a version, in tokens a second.
///
/// @param by_data_centre  gets each data centre's part
/// @return the total
static double
capacity_with(const struct step *s, uint32_t version, double *by_data_centre)
{
	double sum = 0;

	for (uint32_t d = 0; d < s->in->n_data_centres; d++)
		by_data_centre[d] = 0;
	for (uint32_t i = 0; i < s->in->n_vms; i++) {
		const struct placement_vm *vm = &s->in->vms[i];
		const struct placement_class *c =
		    &s->in->classes[vm->class_index];

		if (!takes_orders(s->in, vm) ||
		    (s->assigned[i] & (1U << version)) == 0)
			continue;
		by_data_centre[c->data_centre] += c->tokens_per_s;
		sum += c->tokens_per_s;
	}
	return sum;
}

/// Capacity of all VMs that take orders, in tokens a second.
static double
total_capacity(const struct placement_inputs *in)
{
	double sum = 0;

	for (uint32_t i = 0; i < in->n_vms; i++) {
		if (takes_orders(in, &in->vms[i]))
			sum += in->classes[in->vms[i].class_index].tokens_per_s;
	}
	return sum;
}

/// Latest time to start loading a version for it to be loaded everywhere when
/// it is needed, if the store gives its whole rate to it.
static uint64_t
latest_start_us(const struct step *s, uint32_t version, uint64_t now_us)
{
	const struct placement_version *v = &s->in->versions[version];
	double by_data_centre[PLACEMENT_MAX_DATA_CENTRES];
	uint64_t missing_vms = 0;
	uint64_t load_us;

	if (v->needed_by_us == 0)
		return now_us;
	(void)capacity_with(s, version, by_data_centre);
	for (uint32_t i = 0; i < s->in->n_vms; i++) {
		if (takes_orders(s->in, &s->in->vms[i]) &&
		    (s->assigned[i] & (1U << version)) == 0)
			missing_vms++;
	}
	load_us = (uint64_t)((double)(missing_vms * v->weight_bytes) /
	    (double)s->settings->store_bytes_per_s * (double)USEC_PER_SEC);
	return v->needed_by_us > load_us ? v->needed_by_us - load_us : 0;
}

/// The VM that loads a version next: one without any version first, then one in
/// the data centre with the least capacity for this version.
///
/// @return its index; n_vms when there is none
static uint32_t
choose_vm(const struct step *s, uint32_t version, const double *by_data_centre)
{
	uint32_t best = s->in->n_vms;

	for (uint32_t i = 0; i < s->in->n_vms; i++) {
		const struct placement_vm *vm = &s->in->vms[i];
		const struct placement_vm *best_vm = &s->in->vms[best];
		uint32_t dc;
		uint32_t best_dc;

		if (!takes_orders(s->in, vm) || vm->loading_mask != 0 ||
		    (s->assigned[i] & (1U << version)) != 0 ||
		    count_bits(s->assigned[i]) >= s->settings->versions_per_vm)
			continue;
		if (best == s->in->n_vms) {
			best = i;
			continue;
		}
		if ((vm->loaded_mask == 0) != (best_vm->loaded_mask == 0)) {
			best = vm->loaded_mask == 0 ? i : best;
			continue;
		}
		dc = s->in->classes[vm->class_index].data_centre;
		best_dc = s->in->classes[best_vm->class_index].data_centre;
		if (by_data_centre[dc] < by_data_centre[best_dc])
			best = i;
	}
	return best;
}

static void
emit_order(const struct step *s, enum placement_effect_kind kind, uint32_t vm,
    uint32_t version)
{
	const struct placement_effect effect = {
		.kind = kind,
		.id = s->in->vms[vm].id,
		.version = s->in->versions[version].version,
	};

	s->cb(s->arg, &effect);
}

/// Orders loads of a version until its target share of the capacity has or
/// loads it, or no slot or VM is left.
static void
load_version(struct step *s, uint32_t version)
{
	const struct placement_version *v = &s->in->versions[version];
	const double wanted =
	    total_capacity(s->in) * v->target_permille / 1000.0;
	double by_data_centre[PLACEMENT_MAX_DATA_CENTRES];

	while (s->slots > 0 &&
	    capacity_with(s, version, by_data_centre) < wanted) {
		const uint32_t vm = choose_vm(s, version, by_data_centre);

		if (vm == s->in->n_vms)
			return;
		emit_order(s, PLACEMENT_LOAD, vm, version);
		s->assigned[vm] |= 1U << version;
		s->slots--;
	}
}

/// Unloads versions that are neither targeted nor kept loaded.
static void
unload_unused(struct step *s)
{
	for (uint32_t i = 0; i < s->in->n_vms; i++) {
		for (uint32_t v = 0; v < s->in->n_versions; v++) {
			const struct placement_version *version =
			    &s->in->versions[v];

			if (version->keep_loaded ||
			    version->target_permille > 0 ||
			    (s->in->vms[i].loaded_mask & (1U << v)) == 0 ||
			    !takes_orders(s->in, &s->in->vms[i]))
				continue;
			emit_order(s, PLACEMENT_UNLOAD, i, v);
		}
	}
}

/// Loads versions in the order of their latest start times.
static void
load_by_urgency(struct step *s, uint64_t now_us)
{
	uint64_t start_us[PLACEMENT_MAX_VERSIONS];
	bool done[PLACEMENT_MAX_VERSIONS] = { false };

	for (uint32_t v = 0; v < s->in->n_versions; v++)
		start_us[v] = latest_start_us(s, v, now_us);
	for (uint32_t i = 0; i < s->in->n_versions; i++) {
		uint32_t next = PLACEMENT_MAX_VERSIONS;

		for (uint32_t v = 0; v < s->in->n_versions; v++) {
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

/// Orders VMs to load and unload weights, the most urgent version first, within
/// the concurrent loads that the weight store allows.
void
weights_step(const struct placement_settings *settings, uint64_t now_us,
    const struct placement_inputs *in, placement_effect_cb cb, void *arg)
{
	struct step s = {
		.settings = settings,
		.in = in,
		.cb = cb,
		.arg = arg,
		.slots = settings->store_slots,
	};

	s.assigned = g_new0(uint32_t, in->n_vms + 1);
	for (uint32_t i = 0; i < in->n_vms; i++) {
		const uint32_t loading = count_bits(in->vms[i].loading_mask);

		s.assigned[i] =
		    in->vms[i].loaded_mask | in->vms[i].loading_mask;
		s.slots -= MIN(s.slots, loading);
	}
	unload_unused(&s);
	load_by_urgency(&s, now_us);
	g_free(s.assigned);
}

/// Capacity of the VMs that have a version loaded, in tokens a second.
static double
loaded_capacity(const struct placement_inputs *in, uint32_t version_index)
{
	double sum = 0;

	for (uint32_t i = 0; i < in->n_vms; i++) {
		const struct placement_vm *vm = &in->vms[i];

		if (takes_orders(in, vm) &&
		    (vm->loaded_mask & (1U << version_index)) != 0)
			sum += in->classes[vm->class_index].tokens_per_s;
	}
	return sum;
}

/// Live capacity that has a version loaded, in permille of the capacity that
/// has the version it replaces; at most 1000. When no capacity has the old
/// version: 1000 if the new one is loaded anywhere, else 0.
uint32_t
placement_ready_permille(const struct placement_inputs *in,
    uint32_t version_index, uint32_t old_index)
{
	const double new = loaded_capacity(in, version_index);
	const double old = loaded_capacity(in, old_index);

	if (new >= old)
		return new > 0 ? 1000 : 0;
	return (uint32_t)(1000.0 * new / old);
}
