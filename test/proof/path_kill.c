#include "proof/path.h"

#include "common/deploy.h"
#include "proof/path_load.h"

#include <glib.h>
#include <signal.h>

#define ENTRIES 3
#define RUNNERS 4
#define CONTROLS 3
#define PAUSE_US 700000UL

static const char mix[] =
    "contract=2,chat=20,dossier=2,question=5,booking=15,confirm=10,lookup=10";

static const char flaky_services[] =
    "{\"latency_us\":20000,\"cut_after_permille\":60,"
    "\"cut_before_permille\":60,\"fail_before_permille\":30}";

/// Kills one process and starts it again after PAUSE_US.
///
/// @return whether it is healthy again
static bool
kill_and_start(struct deploy *d, enum deploy_kind kind, uint32_t i)
{
	deploy_kill(d, kind, i);
	g_usleep(PAUSE_US);
	deploy_start(d, kind, i);
	return deploy_wait_healthy(d, kind, i, 10000);
}

/// Freezes one process for longer than its lease.
static void
freeze(struct deploy *d, enum deploy_kind kind, uint32_t i)
{
	deploy_signal(d, kind, i, SIGSTOP);
	g_usleep(2UL * PAUSE_US);
	deploy_signal(d, kind, i, SIGCONT);
	g_usleep(PAUSE_US);
}

static bool
inject_faults(struct deploy *d, uint64_t seed)
{
	const int leader = deploy_leader(d);
	bool ok = leader >= 0;

	g_usleep(PAUSE_US);
	ok = kill_and_start(d, DEPLOY_RUNNER, (uint32_t)(seed % RUNNERS)) && ok;
	ok = kill_and_start(d, DEPLOY_ENTRY, (uint32_t)(seed % ENTRIES)) && ok;
	if (leader >= 0)
		ok = kill_and_start(d, DEPLOY_CONTROL, (uint32_t)leader) && ok;
	freeze(d, DEPLOY_CONTROL, (uint32_t)((seed + 1) % CONTROLS));
	return ok;
}

/// Kills and freezes processes under load and checks the outcomes.
///
/// @param services   settings of the services
/// @param all_complete  whether every request must end complete, cut or with
/// the
///                   outcome unknown
static int
kill_under_load(uint64_t seed, const char *services, bool all_complete)
{
	const struct deploy_shape shape = {
		.n = { [DEPLOY_CONTROL] = CONTROLS,
		    [DEPLOY_ENTRY] = ENTRIES,
		    [DEPLOY_RUNNER] = RUNNERS,
		    [DEPLOY_SERVICE] = 2 },
		.extra = { [DEPLOY_RUNNER] = "{\"step_us\":3000}",
		    [DEPLOY_SERVICE] = services },
	};
	const struct load_plan plan = {
		.seed = seed,
		.rate_per_s = 40,
		.duration_s = 6,
		.mix = mix,
		.token_permille = 2000,
		.resend = 12,
		.timeout_ms = 20000,
	};
	struct deploy *d = deploy_new(&shape);
	struct load_outcomes ends = { 0 };
	struct load_run run;
	uint16_t killed;
	bool ok = deploy_start_all(d);

	if (ok) {
		killed =
		    deploy_port(d, DEPLOY_ENTRY, (uint32_t)(seed % ENTRIES));
		load_start(d, &plan, &run);
		ok = inject_faults(d, seed);
		ok = load_finish(d, &run, killed, &ends) && ok;
		ok = ok && ends.wrong == 0 && ends.cut_elsewhere == 0 &&
		    ends.not_run_yet_ran == 0 && ends.repeated == 0 &&
		    ends.timeout == 0 && ends.no_entry == 0;
		if (all_complete)
			ok = ok &&
			    ends.complete + ends.cut + ends.unknown ==
				ends.sent;
		if (!ok)
			deploy_print_logs(d);
	}
	load_print("", &ends);
	deploy_free(d);
	return ok ? 0 : 1;
}

/// Guards against requests lost to the failure of a process. A runner, an entry
/// and the leader of control are killed, and a control process is frozen, under
/// load. Only streams of the killed entry may be cut; a call that is not
/// idempotent and whose dispatch permit that entry held may end as "may have
/// run"; every other response must be complete.
int
proof_path_kill(uint64_t seed)
{
	return kill_under_load(seed, "{\"latency_us\":20000}", true);
}

/// Guards against running a call twice that is not idempotent, and against a
/// wrong verdict "not run". As proof_path_kill(), with services that close the
/// connection before and after the work is done.
int
proof_path_once(uint64_t seed)
{
	return kill_under_load(seed, flaky_services, false);
}
