#include "proof/path_load.h"

#include "common/http.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define FINISH_TIMEOUT_MS 90000
#define DEFAULT_TIMEOUT_MS 30000

/// Tab-separated fields of a line of the file that --ids writes.
enum field {
	FIELD_ID,
	FIELD_KIND,
	FIELD_END,
	FIELD_STATUS,
	FIELD_VERDICT,
	FIELD_KEY,
	FIELD_PORT,
	FIELDS,
};

static void
add_option(GPtrArray *argv, const char *name, char *value)
{
	g_ptr_array_add(argv, g_strdup(name));
	g_ptr_array_add(argv, value);
}

static void
add_addresses(GPtrArray *argv, struct deploy *d, enum deploy_kind kind,
    const char *option)
{
	for (uint32_t i = 0; deploy_port(d, kind, i) != 0; i++)
		add_option(argv, option,
		    g_strdup_printf("127.0.0.1:%u", deploy_port(d, kind, i)));
}

static void
add_plan_options(GPtrArray *argv, const struct load_plan *plan)
{
	add_option(
	    argv, "--seed", g_strdup_printf("%d", (int)(plan->seed & 0xffff)));
	add_option(argv, "--rate", g_strdup_printf("%.2f", plan->rate_per_s));
	add_option(
	    argv, "--duration", g_strdup_printf("%.2f", plan->duration_s));
	add_option(argv, "--mix", g_strdup(plan->mix));
	add_option(argv, "--token-permille",
	    g_strdup_printf(
		"%u", plan->token_permille > 0 ? plan->token_permille : 1000));
	add_option(argv, "--resend", g_strdup_printf("%u", plan->resend));
	add_option(argv, "--timeout-ms",
	    g_strdup_printf("%u",
		plan->timeout_ms > 0 ? plan->timeout_ms : DEFAULT_TIMEOUT_MS));
}

/// Starts the load command against all entries, with a check of every response.
///
/// @param out  receives the process and its files, for load_finish()
void
load_start(struct deploy *d, const struct load_plan *plan, struct load_run *out)
{
	GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);

	(void)g_snprintf(out->json, sizeof(out->json), "%s/load-%llu.json",
	    deploy_folder(d), (unsigned long long)plan->seed);
	(void)g_snprintf(out->ids, sizeof(out->ids), "%s/load-%llu.ids",
	    deploy_folder(d), (unsigned long long)plan->seed);
	g_ptr_array_add(argv, deploy_program_path(d, "acaciahinge"));
	g_ptr_array_add(argv, g_strdup("load"));
	g_ptr_array_add(argv, g_strdup("--check"));
	add_plan_options(argv, plan);
	add_option(argv, "--json", g_strdup(out->json));
	add_option(argv, "--ids", g_strdup(out->ids));
	add_addresses(argv, d, DEPLOY_ENTRY, "--target");
	g_ptr_array_add(argv, NULL);
	out->pid =
	    deploy_spawn(d, "load", (const char *const *)(void *)argv->pdata);
	g_ptr_array_free(argv, TRUE);
}

/// Number of requests that ended in a way, from the load command's figures.
int64_t
load_total(const json_t *figures, const char *end)
{
	return json_integer_value(
	    json_object_get(json_object_get(figures, "totals"), end));
}

static void
print_samples(const json_t *figures)
{
	char *text =
	    json_dumps(json_object_get(figures, "samples"), JSON_INDENT(1));

	(void)fprintf(stderr, "%s\n",
	    text != NULL ? text : "the load command wrote no figures");
	free(text);
}

static void
add_runs(json_t *all, const json_t *runs)
{
	const char *id;
	json_t *n;

	json_object_foreach((json_t *)runs, id, n)
	{
		const json_int_t earlier =
		    json_integer_value(json_object_get(all, id));

		(void)json_object_set_new(
		    all, id, json_integer(earlier + json_integer_value(n)));
	}
}

/// How often each request that is not idempotent ran, over all services, by its
/// id. The caller releases it with json_decref().
static json_t *
non_idempotent_runs(const struct deploy *d)
{
	static const char *const non_idempotent[] = { "/bookings", "/confirm" };
	json_t *all = json_object();

	for (uint32_t i = 0; deploy_port(d, DEPLOY_SERVICE, i) != 0; i++) {
		char *body = http_get(
		    deploy_port(d, DEPLOY_SERVICE, i), "/test/stats?runs=1");
		json_t *stats = json_loads(body, 0, NULL);
		const json_t *runs = json_object_get(stats, "runs");

		for (size_t k = 0; k < G_N_ELEMENTS(non_idempotent); k++)
			add_runs(all, json_object_get(runs, non_idempotent[k]));
		json_decref(stats);
		g_free(body);
	}
	return all;
}

static void
count_repeated(const json_t *runs, struct load_outcomes *out)
{
	const char *id;
	json_t *n;

	json_object_foreach((json_t *)runs, id, n)
	{
		out->repeated += json_integer_value(n) - 1;
	}
}

static void
check_line(char *const *f, const json_t *runs, uint16_t killed_port,
    struct load_outcomes *out)
{
	static const gchar *const completions[] = { "contract", "chat",
		"dossier", "question", NULL };
	static const gchar *const non_idempotent[] = { "booking", "confirm",
		NULL };
	const bool not_run = strcmp(f[FIELD_VERDICT], "not run") == 0;
	const uint64_t port = g_ascii_strtoull(f[FIELD_PORT], NULL, 10);

	if (strcmp(f[FIELD_END], "cut") == 0 && port != killed_port)
		out->cut_elsewhere++;
	if (strcmp(f[FIELD_END], "failed") == 0 &&
	    strcmp(f[FIELD_VERDICT], "may have run") == 0 &&
	    g_strv_contains(non_idempotent, f[FIELD_KIND]))
		out->unknown++;
	if (strcmp(f[FIELD_END], "failed") == 0 &&
	    g_strv_contains(completions, f[FIELD_KIND]))
		out->failed_completions++;
	if (!not_run || json_object_get(runs, f[FIELD_ID]) == NULL)
		return;
	out->not_run_yet_ran++;
	(void)fprintf(stderr,
	    "request %s ran, but its verdict was \"not run\"\n", f[FIELD_ID]);
}

static void
check_ids(const char *file, const json_t *runs, uint16_t killed_port,
    struct load_outcomes *out)
{
	char *text = NULL;
	char **lines;

	if (!g_file_get_contents(file, &text, NULL, NULL))
		return;
	lines = g_strsplit(text, "\n", -1);
	for (char **l = lines; *l != NULL; l++) {
		char **f = g_strsplit(*l, "\t", -1);

		if (g_strv_length(f) == FIELDS)
			check_line(f, runs, killed_port, out);
		g_strfreev(f);
	}
	g_strfreev(lines);
	g_free(text);
}

/// Waits for the end of the load.
///
/// @return its figures, to be released with json_decref(); NULL when it wrote
///         none
json_t *
load_figures(struct load_run *run)
{
	(void)deploy_wait_process(run->pid, FINISH_TIMEOUT_MS);
	return json_load_file(run->json, 0, NULL);
}

/// Waits for the end of the load and compares the verdicts that callers got
/// with the runs that the services counted.
///
/// @param killed_port  port of an entry that was killed, 0: none
/// @return whether there are figures, of at least one request
bool
load_finish(struct deploy *d, struct load_run *run, uint16_t killed_port,
    struct load_outcomes *out)
{
	json_t *figures = load_figures(run);
	json_t *runs;

	*out = (struct load_outcomes){
		.sent = load_total(figures, "sent"),
		.complete = load_total(figures, "whole"),
		.wrong = load_total(figures, "wrong"),
		.cut = load_total(figures, "cut"),
		.refused = load_total(figures, "refused"),
		.failed = load_total(figures, "failed"),
		.timeout = load_total(figures, "timeout"),
		.no_entry = load_total(figures, "no_entry"),
	};
	runs = non_idempotent_runs(d);
	out->resumed = json_integer_value(json_object_get(figures, "resumed"));
	count_repeated(runs, out);
	check_ids(run->ids, runs, killed_port, out);
	if (out->complete != out->sent || out->sent == 0)
		print_samples(figures);
	json_decref(runs);
	json_decref(figures);
	return out->sent > 0;
}

/// Prints the figures of a run as one line.
///
/// @param what  printed first
void
load_print(const char *what, const struct load_outcomes *e)
{
	(void)printf("%ssent=%lld whole=%lld wrong=%lld cut=%lld "
		     "cut_elsewhere=%lld refused=%lld failed=%lld timeout=%lld "
		     "no_entry=%lld not_run_yet_ran=%lld repeated=%lld "
		     "failed_completions=%lld resumed=%lld unknown=%lld\n",
	    what, (long long)e->sent, (long long)e->complete,
	    (long long)e->wrong, (long long)e->cut, (long long)e->cut_elsewhere,
	    (long long)e->refused, (long long)e->failed, (long long)e->timeout,
	    (long long)e->no_entry, (long long)e->not_run_yet_ran,
	    (long long)e->repeated, (long long)e->failed_completions,
	    (long long)e->resumed, (long long)e->unknown);
}
