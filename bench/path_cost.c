#include "common/deploy.h"
#include "common/http.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define JOIN_TIMEOUT_MS 120000
#define OPEN_STREAMS 1000
#define MAX_ARGS 24
#define KIB_BYTES 1024

/// Starts one control process, one entry, and stand-ins that add little
/// latency; NULL when they don't start.
static struct deploy *
start_deployment(const char *runner_settings, uint32_t runners)
{
	const struct deploy_shape shape = {
		.n = { [DEPLOY_CONTROL] = 1,
		    [DEPLOY_ENTRY] = 1,
		    [DEPLOY_RUNNER] = runners,
		    [DEPLOY_SERVICE] = 2 },
		.extra = { [DEPLOY_RUNNER] = runner_settings,
		    [DEPLOY_SERVICE] = "{\"latency_us\":0}",
		    [DEPLOY_ENTRY] = "{\"max_streams\":4000}" },
	};
	struct deploy *d = deploy_new(&shape);

	if (deploy_start_all(d))
		return d;
	deploy_free(d);
	return NULL;
}

static char *
address_of(const struct deploy *d, enum deploy_kind kind)
{
	return g_strdup_printf("127.0.0.1:%u", deploy_port(d, kind, 0));
}

static pid_t
start_load(struct deploy *d, const char *const *options, const char *file)
{
	char *program = deploy_program_path(d, "acaciahinge");
	char *target = address_of(d, DEPLOY_ENTRY);
	const char *argv[MAX_ARGS] = { program, "load", "-t", target, "--json",
		file };
	size_t n = 6;
	pid_t pid;

	while (*options != NULL && n + 1 < MAX_ARGS)
		argv[n++] = *options++;
	argv[n] = NULL;
	pid = deploy_spawn(d, "load", argv);
	g_free(program);
	g_free(target);
	return pid;
}

/// Runs the load command to its end and returns its results.
static json_t *
run_load(struct deploy *d, const char *const *options)
{
	char *file = g_strdup_printf("%s/figures.json", deploy_folder(d));
	json_t *results;

	(void)deploy_wait_process(
	    start_load(d, options, file), JOIN_TIMEOUT_MS);
	results = json_load_file(file, 0, NULL);
	g_free(file);
	return results;
}

static double
number_at(const json_t *o, const char *a, const char *b, const char *c)
{
	const json_t *v = json_object_get(o, a);

	v = b != NULL ? json_object_get(v, b) : v;
	v = c != NULL ? json_object_get(v, c) : v;
	return json_number_value(v);
}

/// Processor time that a process has used, in seconds, at 100 ticks a second.
static double
cpu_s(pid_t pid)
{
	char *file = g_strdup_printf("/proc/%d/stat", (int)pid);
	char *text = NULL;
	char **fields;
	double ticks = 0;

	if (g_file_get_contents(file, &text, NULL, NULL)) {
		fields = g_strsplit(strrchr(text, ')') + 2, " ", -1);
		ticks = g_ascii_strtod(fields[11], NULL) +
		    g_ascii_strtod(fields[12], NULL);
		g_strfreev(fields);
	}
	g_free(text);
	g_free(file);
	return ticks / 100;
}

static double
resident_kib(pid_t pid)
{
	char *file = g_strdup_printf("/proc/%d/status", (int)pid);
	char *text = NULL;
	const char *at = NULL;
	double kib = 0;

	if (g_file_get_contents(file, &text, NULL, NULL))
		at = strstr(text, "VmRSS:");
	if (at != NULL)
		kib = g_ascii_strtod(at + strlen("VmRSS:"), NULL);
	g_free(text);
	g_free(file);
	return kib;
}

static void
print_added(const json_t *results, const char *what)
{
	(void)printf("%s_added_p50_ms=%.3f %s_added_p99_ms=%.3f "
		     "%s_direct_p50_ms=%.3f %s_direct_p99_ms=%.3f ",
	    what, number_at(results, what, "added_ms", "p50"), what,
	    number_at(results, what, "added_ms", "p99"), what,
	    number_at(results, what, "direct_ms", "p50"), what,
	    number_at(results, what, "direct_ms", "p99"));
}

/// Latency that an entry adds to a unary call and to each token.
int
bench_path_added(uint64_t seed)
{
	struct deploy *d = start_deployment(
	    "{\"step_us\":2000,\"stamp_tokens\":true,\"slots\":64}", 1);
	char *service;
	char *runner;
	json_t *results;

	(void)seed;
	if (d == NULL)
		return 1;
	service = address_of(d, DEPLOY_SERVICE);
	runner = address_of(d, DEPLOY_RUNNER);
	results = run_load(d,
	    (const char *const[]){ "--added", "--service", service, "--runner",
		runner, "--calls", "10000", NULL });
	print_added(results, "unary");
	print_added(results, "token");
	(void)printf("\n");
	json_decref(results);
	g_free(service);
	g_free(runner);
	deploy_free(d);
	return 0;
}

/// Unary calls a second through one entry, and its processor time.
int
bench_path_calls(uint64_t seed)
{
	struct deploy *d = start_deployment("{}", 1);
	double before;
	double cpu_used_s;
	json_t *results;

	(void)seed;
	if (d == NULL)
		return 1;
	before = cpu_s(deploy_pid(d, DEPLOY_ENTRY, 0));
	results = run_load(d,
	    (const char *const[]){ "--workers", "64", "--duration", "5",
		"--mix", "lookup=1", NULL });
	cpu_used_s = cpu_s(deploy_pid(d, DEPLOY_ENTRY, 0)) - before;
	(void)printf("calls_per_s=%.0f entry_cores=%.2f whole=%.0f sent=%.0f\n",
	    number_at(results, "totals", "whole", NULL) /
		number_at(results, "seconds", NULL, NULL),
	    cpu_used_s / number_at(results, "seconds", NULL, NULL),
	    number_at(results, "totals", "whole", NULL),
	    number_at(results, "totals", "sent", NULL));
	json_decref(results);
	deploy_free(d);
	return 0;
}

/// Streamed tokens a second through one entry, and its processor time. There
/// are two load processes, as one can't read as fast as an entry writes.
int
bench_path_tokens(uint64_t seed)
{
	static const char *const options[] = { "--workers", "200", "--duration",
		"5", "--mix", "chat=1", "--token-permille", "8000", NULL };
	struct deploy *d =
	    start_deployment("{\"step_us\":1000,\"step_us_per_request\":0,"
			     "\"slots\":400,\"prefill_us_per_token\":0}",
		4);
	char *file;
	pid_t second_load;
	double cpu_used_s;
	double seconds;
	json_t *results;
	json_t *second;

	(void)seed;
	if (d == NULL)
		return 1;
	file = g_strdup_printf("%s/other.json", deploy_folder(d));
	cpu_used_s = -cpu_s(deploy_pid(d, DEPLOY_ENTRY, 0));
	second_load = start_load(d, options, file);
	results = run_load(d, options);
	(void)deploy_wait_process(second_load, JOIN_TIMEOUT_MS);
	cpu_used_s += cpu_s(deploy_pid(d, DEPLOY_ENTRY, 0));
	second = json_load_file(file, 0, NULL);
	seconds = MAX(number_at(results, "seconds", NULL, NULL),
	    number_at(second, "seconds", NULL, NULL));
	(void)printf("tokens_per_s=%.0f entry_cores=%.2f whole=%.0f "
		     "sent=%.0f\n",
	    number_at(results, "tokens_per_s", NULL, NULL) +
		number_at(second, "tokens_per_s", NULL, NULL),
	    cpu_used_s / seconds,
	    number_at(results, "totals", "whole", NULL) +
		number_at(second, "totals", "whole", NULL),
	    number_at(results, "totals", "sent", NULL) +
		number_at(second, "totals", "sent", NULL));
	json_decref(results);
	json_decref(second);
	g_free(file);
	deploy_free(d);
	return 0;
}

/// Memory of an entry at 1,000 open streams.
int
bench_path_memory(uint64_t seed)
{
	struct deploy *d =
	    start_deployment("{\"step_us\":20000,\"step_us_per_request\":0,"
			     "\"slots\":600,\"prefill_us_per_token\":0}",
		2);
	double before;
	double peak_kib = 0;
	char *file;
	pid_t load;

	(void)seed;
	if (d == NULL)
		return 1;
	before = resident_kib(deploy_pid(d, DEPLOY_ENTRY, 0));
	file = g_strdup_printf("%s/figures.json", deploy_folder(d));
	load = start_load(d,
	    (const char *const[]){ "--workers", "1000", "--duration", "3",
		"--mix", "chat=1", "--token-permille", "4000", NULL },
	    file);
	for (int i = 0; i < 60; i++) {
		g_usleep(50000);
		peak_kib =
		    MAX(peak_kib, resident_kib(deploy_pid(d, DEPLOY_ENTRY, 0)));
	}
	(void)deploy_wait_process(load, JOIN_TIMEOUT_MS);
	(void)printf("streams=%d before_kib=%.0f most_kib=%.0f "
		     "bytes_per_stream=%.0f\n",
	    OPEN_STREAMS, before, peak_kib,
	    (peak_kib - before) * KIB_BYTES / OPEN_STREAMS);
	g_free(file);
	deploy_free(d);
	return 0;
}
