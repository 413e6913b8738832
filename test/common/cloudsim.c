#include "common/cloudsim.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "base/timerq.h"

#define DAY_TICKS 8640
#define TICK_S 10.0                          ///< CLOUDSIM_TICK_US
#define MEAN_DEMAND 9000.0                   ///< tokens a second
#define MIN_LIFETIME_US (600 * USEC_PER_SEC) ///< placement's default
#define DRAIN_US (60 * USEC_PER_SEC)
#define NOTICE_US (30 * USEC_PER_SEC)
#define VM_RECLAIM_MEAN_S (8 * 3600.0)
#define DC_RECLAIM_MEAN_S (6 * 3600.0)
#define SHORTAGE_US (900 * USEC_PER_SEC)
#define MICROS 1e6

struct cloud {
	struct rnd *r;
	struct cloudsim_result *out;
	struct placement *pl;
	struct placement_inputs in;
	enum cloudsim_day day;
	GArray *vms;    ///< struct placement_vm
	GArray *due_us; ///< for each VM: when it is live, drained or gone
	uint64_t now_us;
	uint64_t next_id;
	uint64_t shortage_until_us[CLOUDSIM_DATA_CENTRES];
	double level; ///< of the demand as a factor; 1 except on calm days
	double burst; ///< added to the level, decays
	double last_demand; ///< without noise, in tokens a second
};

static struct placement_vm *
vm_at(const struct cloud *c, guint i)
{
	return &g_array_index(c->vms, struct placement_vm, i);
}

static uint64_t *
due_at(const struct cloud *c, guint i)
{
	return &g_array_index(c->due_us, uint64_t, i);
}

static void
remove_vm(struct cloud *c, guint i)
{
	g_array_remove_index(c->vms, i);
	g_array_remove_index(c->due_us, i);
}

static void
add_classes(struct cloud *c)
{
	static const uint64_t price[] = { 1000000, 1060000, 950000 };
	struct placement_inputs *in = &c->in;

	in->n_data_centres = CLOUDSIM_DATA_CENTRES;
	for (uint32_t d = 0; d < CLOUDSIM_DATA_CENTRES; d++) {
		const double price_ratio = 0.3 + 0.15 * rnd_unit(c->r);

		in->classes[in->n_classes++] = (struct placement_class){
			.data_centre = d,
			.price_micros_per_hour = price[d],
			.tokens_per_s = 900,
			.max_vms = 20,
		};
		if (c->day == CLOUDSIM_ON_DEMAND)
			continue;
		in->classes[in->n_classes++] = (struct placement_class){
			.data_centre = d,
			.reclaimable = true,
			.price_micros_per_hour =
			    (uint64_t)((double)price[d] * price_ratio),
			.tokens_per_s = 900,
			.max_vms = 8,
		};
	}
}

/// Whether an event of this mean interval occurs in a tick.
static bool
occurs(struct cloud *c, double mean_s)
{
	return rnd_unit(c->r) < TICK_S / mean_s;
}

static void
step_demand(struct cloud *c)
{
	const double hour = (double)c->now_us / 3600e6;
	double factor = c->level;
	double demand;

	c->burst *= 0.99;
	if (c->day != CLOUDSIM_CALM)
		factor += 0.5 * sin(6.2832 * (hour - 8) / 24);
	if (c->day != CLOUDSIM_CALM && occurs(c, 2 * 3600.0))
		c->burst += 0.25 * rnd_unit(c->r);
	demand = MEAN_DEMAND * (factor + c->burst);
	c->in.trend_tokens_per_s2 = 0.95 * c->in.trend_tokens_per_s2 +
	    0.05 * (demand - c->last_demand) / TICK_S;
	c->last_demand = demand;
	c->in.demand_tokens_per_s = demand * (0.95 + 0.1 * rnd_unit(c->r));
}

/// Sends a VM the reclaim notice; it is gone NOTICE_US later.
static void
reclaim(struct cloud *c, guint i)
{
	struct placement_vm *vm = vm_at(c, i);

	if (vm->state == PLACEMENT_RECLAIMING)
		return;
	vm->state = PLACEMENT_RECLAIMING;
	*due_at(c, i) = c->now_us + NOTICE_US;
	c->out->reclaimed++;
}

/// Reclaims all reclaimable VMs of a data centre and refuses new ones there for
/// a while.
static void
reclaim_data_centre(struct cloud *c, uint32_t data_centre)
{
	c->shortage_until_us[data_centre] =
	    c->now_us + SHORTAGE_US + rnd_below(c->r, 2 * SHORTAGE_US);
	for (guint i = 0; i < c->vms->len; i++) {
		const struct placement_class *k =
		    &c->in.classes[vm_at(c, i)->class_index];

		if (k->reclaimable && k->data_centre == data_centre)
			reclaim(c, i);
	}
}

static void
step_vms(struct cloud *c)
{
	for (guint i = c->vms->len; i > 0; i--) {
		struct placement_vm *vm = vm_at(c, i - 1);
		const bool due = c->now_us >= *due_at(c, i - 1);

		if (vm->state == PLACEMENT_STARTING && due)
			vm->state = PLACEMENT_LIVE;
		if (vm->state == PLACEMENT_DRAINING && due)
			vm->requests = 0;
		if (vm->state == PLACEMENT_RECLAIMING && due)
			remove_vm(c, i - 1);
		else if (c->day != CLOUDSIM_CALM &&
		    c->in.classes[vm->class_index].reclaimable &&
		    occurs(c, VM_RECLAIM_MEAN_S))
			reclaim(c, i - 1);
	}
	if (c->day != CLOUDSIM_CALM && occurs(c, DC_RECLAIM_MEAN_S))
		reclaim_data_centre(
		    c, (uint32_t)rnd_below(c->r, CLOUDSIM_DATA_CENTRES));
}

/// Whether the start of a VM is refused: at random, and in a shortage always
/// for reclaimable classes.
static bool
is_refused(struct cloud *c, const struct placement_class *k)
{
	if (k->reclaimable)
		return c->now_us < c->shortage_until_us[k->data_centre] ||
		    rnd_below(c->r, 20) == 0;
	return rnd_below(c->r, 100) == 0;
}

static void
create_vm(struct cloud *c, uint32_t class_index)
{
	const struct placement_class *k = &c->in.classes[class_index];
	const struct placement_vm vm = {
		.id = ++c->next_id,
		.class_index = class_index,
		.state = PLACEMENT_STARTING,
		.created_us = c->now_us,
		.requests = 1,
	};
	const uint64_t due =
	    c->now_us + (60 + rnd_below(c->r, 60)) * USEC_PER_SEC;
	uint32_t existing = 0;

	for (guint i = 0; i < c->vms->len; i++)
		existing += vm_at(c, i)->class_index == class_index;
	c->out->violations += existing >= k->max_vms;
	if (is_refused(c, k)) {
		c->out->refused++;
		placement_start_refused(c->pl, c->now_us, class_index);
		return;
	}
	placement_start_accepted(c->pl, class_index);
	c->out->created++;
	g_array_append_val(c->vms, vm);
	g_array_append_val(c->due_us, due);
}

static guint
find_vm(const struct cloud *c, uint64_t id)
{
	guint i = 0;

	while (i < c->vms->len && vm_at(c, i)->id != id)
		i++;
	return i;
}

/// Drains a VM; its requests end DRAIN_US later.
static void
drain(struct cloud *c, guint i)
{
	struct placement_vm *vm = vm_at(c, i);

	c->out->violations += vm->state != PLACEMENT_LIVE || vm->pinned ||
	    c->now_us < vm->created_us + MIN_LIFETIME_US;
	vm->state = PLACEMENT_DRAINING;
	*due_at(c, i) = c->now_us + DRAIN_US;
	c->out->short_held += c->now_us < vm->created_us + CLOUDSIM_SHORT_US;
	c->out->drained++;
}

static void
append_effect(void *arg, const struct placement_effect *e)
{
	GArray *list = arg;

	g_array_append_val(list, *e);
}

static void
apply_effect(struct cloud *c, const struct placement_effect *e)
{
	guint i;

	if (e->kind == PLACEMENT_CREATE) {
		create_vm(c, e->class_index);
		return;
	}
	i = find_vm(c, e->id);
	if (i == c->vms->len)
		return;
	if (e->kind == PLACEMENT_DRAIN) {
		drain(c, i);
		return;
	}
	c->out->violations += vm_at(c, i)->state != PLACEMENT_DRAINING ||
	    vm_at(c, i)->requests > 0;
	remove_vm(c, i);
}

static void
run_placement(struct cloud *c)
{
	GArray *effects =
	    g_array_new(FALSE, FALSE, sizeof(struct placement_effect));

	c->in.vms = (const struct placement_vm *)(const void *)c->vms->data;
	c->in.n_vms = c->vms->len;
	placement_tick(c->pl, c->now_us, &c->in, append_effect, effects);
	for (guint i = 0; i < effects->len; i++)
		apply_effect(
		    c, &g_array_index(effects, struct placement_effect, i));
	g_array_free(effects, TRUE);
}

/// Adds the tick's cost and capacity to the result.
static void
measure(struct cloud *c)
{
	double live = 0;

	c->in.vms = (const struct placement_vm *)(const void *)c->vms->data;
	c->in.n_vms = c->vms->len;
	for (guint i = 0; i < c->vms->len; i++) {
		const struct placement_vm *vm = vm_at(c, i);
		const struct placement_class *k =
		    &c->in.classes[vm->class_index];

		c->out->cost +=
		    (double)k->price_micros_per_hour / MICROS * TICK_S / 3600;
		if (vm->state == PLACEMENT_LIVE ||
		    vm->state == PLACEMENT_RECLAIMING)
			live += k->tokens_per_s;
	}
	c->out->ticks++;
	c->out->short_ticks += live < c->last_demand;
	c->out->exposed_ticks +=
	    !placement_survives_dc_loss(&c->in, c->last_demand);
}

/// Runs one day and reports on it. An hour of start-up before it is not
/// counted.
void
cloudsim_run(struct rnd *r, enum cloudsim_day day, struct cloudsim_result *out)
{
	const struct placement_settings defaults = { .vm_start_us = 0 };
	struct cloudsim_result warm_up = { .ticks = 0 };
	struct cloud c = { .r = r, .out = &warm_up, .day = day };
	const uint64_t measure_from_us = 3600 * USEC_PER_SEC;

	memset(out, 0, sizeof(*out));
	c.pl = placement_new(&defaults, rnd_u64(r));
	c.vms = g_array_new(FALSE, TRUE, sizeof(struct placement_vm));
	c.due_us = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	add_classes(&c);
	c.level = day == CLOUDSIM_CALM ? 0.5 + rnd_unit(r) : 1;
	c.last_demand = MEAN_DEMAND * c.level;
	while (out->ticks < DAY_TICKS) {
		c.now_us += CLOUDSIM_TICK_US;
		if (c.now_us > measure_from_us)
			c.out = out;
		step_demand(&c);
		step_vms(&c);
		run_placement(&c);
		measure(&c);
	}
	g_array_free(c.vms, TRUE);
	g_array_free(c.due_us, TRUE);
	placement_free(c.pl);
}
