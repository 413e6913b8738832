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

/// For deploy_wait_until(): the state of the server that a leader should
/// report.
struct wanted {
	struct deploy *d;
	bool draining;
	int old_leader; ///< the state must be another leader's; -1: any
};

static bool
state_is_wanted(void *arg)
{
	const struct wanted *w = arg;
	const int leader = deploy_leader(w->d);
	char *body;
	bool draining;

	if (leader < 0 || leader == w->old_leader)
		return false;
	body = http_get(
	    deploy_operators_port(w->d, DEPLOY_CONTROL, (uint32_t)leader),
	    "/v1/status");
	draining = body != NULL &&
	    strstr(body, "\"name\":\"" SERVER "\",\"source\"") != NULL;
	if (body == NULL || strstr(body, "\"leaving\":") == NULL)
		draining = !w->draining;
	free(body);
	return draining == w->draining;
}

static bool
post_cloud(struct deploy *d, const char *path, const char *body)
{
	const struct http_request request = {
		.port = deploy_port(d, DEPLOY_CLOUD, 0),
		.path = path,
		.body = body,
	};
	struct http_response response;
	int status;

	http_request(&request, &response);
	status = response.http_status;
	http_response_free(&response);
	return status == 200 || status == 201;
}

/// Whether the server leaves the wanted state within a time.
static bool
state_changes(const struct wanted *w, uint32_t within_ms)
{
	struct wanted other = *w;

	other.draining = !w->draining;
	return deploy_wait_until(state_is_wanted, &other, within_ms);
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
	if (!deploy_wait_until(state_is_wanted, w, WAIT_MS))
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
	if (!deploy_wait_until(state_is_wanted, w, WAIT_MS))
		return "a new VM of the name ends the draining";
	w->old_leader = deploy_leader(w->d);
	deploy_kill(w->d, DEPLOY_CONTROL, (uint32_t)w->old_leader);
	if (!deploy_wait_until(state_is_wanted, w, WAIT_MS))
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
	const struct deploy_shape shape = {
		.n = { [DEPLOY_CONTROL] = 3,
		    [DEPLOY_ENTRY] = 1,
		    [DEPLOY_RUNNER] = 1,
		    [DEPLOY_CLOUD] = 1,
		    [DEPLOY_VM_LIST] = 1 },
		.extra = { [DEPLOY_CLOUD] = CLOUD_EXTRA,
		    [DEPLOY_VM_LIST] = "{\"lag_ms\":700}" },
	};
	struct wanted w = { .d = deploy_new(&shape), .old_leader = -1 };
	const char *failed = NULL;

	(void)seed;
	if (!deploy_start_all(w.d))
		failed = "the deployment starts";
	if (failed == NULL)
		failed = check_reclaim(&w);
	if (failed == NULL)
		failed = check_return(&w);
	if (failed != NULL)
		deploy_print_logs(w.d);
	deploy_free(w.d);
	(void)printf("breach=\"%s\"\n", failed == NULL ? "none" : failed);
	return failed == NULL ? 0 : 1;
}
