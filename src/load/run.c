#include "load/run.h"

#include "back/httpc.h"
#include "base/hostport.h"
#include "load/response.h"
#include "load/balance.h"
#include "load/servers.h"
#include "load/sse.h"

#include <event2/event.h>
#include <glib.h>
#include <jansson.h>
#include <string.h>

#define POLL_INTERVAL_US 20000U
#define RESEND_DELAY_US 200000U
#define MAX_RESUMES 4
#define US_PER_MS 1000U

/// State of a run.
struct run {
	const struct loadgen_run_settings *settings;
	const struct loadgen_trace *trace;
	struct loadgen_results *results;
	struct event_base *base;
	struct httpc *client;
	struct loadgen_balance *balance;
	struct event *arrival_timer; ///< Fires at the next arrival.
	uint64_t start_us;
	uint64_t last_end_us;
	size_t next_index; ///< Of the trace: the request to send next.
	uint64_t in_flight;
};

/// One request in flight, over all its attempts.
struct call {
	struct run *run;
	const struct loadgen_request *request;
	const struct loadgen_address *target; ///< Entry of the last attempt.
	struct loadgen_response response;
	struct loadgen_sse *sse;
	GString *body;
	handle_t handle;
	struct event *timer; ///< Runs on_timer after a delay.
	void (*on_timer)(struct call *c);
	uint64_t due_us;         ///< When it was due to be sent.
	uint64_t first_token_us; ///< When the first token arrived; 0: not yet.
	uint64_t last_token_us;  ///< When the latest token arrived.
	uint64_t accepted_us;    ///< When 202 arrived; 0: it didn't.
	int http_status;
	uint32_t unreachable_tries; ///< Entries that were unreachable.
	uint32_t resends;
	uint32_t resumes;
};

static void call_send(struct call *c);
static void start_worker_call(struct run *r);

static uint64_t
now_us(void)
{
	return (uint64_t)g_get_monotonic_time();
}

static void
call_free(struct call *c)
{
	loadgen_sse_free(c->sse);
	g_string_free(c->body, TRUE);
	if (c->timer != NULL)
		event_free(c->timer);
	g_free(c);
}

/// Calls what call_later() was given.
static void
on_call_timer(evutil_socket_t fd, short what, void *arg)
{
	struct call *c = arg;

	(void)fd;
	(void)what;
	c->on_timer(c);
}

/// Calls `on_timer` after a delay, from the event loop.
static void
call_later(struct call *c, uint64_t delay_us, void (*on_timer)(struct call *))
{
	const struct timeval tv = {
		.tv_sec = (time_t)(delay_us / 1000000),
		.tv_usec = (suseconds_t)(delay_us % 1000000),
	};

	c->on_timer = on_timer;
	if (c->timer == NULL)
		c->timer = evtimer_new(c->run->base, on_call_timer, c);
	(void)evtimer_add(c->timer, &tv);
}

/// Counts the verdict in the response to a call that was not completed.
static void
count_verdict(struct loadgen_results *f, const struct call *c)
{
	for (int v = VERDICT_NOT_RUN; v <= VERDICT_RAN; v++) {
		if (strcmp(c->response.verdict,
			verdict_name((enum verdict)v)) == 0) {
			f->verdicts[v]++;
			return;
		}
	}
	f->no_verdict++;
}

/// Whether a completed request met the latency targets. Accepted work is
/// measured by the time to its 202; an unstreamed response may take the time
/// to first token and the inter-token latency of each of its tokens.
static bool
within_targets(const struct call *c, uint64_t now)
{
	const struct loadgen_run_settings *s = c->run->settings;
	const uint64_t ttft = (uint64_t)s->ttft_target_ms * US_PER_MS;
	const uint64_t inter_token =
	    (uint64_t)s->inter_token_target_ms * US_PER_MS;
	const uint32_t n = c->response.tokens;

	if (c->accepted_us != 0)
		return c->accepted_us - c->due_us <= ttft;
	if (c->request->completion && !c->request->stream)
		return now - c->due_us <= ttft + inter_token * n;
	if (c->first_token_us - c->due_us > ttft)
		return false;
	return n < 2 ||
	    (c->last_token_us - c->first_token_us) / (n - 1) <= inter_token;
}

static void
count_completed(struct call *c, struct loadgen_second *second, uint64_t now)
{
	struct loadgen_results *f = c->run->results;
	struct loadgen_kind_results *k = &f->kinds[c->request->kind];
	const uint64_t ttft =
	    (c->first_token_us != 0 ? c->first_token_us : now) - c->due_us;

	loadgen_hist_add(k->ttft, ttft);
	loadgen_hist_add(k->total_time, now - c->due_us);
	if (c->accepted_us != 0)
		loadgen_hist_add(f->accept_time, c->accepted_us - c->due_us);
	second->completed++;
	second->ttft_sum_us += ttft;
	second->ttft_max_us = MAX(second->ttft_max_us, ttft);
	if (!within_targets(c, now))
		return;
	k->within_target++;
	second->within_target++;
}

static void
write_id_line(const struct call *c, enum loadgen_outcome outcome)
{
	FILE *out = c->run->settings->ids_file;

	if (out == NULL)
		return;
	(void)fprintf(out, "%s\t%s\t%s\t%d\t%s\t%s\t%u\n",
	    c->response.id[0] != '\0' ? c->response.id : "-",
	    loadgen_kind_name(c->request->kind), loadgen_outcome_name(outcome),
	    c->http_status,
	    c->response.verdict[0] != '\0' ? c->response.verdict : "-",
	    c->request->key != NULL ? c->request->key : "-", c->target->port);
}

static void
call_end(struct call *c, enum loadgen_outcome outcome)
{
	struct run *r = c->run;
	const uint64_t now = now_us();
	struct loadgen_second *second =
	    loadgen_results_second(r->results, now - r->start_us);
	struct loadgen_sample sample = {
		.kind = c->request->kind,
		.outcome = outcome,
		.http_status = c->http_status,
	};

	r->results->kinds[c->request->kind].outcomes[outcome]++;
	if (outcome == LOADGEN_COMPLETE) {
		count_completed(c, second, now);
	} else {
		count_verdict(r->results, c);
		(void)g_strlcpy(sample.id, c->response.id, sizeof(sample.id));
		(void)g_snprintf(sample.text, sizeof(sample.text),
		    "at %.3f s after %u tokens: %s",
		    (double)(now - r->start_us) / 1e6, c->response.tokens,
		    c->response.reason);
		loadgen_results_sample(r->results, &sample);
		if (outcome == LOADGEN_REFUSED)
			second->refused++;
		else
			second->failed++;
	}
	write_id_line(c, outcome);
	r->in_flight--;
	r->last_end_us = now;
	call_free(c);
	if (r->settings->closed_loop_workers > 0)
		start_worker_call(r);
	else if (r->in_flight == 0 && r->next_index >= r->trace->n)
		(void)event_base_loopbreak(r->base);
}

static bool
call_timed_out(const struct call *c)
{
	return now_us() - c->due_us >
	    (uint64_t)c->run->settings->timeout_ms * US_PER_MS;
}

/// Whether a caller may send this request again: it has an idempotency key,
/// or was refused and so not run.
static bool
may_resend(const struct call *c, enum loadgen_outcome outcome)
{
	if (c->resends >= c->run->settings->max_resends || call_timed_out(c))
		return false;
	return c->request->key != NULL || outcome == LOADGEN_REFUSED;
}

/// Sends a request again after a delay if that is allowed, else ends it.
static void
resend_or_end(struct call *c, enum loadgen_outcome outcome)
{
	if (!may_resend(c, outcome)) {
		call_end(c, outcome);
		return;
	}
	c->resends++;
	c->unreachable_tries = 0;
	c->response.error = false;
	c->response.verdict[0] = '\0';
	c->run->results->resent++;
	call_later(c, RESEND_DELAY_US, call_send);
}

static void
on_head(void *arg, int http_status)
{
	struct call *c = arg;
	const char *id =
	    httpc_response_header(c->run->client, c->handle, "X-Request-Id");

	c->http_status = http_status;
	if (id != NULL && c->resumes == 0)
		(void)g_strlcpy(c->response.id, id, sizeof(c->response.id));
}

static void
on_sse_data(void *arg, const char *data, size_t len)
{
	struct call *c = arg;
	struct run *r = c->run;
	const uint32_t before = c->response.tokens;
	const uint64_t now = now_us();

	loadgen_response_chunk(&c->response, data, len);
	if (c->response.tokens == before)
		return;
	if (c->first_token_us == 0)
		c->first_token_us = now;
	else
		loadgen_hist_add(
		    r->results->inter_token, now - c->last_token_us);
	c->last_token_us = now;
	r->results->tokens += c->response.tokens - before;
	loadgen_results_second(r->results, now - r->start_us)->tokens +=
	    c->response.tokens - before;
}

static void
on_data(void *arg, const uint8_t *bytes, size_t len)
{
	struct call *c = arg;

	if (c->http_status == 200 && c->request->stream)
		loadgen_sse_feed(c->sse, bytes, len);
	else
		g_string_append_len(c->body, (const char *)bytes, (gssize)len);
}

static void
stream_end(struct call *c)
{
	struct loadgen_response *response = &c->response;

	if (response->mismatch) {
		call_end(c, LOADGEN_WRONG);
	} else if (response->done && !response->error) {
		call_end(c, LOADGEN_COMPLETE);
	} else if (response->error && response->resume_token[0] != '\0' &&
	    c->resumes < MAX_RESUMES) {
		c->resumes++;
		c->run->results->resumed++;
		response->error = false;
		call_later(c, 0, call_send);
	} else {
		call_end(
		    c, response->error ? LOADGEN_FAILED : LOADGEN_TRUNCATED);
	}
}

static void poll_state(struct call *c);

/// Handles the recorded response of accepted work.
static void
handle_recorded_response(struct call *c, const json_t *root)
{
	const json_t *body = json_object_get(root, "body");
	const json_int_t status =
	    json_integer_value(json_object_get(root, "status"));
	char *text = json_is_string(body) ? g_strdup(json_string_value(body))
					  : json_dumps(body, JSON_COMPACT);
	const size_t len = text != NULL ? strlen(text) : 0;

	c->http_status = (int)status;
	if (status == 200) {
		loadgen_response_body(
		    &c->response, text != NULL ? text : "", len);
		call_end(
		    c, c->response.mismatch ? LOADGEN_WRONG : LOADGEN_COMPLETE);
	} else {
		(void)g_strlcpy(c->response.reason, text != NULL ? text : "",
		    sizeof(c->response.reason));
		call_end(c, LOADGEN_FAILED);
	}
	g_free(text);
}

static void
handle_state(struct call *c, const json_t *root)
{
	const char *state = json_string_value(json_object_get(root, "state"));

	if (state == NULL)
		state = "";
	if (strcmp(state, "answered") == 0) {
		handle_recorded_response(c, root);
	} else if (strcmp(state, "not run") == 0 ||
	    strcmp(state, "may have run") == 0) {
		(void)g_strlcpy(
		    c->response.verdict, state, sizeof(c->response.verdict));
		call_end(c, LOADGEN_FAILED);
	} else if (call_timed_out(c)) {
		(void)g_snprintf(c->response.reason, sizeof(c->response.reason),
		    "accepted, last state '%s'", state);
		call_end(c, LOADGEN_TIMEOUT);
	} else {
		call_later(c, POLL_INTERVAL_US, poll_state);
	}
}

static void
on_state(void *arg, const struct httpc_result *result)
{
	struct call *c = arg;
	json_t *root = NULL;

	if (result->status == STATUS_OK && result->http_status == 200)
		root = json_loadb(
		    (const char *)result->body, result->len, 0, NULL);
	handle_state(c, root);
	json_decref(root);
}

/// Requests the state of accepted work from any entry.
static void
poll_state(struct call *c)
{
	const struct loadgen_address *target =
	    loadgen_balance_next(c->run->balance);
	char path[LOADGEN_FIELD_BYTES * 2];
	const struct httpc_request call = {
		.method = "GET",
		.host = target->host,
		.port = target->port,
		.path = path,
		.headers = { { "X-Customer", c->request->customer } },
		.timeout_us =
		    (uint64_t)c->run->settings->timeout_ms * US_PER_MS,
		.on_end = on_state,
		.arg = c,
	};

	(void)g_snprintf(path, sizeof(path), "/v1/requests/%s", c->response.id);
	if (httpc_send(c->run->client, &call) == HANDLE_NONE)
		handle_state(c, NULL);
}

static void
on_unreachable(struct call *c)
{
	const struct loadgen_run_settings *s = c->run->settings;

	if (++c->unreachable_tries < s->n_targets) {
		c->run->results->redirected++;
		call_later(c, 0, call_send);
		return;
	}
	resend_or_end(c, LOADGEN_NO_ENTRY);
}

static void
on_response(struct call *c)
{
	if (c->http_status == 202) {
		if (c->accepted_us == 0)
			c->accepted_us = now_us();
		poll_state(c);
		return;
	}
	if (c->http_status == 200 && c->request->stream) {
		stream_end(c);
		return;
	}
	if (c->http_status == 200) {
		loadgen_response_body(&c->response, c->body->str, c->body->len);
		call_end(
		    c, c->response.mismatch ? LOADGEN_WRONG : LOADGEN_COMPLETE);
		return;
	}
	loadgen_response_error(&c->response, c->body->str, c->body->len);
	if (c->http_status == 429 || c->http_status == 503)
		resend_or_end(c, LOADGEN_REFUSED);
	else
		resend_or_end(c, LOADGEN_FAILED);
}

static void
on_end(void *arg, const struct httpc_result *result)
{
	struct call *c = arg;

	switch (result->status) {
	case STATUS_OK:
		c->http_status = result->http_status;
		on_response(c);
		return;
	case STATUS_UNAVAILABLE:
		on_unreachable(c);
		return;
	case STATUS_TIMEOUT:
		(void)g_strlcpy(c->response.reason, "timed out",
		    sizeof(c->response.reason));
		resend_or_end(c, LOADGEN_TIMEOUT);
		return;
	default:
		(void)g_strlcpy(c->response.reason,
		    c->http_status == 0 ? "cut before the head" : "cut",
		    sizeof(c->response.reason));
		if (c->request->stream && c->response.error)
			stream_end(c);
		else
			resend_or_end(c, LOADGEN_TRUNCATED);
	}
}

static void
set_header(
    struct httpc_request *call, int *n, const char *name, const char *value)
{
	if (value == NULL || value[0] == '\0')
		return;
	call->headers[*n] = (struct httpc_header){ name, value };
	(*n)++;
}

static void
call_send(struct call *c)
{
	const struct loadgen_address *target =
	    loadgen_balance_next(c->run->balance);
	const struct loadgen_request *request = c->request;
	struct httpc_request call = {
		.method = "POST",
		.host = target->host,
		.port = target->port,
		.path = request->path,
		.body = (const uint8_t *)request->body,
		.len = request->len,
		.timeout_us =
		    (uint64_t)c->run->settings->timeout_ms * US_PER_MS,
		.on_head = on_head,
		.on_data = on_data,
		.on_end = on_end,
		.arg = c,
	};
	char direct_id[32];
	int n = 0;

	c->target = target;
	(void)g_snprintf(direct_id, sizeof(direct_id), "d-%llx",
	    (unsigned long long)(c->due_us ^ (uintptr_t)c));
	c->http_status = 0;
	g_string_truncate(c->body, 0);
	set_header(&call, &n, "Content-Type", "application/json");
	set_header(&call, &n, "X-Customer", request->customer);
	set_header(&call, &n, "Idempotency-Key", request->key);
	set_header(&call, &n, "X-Resume-Token", c->response.resume_token);
	set_header(&call, &n, "X-Request-Id", direct_id);
	c->handle = httpc_send(c->run->client, &call);
	if (c->handle == HANDLE_NONE)
		on_unreachable(c);
}

static void
call_start(
    struct run *r, const struct loadgen_request *request, uint64_t due_us)
{
	struct call *c = g_new0(struct call, 1);

	c->run = r;
	c->request = request;
	c->due_us = due_us;
	c->response.request = request;
	c->response.verify_text = r->settings->verify_text;
	c->sse = loadgen_sse_new(on_sse_data, c);
	c->body = g_string_new(NULL);
	r->in_flight++;
	r->results->max_in_flight =
	    MAX(r->results->max_in_flight, r->in_flight);
	loadgen_results_second(r->results, now_us() - r->start_us)->sent++;
	call_send(c);
}

static void
arm_arrival_timer(struct run *r)
{
	const uint64_t due =
	    r->start_us + r->trace->requests[r->next_index].at_us;
	const uint64_t now = now_us();
	const uint64_t delay_us = due > now ? due - now : 0;
	const struct timeval tv = {
		.tv_sec = (time_t)(delay_us / 1000000),
		.tv_usec = (suseconds_t)(delay_us % 1000000),
	};

	(void)evtimer_add(r->arrival_timer, &tv);
}

/// Sends all requests that are due. Latencies count from when a request was
/// due, not from when it was sent: otherwise a load generator that falls behind
/// would hide the delay that its callers see.
static void
on_arrival(evutil_socket_t fd, short what, void *arg)
{
	struct run *r = arg;

	(void)fd;
	(void)what;
	while (r->next_index < r->trace->n) {
		const struct loadgen_request *request =
		    &r->trace->requests[r->next_index];

		if (r->start_us + request->at_us > now_us())
			break;
		r->next_index++;
		call_start(r, request, r->start_us + request->at_us);
	}
	if (r->next_index < r->trace->n)
		arm_arrival_timer(r);
}

static void
start_worker_call(struct run *r)
{
	const double passed = (double)(now_us() - r->start_us) / 1e6;

	if (passed >= r->settings->duration_s) {
		if (r->in_flight == 0)
			(void)event_base_loopbreak(r->base);
		return;
	}
	call_start(
	    r, &r->trace->requests[r->next_index++ % r->trace->n], now_us());
}

static struct event_base *
new_event_base(void)
{
	struct event_config *config = event_config_new();
	struct event_base *base;

	(void)event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
	base = event_base_new_with_config(config);
	event_config_free(config);
	return base;
}

static void
run_loop(struct run *r)
{
	r->base = new_event_base();
	r->client = httpc_new(r->base);
	r->balance = loadgen_balance_new(r->base, r->client, r->settings);
	r->arrival_timer = evtimer_new(r->base, on_arrival, r);
	r->start_us = now_us();
	for (uint32_t i = 0; i < r->settings->closed_loop_workers; i++)
		start_worker_call(r);
	if (r->settings->closed_loop_workers == 0 && r->trace->n > 0)
		arm_arrival_timer(r);
	if (r->trace->n > 0)
		(void)event_base_dispatch(r->base);
	r->results->seconds = (double)(r->last_end_us - r->start_us) / 1e6;
	event_free(r->arrival_timer);
	loadgen_balance_free(r->balance);
	httpc_free(r->client);
	event_base_free(r->base);
}

/// Adds the number of recomputed tokens to the runners' counts: prefilled
/// tokens that could have been in the cache of some runner.
///
/// @return `counts`
static json_t *
add_recomputed_tokens(const struct loadgen_trace *trace, json_t *counts)
{
	const json_int_t prefilled =
	    json_integer_value(json_object_get(counts, "prefilled_tokens"));
	const json_int_t uncacheable = (json_int_t)trace->uncacheable_tokens;

	(void)json_object_set_new(counts, "prompt_tokens_sent",
	    json_integer((json_int_t)trace->prompt_tokens));
	(void)json_object_set_new(
	    counts, "first_seen_tokens", json_integer(uncacheable));
	(void)json_object_set_new(counts, "recomputed_tokens",
	    json_integer(
		prefilled > uncacheable ? prefilled - uncacheable : 0));
	return counts;
}

/// Sends a trace to the targets and measures the responses; returns when the
/// last request has ended.
///
/// @return results, to be freed with loadgen_results_free()
struct loadgen_results *
loadgen_run(const struct loadgen_run_settings *settings,
    const struct loadgen_trace *trace)
{
	struct run r = {
		.settings = settings,
		.trace = trace,
		.results = loadgen_results_new(settings->duration_s),
	};
	json_t *before = loadgen_servers_read(settings);
	json_t *after;

	run_loop(&r);
	if (settings->n_servers > 0) {
		after = loadgen_servers_read(settings);
		r.results->servers = add_recomputed_tokens(
		    trace, loadgen_servers_since(before, after));
		json_decref(after);
	}
	json_decref(before);
	return r.results;
}

/// Parses "IP:PORT".
///
/// @return STATUS_INVALID when `text` has another form
enum status
loadgen_address_parse(const char *text, struct loadgen_address *out)
{
	if (!hostport_split(text, out->host, sizeof(out->host), &out->port))
		return status_fail(STATUS_INVALID, "'%s' is not IP:PORT", text);
	return STATUS_OK;
}
