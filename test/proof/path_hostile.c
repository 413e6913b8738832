#include "proof/path.h"

#include "common/deploy.h"
#include "common/http.h"
#include "proof/path_load.h"

#include <glib.h>
#include <stdio.h>

#define RUNNERS 3

static const char runner_settings[] =
    "{\"step_us\":2000,\"late_ms\":400,\"hostile\":{\"duplicate\":120,"
    "\"crossed\":120,\"cut\":40,\"late\":60,\"no_end\":40,\"stall\":10}}";

static const char *const fault_kinds[] = { "duplicate", "crossed", "cut",
	"late", "no_end", "stall" };

/// How often each fault was injected, over all runners. The caller releases it
/// with json_decref().
static json_t *
fault_counts(const struct deploy *d)
{
	json_t *sum = json_object();

	for (uint32_t i = 0; i < RUNNERS; i++) {
		char *body =
		    http_get(deploy_port(d, DEPLOY_RUNNER, i), "/test/stats");
		json_t *stats = json_loads(body, 0, NULL);
		const json_t *counts = json_object_get(stats, "hostile");

		for (size_t k = 0; k < G_N_ELEMENTS(fault_kinds); k++) {
			const char *name = fault_kinds[k];
			const json_int_t n =
			    json_integer_value(json_object_get(sum, name)) +
			    json_integer_value(json_object_get(counts, name));

			(void)json_object_set_new(sum, name, json_integer(n));
		}
		json_decref(stats);
		g_free(body);
	}
	return sum;
}

/// Guards against passing on damaged streams. Runners repeat chunks, mix in
/// those of other requests, break off, pause, end without an end marker and
/// stall; each caller must still get exactly its own complete response.
int
proof_path_hostile(uint64_t seed)
{
	const struct deploy_shape shape = {
		.n = { [DEPLOY_CONTROL] = 1,
		    [DEPLOY_ENTRY] = 2,
		    [DEPLOY_RUNNER] = RUNNERS,
		    [DEPLOY_SERVICE] = 1 },
		.extra = { [DEPLOY_RUNNER] = runner_settings },
	};
	const struct load_plan plan = {
		.seed = seed,
		.rate_per_s = 60,
		.duration_s = 5,
		.mix = "contract=1,chat=10,dossier=1,question=5",
		.token_permille = 300,
	};
	struct deploy *d = deploy_new(&shape);
	struct load_outcomes ends = { 0 };
	struct load_run run;
	json_t *counts = NULL;
	char *text;
	bool ok = deploy_start_all(d);

	if (ok) {
		load_start(d, &plan, &run);
		ok = load_finish(d, &run, 0, &ends) && ends.wrong == 0 &&
		    ends.cut == 0 && ends.complete == ends.sent;
		counts = fault_counts(d);
		if (!ok)
			deploy_print_logs(d);
	}
	text = json_dumps(counts, JSON_COMPACT);
	(void)printf("hostile=%s ", text != NULL ? text : "{}");
	load_print("", &ends);
	free(text);
	json_decref(counts);
	deploy_free(d);
	return ok ? 0 : 1;
}
