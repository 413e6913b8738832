#include <glib.h>
#include <stdio.h>

#include "common/deploy.h"
#include "common/http.h"
#include "common/usage.h"

#define CONTROLS 3
#define IDLE_S 5
#define NOTES 40
#define NOTE_INTERVAL_US 150000
#define TIMEOUT_MS 5000

int bench_spread(uint64_t seed);

/// Totals over the processes of a kind at one time.
struct sample {
	double cpu_s;
	double max_rss_mb; ///< Of the largest process.
	double bytes;      ///< Sent to and received from peers.
	gint64 at_us;
};

static struct sample
take_sample(const struct deploy *d, enum deploy_kind kind, uint32_t n)
{
	struct sample s = { .at_us = g_get_monotonic_time() };

	for (uint32_t i = 0; i < n; i++) {
		const struct usage u = usage_read(deploy_pid(d, kind, i));
		char *text =
		    http_get(deploy_operators_port(d, kind, i), "/metrics");

		s.cpu_s += u.cpu_s;
		s.max_rss_mb = MAX(s.max_rss_mb, (double)u.rss_bytes / 1e6);
		s.bytes += usage_metric(text, "ac_peer_bytes_sent_total") +
		    usage_metric(text, "ac_peer_bytes_received_total");
		g_free(text);
	}
	return s;
}

static void
print_usage(const char *who, const char *when, uint32_t n,
    const struct sample *before, const struct sample *after)
{
	const double s = (double)(after->at_us - before->at_us) / 1e6;

	(void)printf(" %s_%s_core_percent=%.2f %s_%s_bytes_s=%.0f "
		     "%s_rss_mb=%.1f",
	    who, when, (after->cpu_s - before->cpu_s) / s / n * 100, who, when,
	    (after->bytes - before->bytes) / s / n, who, after->max_rss_mb);
}

static void
submit_note(struct deploy *d, int number)
{
	char *note = g_strdup_printf("{\"note\":\"n-%d\",\"base\":%d,"
				     "\"customers\":{\"add\":[{\"name\":"
				     "\"c-%d\",\"weight\":1}]}}",
	    number, number, number);
	int status;

	(void)deploy_submit_note(d, note, &status);
	g_free(note);
}

static void
measure_entries(struct deploy *d, uint32_t n)
{
	struct sample control[3];
	struct sample entries[3];
	char *text;
	int leader;

	control[0] = take_sample(d, DEPLOY_CONTROL, CONTROLS);
	entries[0] = take_sample(d, DEPLOY_ENTRY, n);
	g_usleep((gulong)IDLE_S * G_USEC_PER_SEC);
	control[1] = take_sample(d, DEPLOY_CONTROL, CONTROLS);
	entries[1] = take_sample(d, DEPLOY_ENTRY, n);
	for (int i = 1; i <= NOTES; i++) {
		submit_note(d, i);
		g_usleep(NOTE_INTERVAL_US);
	}
	control[2] = take_sample(d, DEPLOY_CONTROL, CONTROLS);
	entries[2] = take_sample(d, DEPLOY_ENTRY, n);
	leader = deploy_leader(d);
	text = http_get(
	    deploy_operators_port(d, DEPLOY_CONTROL, (uint32_t)MAX(leader, 0)),
	    "/metrics");
	(void)printf("entries=%u in_force_p50_ms=%.2f in_force_p99_ms=%.2f", n,
	    usage_quantile(text, "ac_in_force_seconds", 0.5) * 1e3,
	    usage_quantile(text, "ac_in_force_seconds", 0.99) * 1e3);
	print_usage("control", "idle", CONTROLS, &control[0], &control[1]);
	print_usage("control", "notes", CONTROLS, &control[1], &control[2]);
	print_usage("entry", "idle", n, &entries[0], &entries[1]);
	print_usage("entry", "notes", n, &entries[1], &entries[2]);
	(void)printf("\n");
	(void)fflush(stdout);
	g_free(text);
}

/// Time until a note is in force, and the processor time, memory and traffic of
/// control for each process, by the number of entry processes.
int
bench_spread(uint64_t seed)
{
	static const uint32_t sizes[] = { 8, 32, 100, 200, 350 };
	bool ok = true;

	(void)seed;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes) && ok; i++) {
		const struct deploy_shape shape = {
			.n = { [DEPLOY_CONTROL] = CONTROLS,
			    [DEPLOY_ENTRY] = sizes[i] },
		};
		struct deploy *d = deploy_new(&shape);

		ok = deploy_start_all(d);
		if (ok)
			measure_entries(d, sizes[i]);
		deploy_free(d);
	}
	return ok ? 0 : 1;
}
