#include "soak.h"

#include <signal.h>

#define TICK_US (100 * USEC_PER_MSEC)
/// Phases with faults alternate with phases of planned work alone.
#define FAULTS_US (8 * USEC_PER_SEC)
#define CALM_US (9 * USEC_PER_SEC)
/// All processes have started by then.
#define FIRST_US (4 * USEC_PER_SEC)
#define MAX_ACTIVE 4
#define FAULT_IN 5
#define PLAN_IN 20
/// A hub whose disk was lost counts as lost until it had time to catch up, so
/// the next disk is lost this much later at the earliest.
#define WIPE_AGAIN_US (12 * USEC_PER_SEC)
#define WIPE_CALM_US (6 * USEC_PER_SEC)
/// A process may exit when its disk is full, and notices this late that there
/// is room again.
#define MAY_EXIT_EXTRA_US USEC_PER_SEC
#define CLOCK_JUMP_MS 2500
#define SYNC_SLOW_MS 60
#define SYNC_STALL_MS 2500

enum fault_kind {
	HUB_KILL,
	HUB_FREEZE,
	HUB_KILL_ALL,
	HUB_LOSE_DISK,
	HUB_LINK,
	HUB_CLOCK,
	HUB_SLOW_SYNC,
	HUB_STALL,
	HUB_FULL,
	GATEWAY_KILL,
	GATEWAY_FREEZE,
	GATEWAY_CLOCK,
	GATEWAY_KILL_MOST,
	SERVER_BEHAVIOUR,
	SERVER_LINK,
	SERVER_CRASH,
	PLATFORM_SILENT,
	FAULTS,
};

enum plan_kind {
	PLAN_STOP_GATEWAY,
	PLAN_STOP_HUB,
	PLAN_RELOAD,
	PLAN_DRAIN_SERVER,
	PLANS,
};

struct fault {
	enum fault_kind kind;
	struct soak_process *process;
	struct soak_server *server;
	uint64_t until_us; ///< 0: the entry is free
};

static struct fault active[MAX_ACTIVE];
static uint64_t hubs_calm_since_us;
static uint64_t wiped_us;

static const enum relay_mode link_faults[] = { RELAY_CUT, RELAY_TO_ONLY,
	RELAY_BACK_ONLY, RELAY_SLOW, RELAY_RESET, RELAY_FORGET };
static const enum soak_behaviour behaviours[] = { SOAK_FULL, SOAK_FAILS,
	SOAK_HANGS, SOAK_CUTS };

static enum relay_mode
choose_link_fault(struct soak *s)
{
	return link_faults[soak_random_below(s, G_N_ELEMENTS(link_faults))];
}

/// Draws a process; NULL when it is under a fault or not running.
static struct soak_process *
choose_process(struct soak *s, struct soak_process *all, uint32_t n)
{
	struct soak_process *p = &all[soak_random_below(s, n)];

	for (uint32_t i = 0; i < MAX_ACTIVE; i++) {
		if (active[i].until_us != 0 && active[i].process == p)
			return NULL;
	}
	return p->pid > 0 && !p->ending ? p : NULL;
}

/// Whether a hub may lose its disk: only while all hubs run and have caught up,
/// as the deployment tolerates the loss of one.
static bool
may_lose_disk(const struct soak *s)
{
	const uint64_t now = soak_now_us(s);

	for (uint32_t i = 0; i < s->n_hubs; i++) {
		if (s->hubs[i].pid <= 0 || s->hubs[i].ending)
			return false;
	}
	return now > hubs_calm_since_us + WIPE_CALM_US &&
	    now > wiped_us + WIPE_AGAIN_US;
}

static void
begin_hub(struct soak *s, struct fault *f)
{
	struct soak_process *p = f->process;

	switch (f->kind) {
	case HUB_KILL:
		soak_process_stop(s, p, SIGKILL, f->until_us - soak_now_us(s));
		break;
	case HUB_FREEZE:
		soak_process_signal(s, p, SIGSTOP);
		break;
	case HUB_KILL_ALL:
		for (uint32_t i = 0; i < s->n_hubs; i++)
			soak_process_stop(s, &s->hubs[i], SIGKILL, 0);
		break;
	case HUB_LOSE_DISK:
		wiped_us = soak_now_us(s);
		p->loses_disk = true;
		soak_process_stop(s, p, SIGKILL, f->until_us - soak_now_us(s));
		break;
	case HUB_LINK:
		soak_set_hub_link(s, p, choose_link_fault(s));
		break;
	case HUB_SLOW_SYNC:
		p->sync_ms = SYNC_SLOW_MS;
		break;
	case HUB_STALL:
		p->sync_ms = SYNC_STALL_MS;
		break;
	case HUB_FULL:
		p->full = true;
		p->may_exit_until_us = f->until_us + MAY_EXIT_EXTRA_US;
		break;
	default:
		break;
	}
	soak_process_misbehave(s, p);
}

static void
kill_most_gateways(struct soak *s)
{
	for (uint32_t i = 0; i < s->n_gateways; i++) {
		if (soak_random_below(s, 3) == 0)
			continue;
		s->gateways[i].last_fault_us = soak_now_us(s);
		soak_process_stop(s, &s->gateways[i], SIGKILL, 0);
	}
}

static void
begin_other(struct soak *s, struct fault *f)
{
	struct soak_process *p = f->process;

	switch (f->kind) {
	case HUB_CLOCK:
	case GATEWAY_CLOCK:
		p->clock_ms = soak_random_below(s, 2) == 0 ? CLOCK_JUMP_MS
							   : -CLOCK_JUMP_MS;
		soak_process_misbehave(s, p);
		break;
	case GATEWAY_KILL:
		soak_process_stop(s, p, SIGKILL, f->until_us - soak_now_us(s));
		break;
	case GATEWAY_FREEZE:
		soak_process_signal(s, p, SIGSTOP);
		break;
	case GATEWAY_KILL_MOST:
		kill_most_gateways(s);
		break;
	case SERVER_BEHAVIOUR:
		f->server->behaviour = behaviours[soak_random_below(s, 4)];
		break;
	case SERVER_LINK:
		soak_set_server_link(s, f->server, choose_link_fault(s));
		break;
	case SERVER_CRASH:
		soak_set_server_link(s, f->server, RELAY_RESET);
		soak_server_boot(f->server);
		break;
	case PLATFORM_SILENT:
		s->platform_silent = true;
		break;
	default:
		break;
	}
}

static void
begin_fault(struct soak *s, struct fault *f)
{
	static const char *const names[FAULTS] = { "hub_kill", "hub_freeze",
		"hub_kill_all", "hub_lose_disk", "hub_link", "hub_clock",
		"hub_slow_sync", "hub_stall", "hub_full", "gateway_kill",
		"gateway_freeze", "gateway_clock", "gateway_kill_most",
		"server_manner", "server_link", "server_crash",
		"platform_silent" };
	const enum fault_kind kind =
	    (enum fault_kind)soak_random_below(s, FAULTS);
	const bool hub = kind <= HUB_FULL;

	if (kind == HUB_LOSE_DISK && !may_lose_disk(s))
		return;
	f->process = hub ? choose_process(s, s->hubs, s->n_hubs)
			 : choose_process(s, s->gateways, s->n_gateways);
	f->server = &s->servers[soak_random_below(s, s->n_servers)];
	if (f->process == NULL || f->server->draining_us != 0)
		return;
	f->kind = kind;
	f->until_us =
	    soak_now_us(s) + (500 + soak_random_below(s, 4000)) * USEC_PER_MSEC;
	s->n_faults++;
	soak_log(s, "%s %s %s until=%.1f", names[kind], f->process->name,
	    f->server->id,
	    (double)(f->until_us - s->start_us) / (double)USEC_PER_SEC);
	if (hub && kind != HUB_CLOCK)
		begin_hub(s, f);
	else
		begin_other(s, f);
}

static void
end_fault(struct soak *s, struct fault *f)
{
	struct soak_process *p = f->process;

	f->until_us = 0;
	switch (f->kind) {
	case HUB_FREEZE:
	case GATEWAY_FREEZE:
		soak_process_signal(s, p, SIGCONT);
		break;
	case HUB_LINK:
		soak_set_hub_link(s, p, RELAY_OPEN);
		break;
	case HUB_CLOCK:
	case GATEWAY_CLOCK:
	case HUB_SLOW_SYNC:
	case HUB_STALL:
	case HUB_FULL:
		p->clock_ms = 0;
		p->sync_ms = 0;
		p->full = false;
		soak_process_misbehave(s, p);
		break;
	case SERVER_BEHAVIOUR:
		f->server->behaviour = SOAK_NORMAL;
		break;
	case SERVER_LINK:
	case SERVER_CRASH:
		soak_set_server_link(s, f->server, RELAY_OPEN);
		break;
	case PLATFORM_SILENT:
		s->platform_silent = false;
		break;
	default:
		break;
	}
}

/// Records which processes are under a fault now. The checks of planned work
/// leave these out for a while.
static void
record_faults(struct soak *s)
{
	const uint64_t now = soak_now_us(s);
	bool any = false;

	for (uint32_t i = 0; i < MAX_ACTIVE; i++) {
		if (active[i].until_us == 0)
			continue;
		any = true;
		active[i].process->last_fault_us = now;
		if (active[i].kind <= HUB_FULL)
			hubs_calm_since_us = now;
	}
	for (uint32_t i = 0; i < s->n_hubs; i++) {
		if (s->hubs[i].pid <= 0)
			hubs_calm_since_us = now;
		any = any || (now < s->hubs[i].may_exit_until_us);
	}
	if (any)
		s->any_fault_us = now;
}

static bool
is_lost(const struct soak *s, const struct soak_process *p)
{
	for (uint32_t i = 0; i < MAX_ACTIVE; i++) {
		if (active[i].until_us != 0 && active[i].process == p)
			return true;
	}
	return p->pid <= 0 || soak_now_us(s) < p->may_exit_until_us;
}

/// Checks that some request is served while no more than SOAK_TOLERATED_HUBS
/// hubs are lost and the others had time to catch up.
static void
check_service(struct soak *s)
{
	const uint64_t now = soak_now_us(s);
	const uint64_t allowed = SOAK_CATCH_UP_US + SOAK_CONTACT_US;
	uint32_t lost = 0;

	for (uint32_t i = 0; i < s->n_hubs; i++)
		lost += is_lost(s, &s->hubs[i]);
	if (lost > SOAK_TOLERATED_HUBS)
		s->too_many_lost_us = now;
	if (now < MAX(s->too_many_lost_us, s->last_complete_us) + allowed)
		return;
	soak_violation(s, "service: no request was served for %.1f s",
	    (double)(now - s->last_complete_us) / (double)USEC_PER_SEC);
	s->last_complete_us = now;
}

static void
drain_server(struct soak *s)
{
	struct soak_server *v = &s->servers[soak_random_below(s, s->n_servers)];
	uint32_t draining = 0;

	for (uint32_t i = 0; i < s->n_servers; i++)
		draining += s->servers[i].draining_us != 0;
	if (draining < 2)
		v->draining_us =
		    v->draining_us != 0 ? v->draining_us : soak_now_us(s);
}

/// Restarts drained servers under a new id.
static void
restart_drained_servers(struct soak *s)
{
	for (uint32_t i = 0; i < s->n_servers; i++) {
		struct soak_server *v = &s->servers[i];

		if (v->draining_us != 0 &&
		    soak_now_us(s) > v->draining_us + 3 * SOAK_DRAIN_US)
			soak_server_boot(v);
	}
}

static void
do_planned_work(struct soak *s)
{
	struct soak_process *g = choose_process(s, s->gateways, s->n_gateways);
	struct soak_process *h = choose_process(s, s->hubs, s->n_hubs);

	switch ((enum plan_kind)soak_random_below(s, PLANS)) {
	case PLAN_STOP_GATEWAY:
		if (g != NULL)
			soak_process_stop(s, g, SIGTERM, 0);
		break;
	case PLAN_STOP_HUB:
		if (h != NULL)
			soak_process_stop(s, h, SIGTERM, 0);
		break;
	case PLAN_RELOAD:
		if (g != NULL)
			soak_process_signal(s, g, SIGHUP);
		if (h != NULL)
			soak_process_signal(s, h, SIGHUP);
		break;
	case PLAN_DRAIN_SERVER:
		drain_server(s);
		break;
	case PLANS:
		break;
	}
}

static void
on_tick(void *arg, uint64_t now_us)
{
	struct soak *s = arg;
	const uint64_t age = soak_now_us(s) - s->start_us;

	(void)now_us;
	timerq_arm_in(s->ticks[5], TICK_US);
	for (uint32_t i = 0; i < MAX_ACTIVE; i++) {
		struct fault *f = &active[i];

		if (f->until_us != 0 && soak_now_us(s) >= f->until_us)
			end_fault(s, f);
	}
	record_faults(s);
	check_service(s);
	restart_drained_servers(s);
	if (age < FIRST_US || soak_now_us(s) >= s->until_us)
		return;
	if (soak_random_below(s, PLAN_IN) == 0)
		do_planned_work(s);
	if ((age - FIRST_US) % (FAULTS_US + CALM_US) >= FAULTS_US)
		return;
	for (uint32_t i = 0; i < MAX_ACTIVE; i++) {
		if (active[i].until_us == 0 &&
		    soak_random_below(s, FAULT_IN) == 0) {
			begin_fault(s, &active[i]);
			break;
		}
	}
	record_faults(s);
}

/// Ends all faults.
void
soak_faults_heal(struct soak *s)
{
	for (uint32_t i = 0; i < MAX_ACTIVE; i++) {
		if (active[i].until_us != 0)
			end_fault(s, &active[i]);
	}
	s->any_fault_us = soak_now_us(s);
}

/// Starts faults and planned work.
void
soak_faults_start(struct soak *s)
{
	s->too_many_lost_us = soak_now_us(s);
	s->ticks[5] = timerq_timer_new(s->timers, on_tick, s);
	timerq_arm_in(s->ticks[5], TICK_US);
}
