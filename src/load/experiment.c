#include "load/experiment.h"

#include "back/httpc.h"
#include "load/options.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define SETUP_TIMEOUT_US 10000000

/// A result that the arms are compared by.
struct measure {
	const char *name;
	const char *path[4]; ///< Keys from the root of a run's results.
};

static const struct measure measures[] = {
	{ "goodput_per_s", { "goodput_per_s" } },
	{ "good", { "totals", "good" } },
	{ "refused", { "totals", "refused" } },
	{ "failed", { "totals", "failed" } },
	{ "cut", { "totals", "cut" } },
	{ "tokens_per_s", { "tokens_per_s" } },
	{ "recomputed_tokens", { "servers", "recomputed_tokens" } },
	{ "resumed_tokens", { "servers", "resumed_tokens" } },
	{ "between_p95_ms", { "between_tokens_ms", "p95" } },
	{ "chat_first_p50_ms", { "kinds", "chat", "first_ms", "p50" } },
	{ "chat_first_p95_ms", { "kinds", "chat", "first_ms", "p95" } },
	{ "dossier_first_p95_ms", { "kinds", "dossier", "first_ms", "p95" } },
	{ "contract_first_p95_ms", { "kinds", "contract", "first_ms", "p95" } },
};

static enum status
set_up_step(const json_t *step)
{
	struct loadgen_address to;
	const char *address =
	    json_string_value(json_object_get(step, "address"));
	const char *path = json_string_value(json_object_get(step, "path"));
	char *text = json_dumps(json_object_get(step, "body"), JSON_COMPACT);
	struct httpc_request call = {
		.method = "POST",
		.path = path,
		.body = (const uint8_t *)text,
		.len = text != NULL ? strlen(text) : 0,
		.timeout_us = SETUP_TIMEOUT_US,
	};
	int status = 0;
	char *body = NULL;
	enum status st;

	if (address == NULL || path == NULL ||
	    loadgen_address_parse(address, &to) != STATUS_OK) {
		g_free(text);
		return status_fail(STATUS_INVALID,
		    "a step of 'before' needs 'path' and 'address' as IP:PORT");
	}
	call.host = to.host;
	call.port = to.port;
	st = httpc_send_blocking(&call, &status, &body, NULL);
	if (st == STATUS_OK && status / 100 != 2)
		st = status_fail(STATUS_REFUSED,
		    "set-up call to %s%s returned HTTP status %d", address,
		    path, status);
	g_free(body);
	g_free(text);
	return st;
}

/// Makes the calls of an arm's "before", which set up its state for a run.
static enum status
set_up_arm(const json_t *arm)
{
	const json_t *steps = json_object_get(arm, "before");
	enum status st = STATUS_OK;

	for (size_t i = 0; i < json_array_size(steps) && st == STATUS_OK; i++)
		st = set_up_step(json_array_get(steps, i));
	return st;
}

static enum status
run_arm(const json_t *arm, struct loadgen_options *o, json_t **out)
{
	struct loadgen_trace *trace;
	struct loadgen_results *results;
	enum status st = set_up_arm(arm);

	if (st == STATUS_OK)
		st = loadgen_options_servers(arm, &o->run);
	if (st != STATUS_OK)
		return st;
	trace = loadgen_trace_new(&o->trace);
	results = loadgen_run(&o->run, trace);
	*out = loadgen_results_json(results);
	(void)json_object_del(*out, "series");
	loadgen_results_free(results);
	loadgen_trace_free(trace);
	return STATUS_OK;
}

static double
measure_value(const json_t *results, const struct measure *m)
{
	for (size_t i = 0; i < G_N_ELEMENTS(m->path) && m->path[i] != NULL; i++)
		results = json_object_get(results, m->path[i]);
	return json_is_number(results) ? json_number_value(results) : NAN;
}

/// Returns the mean and standard deviation of `n` numbers.
static json_t *
mean_and_sd(const double *values, size_t n)
{
	double mean = 0;
	double squares = 0;

	for (size_t i = 0; i < n; i++)
		mean += values[i] / (double)n;
	for (size_t i = 0; i < n; i++)
		squares += (values[i] - mean) * (values[i] - mean);
	return json_pack("{s:f,s:f}", "mean", mean, "sd",
	    n > 1 ? sqrt(squares / (double)(n - 1)) : 0.0);
}

/// Summarises one measure over all seeds: each arm, and the paired difference
/// of each later arm to the first. Arms without the measure are left out.
static json_t *
compare_arms(const json_t *runs, size_t n_arms, const struct measure *m)
{
	const size_t n = json_array_size(runs);
	json_t *out = json_object();
	double *values = g_new0(double, n + 1);
	double *differences = g_new0(double, n + 1);

	for (size_t a = 0; a < n_arms && n > 0; a++) {
		const json_t *first = json_array_get(
		    json_object_get(json_array_get(runs, 0), "arms"), a);
		json_t *arm;

		for (size_t i = 0; i < n; i++) {
			const json_t *arms =
			    json_object_get(json_array_get(runs, i), "arms");
			const json_t *baseline = json_array_get(arms, 0);
			const json_t *arm_run = json_array_get(arms, a);

			values[i] = measure_value(
			    json_object_get(arm_run, "figures"), m);
			differences[i] = values[i] -
			    measure_value(
				json_object_get(baseline, "figures"), m);
		}
		arm = mean_and_sd(values, n);
		if (isnan(values[0])) {
			json_decref(arm);
			continue;
		}
		if (a > 0)
			(void)json_object_set_new(
			    arm, "difference", mean_and_sd(differences, n));
		(void)json_object_set_new(out,
		    json_string_value(json_object_get(first, "name")), arm);
	}
	g_free(values);
	g_free(differences);
	return out;
}

static enum status
run_seed(const json_t *arms, struct loadgen_options *o, json_t **out)
{
	json_t *list = json_array();
	enum status st = STATUS_OK;

	for (size_t a = 0; a < json_array_size(arms) && st == STATUS_OK; a++) {
		const json_t *arm = json_array_get(arms, a);
		json_t *results = NULL;

		st = run_arm(arm, o, &results);
		if (st == STATUS_OK)
			(void)json_array_append_new(list,
			    json_pack("{s:O,s:o}", "name",
				json_object_get(arm, "name"), "figures",
				results));
	}
	*out = json_pack(
	    "{s:I,s:o}", "seed", (json_int_t)o->trace.seed, "arms", list);
	return st;
}

enum status
loadgen_experiment(const char *file, json_t **out)
{
	json_error_t error;
	json_t *root = json_load_file(file, 0, &error);
	const json_t *arms = json_object_get(root, "arms");
	const json_t *seeds = json_object_get(root, "seeds");
	json_t *runs = json_array();
	json_t *summaries = json_object();
	struct loadgen_options o;
	enum status st;

	*out = json_pack("{s:o,s:o}", "measures", summaries, "runs", runs);
	if (root == NULL)
		return status_fail(STATUS_INVALID, "%s line %d: %s", file,
		    error.line, error.text);
	st = loadgen_options_read(json_object_get(root, "trace"), &o);
	for (size_t i = 0; i < json_array_size(seeds) && st == STATUS_OK; i++) {
		json_t *run = NULL;

		o.trace.seed =
		    (uint64_t)json_integer_value(json_array_get(seeds, i));
		st = run_seed(arms, &o, &run);
		(void)json_array_append_new(runs, run);
	}
	for (size_t m = 0; m < G_N_ELEMENTS(measures) && st == STATUS_OK; m++)
		(void)json_object_set_new(summaries, measures[m].name,
		    compare_arms(runs, json_array_size(arms), &measures[m]));
	json_decref(root);
	return st;
}
