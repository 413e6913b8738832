#include "proof/path.h"

#include "common/deploy.h"
#include "proof/path_load.h"

/// Guards against wrong responses without any fault: every kind of request goes
/// through a deployment of real processes, and each response must be exact.
int
proof_path_thin(uint64_t seed)
{
	const struct deploy_shape shape = {
		.n = { [DEPLOY_CONTROL] = 3,
		    [DEPLOY_ENTRY] = 2,
		    [DEPLOY_RUNNER] = 3,
		    [DEPLOY_SERVICE] = 2 },
		.extra = { [DEPLOY_RUNNER] = "{\"step_us\":2000}" },
	};
	const struct load_plan plan = {
		.seed = seed,
		.rate_per_s = 40,
		.duration_s = 3,
		.mix = "contract=2,chat=20,dossier=2,question=10,booking=10,"
		       "confirm=10,lookup=20",
		.token_permille = 300,
	};
	struct deploy *d = deploy_new(&shape);
	struct load_outcomes ends = { 0 };
	struct load_run run;
	bool ok = deploy_start_all(d);

	if (ok) {
		load_start(d, &plan, &run);
		ok = load_finish(d, &run, 0, &ends) &&
		    ends.complete == ends.sent && ends.repeated == 0;
		if (!ok)
			deploy_print_logs(d);
	}
	load_print("", &ends);
	deploy_free(d);
	return ok ? 0 : 1;
}
