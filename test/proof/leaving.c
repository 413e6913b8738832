#include "common/deploy.h"
#include "common/http.h"
#include "proof/state_proofs.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVER "runner-0"
#define WAIT_MS 10000
#define NOTICE_MS 1000
/// Several rounds of control's polls of cloud and VM list.
#define POLLS_MS 2500

#define CLOUD_EXTRA                                             \
	"{\"start_ms\":10,"                                     \
	"\"vms\":[{\"name\":\"" SERVER "\",\"class\":\"spot\"," \
	"\"data_centre\":\"csepel\",\"host\":\"127.0.0.1\","    \
	"\"port\":9}],"                                         \
	"\"addresses\":[{\"class\":\"spot\",\"data_centre\":"   \
	"\"csepel\",\"host\":\"127.0.0.1\",\"port\":10}]}"

/// What is waited for.
struct wanted {
	struct dp *d;
	bool draining;
	int old_leader; ///< -1: any leader will do
};

static bool
leaving_is(void *arg)
{
	const struct wanted *w = arg;
	const int leader = dp_leader(w->d);
	char *body;
	bool draining;

	if (leader < 0 || leader == w->old_leader)
		return false;
	body = http_get(
	    dp_operators(w->d, DP_CONTROL, (uint32_t)leader), "/v1/status");
	draining = body != NULL &&
	    strstr(body, "\"name\":\"" SERVER "\",\"source\"") != NULL;
	if (body == NULL || strstr(body, "\"leaving\":") == NULL)
		draining = !w->draining;
	free(body);
	return draining == w->draining;
}

static bool
post_cloud(struct dp *d, const char *path, const char *body)
{
	const struct http_ask ask = {
		.port = dp_port(d, DP_CLOUD, 0),
		.path = path,
		.body = body,
	};
	struct http_answer a;
	int status;

	http_ask(&ask, &a);
	status = a.http_status;
	http_free(&a);
	return status == 200 || status == 201;
}

/// Whether the server's state changes within a time.
static bool
changes(const struct wanted *w, uint32_t within_ms)
{
	struct wanted other = *w;

	other.draining = !w->draining;
	return dp_until(leaving_is, &other, within_ms);
}

/// Sends a notice, and waits until the server leaves and its VM is off the
/// list.
static const char *
reclaim(struct wanted *w)
{
	char notice[128];

	(void)snprintf(notice, sizeof(notice),
	    "{\"scope\":\"vm\",\"name\":\"" SERVER "\",\"in_ms\":%d}",
	    NOTICE_MS);
	if (!post_cloud(w->d, "/test/notice", notice))
		return "cloud takes a notice";
	w->draining = true;
	if (!dp_until(leaving_is, w, WAIT_MS))
		return "a notice marks its server";
	return changes(w, NOTICE_MS + POLLS_MS)
	    ? "an old list brings nothing back"
	    : NULL;
}

/// Starts a VM of the same name, and kills the leader once it is back.
static const char *
come_back(struct wanted *w)
{
	if (!post_cloud(w->d, "/vms",
		"{\"name\":\"" SERVER "\",\"class\":\"spot\","
		"\"data_centre\":\"csepel\"}"))
		return "cloud starts a VM";
	w->draining = false;
	if (!dp_until(leaving_is, w, WAIT_MS))
		return "a new VM of the name is back";
	w->old_leader = dp_leader(w->d);
	dp_kill(w->d, DP_CONTROL, (uint32_t)w->old_leader);
	if (!dp_until(leaving_is, w, WAIT_MS))
		return "another leader has the same state";
	return changes(w, POLLS_MS) ? "a new leader takes no old notice" : NULL;
}

/// A VM is reclaimed, comes back under its name, and the leader is killed:
/// through whole processes with a cloud and a lagging VM list.
int
proof_leaving_vm(uint64_t seed)
{
	const struct dp_shape shape = {
		.n = { [DP_CONTROL] = 3,
		    [DP_ENTRY] = 1,
		    [DP_RUNNER] = 1,
		    [DP_CLOUD] = 1,
		    [DP_VM_LIST] = 1 },
		.extra = { [DP_CLOUD] = CLOUD_EXTRA,
		    [DP_VM_LIST] = "{\"lag_ms\":700}" },
	};
	struct wanted w = { .d = dp_new(&shape), .old_leader = -1 };
	const char *breach = NULL;

	(void)seed;
	if (!dp_start_all(w.d))
		breach = "the deployment starts";
	if (breach == NULL)
		breach = reclaim(&w);
	if (breach == NULL)
		breach = come_back(&w);
	if (breach != NULL)
		dp_print_logs(w.d);
	dp_free(w.d);
	(void)printf("breach=\"%s\"\n", breach == NULL ? "none" : breach);
	return breach == NULL ? 0 : 1;
}
