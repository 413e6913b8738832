#include "common/deploy.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>

#define RUNNERS 6
#define ENTRIES 2
#define JOIN_TIMEOUT_MS 300000

static const char runner_settings[] =
    "{\"step_us\":4000,\"slots\":24,\"cache_blocks\":1500,"
    "\"prefill_us_per_token\":20}";

static json_t *
address_list(const struct deploy *d, enum deploy_kind kind, uint32_t n)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < n; i++) {
		char *a =
		    g_strdup_printf("127.0.0.1:%u", deploy_port(d, kind, i));

		(void)json_array_append_new(list, json_string(a));
		g_free(a);
	}
	return list;
}

/// Set-up calls that clear the caches of all runners before a run.
static json_t *
clear_caches(const struct deploy *d)
{
	json_t *list = json_array();
	json_t *all = address_list(d, DEPLOY_RUNNER, RUNNERS);
	json_t *a;
	size_t i;

	json_array_foreach(all, i, a)
	{
		(void)json_array_append_new(list,
		    json_pack("{s:O,s:s,s:{s:b}}", "address", a, "path",
			"/test/set", "body", "clear_cache", 1));
	}
	json_decref(all);
	return list;
}

static json_t *
make_arm(const struct deploy *d, const char *name, json_t *targets)
{
	return json_pack("{s:s,s:o,s:o,s:o}", "name", name, "targets", targets,
	    "servers", address_list(d, DEPLOY_RUNNER, RUNNERS), "before",
	    clear_caches(d));
}

/// An experiment that sends equal traces to the runners in turn, and through
/// entries.
static json_t *
make_experiment(const struct deploy *d, uint64_t seed)
{
	return json_pack("{s:[I,I,I],s:{s:i,s:i,s:s,s:i,s:i,s:b},s:[o,o]}",
	    "seeds", (json_int_t)seed, (json_int_t)seed + 1,
	    (json_int_t)seed + 2, "trace", "rate_per_s", 40, "duration_s", 6,
	    "mix", "contract=1,chat=8,dossier=4,question=2", "histories", 8,
	    "token_permille", 500, "check", 1, "arms",
	    make_arm(d, "in turn", address_list(d, DEPLOY_RUNNER, RUNNERS)),
	    make_arm(d, "entries", address_list(d, DEPLOY_ENTRY, ENTRIES)));
}

static void
print_measure(const json_t *results, const char *name)
{
	const json_t *m =
	    json_object_get(json_object_get(results, "measures"), name);
	const json_t *in_turn = json_object_get(m, "in turn");
	const json_t *entries = json_object_get(m, "entries");

	(void)printf("%s: in_turn=%.1f+-%.1f entries=%.1f+-%.1f\n", name,
	    json_number_value(json_object_get(in_turn, "mean")),
	    json_number_value(json_object_get(in_turn, "sd")),
	    json_number_value(json_object_get(entries, "mean")),
	    json_number_value(json_object_get(entries, "sd")));
}

/// Recomputed tokens and latency through real entries, against sending to the
/// runners in turn, over three seeds.
int
bench_path_routing(uint64_t seed)
{
	static const char *const names[] = { "recomputed_tokens",
		"goodput_per_s", "chat_first_p50_ms", "chat_first_p95_ms",
		"dossier_first_p95_ms", "between_p95_ms" };
	const struct deploy_shape shape = {
		.n = { [DEPLOY_CONTROL] = 1,
		    [DEPLOY_ENTRY] = ENTRIES,
		    [DEPLOY_RUNNER] = RUNNERS },
		.extra = { [DEPLOY_RUNNER] = runner_settings },
	};
	struct deploy *d = deploy_new(&shape);
	char *file = g_strdup_printf("%s/experiment.json", deploy_folder(d));
	char *out = g_strdup_printf("%s/result.json", deploy_folder(d));
	char *program = deploy_program_path(d, "acaciahinge");
	const char *const argv[] = { program, "load", "--experiment", file,
		"--json", out, NULL };
	const bool ok = deploy_start_all(d);
	json_t *results = NULL;
	json_t *plan;

	if (ok) {
		plan = make_experiment(d, seed);
		(void)json_dump_file(plan, file, 0);
		json_decref(plan);
		(void)deploy_wait_process(
		    deploy_spawn(d, "load", argv), JOIN_TIMEOUT_MS);
		results = json_load_file(out, 0, NULL);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		print_measure(results, names[i]);
	json_decref(results);
	g_free(file);
	g_free(out);
	g_free(program);
	deploy_free(d);
	return ok ? 0 : 1;
}
