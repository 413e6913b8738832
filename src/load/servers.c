#include "load/servers.h"

#include "back/httpc.h"

#include <glib.h>

#define STATS_PATH "/test/stats"
#define STATS_TIMEOUT_US 5000000

static void
add_numbers(json_t *sum, const json_t *one)
{
	const char *key;
	json_t *v;

	json_object_foreach((json_t *)one, key, v)
	{
		const json_t *had = json_object_get(sum, key);

		if (json_is_integer(v))
			(void)json_object_set_new(sum, key,
			    json_integer(json_integer_value(had) +
				json_integer_value(v)));
	}
}

/// Reads and adds up the counts of all given stand-ins.
json_t *
loadgen_servers_read(const struct loadgen_run_settings *settings)
{
	json_t *sum = json_object();

	for (uint32_t i = 0; i < settings->n_servers; i++) {
		const struct httpc_request call = {
			.method = "GET",
			.host = settings->servers[i].host,
			.port = settings->servers[i].port,
			.path = STATS_PATH,
			.timeout_us = STATS_TIMEOUT_US,
		};
		int status = 0;
		char *body = NULL;
		size_t len = 0;
		json_t *one = NULL;

		if (httpc_send_blocking(&call, &status, &body, &len) ==
		    STATUS_OK)
			one = json_loadb(body, len, 0, NULL);
		add_numbers(sum, one);
		json_decref(one);
		g_free(body);
	}
	return sum;
}

/// What was counted between two readings.
json_t *
loadgen_servers_since(const json_t *before, const json_t *after)
{
	json_t *out = json_object();
	const char *key;
	json_t *v;

	json_object_foreach((json_t *)after, key, v)
	{
		const json_t *had = json_object_get(before, key);

		(void)json_object_set_new(out, key,
		    json_integer(
			json_integer_value(v) - json_integer_value(had)));
	}
	return out;
}
