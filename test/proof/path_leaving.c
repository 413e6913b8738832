#include "proof/path.h"

#include "common/deploy.h"
#include "common/http.h"
#include "proof/path_load.h"

#include <glib.h>
#include <stdio.h>

#define DATA_CENTRES 3
#define RECLAIMED 0 ///< index of the data centre that is reclaimed
#define STEADY_US 1000000
/// No more requests may be sent there after this time.
#define BOUND_US 2500000UL
#define AFTER_BOUND_US 2500000UL
#define NOTICE "{\"scope\":\"data_centre\",\"name\":\"%s\",\"in_ms\":5000}"

static const uint32_t process_counts[DEPLOY_KINDS] = {
	[DEPLOY_CONTROL] = 5,
	[DEPLOY_ENTRY] = 3,
	[DEPLOY_RUNNER] = 6,
	[DEPLOY_SERVICE] = 3,
	[DEPLOY_CLOUD] = 1,
	[DEPLOY_VM_LIST] = 1,
};

static void
send_reclaim_notice(const struct deploy *d)
{
	char *body = g_strdup_printf(NOTICE, deploy_data_centre(d, RECLAIMED));
	const struct http_request request = {
		.port = deploy_port(d, DEPLOY_CLOUD, 0),
		.path = "/test/notice",
		.body = body,
	};
	struct http_response response;

	http_request(&request, &response);
	http_response_free(&response);
	g_free(body);
}

/// Number of requests sent to the servers of a kind in the data centre that is
/// reclaimed.
static int64_t
requests_sent_there(const struct deploy *d, enum deploy_kind kind)
{
	int64_t n = 0;

	for (uint32_t i = RECLAIMED; i < process_counts[kind];
	     i += DATA_CENTRES)
		n += http_get_number(
		    deploy_port(d, kind, i), "/test/stats", "requests");
	return n;
}

/// Kills all processes of the data centre that is reclaimed.
static void
kill_data_centre(struct deploy *d)
{
	for (enum deploy_kind k = DEPLOY_CONTROL; k <= DEPLOY_SERVICE; k++) {
		for (uint32_t i = RECLAIMED; i < process_counts[k];
		     i += DATA_CENTRES)
			deploy_kill(d, k, i);
	}
}

struct work {
	int64_t before; ///< requests sent there until BOUND_US had passed
	int64_t late;   ///< requests sent there after it
};

static struct work
run_reclaim(struct deploy *d)
{
	struct work sent;

	g_usleep(STEADY_US);
	send_reclaim_notice(d);
	g_usleep(BOUND_US);
	sent.before = requests_sent_there(d, DEPLOY_RUNNER) +
	    requests_sent_there(d, DEPLOY_SERVICE);
	g_usleep(AFTER_BOUND_US);
	sent.late = requests_sent_there(d, DEPLOY_RUNNER) +
	    requests_sent_there(d, DEPLOY_SERVICE) - sent.before;
	kill_data_centre(d);
	return sent;
}

/// Guards against lost requests and cut streams when a data centre is
/// reclaimed. A reclaim notice comes 5 s ahead, while the VM list still shows
/// the VMs as live: no new request may go there after 2.5 s, and when all its
/// processes are killed after 5 s, no accepted request may be lost and no
/// stream cut.
int
proof_path_leaving(uint64_t seed)
{
	struct deploy_shape shape = {
		.extra = { [DEPLOY_RUNNER] = "{\"step_us\":3000}",
		    [DEPLOY_VM_LIST] = "{\"lag_ms\":60000}" },
		.standby = 2,
	};
	const struct load_plan plan = {
		.seed = seed,
		.rate_per_s = 40,
		.duration_s = 8,
		.mix = "contract=1,chat=20,question=5,booking=15,lookup=10",
		.token_permille = 1000,
		.resend = 20,
	};
	struct load_outcomes ends = { 0 };
	struct work sent_requests = { 0 };
	struct load_run run;
	struct deploy *d;
	bool ok;

	for (int k = 0; k < DEPLOY_KINDS; k++)
		shape.n[k] = process_counts[k];
	d = deploy_new(&shape);
	ok = deploy_start_all(d);
	if (ok) {
		load_start(d, &plan, &run);
		sent_requests = run_reclaim(d);
		ok = load_finish(d, &run, 0, &ends);
		ok = ok && sent_requests.before > 0 &&
		    sent_requests.late == 0 && ends.cut == 0 &&
		    ends.repeated == 0 && ends.not_run_yet_ran == 0 &&
		    ends.complete + ends.unknown == ends.sent;
		if (!ok)
			deploy_print_logs(d);
	}
	(void)printf("before_bound=%lld after_bound=%lld ",
	    (long long)sent_requests.before, (long long)sent_requests.late);
	load_print("", &ends);
	deploy_free(d);
	return ok ? 0 : 1;
}
