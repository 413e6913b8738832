#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/deploy.h"
#include "common/http.h"

#define RUNNERS 4
#define WAIT_MS 60000
#define FREEZE_US 6000000

int proof_control_orders(uint64_t seed);

/// A note that replaces v1 by v2 on all runners; release it with g_free().
static char *
rollout_note(const struct deploy *d)
{
	GString *s = g_string_new("{\"note\":\"move\",\"base\":1,\"versions\":"
				  "{\"add\":[{\"name\":\"v2\",\"pool\":"
				  "\"carpet-desk\",\"replaces\":\"v1\"}]},"
				  "\"backend_servers\":{\"change\":[");

	for (uint32_t i = 0; i < RUNNERS; i++)
		g_string_append_printf(s,
		    "%s{\"name\":\"runner-%u\",\"pool\":\"carpet-desk\","
		    "\"data_centre\":\"%s\",\"address\":\"127.0.0.1:%u\","
		    "\"versions\":[\"v1\",\"v2\"]}",
		    i == 0 ? "" : ",", i, deploy_data_centre(d, i),
		    deploy_port(d, DEPLOY_RUNNER, i));
	g_string_append(s, "]}}");
	return g_string_free(s, FALSE);
}

static json_t *
runner_stats(const struct deploy *d, uint32_t i)
{
	char *body = http_get(deploy_port(d, DEPLOY_RUNNER, i), "/test/stats");
	json_t *o = json_loads(body != NULL ? body : "", 0, NULL);

	free(body);
	return o;
}

static bool
any_order_received(void *arg)
{
	const struct deploy *d = arg;
	bool received = false;

	for (uint32_t i = 0; i < RUNNERS; i++) {
		json_t *o = runner_stats(d, i);

		received |= json_array_size(json_object_get(o, "orders")) > 0;
		json_decref(o);
	}
	return received;
}

static bool
all_loaded(void *arg)
{
	const struct deploy *d = arg;
	bool all_have_v2 = true;

	for (uint32_t i = 0; i < RUNNERS; i++) {
		char *body =
		    http_get(deploy_port(d, DEPLOY_RUNNER, i), "/load");

		all_have_v2 &= body != NULL && strstr(body, "\"v2\"") != NULL;
		free(body);
	}
	return all_have_v2;
}

/// Counts stale orders: those that a runner obeyed although their fencing
/// number is lower than that of an earlier order.
///
/// @param n_orders  increased by the number of all orders
/// @param n_fences  increased by the number of rises of the fencing number
static uint32_t
count_stale(const struct deploy *d, uint32_t *n_orders, uint32_t *n_fences)
{
	uint32_t stale = 0;

	for (uint32_t i = 0; i < RUNNERS; i++) {
		json_t *o = runner_stats(d, i);
		json_int_t highest = 0;
		json_t *order;
		size_t k;

		json_array_foreach(json_object_get(o, "orders"), k, order)
		{
			const json_int_t fence =
			    json_integer_value(json_object_get(order, "fence"));

			++*n_orders;
			if (json_is_true(json_object_get(order, "refused")))
				continue;
			stale += fence < highest;
			*n_fences += fence > highest;
			highest = MAX(highest, fence);
		}
		json_decref(o);
	}
	return stale;
}

/// Guards against a former leader's orders reaching runners that ignore fencing
/// numbers. The leader is frozen while it is sending load orders, another one
/// takes over, and the first continues. No runner may see an order with an
/// older fencing number after a newer one, and all weights must be loaded.
int
proof_control_orders(uint64_t seed)
{
	const struct deploy_shape shape = {
		.n = { [DEPLOY_CONTROL] = 3,
		    [DEPLOY_ENTRY] = 1,
		    [DEPLOY_RUNNER] = RUNNERS,
		    [DEPLOY_SERVICE] = 1 },
		.extra = { [DEPLOY_RUNNER] = "{\"fenced\":0,\"load_ms\":700}" },
	};
	struct deploy *d = deploy_new(&shape);
	char *note = NULL;
	uint32_t n_orders = 0;
	uint32_t n_fences = 0;
	uint32_t stale = 0;
	bool loaded = false;
	int status;
	int leader;
	bool ok = deploy_start_all(d);

	(void)seed;
	if (ok) {
		note = rollout_note(d);
		ok = deploy_submit_note(d, note, &status) &&
		    deploy_wait_until(any_order_received, d, WAIT_MS);
	}
	leader = ok ? deploy_leader(d) : -1;
	if (leader >= 0) {
		deploy_signal(d, DEPLOY_CONTROL, (uint32_t)leader, SIGSTOP);
		g_usleep(FREEZE_US);
		deploy_signal(d, DEPLOY_CONTROL, (uint32_t)leader, SIGCONT);
		loaded = deploy_wait_until(all_loaded, d, WAIT_MS);
		stale = count_stale(d, &n_orders, &n_fences);
	}
	ok = ok && loaded && stale == 0;
	if (!ok)
		deploy_print_logs(d);
	(void)printf("orders=%u fences_seen=%u stale=%u loaded=%d\n", n_orders,
	    n_fences, stale, loaded);
	g_free(note);
	deploy_free(d);
	return ok ? 0 : 1;
}
