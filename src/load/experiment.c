#include "load/experiment.h"

#include "back/httpc.h"
#include "load/options.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define SETUP_TIMEOUT_US 10000000

/// A figure that the arms are compared by.
struct measure {
	const char *name;
	const char *path[4]; ///< Keys from the root of a run's figures.
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
set_up_one(const json_t *step)
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
		return status_fail(
		    STATUS_INVALID, "'before' needs address and path");
	}
	call.host = to.host;
	call.port = to.port;
	st = httpc_send_blocking(&call, &status, &body, NULL);
	if (st == STATUS_OK && status / 100 != 2)
		st = status_fail(
		    STATUS_REFUSED, "%s%s answered %d", address, path, status);
	g_free(body);
	g_free(text);
	return st;
}

/// Makes the calls that bring an arm into its state before a run.
static enum status
set_up(const json_t *arm)
{
	const json_t *steps = json_object_get(arm, "before");
	enum status st = STATUS_OK;

	for (size_t i = 0; i < json_array_size(steps) && st == STATUS_OK; i++)
		st = set_up_one(json_array_get(steps, i));
	return st;
}

static enum status
run_arm(const json_t *arm, struct loadgen_options *o, json_t **out)
{
	struct loadgen_trace *trace;
	struct loadgen_results *figures;
	enum status st = set_up(arm);

	if (st == STATUS_OK)
		st = loadgen_options_servers(arm, &o->run);
	if (st != STATUS_OK)
		return st;
	trace = loadgen_trace_new(&o->trace);
	figures = loadgen_run(&o->run, trace);
	*out = loadgen_results_json(figures);
	(void)json_object_del(*out, "series");
	loadgen_results_free(figures);
	loadgen_trace_free(trace);
	return STATUS_OK;
}

static double
value_of(const json_t *figures, const struct measure *m)
{
	for (size_t i = 0; i < G_N_ELEMENTS(m->path) && m->path[i] != NULL; i++)
		figures = json_object_get(figures, m->path[i]);
	return json_is_number(figures) ? json_number_value(figures) : NAN;
}

/// Mean and standard deviation of a list of numbers.
static json_t *
spread(const double *v, size_t n)
{
	double mean = 0;
	double square = 0;

	for (size_t i = 0; i < n; i++)
		mean += v[i] / (double)n;
	for (size_t i = 0; i < n; i++)
		square += (v[i] - mean) * (v[i] - mean);
	return json_pack("{s:f,s:f}", "mean", mean, "sd",
	    n > 1 ? sqrt(square / (double)(n - 1)) : 0.0);
}

/// One measure over all seeds: each arm, and its difference to the first.
static json_t *
compare(const json_t *runs, size_t n_arms, const struct measure *m)
{
	const size_t n = json_array_size(runs);
	json_t *out = json_object();
	double *v = g_new0(double, n + 1);
	double *d = g_new0(double, n + 1);

	for (size_t a = 0; a < n_arms && n > 0; a++) {
		const json_t *first = json_array_get(
		    json_object_get(json_array_get(runs, 0), "arms"), a);
		json_t *arm;

		for (size_t i = 0; i < n; i++) {
			const json_t *arms =
			    json_object_get(json_array_get(runs, i), "arms");
			const json_t *base = json_array_get(arms, 0);
			const json_t *own = json_array_get(arms, a);

			v[i] = value_of(json_object_get(own, "figures"), m);
			d[i] = v[i] -
			    value_of(json_object_get(base, "figures"), m);
		}
		arm = spread(v, n);
		if (isnan(v[0])) {
			json_decref(arm);
			continue;
		}
		if (a > 0)
			(void)json_object_set_new(
			    arm, "difference", spread(d, n));
		(void)json_object_set_new(out,
		    json_string_value(json_object_get(first, "name")), arm);
	}
	g_free(v);
	g_free(d);
	return out;
}

static enum status
run_seed(const json_t *arms, struct loadgen_options *o, json_t **out)
{
	json_t *list = json_array();
	enum status st = STATUS_OK;

	for (size_t a = 0; a < json_array_size(arms) && st == STATUS_OK; a++) {
		const json_t *arm = json_array_get(arms, a);
		json_t *figures = NULL;

		st = run_arm(arm, o, &figures);
		if (st == STATUS_OK)
			(void)json_array_append_new(list,
			    json_pack("{s:O,s:o}", "name",
				json_object_get(arm, "name"), "figures",
				figures));
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
	json_t *table = json_object();
	struct loadgen_options o;
	enum status st;

	*out = json_pack("{s:o,s:o}", "measures", table, "runs", runs);
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
		(void)json_object_set_new(table, measures[m].name,
		    compare(runs, json_array_size(arms), &measures[m]));
	json_decref(root);
	return st;
}
