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

#define POLL_US 20000U
#define RESEND_US 200000U
#define MAX_RESUMES 4
#define MS_US 1000U

struct run {
	const struct loadgen_run_settings *settings;
	const struct loadgen_trace *trace;
	struct loadgen_results *figures;
	struct event_base *base;
	struct httpc *client;
	struct loadgen_balance *balance;
	struct event *next; ///< Time of the next arrival.
	uint64_t start_us;
	uint64_t last_end_us;
	size_t at; ///< Next item of the trace.
	uint64_t open;
};

/// One request on its way, over all its attempts.
struct call {
	struct run *run;
	const struct loadgen_request *item;
	const struct loadgen_address *to; ///< Where it went last.
	struct loadgen_response answer;
	struct loadgen_sse *sse;
	GString *body;
	handle_t handle;
	struct event *timer; ///< For what is done after a pause.
	void (*then)(struct call *c);
	uint64_t due_us;   ///< When it should have been sent.
	uint64_t first_us; ///< When the answer began; 0: not yet.
	uint64_t last_us;
	uint64_t accepted_us; ///< When 202 came; 0: it didn't.
	int http_status;
	uint32_t tries; ///< Entries that could not be reached.
	uint32_t resends;
	uint32_t resumes;
};

static void call_send(struct call *c);
static void next_worker_call(struct run *r);

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

static void
on_pause_over(evutil_socket_t fd, short what, void *arg)
{
	struct call *c = arg;

	(void)fd;
	(void)what;
	c->then(c);
}

/// Goes on after a pause, on a fresh turn of the loop.
static void
call_later(struct call *c, uint64_t in_us, void (*then)(struct call *))
{
	const struct timeval tv = {
		.tv_sec = (time_t)(in_us / 1000000),
		.tv_usec = (suseconds_t)(in_us % 1000000),
	};

	c->then = then;
	if (c->timer == NULL)
		c->timer = evtimer_new(c->run->base, on_pause_over, c);
	(void)evtimer_add(c->timer, &tv);
}

static void
count_verdict(struct loadgen_results *f, const struct call *c)
{
	for (int v = VERDICT_NOT_RUN; v <= VERDICT_RAN; v++) {
		if (strcmp(c->answer.verdict, verdict_name((enum verdict)v)) ==
		    0) {
			f->verdicts[v]++;
			return;
		}
	}
	f->no_verdict++;
}

static bool
in_time(const struct call *c, uint64_t now)
{
	const struct loadgen_run_settings *s = c->run->settings;
	const uint64_t first = (uint64_t)s->ttft_target_ms * MS_US;
	const uint64_t between = (uint64_t)s->inter_token_target_ms * MS_US;
	const uint32_t n = c->answer.tokens;

	if (c->accepted_us != 0)
		return c->accepted_us - c->due_us <= first;
	if (c->item->completion && !c->item->stream)
		return now - c->due_us <= first + between * n;
	if (c->first_us - c->due_us > first)
		return false;
	return n < 2 || (c->last_us - c->first_us) / (n - 1) <= between;
}

static void
count_whole(struct call *c, struct loadgen_second *second, uint64_t now)
{
	struct loadgen_results *f = c->run->figures;
	struct loadgen_kind_results *k = &f->kinds[c->item->kind];
	const uint64_t first =
	    (c->first_us != 0 ? c->first_us : now) - c->due_us;

	loadgen_hist_add(k->first, first);
	loadgen_hist_add(k->whole, now - c->due_us);
	if (c->accepted_us != 0)
		loadgen_hist_add(f->accepted, c->accepted_us - c->due_us);
	second->whole++;
	second->ttft_sum_us += first;
	second->ttft_max_us = MAX(second->ttft_max_us, first);
	if (!in_time(c, now))
		return;
	k->good++;
	second->good++;
}

static void
report_id(const struct call *c, enum loadgen_outcome end)
{
	FILE *out = c->run->settings->ids;

	if (out == NULL)
		return;
	(void)fprintf(out, "%s\t%s\t%s\t%d\t%s\t%s\t%u\n",
	    c->answer.id[0] != '\0' ? c->answer.id : "-",
	    loadgen_kind_name(c->item->kind), loadgen_outcome_name(end),
	    c->http_status,
	    c->answer.verdict[0] != '\0' ? c->answer.verdict : "-",
	    c->item->key != NULL ? c->item->key : "-", c->to->port);
}

static void
call_end(struct call *c, enum loadgen_outcome end)
{
	struct run *r = c->run;
	const uint64_t now = now_us();
	struct loadgen_second *second =
	    loadgen_results_second(r->figures, now - r->start_us);
	struct loadgen_sample sample = {
		.kind = c->item->kind,
		.end = end,
		.http_status = c->http_status,
	};

	r->figures->kinds[c->item->kind].ends[end]++;
	if (end == LOADGEN_COMPLETE) {
		count_whole(c, second, now);
	} else {
		count_verdict(r->figures, c);
		(void)g_strlcpy(sample.id, c->answer.id, sizeof(sample.id));
		(void)g_snprintf(sample.text, sizeof(sample.text),
		    "at %.3f s after %u tokens: %s",
		    (double)(now - r->start_us) / 1e6, c->answer.tokens,
		    c->answer.why);
		loadgen_results_sample(r->figures, &sample);
		if (end == LOADGEN_REFUSED)
			second->refused++;
		else
			second->bad++;
	}
	report_id(c, end);
	r->open--;
	r->last_end_us = now;
	call_free(c);
	if (r->settings->workers > 0)
		next_worker_call(r);
	else if (r->open == 0 && r->at >= r->trace->n)
		(void)event_base_loopbreak(r->base);
}

static bool
call_timed_out(const struct call *c)
{
	return now_us() - c->due_us >
	    (uint64_t)c->run->settings->timeout_ms * MS_US;
}

/// Whether a caller may send this request again: it has a key, or was not
/// run.
static bool
may_resend(const struct call *c, enum loadgen_outcome end)
{
	if (c->resends >= c->run->settings->resend || call_timed_out(c))
		return false;
	return c->item->key != NULL || end == LOADGEN_REFUSED;
}

/// Sends a request again, or ends it.
static void
resend_or_end(struct call *c, enum loadgen_outcome end)
{
	if (!may_resend(c, end)) {
		call_end(c, end);
		return;
	}
	c->resends++;
	c->tries = 0;
	c->answer.error = false;
	c->answer.verdict[0] = '\0';
	c->run->figures->resent++;
	call_later(c, RESEND_US, call_send);
}

static void
on_head(void *arg, int http_status)
{
	struct call *c = arg;
	const char *id =
	    httpc_response_header(c->run->client, c->handle, "X-Request-Id");

	c->http_status = http_status;
	if (id != NULL && c->resumes == 0)
		(void)g_strlcpy(c->answer.id, id, sizeof(c->answer.id));
}

static void
on_event_data(void *arg, const char *data, size_t len)
{
	struct call *c = arg;
	struct run *r = c->run;
	const uint32_t before = c->answer.tokens;
	const uint64_t now = now_us();

	loadgen_response_chunk(&c->answer, data, len);
	if (c->answer.tokens == before)
		return;
	if (c->first_us == 0)
		c->first_us = now;
	else
		loadgen_hist_add(r->figures->between, now - c->last_us);
	c->last_us = now;
	r->figures->tokens += c->answer.tokens - before;
	loadgen_results_second(r->figures, now - r->start_us)->tokens +=
	    c->answer.tokens - before;
}

static void
on_data(void *arg, const uint8_t *bytes, size_t len)
{
	struct call *c = arg;

	if (c->http_status == 200 && c->item->stream)
		loadgen_sse_feed(c->sse, bytes, len);
	else
		g_string_append_len(c->body, (const char *)bytes, (gssize)len);
}

static void
stream_end(struct call *c)
{
	struct loadgen_response *a = &c->answer;

	if (a->wrong) {
		call_end(c, LOADGEN_WRONG);
	} else if (a->done && !a->error) {
		call_end(c, LOADGEN_COMPLETE);
	} else if (a->error && a->resume_token[0] != '\0' &&
	    c->resumes < MAX_RESUMES) {
		c->resumes++;
		c->run->figures->resumed++;
		a->error = false;
		call_later(c, 0, call_send);
	} else {
		call_end(c, a->error ? LOADGEN_FAILED : LOADGEN_TRUNCATED);
	}
}

static void poll_state(struct call *c);

/// Takes the recorded answer of accepted work.
static void
take_record(struct call *c, const json_t *root)
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
		    &c->answer, text != NULL ? text : "", len);
		call_end(c, c->answer.wrong ? LOADGEN_WRONG : LOADGEN_COMPLETE);
	} else {
		(void)g_strlcpy(c->answer.why, text != NULL ? text : "",
		    sizeof(c->answer.why));
		call_end(c, LOADGEN_FAILED);
	}
	g_free(text);
}

static void
take_state(struct call *c, const json_t *root)
{
	const char *state = json_string_value(json_object_get(root, "state"));

	if (state == NULL)
		state = "";
	if (strcmp(state, "answered") == 0) {
		take_record(c, root);
	} else if (strcmp(state, "not run") == 0 ||
	    strcmp(state, "may have run") == 0) {
		(void)g_strlcpy(
		    c->answer.verdict, state, sizeof(c->answer.verdict));
		call_end(c, LOADGEN_FAILED);
	} else if (call_timed_out(c)) {
		(void)g_snprintf(c->answer.why, sizeof(c->answer.why),
		    "accepted, last state '%s'", state);
		call_end(c, LOADGEN_TIMEOUT);
	} else {
		call_later(c, POLL_US, poll_state);
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
	take_state(c, root);
	json_decref(root);
}

/// Asks any entry for the state of accepted work.
static void
poll_state(struct call *c)
{
	const struct loadgen_address *to =
	    loadgen_balance_next(c->run->balance);
	char path[LOADGEN_FIELD_BYTES * 2];
	const struct httpc_request call = {
		.method = "GET",
		.host = to->host,
		.port = to->port,
		.path = path,
		.headers = { { "X-Customer", c->item->customer } },
		.timeout_us = (uint64_t)c->run->settings->timeout_ms * MS_US,
		.on_end = on_state,
		.arg = c,
	};

	(void)g_snprintf(path, sizeof(path), "/v1/requests/%s", c->answer.id);
	if (httpc_send(c->run->client, &call) == HANDLE_NONE)
		take_state(c, NULL);
}

static void
unreached(struct call *c)
{
	const struct loadgen_run_settings *s = c->run->settings;

	if (++c->tries < s->n_targets) {
		c->run->figures->redirected++;
		call_later(c, 0, call_send);
		return;
	}
	resend_or_end(c, LOADGEN_NO_ENTRY);
}

static void
answered(struct call *c)
{
	if (c->http_status == 202) {
		if (c->accepted_us == 0)
			c->accepted_us = now_us();
		poll_state(c);
		return;
	}
	if (c->http_status == 200 && c->item->stream) {
		stream_end(c);
		return;
	}
	if (c->http_status == 200) {
		loadgen_response_body(&c->answer, c->body->str, c->body->len);
		call_end(c, c->answer.wrong ? LOADGEN_WRONG : LOADGEN_COMPLETE);
		return;
	}
	loadgen_response_error(&c->answer, c->body->str, c->body->len);
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
		answered(c);
		return;
	case STATUS_UNAVAILABLE:
		unreached(c);
		return;
	case STATUS_TIMEOUT:
		(void)g_strlcpy(
		    c->answer.why, "timed out", sizeof(c->answer.why));
		resend_or_end(c, LOADGEN_TIMEOUT);
		return;
	default:
		(void)g_strlcpy(c->answer.why,
		    c->http_status == 0 ? "cut before the head" : "cut",
		    sizeof(c->answer.why));
		if (c->item->stream && c->answer.error)
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
	const struct loadgen_address *to =
	    loadgen_balance_next(c->run->balance);
	const struct loadgen_request *item = c->item;
	struct httpc_request call = {
		.method = "POST",
		.host = to->host,
		.port = to->port,
		.path = item->path,
		.body = (const uint8_t *)item->body,
		.len = item->len,
		.timeout_us = (uint64_t)c->run->settings->timeout_ms * MS_US,
		.on_head = on_head,
		.on_data = on_data,
		.on_end = on_end,
		.arg = c,
	};
	char direct_id[32];
	int n = 0;

	c->to = to;
	(void)g_snprintf(direct_id, sizeof(direct_id), "d-%llx",
	    (unsigned long long)(c->due_us ^ (uintptr_t)c));
	c->http_status = 0;
	g_string_truncate(c->body, 0);
	set_header(&call, &n, "Content-Type", "application/json");
	set_header(&call, &n, "X-Customer", item->customer);
	set_header(&call, &n, "Idempotency-Key", item->key);
	set_header(&call, &n, "X-Resume-Token", c->answer.resume_token);
	set_header(&call, &n, "X-Request-Id", direct_id);
	c->handle = httpc_send(c->run->client, &call);
	if (c->handle == HANDLE_NONE)
		unreached(c);
}

static void
call_start(struct run *r, const struct loadgen_request *item, uint64_t due_us)
{
	struct call *c = g_new0(struct call, 1);

	c->run = r;
	c->item = item;
	c->due_us = due_us;
	c->answer.item = item;
	c->answer.check = r->settings->check;
	c->sse = loadgen_sse_new(on_event_data, c);
	c->body = g_string_new(NULL);
	r->open++;
	r->figures->max_in_flight = MAX(r->figures->max_in_flight, r->open);
	loadgen_results_second(r->figures, now_us() - r->start_us)->sent++;
	call_send(c);
}

static void
arm_next(struct run *r)
{
	const uint64_t due = r->start_us + r->trace->items[r->at].at_us;
	const uint64_t now = now_us();
	const uint64_t in = due > now ? due - now : 0;
	const struct timeval tv = {
		.tv_sec = (time_t)(in / 1000000),
		.tv_usec = (suseconds_t)(in % 1000000),
	};

	(void)evtimer_add(r->next, &tv);
}

/// Sends all that is due. Latencies count from when it was due, so that a
/// late sender doesn't hide a slow system.
static void
on_arrival(evutil_socket_t fd, short what, void *arg)
{
	struct run *r = arg;

	(void)fd;
	(void)what;
	while (r->at < r->trace->n) {
		const struct loadgen_request *item = &r->trace->items[r->at];

		if (r->start_us + item->at_us > now_us())
			break;
		r->at++;
		call_start(r, item, r->start_us + item->at_us);
	}
	if (r->at < r->trace->n)
		arm_next(r);
}

static void
next_worker_call(struct run *r)
{
	const double passed = (double)(now_us() - r->start_us) / 1e6;

	if (passed >= r->settings->duration_s) {
		if (r->open == 0)
			(void)event_base_loopbreak(r->base);
		return;
	}
	call_start(r, &r->trace->items[r->at++ % r->trace->n], now_us());
}

static struct event_base *
make_base(void)
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
	r->base = make_base();
	r->client = httpc_new(r->base);
	r->balance = loadgen_balance_new(r->base, r->client, r->settings);
	r->next = evtimer_new(r->base, on_arrival, r);
	r->start_us = now_us();
	for (uint32_t i = 0; i < r->settings->workers; i++)
		next_worker_call(r);
	if (r->settings->workers == 0 && r->trace->n > 0)
		arm_next(r);
	if (r->trace->n > 0)
		(void)event_base_dispatch(r->base);
	r->figures->seconds = (double)(r->last_end_us - r->start_us) / 1e6;
	event_free(r->next);
	loadgen_balance_free(r->balance);
	httpc_free(r->client);
	event_base_free(r->base);
}

/// Adds what the runners recomputed: prefilled tokens that some runner could
/// have held in its cache.
static json_t *
servers_json(const struct loadgen_trace *trace, json_t *counts)
{
	const json_int_t prefilled =
	    json_integer_value(json_object_get(counts, "prefilled_tokens"));
	const json_int_t first = (json_int_t)trace->uncacheable_tokens;

	(void)json_object_set_new(counts, "prompt_tokens_sent",
	    json_integer((json_int_t)trace->prompt_tokens));
	(void)json_object_set_new(
	    counts, "first_seen_tokens", json_integer(first));
	(void)json_object_set_new(counts, "recomputed_tokens",
	    json_integer(prefilled > first ? prefilled - first : 0));
	return counts;
}

/// Runs a trace against the targets and measures the answers.
struct loadgen_results *
loadgen_run(const struct loadgen_run_settings *settings,
    const struct loadgen_trace *trace)
{
	struct run r = {
		.settings = settings,
		.trace = trace,
		.figures = loadgen_results_new(settings->duration_s),
	};
	json_t *before = loadgen_servers_read(settings);
	json_t *after;

	run_loop(&r);
	if (settings->n_servers > 0) {
		after = loadgen_servers_read(settings);
		r.figures->servers =
		    servers_json(trace, loadgen_servers_since(before, after));
		json_decref(after);
	}
	json_decref(before);
	return r.figures;
}

/// Reads "IP:PORT".
enum status
loadgen_address_parse(const char *text, struct loadgen_address *out)
{
	if (!hostport_split(text, out->host, sizeof(out->host), &out->port))
		return status_fail(STATUS_INVALID, "'%s' is not IP:PORT", text);
	return STATUS_OK;
}
