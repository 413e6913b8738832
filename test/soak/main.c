#include "soak.h"

#include <argtable2.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <unistd.h>

#define READ_BACK_US (500 * USEC_PER_MSEC)
/// How long callers are watched after the recovery time.
#define WATCH_US (4 * USEC_PER_SEC)
#define DEFAULT_SECONDS 40
#define DEFAULT_HUBS 5
#define DEFAULT_GATEWAYS 3
#define DEFAULT_SERVERS 6

/// Monotonic time in microseconds.
uint64_t
soak_now_us(const struct soak *s)
{
	return timerq_now_us(s->timers);
}

static void
log_line(
    const struct soak *s, const char *what, const char *format, va_list args)
{
	(void)printf("%8.3f %s",
	    (double)(soak_now_us(s) - s->start_us) / (double)USEC_PER_SEC,
	    what);
	(void)vprintf(format, args);
	(void)putchar('\n');
	(void)fflush(stdout);
}

/// Prints a line with the seconds since the start.
void
soak_log(struct soak *s, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	log_line(s, "", format, args);
	va_end(args);
}

/// Prints and counts the violation of an invariant.
void
soak_violation(struct soak *s, const char *format, ...)
{
	va_list args;

	s->n_violations++;
	va_start(args, format);
	log_line(s, "BREACH ", format, args);
	va_end(args);
}

/// Random number below a limit.
uint32_t
soak_random_below(struct soak *s, uint32_t limit)
{
	return (uint32_t)rnd_below(s->rnd, limit);
}

/// Ends all faults after the given time; after the recovery time, watches the
/// callers and reads the configuration until the end.
static void
on_phase(void *arg, uint64_t now_us)
{
	struct soak *s = arg;
	const uint64_t now = soak_now_us(s);

	(void)now_us;
	if (now < s->until_us) {
		timerq_arm(s->ticks[6], s->until_us);
		return;
	}
	if (s->n_read_back == 0 && now < s->until_us + SOAK_RECOVER_US)
		soak_faults_heal(s);
	if (now < s->until_us + SOAK_RECOVER_US) {
		timerq_arm(s->ticks[6], s->until_us + SOAK_RECOVER_US);
		return;
	}
	soak_operator_read_back(s);
	if (now < s->until_us + SOAK_RECOVER_US + WATCH_US)
		timerq_arm_in(s->ticks[6], READ_BACK_US);
	else
		loop_exit(s->loop, 0);
}

static void
check_recovery(struct soak *s)
{
	if (s->n_late_complete * 4 < s->n_late || s->n_late == 0)
		soak_violation(s,
		    "recover: %u of %u requests served at the end",
		    s->n_late_complete, s->n_late);
	if (s->n_read_back == 0)
		soak_violation(s, "config: it couldn't be read at the end");
	for (uint32_t i = 0; i < s->n_gateways; i++) {
		if (s->gateways[i].out)
			soak_violation(s, "recover: %s is not ready at the end",
			    s->gateways[i].name);
	}
}

/// Takes loopback addresses that nobody else uses, by the lock of the scripts.
/// The processes of the soak inherit it, so it is held until the last one ends.
static void
choose_net(struct soak *s)
{
	for (s->net = (uint32_t)getpid() + 1000;; s->net++) {
		char *name = g_strdup_printf("/tmp/acaciahinge-127.%u.%u.lock",
		    1 + s->net % 62, s->net / 62 % 4);
		const int fd = open(name, O_RDWR | O_CREAT, 0666);

		g_free(name);
		if (fd >= 0 && flock(fd, LOCK_EX | LOCK_NB) == 0)
			return;
		if (fd >= 0)
			(void)close(fd);
	}
}

static int
run_soak(struct soak *s, uint64_t seed, uint32_t seconds)
{
	char *folder = g_strdup_printf("%s/soak-XXXXXX", g_get_tmp_dir());

	s->folder = g_mkdtemp(folder);
	choose_net(s);
	s->loop = loop_new(seed);
	s->timers = loop_timers(s->loop);
	s->rnd = rnd_new(seed);
	s->http = httpc_new(loop_event_base(s->loop));
	s->start_us = soak_now_us(s);
	s->until_us = s->start_us + seconds * USEC_PER_SEC;
	soak_world_start(s);
	soak_servers_start(s);
	soak_platform_start(s);
	soak_operator_start(s);
	soak_callers_start(s);
	soak_faults_start(s);
	s->ticks[6] = timerq_timer_new(s->timers, on_phase, s);
	timerq_arm_in(s->ticks[6], 0);
	loop_run(s->loop);
	check_recovery(s);
	soak_world_stop(s);
	httpc_free(s->http);
	soak_servers_stop(s);
	soak_platform_stop(s);
	(void)printf("seed=%" G_GUINT64_FORMAT
		     " faults=%u requests=%u whole=%u "
		     "refused=%u failed=%u configs=%u late=%u late_whole=%u "
		     "breaches=%u holds=%d\n",
	    seed, s->n_faults, s->n_requests, s->n_complete, s->n_refused,
	    s->n_failed, s->configs->len, s->n_late, s->n_late_complete,
	    s->n_violations, s->n_violations == 0);
	for (size_t i = 0; i < G_N_ELEMENTS(s->ticks); i++)
		timerq_timer_free(s->ticks[i]);
	g_hash_table_destroy(s->requests);
	g_ptr_array_free(s->configs, TRUE);
	rnd_free(s->rnd);
	loop_free(s->loop);
	g_free(folder);
	return s->n_violations == 0 ? 0 : 1;
}

static uint32_t
parse_count(const struct arg_int *arg, uint32_t most)
{
	const int n = arg->ival[0];

	return n < 1 ? 1 : MIN((uint32_t)n, most);
}

int
main(int argc, char **argv)
{
	struct arg_int *seed =
	    arg_int0(NULL, "seed", "N", "seed of faults and requests");
	struct arg_int *seconds =
	    arg_int0(NULL, "seconds", "N", "how long faults are injected");
	struct arg_int *hubs = arg_int0(NULL, "hubs", "N", "3 or more");
	struct arg_int *gateways = arg_int0(NULL, "gateways", "N", NULL);
	struct arg_int *servers = arg_int0(NULL, "servers", "N", NULL);
	struct arg_lit *keep = arg_lit0(NULL, "keep", "keep all logs");
	struct arg_end *end = arg_end(4);
	void *table[] = { seed, seconds, hubs, gateways, servers, keep, end };
	static struct soak s;
	char *slash;
	int code;

	seed->ival[0] = 1;
	seconds->ival[0] = DEFAULT_SECONDS;
	hubs->ival[0] = DEFAULT_HUBS;
	gateways->ival[0] = DEFAULT_GATEWAYS;
	servers->ival[0] = DEFAULT_SERVERS;
	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, argv[0]);
		return 2;
	}
	s.n_hubs = MAX(3, parse_count(hubs, SOAK_MAX_HUBS));
	s.n_gateways = parse_count(gateways, SOAK_MAX_GATEWAYS);
	s.n_servers = parse_count(servers, SOAK_MAX_SERVERS);
	s.keep = keep->count > 0;
	s.bin = realpath(argv[0], NULL);
	// build/test/soak: the programs are one folder up.
	slash = strrchr(s.bin, '/');
	*slash = '\0';
	*strrchr(s.bin, '/') = '\0';
	code =
	    run_soak(&s, (uint64_t)seed->ival[0], parse_count(seconds, 3600));
	arg_freetable(table, G_N_ELEMENTS(table));
	(void)fflush(stdout);
	// Calls in flight at the end are not freed; _exit skips the cleanup.
	_exit(code);
}
