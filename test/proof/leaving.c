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
/// Covers several polls of the cloud and of the VM list by control.
#define POLLS_MS 2500

#define CLOUD_EXTRA                                             \
	"{\"start_ms\":10,"                                     \
	"\"vms\":[{\"name\":\"" SERVER "\",\"class\":\"spot\"," \
	"\"data_centre\":\"csepel\",\"host\":\"127.0.0.1\","    \
	"\"port\":9}],"                                         \
	"\"addresses\":[{\"class\":\"spot\",\"data_centre\":"   \
	"\"csepel\",\"host\":\"127.0.0.1\",\"port\":10}]}"

/// For dp_until(): the state of the server that a leader should report.
struct wanted {
	struct dp *d;
	bool draining;
	int old_leader; ///< the state must be another leader's; -1: any
};

static bool
state_is_wanted(void *arg)
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
	const struct http_ask request = {
		.port = dp_port(d, DP_CLOUD, 0),
		.path = path,
		.body = body,
	};
	struct http_answer response;
	int status;

	http_ask(&request, &response);
	status = response.http_status;
	http_free(&response);
	return status == 200 || status == 201;
}

/// Whether the server leaves the wanted state within a time.
static bool
state_changes(const struct wanted *w, uint32_t within_ms)
{
	struct wanted other = *w;

	other.draining = !w->draining;
	return dp_until(state_is_wanted, &other, within_ms);
}

/// Sends a reclaim notice, and checks that the server is draining and stays so,
/// although the lagging VM list still shows its VM.
///
/// @return NULL, or the expectation that was not met
static const char *
check_reclaim(struct wanted *w)
{
	char notice[128];

	(void)snprintf(notice, sizeof(notice),
	    "{\"scope\":\"vm\",\"name\":\"" SERVER "\",\"in_ms\":%d}",
	    NOTICE_MS);
	if (!post_cloud(w->d, "/test/notice", notice))
		return "the cloud accepts the notice";
	w->draining = true;
	if (!dp_until(state_is_wanted, w, WAIT_MS))
		return "the notice drains its server";
	return state_changes(w, NOTICE_MS + POLLS_MS)
	    ? "an old VM list doesn't end the draining"
	    : NULL;
}

/// Starts a VM of the same name and kills the leader once the server is back:
/// the next leader must not process the old notice again.
///
/// @return NULL, or the expectation that was not met
static const char *
check_return(struct wanted *w)
{
	if (!post_cloud(w->d, "/vms",
		"{\"name\":\"" SERVER "\",\"class\":\"spot\","
		"\"data_centre\":\"csepel\"}"))
		return "the cloud starts a VM";
	w->draining = false;
	if (!dp_until(state_is_wanted, w, WAIT_MS))
		return "a new VM of the name ends the draining";
	w->old_leader = dp_leader(w->d);
	dp_kill(w->d, DP_CONTROL, (uint32_t)w->old_leader);
	if (!dp_until(state_is_wanted, w, WAIT_MS))
		return "the next leader has the same state";
	return state_changes(w, POLLS_MS)
	    ? "the next leader ignores the old notice"
	    : NULL;
}

/// Guards against draining the wrong VM. A VM is reclaimed, a new one starts
/// under its name, and the leader is killed, in a deployment with a cloud and a
/// lagging VM list: neither the old list nor the old notice may change the
/// state of the server.
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
	const char *failed = NULL;

	(void)seed;
	if (!dp_start_all(w.d))
		failed = "the deployment starts";
	if (failed == NULL)
		failed = check_reclaim(&w);
	if (failed == NULL)
		failed = check_return(&w);
	if (failed != NULL)
		dp_print_logs(w.d);
	dp_free(w.d);
	(void)printf("breach=\"%s\"\n", failed == NULL ? "none" : failed);
	return failed == NULL ? 0 : 1;
}
