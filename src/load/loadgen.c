#include "load/loadgen.h"

#include "cli/exit_code.h"
#include "load/overhead.h"
#include "load/options.h"
#include "load/experiment.h"
#include "load/plot.h"

#include <argtable2.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

/// Parsed command line.
struct args {
	struct arg_lit *help;
	struct arg_str *target;
	struct arg_str *server;
	struct arg_dbl *rate;
	struct arg_dbl *duration;
	struct arg_int *seed;
	struct arg_str *mix;
	struct arg_str *customers;
	struct arg_str *model;
	struct arg_int *histories;
	struct arg_int *history_bytes;
	struct arg_int *tokens;
	struct arg_int *workers;
	struct arg_int *resend;
	struct arg_int *timeout;
	struct arg_lit *check;
	struct arg_file *json;
	struct arg_file *plot;
	struct arg_file *ids;
	struct arg_file *experiment;
	struct arg_lit *added;
	struct arg_str *service;
	struct arg_str *runner;
	struct arg_int *calls;
	struct arg_end *end;
};

#define N_ARGS (sizeof(struct args) / sizeof(void *))

static void
make_run_args(struct args *a)
{
	a->help = arg_lit0(NULL, "help", "this text");
	a->target = arg_strn("t", "target", "IP:PORT", 0, LOADGEN_MAX_TARGETS,
	    "an entry's address for callers; may be repeated");
	a->server = arg_strn("s", "server", "IP:PORT", 0, LOADGEN_MAX_TARGETS,
	    "a stand-in whose counts are read before and after");
	a->rate = arg_dbl0("r", "rate", "N", "arrivals a second (20)");
	a->duration = arg_dbl0("d", "duration", "S", "length in seconds (10)");
	a->seed = arg_int0(NULL, "seed", "N", "seed of the trace (1)");
	a->mix = arg_str0(NULL, "mix", "KIND=N,...",
	    "contract, chat, dossier, question, booking, confirm, lookup");
	a->customers = arg_str0(NULL, "customers", "NAME,...",
	    "customers, the largest first (depot,planners)");
	a->model =
	    arg_str0(NULL, "model", "NAME", "model that callers request");
	a->histories = arg_int0(
	    NULL, "histories", "N", "long histories that dossiers share (6)");
	a->history_bytes =
	    arg_int0(NULL, "history-bytes", "N", "length of a history (24000)");
	a->tokens = arg_int0(NULL, "token-permille", "N",
	    "scale of the lengths of responses (1000)");
}

static void
make_other_args(struct args *a)
{
	a->workers = arg_int0("w", "workers", "N",
	    "closed loop: N callers, each sends when its last request ended");
	a->resend = arg_int0(NULL, "resend", "N",
	    "times that a request is sent again if refused, or if keyed and failed");
	a->timeout = arg_int0(NULL, "timeout-ms", "N",
	    "a caller's timeout, in milliseconds (60000)");
	a->check = arg_lit0(
	    "c", "check", "responses must be exactly those of the stand-ins");
	a->json = arg_file0(
	    NULL, "json", "FILE", "results as JSON (standard output)");
	a->plot = arg_file0(NULL, "plot", "FILE", "SVG of the run over time");
	a->ids = arg_file0(NULL, "ids", "FILE",
	    "a line each: id, kind, end, status, verdict, key, port");
	a->experiment = arg_file0(NULL, "experiment", "FILE",
	    "runs the same traces against each arm of the file");
	a->added = arg_lit0(NULL, "added",
	    "measures latency added by the first target to --service, --runner");
	a->service = arg_str0(NULL, "service", "IP:PORT",
	    "service that the entry sends lookups to");
	a->runner = arg_str0(NULL, "runner", "IP:PORT",
	    "stamping runner that the entry sends completions to");
	a->calls = arg_int0(NULL, "calls", "N", "calls of --added (4000)");
	a->end = arg_end(20);
}

static void
print_help(const struct args *a)
{
	(void)printf("usage: acaciahinge load");
	arg_print_syntax(stdout, (void **)a, "\n");
	(void)printf(
	    "\nSends callers' requests to entries and measures the responses. "
	    "Latencies count\nfrom the planned time of a request. Exit codes: "
	    "0 done, 1 a response was wrong\nor truncated, 64 bad command "
	    "line.\n\n");
	arg_print_glossary(stdout, (void **)a, "  %-28s %s\n");
}

static enum status
parse_addresses(
    const struct arg_str *arg, struct loadgen_address *out, uint32_t *n)
{
	enum status st = STATUS_OK;

	for (int i = 0; i < arg->count && st == STATUS_OK; i++)
		st = loadgen_address_parse(arg->sval[i], &out[(*n)++]);
	return st;
}

static void
apply_trace_args(const struct args *a, struct loadgen_options *o)
{
	struct loadgen_trace_settings *t = &o->trace;

	if (a->seed->count > 0)
		t->seed = (uint64_t)a->seed->ival[0];
	if (a->rate->count > 0)
		t->rate_per_s = a->rate->dval[0];
	if (a->duration->count > 0)
		t->duration_s = a->duration->dval[0];
	if (a->histories->count > 0)
		t->n_histories = (uint32_t)a->histories->ival[0];
	if (a->history_bytes->count > 0)
		t->history_bytes = (uint32_t)a->history_bytes->ival[0];
	if (a->tokens->count > 0)
		t->token_permille = (uint32_t)a->tokens->ival[0];
	if (a->customers->count > 0)
		(void)g_strlcpy(
		    o->customers, a->customers->sval[0], sizeof(o->customers));
	if (a->model->count > 0)
		(void)g_strlcpy(o->model, a->model->sval[0], sizeof(o->model));
	t->customers = o->customers;
	t->model = o->model;
}

static enum status
apply_run_args(const struct args *a, struct loadgen_options *o)
{
	struct loadgen_run_settings *r = &o->run;
	enum status st = parse_addresses(a->target, r->targets, &r->n_targets);

	if (st == STATUS_OK)
		st = parse_addresses(a->server, r->servers, &r->n_servers);
	if (st == STATUS_OK && a->mix->count > 0)
		st = loadgen_mix_parse(a->mix->sval[0], o->trace.mix);
	if (a->workers->count > 0)
		r->closed_loop_workers = (uint32_t)a->workers->ival[0];
	if (a->resend->count > 0)
		r->max_resends = (uint32_t)a->resend->ival[0];
	if (a->timeout->count > 0)
		r->timeout_ms = (uint32_t)a->timeout->ival[0];
	r->verify_text = a->check->count > 0;
	r->duration_s = o->trace.duration_s;
	if (st == STATUS_OK &&
	    (o->trace.rate_per_s <= 0 || o->trace.duration_s <= 0))
		return status_fail(
		    STATUS_INVALID, "rate and duration must be positive");
	return st;
}

/// Writes the results to the file of --json, or to standard output.
///
/// @return CLI_OK, or CLI_USAGE when the file can't be written
static int
write_json(const struct args *a, json_t *out)
{
	int rc;

	if (a->json->count == 0) {
		(void)json_dumpf(out, stdout, JSON_INDENT(2));
		(void)printf("\n");
		return CLI_OK;
	}
	rc = json_dump_file(out, a->json->filename[0], JSON_INDENT(2));
	if (rc == 0)
		return CLI_OK;
	(void)fprintf(stderr, "load: can't write %s\n", a->json->filename[0]);
	return CLI_USAGE;
}

static uint64_t
outcome_total(const struct loadgen_results *f, enum loadgen_outcome outcome)
{
	uint64_t n = 0;

	for (int k = 0; k < LOADGEN_KINDS; k++)
		n += f->kinds[k].outcomes[outcome];
	return n;
}

/// Sends the requests of a generated trace and writes the results.
///
/// @return exit code; CLI_REFUSED when a response was wrong or truncated
static int
run_trace(const struct args *a, struct loadgen_options *o)
{
	struct loadgen_trace *trace = loadgen_trace_new(&o->trace);
	struct loadgen_results *f;
	json_t *out;
	char *plot;
	int rc;

	if (a->ids->count > 0)
		o->run.ids_file = fopen(a->ids->filename[0], "w");
	f = loadgen_run(&o->run, trace);
	if (o->run.ids_file != NULL)
		(void)fclose(o->run.ids_file);
	out = loadgen_results_json(f);
	rc = write_json(a, out);
	if (a->plot->count > 0) {
		plot = loadgen_plot(f);
		if (!g_file_set_contents(a->plot->filename[0], plot, -1, NULL))
			rc = CLI_USAGE;
		g_free(plot);
	}
	if (rc == CLI_OK &&
	    outcome_total(f, LOADGEN_WRONG) +
		    outcome_total(f, LOADGEN_TRUNCATED) >
		0)
		rc = CLI_REFUSED;
	json_decref(out);
	loadgen_results_free(f);
	loadgen_trace_free(trace);
	return rc;
}

static int
usage_error(void)
{
	(void)fprintf(stderr, "load: %s; see --help\n", status_last());
	return CLI_USAGE;
}

static int
run_overhead(const struct args *a, const struct loadgen_options *o)
{
	struct loadgen_overhead_settings s = {
		.entry = o->run.targets[0],
		.path = "/stock",
		.model = o->model,
		.calls =
		    a->calls->count > 0 ? (uint32_t)a->calls->ival[0] : 4000,
		.streams = 22,
		.max_tokens = 400,
	};
	json_t *out;
	int rc;

	if (a->service->count > 0 &&
	    loadgen_address_parse(a->service->sval[0], &s.service) != STATUS_OK)
		return usage_error();
	if (a->runner->count > 0 &&
	    loadgen_address_parse(a->runner->sval[0], &s.runner) != STATUS_OK)
		return usage_error();
	out = loadgen_overhead(&s);
	rc = write_json(a, out);
	json_decref(out);
	return rc;
}

static int
run_experiment(const struct args *a)
{
	json_t *out = NULL;
	int rc;

	if (loadgen_experiment(a->experiment->filename[0], &out) != STATUS_OK) {
		json_decref(out);
		return usage_error();
	}
	rc = write_json(a, out);
	json_decref(out);
	return rc;
}

static int
run_args(const struct args *a)
{
	struct loadgen_options o;

	if (a->experiment->count > 0)
		return run_experiment(a);
	loadgen_options_default(&o);
	apply_trace_args(a, &o);
	if (apply_run_args(a, &o) != STATUS_OK)
		return usage_error();
	if (o.run.n_targets == 0) {
		(void)status_fail(
		    STATUS_INVALID, "at least one --target is needed");
		return usage_error();
	}
	if (a->added->count > 0)
		return run_overhead(a, &o);
	return run_trace(a, &o);
}

int
loadgen_main(int argc, char **argv)
{
	struct args a;
	int errors;
	int rc;

	(void)signal(SIGPIPE, SIG_IGN);
	make_run_args(&a);
	make_other_args(&a);
	errors = arg_parse(argc, argv, (void **)&a);
	if (a.help->count > 0) {
		print_help(&a);
		rc = CLI_OK;
	} else if (errors > 0) {
		arg_print_errors(stderr, a.end, "load");
		rc = CLI_USAGE;
	} else {
		rc = run_args(&a);
	}
	arg_freetable((void **)&a, N_ARGS);
	return rc;
}
