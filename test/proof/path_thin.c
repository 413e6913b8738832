#include "proof/path.h"

#include "common/deploy.h"
#include "proof/path_load.h"

/// Guards against wrong responses without any fault: every kind of request goes
/// through a deployment of real processes, and each response must be exact.
int
proof_path_thin(uint64_t seed)
{
	const struct dp_shape shape = {
		.n = { [DP_CONTROL] = 3,
		    [DP_ENTRY] = 2,
		    [DP_RUNNER] = 3,
		    [DP_SERVICE] = 2 },
		.extra = { [DP_RUNNER] = "{\"step_us\":2000}" },
	};
	const struct load_plan plan = {
		.seed = seed,
		.rate_per_s = 40,
		.duration_s = 3,
		.mix = "contract=2,chat=20,dossier=2,question=10,booking=10,"
		       "confirm=10,lookup=20",
		.token_permille = 300,
	};
	struct dp *d = dp_new(&shape);
	struct load_outcomes ends = { 0 };
	struct load_run run;
	bool ok = dp_start_all(d);

	if (ok) {
		load_start(d, &plan, &run);
		ok = load_finish(d, &run, 0, &ends) &&
		    ends.complete == ends.sent && ends.repeated == 0;
		if (!ok)
			dp_print_logs(d);
	}
	load_print("", &ends);
	dp_free(d);
	return ok ? 0 : 1;
}
