#include "proof/path.h"

#include "common/deploy.h"
#include "common/http.h"
#include "proof/path_load.h"

#include <glib.h>
#include <stdio.h>

#define ENTRIES 3
#define RUNNERS 3
#define CONTROLS 3
#define DRAIN_TIMEOUT_MS 15000
#define PAUSE_US 600000

struct idle_check {
	uint16_t port;
};

static bool
is_idle(void *arg)
{
	const struct idle_check *c = arg;

	return http_get_number(c->port, "/test/stats", "running") == 0 &&
	    http_get_number(c->port, "/test/stats", "waiting") == 0;
}

/// Lets a runner report that it is draining, waits until it is idle, and
/// restarts it.
static bool
restart_runner(struct deploy *d, uint32_t i)
{
	struct idle_check c = { .port = deploy_port(d, DEPLOY_RUNNER, i) };

	if (http_post_settings(c.port, "{\"leaving\":true}") != 0)
		return false;
	if (!deploy_wait_until(is_idle, &c, DRAIN_TIMEOUT_MS)) {
		(void)fprintf(stderr,
		    "runner-%u did not become idle while draining\n", i);
		return false;
	}
	return deploy_restart(d, DEPLOY_RUNNER, i);
}

static bool
restart_all(struct deploy *d)
{
	for (uint32_t i = 0; i < ENTRIES; i++) {
		// Gives the load time to open streams at the next entry.
		g_usleep(PAUSE_US);
		if (!deploy_restart(d, DEPLOY_ENTRY, i)) {
			(void)fprintf(stderr, "entry-%u did not restart\n", i);
			return false;
		}
	}
	for (uint32_t i = 0; i < CONTROLS; i++) {
		if (!deploy_restart(d, DEPLOY_CONTROL, i)) {
			(void)fprintf(
			    stderr, "control-%u did not restart\n", i);
			return false;
		}
	}
	// A runner that reported its draining gets no more requests under its
	// name, so only one runner is restarted to test the drain.
	return restart_runner(d, 0);
}

/// Guards against cut streams and failed requests during a rolling restart. All
/// entries, all control processes and a runner are restarted gracefully, one
/// after the other, under load: every response must be complete.
int
proof_path_rolling(uint64_t seed)
{
	const struct deploy_shape shape = {
		.n = { [DEPLOY_CONTROL] = CONTROLS,
		    [DEPLOY_ENTRY] = ENTRIES,
		    [DEPLOY_RUNNER] = RUNNERS,
		    [DEPLOY_SERVICE] = 2 },
		.extra = { [DEPLOY_RUNNER] = "{\"step_us\":3000}" },
	};
	const struct load_plan plan = {
		.seed = seed,
		.rate_per_s = 30,
		.duration_s = 6,
		.mix = "contract=2,chat=20,dossier=2,question=5,booking=10,"
		       "lookup=10",
		.token_permille = 2000,
		.resend = 30,
	};
	struct deploy *d = deploy_new(&shape);
	struct load_outcomes ends = { 0 };
	struct load_run run;
	bool ok = deploy_start_all(d);

	if (ok) {
		load_start(d, &plan, &run);
		ok = restart_all(d);
		ok = load_finish(d, &run, 0, &ends) && ok;
		ok = ok && ends.complete == ends.sent && ends.repeated == 0 &&
		    ends.not_run_yet_ran == 0;
		if (!ok)
			deploy_print_logs(d);
	}
	load_print("", &ends);
	deploy_free(d);
	return ok ? 0 : 1;
}
