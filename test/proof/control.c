#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "common/deploy.h"
#include "common/http.h"
#include "proof/control_notes.h"
#include "base/rnd.h"

#define IN_FORCE_MS 9000
#define SUBMIT_MS 15000
#define REPAIR_MS 30000

int proof_control_reclaim(uint64_t seed);
int proof_control_isolated(uint64_t seed);
int proof_control_kills(uint64_t seed);

/// For deploy_wait_until(): the voters that the leader should report.
struct voters {
	struct deploy *d;
	const char *without; ///< data centre that must have no voter
	size_t want;         ///< number of voters
	size_t n;            ///< receives the number reported
};

static bool
voters_are_outside(void *arg)
{
	struct voters *v = arg;
	const int leader = deploy_leader(v->d);
	char *body;
	json_t *o;
	json_t *member;
	size_t i;
	bool outside = true;

	if (leader < 0)
		return false;
	body = http_get(
	    deploy_operators_port(v->d, DEPLOY_CONTROL, (uint32_t)leader),
	    "/v1/status");
	o = json_loads(body != NULL ? body : "", 0, NULL);
	v->n = json_array_size(json_object_get(o, "members"));
	json_array_foreach(json_object_get(o, "members"), i, member)
	{
		const char *dc =
		    json_string_value(json_object_get(member, "data_centre"));

		if (dc == NULL || strcmp(dc, v->without) == 0)
			outside = false;
	}
	json_decref(o);
	g_free(body);
	return outside && v->n == v->want;
}

static void
send_reclaim_notice(struct deploy *d, const char *data_centre)
{
	char *body = g_strdup_printf("{\"scope\":\"data_centre\",\"name\":"
				     "\"%s\",\"in_ms\":60000}",
	    data_centre);
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

/// Guards against losing accepted notes, or the ability to accept more, when a
/// data centre is reclaimed and another VM is lost right after. The reclaim
/// notice must move the voters out of the data centre, to two in each of the
/// others, before its processes are killed; then the leader is killed too.
int
proof_control_reclaim(uint64_t seed)
{
	const struct deploy_shape shape = {
		.n = { [DEPLOY_CONTROL] = 6,
		    [DEPLOY_ENTRY] = 2,
		    [DEPLOY_CLOUD] = 1 },
		.standby = 3,
	};
	struct deploy *d = deploy_new(&shape);
	struct rnd *r = rnd_new(seed);
	const uint32_t reclaimed = (uint32_t)rnd_below(r, 3);
	struct voters v = { .d = d, .want = 4 };
	struct notes n;
	gint64 noticed_us;
	gint64 repair_us = -1;
	int leader;

	notes_init(&n, d, 6, 2);
	n.ok = deploy_start_all(d);
	for (int i = 0; i < 20 && n.ok; i++)
		(void)notes_submit(&n, SUBMIT_MS);
	v.without = deploy_data_centre(d, reclaimed);
	noticed_us = g_get_monotonic_time();
	send_reclaim_notice(d, v.without);
	if (n.ok && !deploy_wait_until(voters_are_outside, &v, REPAIR_MS))
		notes_fail(&n, "a voter stayed in the reclaimed data centre");
	repair_us = g_get_monotonic_time() - noticed_us;
	deploy_kill(d, DEPLOY_CONTROL, reclaimed);
	deploy_kill(d, DEPLOY_CONTROL, reclaimed + 3);
	if (n.ok)
		(void)notes_submit(&n, SUBMIT_MS);
	leader = deploy_leader(d);
	if (n.ok && leader >= 0)
		deploy_kill(d, DEPLOY_CONTROL, (uint32_t)leader);
	for (int i = 0; i < 5 && n.ok; i++)
		(void)notes_submit(&n, SUBMIT_MS);
	if (n.ok && notes_in_force(&n, IN_FORCE_MS))
		(void)notes_kept(&n);
	if (!n.ok)
		deploy_print_logs(d);
	(void)printf("accepted=%u voters=%zu voters_moved_ms=%lld\n",
	    n.accepted->len, v.n, (long long)repair_us / 1000);
	notes_clear(&n);
	rnd_free(r);
	deploy_free(d);
	return n.ok ? 0 : 1;
}

/// Guards against stale responses and lost notes when the leader is isolated
/// without its connections closing. Another process must take the lead, the
/// isolated one must refuse to answer from its old state, and after it is
/// connected again it must have the notes accepted meanwhile.
int
proof_control_isolated(uint64_t seed)
{
	const struct deploy_shape shape = {
		.n = { [DEPLOY_CONTROL] = 3, [DEPLOY_ENTRY] = 2 },
		.relays = true,
	};
	struct deploy *d = deploy_new(&shape);
	struct notes n;
	uint32_t stale = 0;
	uint32_t refused = 0;

	(void)seed;
	notes_init(&n, d, 3, 2);
	n.ok = deploy_start_all(d);
	for (int round = 0; round < 2 && n.ok; round++) {
		const int old_leader = deploy_leader(d);
		const uint16_t port = deploy_operators_port(
		    d, DEPLOY_CONTROL, (uint32_t)MAX(old_leader, 0));

		deploy_isolate_control(
		    d, (uint32_t)MAX(old_leader, 0), RELAY_CUT);
		for (int i = 0; i < 5 && n.ok; i++) {
			(void)notes_submit(&n, SUBMIT_MS);
			if (http_status(port, "/v1/notes") == 200)
				stale++;
			else
				refused++;
		}
		if (stale > 0)
			notes_fail(
			    &n, "an isolated control process answered a query");
		if (n.ok)
			(void)notes_in_force(&n, IN_FORCE_MS);
		deploy_isolate_control(
		    d, (uint32_t)MAX(old_leader, 0), RELAY_OPEN);
		if (n.ok)
			(void)notes_submit(&n, SUBMIT_MS);
	}
	if (n.ok)
		(void)notes_kept(&n);
	if (!n.ok)
		deploy_print_logs(d);
	(void)printf("accepted=%u refused_by_isolated=%u stale_answers=%u\n",
	    n.accepted->len, refused, stale);
	notes_clear(&n);
	deploy_free(d);
	return n.ok ? 0 : 1;
}

/// For deploy_wait_until(): whether the leader reports three voters that are
/// all active and have synced everything that is committed.
static bool
is_repaired(void *arg)
{
	struct deploy *d = arg;
	const int leader = deploy_leader(d);
	json_int_t commit;
	char *body;
	json_t *o;
	json_t *member;
	size_t i;
	bool repaired = leader >= 0;

	if (leader < 0)
		return false;
	body =
	    http_get(deploy_operators_port(d, DEPLOY_CONTROL, (uint32_t)leader),
		"/v1/status");
	o = json_loads(body != NULL ? body : "", 0, NULL);
	commit = json_integer_value(json_object_get(o, "commit"));
	json_array_foreach(json_object_get(o, "members"), i, member)
	{
		if (!json_is_true(json_object_get(member, "active")) ||
		    json_integer_value(json_object_get(member, "synced")) <
			commit)
			repaired = false;
	}
	if (json_array_size(json_object_get(o, "members")) != 3)
		repaired = false;
	json_decref(o);
	g_free(body);
	return repaired;
}

static void
inject_fault(struct deploy *d, struct rnd *r, uint32_t i)
{
	switch (rnd_below(r, 3)) {
	case 0:
		deploy_kill(d, DEPLOY_CONTROL, i);
		break;
	case 1:
		deploy_signal(d, DEPLOY_CONTROL, i, SIGSTOP);
		break;
	default:
		deploy_kill(d, DEPLOY_CONTROL, i);
		deploy_erase_disk(d, i);
		break;
	}
}

static void
recover(struct deploy *d, uint32_t i)
{
	deploy_signal(d, DEPLOY_CONTROL, i, SIGCONT);
	if (!deploy_wait_healthy(d, DEPLOY_CONTROL, i, 500))
		deploy_start(d, DEPLOY_CONTROL, i);
	(void)deploy_wait_healthy(d, DEPLOY_CONTROL, i, SUBMIT_MS);
}

/// Guards against lost or undone notes under failures: one control process
/// after another is killed, frozen or killed with its disk lost, and an entry
/// is killed, while notes are submitted. Each lost member must be replaced, and
/// the revision of an entry that stays up must never go down.
int
proof_control_kills(uint64_t seed)
{
	const struct deploy_shape shape = {
		.n = { [DEPLOY_CONTROL] = 3, [DEPLOY_ENTRY] = 2 },
	};
	struct deploy *d = deploy_new(&shape);
	struct rnd *r = rnd_new(seed);
	struct notes n;

	notes_init(&n, d, 3, 2);
	n.ok = deploy_start_all(d);
	for (int round = 0; round < 6 && n.ok; round++) {
		const uint32_t victim = (uint32_t)rnd_below(r, 3);

		inject_fault(d, r, victim);
		for (int i = 0; i < 4 && n.ok; i++)
			(void)notes_submit(&n, SUBMIT_MS);
		if (round % 3 == 1) {
			deploy_kill(d, DEPLOY_ENTRY, 0);
			n.seen[0] = 0;
			deploy_start(d, DEPLOY_ENTRY, 0);
		}
		recover(d, victim);
		if (n.ok && !deploy_wait_until(is_repaired, d, REPAIR_MS))
			notes_fail(&n, "a lost member was not replaced");
		if (n.ok && !notes_in_force(&n, SUBMIT_MS))
			break;
	}
	if (n.ok)
		(void)notes_kept(&n);
	if (!n.ok)
		deploy_print_logs(d);
	(void)printf("accepted=%u worst_in_force_ms=%lld\n", n.accepted->len,
	    (long long)n.worst_us / 1000);
	notes_clear(&n);
	rnd_free(r);
	deploy_free(d);
	return n.ok ? 0 : 1;
}
