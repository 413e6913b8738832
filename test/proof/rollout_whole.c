#include "common/deploy.h"
#include "common/http.h"
#include "proof/path_load.h"
#include "proof/rollout_random.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define RATE_PER_S 100
#define BEFORE_S 5
#define DURING_S 10
#define AFTER_S 3
#define ROLLBACK_TIMEOUT_MS 20000
#define IN_FORCE_TIMEOUT_MS 5000
#define DONE_TIMEOUT_MS 60000
#define LATER_S 65
#define COMPLETE_IN_S 3600
#define COMPLETE_SOON_IN_S 32
#define NOTE "move-to-v2"

#define RUNNER_EXTRA                                        \
	"{\"step_us\":500,\"versions\":[{\"name\":\"v1\"}," \
	"{\"name\":\"v2\",\"fault\":\"fail\",\"permille\":600}]}"

/// v2 is good for the first 50 s at each runner.
#define RUNNER_LATER                                            \
	"{\"step_us\":500,\"versions\":[{\"name\":\"v1\"},"     \
	"{\"name\":\"v2\",\"fault\":\"fail\",\"permille\":600," \
	"\"after_ms\":50000}]}"

/// The runners of the first release note, changed to serve v2 as well; a new
/// reference.
static json_t *
runners_with_v2(const struct deploy *d)
{
	char *first = deploy_first_note(d);
	json_t *note = json_loads(first, 0, NULL);
	const json_t *section = json_object_get(note, "backend_servers");
	json_t *out = json_array();
	json_t *server;
	size_t i;

	json_array_foreach(json_object_get(section, "add"), i, server)
	{
		if (json_object_get(server, "versions") == NULL)
			continue;
		(void)json_object_set_new(
		    server, "versions", json_pack("[s,s]", "v1", "v2"));
		(void)json_array_append(out, server);
	}
	json_decref(note);
	g_free(first);
	return out;
}

/// Submits the release note that orders the rollout to v2.
///
/// @param in_s  time until the rollout must be complete
static bool
submit_rollout(struct deploy *d, int in_s)
{
	GDateTime *now = g_date_time_new_now_utc();
	GDateTime *by = g_date_time_add_seconds(now, in_s);
	char *by_text = g_date_time_format(by, "%Y-%m-%dT%H:%M:%SZ");
	json_t *note = json_pack("{s:s,s:i,s:{s:[{s:s,s:s,s:s,s:s}]},s:{s:o}}",
	    "note", NOTE, "base", 1, "versions", "add", "name", "v2", "pool",
	    "carpet-desk", "replaces", "v1", "complete_by", by_text,
	    "backend_servers", "change", runners_with_v2(d));
	char *text = json_dumps(note, 0);
	int status = 0;
	const bool ok = deploy_submit_note(d, text, &status);

	free(text);
	json_decref(note);
	g_free(by_text);
	g_date_time_unref(by);
	g_date_time_unref(now);
	return ok;
}

static bool
note_status_has(struct deploy *d, const char *word)
{
	const int leader = deploy_leader(d);
	char *body;
	bool found;

	if (leader < 0)
		return false;
	body =
	    http_get(deploy_operators_port(d, DEPLOY_CONTROL, (uint32_t)leader),
		"/v1/notes/" NOTE);
	found = body != NULL && strstr(body, word) != NULL;
	free(body);
	return found;
}

static bool
is_rolled_back(void *arg)
{
	return note_status_has(arg, "\"taken back\"");
}

static bool
is_done(void *arg)
{
	return note_status_has(arg, "\"done\"");
}

static bool
run_load(struct deploy *d, uint64_t seed, double duration_s,
    int64_t *rollback_ms, struct load_outcomes *out)
{
	const struct load_plan plan = {
		.seed = seed,
		.rate_per_s = RATE_PER_S,
		.duration_s = duration_s,
		.mix = "question=10",
		.token_permille = 100,
	};
	const gint64 start_us = g_get_monotonic_time();
	struct load_run run;

	load_start(d, &plan, &run);
	if (rollback_ms != NULL &&
	    deploy_wait_until(is_rolled_back, d, ROLLBACK_TIMEOUT_MS))
		*rollback_ms = (g_get_monotonic_time() - start_us) / 1000;
	return load_finish(d, &run, 0, out);
}

static bool
never(void *arg)
{
	(void)arg;
	return false;
}

/// Rollout of a version that fails, with whole processes under load: it must be
/// rolled back, and no request may meet it afterwards.
int
proof_rollout_whole(uint64_t seed)
{
	const struct deploy_shape shape = {
		.n = { [DEPLOY_CONTROL] = 3,
		    [DEPLOY_ENTRY] = 3,
		    [DEPLOY_RUNNER] = 4,
		    [DEPLOY_SERVICE] = 1 },
		.extra = { [DEPLOY_RUNNER] = RUNNER_EXTRA },
	};
	struct deploy *d = deploy_new(&shape);
	struct load_outcomes before = { .sent = -1 };
	struct load_outcomes during = { .sent = -1 };
	struct load_outcomes after = { .sent = -1 };
	int64_t rollback_ms = -1;
	bool ok = deploy_start_all(d) &&
	    run_load(d, seed, BEFORE_S, NULL, &before) &&
	    submit_rollout(d, COMPLETE_IN_S) &&
	    run_load(d, seed + 1, DURING_S, &rollback_ms, &during);

	if (ok) {
		(void)deploy_wait_until(never, NULL, IN_FORCE_TIMEOUT_MS);
		ok = run_load(d, seed + 2, AFTER_S, NULL, &after);
	}
	ok = ok && rollback_ms >= 0 && after.sent > 0 &&
	    after.complete == after.sent;
	if (!ok)
		deploy_print_logs(d);
	(void)printf("back_ms=%lld during_sent=%lld during_whole=%lld "
		     "after_sent=%lld after_whole=%lld\n",
	    (long long)rollback_ms, (long long)during.sent,
	    (long long)during.complete, (long long)after.sent,
	    (long long)after.complete);
	deploy_free(d);
	return ok ? 0 : 1;
}

/// Guards against a new leader that doesn't monitor: a rollout completes under
/// load, the leader is killed, then the version begins to fail. It must be
/// rolled back.
int
proof_rollout_later(uint64_t seed)
{
	const struct deploy_shape shape = {
		.n = { [DEPLOY_CONTROL] = 3,
		    [DEPLOY_ENTRY] = 3,
		    [DEPLOY_RUNNER] = 4,
		    [DEPLOY_SERVICE] = 1 },
		.extra = { [DEPLOY_RUNNER] = RUNNER_LATER },
	};
	const struct load_plan plan = {
		.seed = seed,
		.rate_per_s = RATE_PER_S,
		.duration_s = LATER_S,
		.mix = "question=10",
		.token_permille = 100,
	};
	struct deploy *d = deploy_new(&shape);
	struct load_outcomes during = { 0 };
	struct load_outcomes after = { 0 };
	struct load_run run;
	bool done = false;
	bool rolled_back = false;

	if (deploy_start_all(d)) {
		(void)run_load(d, seed, BEFORE_S, NULL, &during);
		load_start(d, &plan, &run);
		done = submit_rollout(d, COMPLETE_SOON_IN_S) &&
		    deploy_wait_until(is_done, d, DONE_TIMEOUT_MS);
		if (done && deploy_leader(d) >= 0)
			deploy_kill(
			    d, DEPLOY_CONTROL, (uint32_t)deploy_leader(d));
		rolled_back = done &&
		    deploy_wait_until(is_rolled_back, d, DONE_TIMEOUT_MS);
		(void)load_finish(d, &run, 0, &during);
		(void)run_load(d, seed + 2, AFTER_S, NULL, &after);
	}
	if (!rolled_back || after.complete != after.sent)
		deploy_print_logs(d);
	(void)printf("done=%d back=%d during_sent=%lld during_whole=%lld "
		     "after_sent=%lld after_whole=%lld\n",
	    done, rolled_back, (long long)during.sent,
	    (long long)during.complete, (long long)after.sent,
	    (long long)after.complete);
	deploy_free(d);
	return rolled_back && after.sent > 0 && after.complete == after.sent
	    ? 0
	    : 1;
}
