#include "load/overhead.h"

#include "back/httpc.h"
#include "load/sse.h"

#include <event2/event.h>
#include <glib.h>
#include <string.h>

#define WARM_UP_CALLS 50 ///< Unary calls that aren't measured.
#define CALL_TIMEOUT_US 60000000ULL
#define CHAT_PREFIX "\"content\":\""
#define TEXT_PREFIX "\"text\":\""

/// One measurement, of calls in turn: those with an even index go to the
/// entry, the others directly to the backend server.
struct overhead_run {
	const struct loadgen_overhead_settings *settings;
	struct event_base *base;
	struct httpc *client;
	struct event *next_event;
	uint32_t call_index;
	uint32_t n_calls;
	bool streams;
	uint64_t sent_us;
	uint64_t failed;
	struct loadgen_hist *latencies[2]; ///< [0] entry, [1] direct.
	struct loadgen_sse *sse;
	char *body;
};

static uint64_t
now_us(void)
{
	return (uint64_t)g_get_monotonic_time();
}

static void
schedule_next(struct overhead_run *a)
{
	event_active(a->next_event, EV_TIMEOUT, 0);
}

static void
on_end(void *arg, const struct httpc_result *result)
{
	struct overhead_run *a = arg;

	if (result->status != STATUS_OK || result->http_status != 200)
		a->failed++;
	else if (!a->streams && a->call_index >= WARM_UP_CALLS)
		loadgen_hist_add(
		    a->latencies[a->call_index % 2], now_us() - a->sent_us);
	a->call_index++;
	schedule_next(a);
}

/// Returns the time stamp in a chunk's text, in microseconds of the monotonic
/// clock; 0 when there is none.
static uint64_t
parse_stamp(const char *data, gssize len)
{
	const char *at = g_strstr_len(data, len, CHAT_PREFIX);
	size_t prefix_len = strlen(CHAT_PREFIX);

	if (at == NULL) {
		at = g_strstr_len(data, len, TEXT_PREFIX);
		prefix_len = strlen(TEXT_PREFIX);
	}
	return at == NULL ? 0 : g_ascii_strtoull(at + prefix_len, NULL, 16);
}

/// Adds the latency of one token. A stamping runner's token is the time at
/// which the runner sent it. The first stream to each of the two is a
/// warm-up and isn't measured.
static void
on_token(void *arg, const char *data, size_t len)
{
	struct overhead_run *a = arg;
	const uint64_t now = now_us();
	const uint64_t stamp = parse_stamp(data, (gssize)len);

	if (a->call_index < 2)
		return;
	if (stamp > 0 && now >= stamp)
		loadgen_hist_add(a->latencies[a->call_index % 2], now - stamp);
}

static void
on_data(void *arg, const uint8_t *bytes, size_t len)
{
	struct overhead_run *a = arg;

	if (a->streams)
		loadgen_sse_feed(a->sse, bytes, len);
}

static void
send_next(evutil_socket_t fd, short what, void *arg)
{
	struct overhead_run *a = arg;
	const struct loadgen_overhead_settings *s = a->settings;
	const struct loadgen_address *direct =
	    a->streams ? &s->runner : &s->service;
	const struct loadgen_address *target =
	    a->call_index % 2 == 0 ? &s->entry : direct;
	char id[32];
	const struct httpc_request call = {
		.method = "POST",
		.host = target->host,
		.port = target->port,
		.path = a->streams ? "/v1/completions" : s->path,
		.headers = { { "X-Request-Id", id },
		    { "Content-Type", "application/json" } },
		.body = (const uint8_t *)a->body,
		.len = strlen(a->body),
		.timeout_us = CALL_TIMEOUT_US,
		.on_data = on_data,
		.on_end = on_end,
		.arg = a,
	};

	(void)fd;
	(void)what;
	if (a->call_index >= a->n_calls) {
		(void)event_base_loopbreak(a->base);
		return;
	}
	(void)g_snprintf(id, sizeof(id), "added-%u", a->call_index);
	a->sent_us = now_us();
	if (httpc_send(a->client, &call) == HANDLE_NONE) {
		a->failed++;
		a->call_index++;
		schedule_next(a);
	}
}

static json_t *
quantile_differences(
    const struct loadgen_hist *entry, const struct loadgen_hist *direct)
{
	static const double quantiles[] = { 0.5, 0.95, 0.99 };
	static const char *const names[] = { "p50", "p95", "p99" };
	json_t *o = json_object();

	for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++) {
		const double d =
		    (double)loadgen_hist_quantile(entry, quantiles[i]) -
		    (double)loadgen_hist_quantile(direct, quantiles[i]);

		(void)json_object_set_new(o, names[i], json_real(d / 1000));
	}
	return o;
}

static json_t *
measure_path(
    const struct loadgen_overhead_settings *s, bool streams, uint32_t n)
{
	struct overhead_run a = {
		.settings = s,
		.streams = streams,
		.n_calls = n,
		.base = event_base_new(),
		.latencies = { loadgen_hist_new(), loadgen_hist_new() },
	};
	json_t *out;

	a.body = streams
	    ? g_strdup_printf("{\"model\":\"%s\",\"prompt\":\"how many rolls "
			      "are at the depot\",\"stream\":true,"
			      "\"max_tokens\":%u}",
		  s->model, s->max_tokens)
	    : g_strdup("{\"what\":\"red carpet, 40 m\"}");
	a.client = httpc_new(a.base);
	a.next_event = event_new(a.base, -1, 0, send_next, &a);
	a.sse = loadgen_sse_new(on_token, &a);
	schedule_next(&a);
	(void)event_base_dispatch(a.base);
	out = json_pack("{s:I,s:o,s:o,s:o}", "failed", (json_int_t)a.failed,
	    "entry_ms", loadgen_hist_json(a.latencies[0]), "direct_ms",
	    loadgen_hist_json(a.latencies[1]), "added_ms",
	    quantile_differences(a.latencies[0], a.latencies[1]));
	event_free(a.next_event);
	httpc_free(a.client);
	event_base_free(a.base);
	loadgen_sse_free(a.sse);
	loadgen_hist_free(a.latencies[0]);
	loadgen_hist_free(a.latencies[1]);
	g_free(a.body);
	return out;
}

/// Measures the latency that an entry adds to a unary call and to each token.
///
/// @return results as JSON, owned by the caller; empty when neither the
///         service nor the runner is set
json_t *
loadgen_overhead(const struct loadgen_overhead_settings *settings)
{
	json_t *out = json_object();

	if (settings->service.port != 0)
		(void)json_object_set_new(out, "unary",
		    measure_path(
			settings, false, settings->calls + WARM_UP_CALLS));
	if (settings->runner.port != 0)
		(void)json_object_set_new(out, "token",
		    measure_path(settings, true, settings->streams));
	return out;
}
