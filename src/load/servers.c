#include "load/servers.h"

#include "back/httpc.h"

#include <glib.h>

#define STATS_PATH "/test/stats"
#define STATS_TIMEOUT_US 5000000

static void
add_numbers(json_t *sum, const json_t *counts)
{
	const char *key;
	json_t *v;

	json_object_foreach((json_t *)counts, key, v)
	{
		const json_t *previous = json_object_get(sum, key);

		if (json_is_integer(v))
			(void)json_object_set_new(sum, key,
			    json_integer(json_integer_value(previous) +
				json_integer_value(v)));
	}
}

/// Reads the counts of all stand-ins in `settings` and adds them up. A stand-in
/// that can't be read counts as 0.
///
/// @return sums by name, owned by the caller
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
		json_t *counts = NULL;

		if (httpc_send_blocking(&call, &status, &body, &len) ==
		    STATUS_OK)
			counts = json_loadb(body, len, 0, NULL);
		add_numbers(sum, counts);
		json_decref(counts);
		g_free(body);
	}
	return sum;
}

/// Returns the differences between two readings, owned by the caller.
json_t *
loadgen_servers_since(const json_t *before, const json_t *after)
{
	json_t *out = json_object();
	const char *key;
	json_t *v;

	json_object_foreach((json_t *)after, key, v)
	{
		const json_t *previous = json_object_get(before, key);

		(void)json_object_set_new(out, key,
		    json_integer(
			json_integer_value(v) - json_integer_value(previous)));
	}
	return out;
}
