#include "gateway/gateway_internal.h"

#include <inttypes.h>
#include <string.h>

#include "platform/api_names.h"

/// A connection that doesn't stand by then means another server.
#define GATEWAY_CONNECT_US (400 * USEC_PER_MSEC)
/// A stream that is silent for so many of its longest pauses, and at least so
/// long, goes on at another server.
#define GATEWAY_STALL_PAUSES 3
#define GATEWAY_STALL_US (1500 * USEC_PER_MSEC)
#define GATEWAY_MAX_ERROR_BYTES (1U << 20)
#define GATEWAY_HTTP_MISDIRECTED 421
/// Shared tokens that are worth a fetch from another server.
#define GATEWAY_FETCH_TOKENS 500
/// Prompts from which on their time says how fast a server computes.
#define GATEWAY_LEARN_TOKENS 1000
/// Steps up and down; their ratio sets which quantile is learned. The speed of
/// servers with little to do is wanted, so it is a high one.
#define GATEWAY_LEARN_UP 0.02
#define GATEWAY_LEARN_DOWN 0.005

static void on_end(void *arg, const struct httpc_result *result);

/// Leaves the attempt under way, if there is one.
void
gateway_request_drop(struct gateway_request *q, enum balancer_outcome how)
{
	struct gateway *g = q->gw;
	const uint64_t now = loop_now_us(g->loop);

	timerq_disarm(q->timer);
	if (q->call_handle != HANDLE_NONE) {
		httpc_cancel(g->http, q->call_handle);
		gateway_service_load(g, q->service->name)->running--;
		gateway_service_load(g, q->service->name)->work_us +=
		    now - q->sent_us;
	}
	q->call_handle = HANDLE_NONE;
	if (q->dispatch != HANDLE_NONE)
		balancer_end(g->router, now, q->dispatch, how,
		    q->events != NULL ? evstream_n_events(q->events) : 0,
		    UINT32_MAX);
	q->dispatch = HANDLE_NONE;
}

/// Releases a request that has no attempt under way.
void
gateway_request_free(struct gateway_request *q)
{
	struct gateway *g = q->gw;
	const gint64 key = (gint64)q->original_caller;

	(void)g_hash_table_remove(g->by_caller, &key);
	timerq_timer_free(q->timer);
	api_headers_free(q->headers);
	api_headers_free(q->response_headers);
	if (q->error_body != NULL)
		(void)g_string_free(q->error_body, TRUE);
	evstream_free(q->events);
	fleetcfg_unref(q->config);
	g_free(q->method);
	g_free(q->target);
	g_free(q->body);
	g_free(q->blocks);
	slotmap_remove(g->requests, q->self);
}

static void
make_ask(const struct gateway_request *q, struct balancer_request *out)
{
	*out = (struct balancer_request){
		.pool = q->service->name,
		.blocks = q->blocks,
		.n_blocks = q->n_blocks,
		.prompt_tokens = q->call.prompt_tokens,
		.shared_hash = q->shared_hash,
		.shared_tokens = q->shared_tokens,
		.output_tokens = q->call.length_hint > 0
		    ? q->call.length_hint
		    : q->call.output_tokens,
		.priority = q->priority,
	};
}

/// Chooses among the servers that this request has not tried, and among all
/// when there is no other.
static enum status
choose(struct gateway_request *q, struct balancer_request *ask)
{
	struct gateway *g = q->gw;
	const uint64_t now = loop_now_us(g->loop);
	enum status st;

	make_ask(q, ask);
	gateway_rollout_choose(q, ask);
	retry_exclude_tried(&q->attempts, ask);
	st = balancer_choose(
	    g->router, now, loop_random(g->loop), ask, &q->choice);
	if (st != STATUS_OK && ask->version != NULL) {
		gateway_rollout_fall_back(q, ask);
		st = balancer_choose(
		    g->router, now, loop_random(g->loop), ask, &q->choice);
	}
	if (st != STATUS_UNAVAILABLE || ask->n_servers == 0)
		return st;
	ask->n_servers = 0;
	return balancer_choose(
	    g->router, now, loop_random(g->loop), ask, &q->choice);
}

/// Forgets the attempt under way, which has ended.
static void
end_attempt(struct gateway_request *q, enum balancer_outcome how)
{
	struct gateway *g = q->gw;
	const uint64_t now = loop_now_us(g->loop);

	timerq_disarm(q->timer);
	if (q->call_handle != HANDLE_NONE) {
		struct gateway_service_load *l =
		    gateway_service_load(g, q->service->name);

		l->running--;
		l->work_us += now - q->sent_us;
	}
	q->call_handle = HANDLE_NONE;
	if (q->dispatch != HANDLE_NONE)
		balancer_end(g->router, now, q->dispatch, how,
		    q->events != NULL ? evstream_n_events(q->events) : 0,
		    UINT32_MAX);
	q->dispatch = HANDLE_NONE;
}

/// Notes that the attempt under way gave no answer to pass on.
static void
note_failure(struct gateway_request *q, enum balancer_outcome how,
    enum verdict verdict, const char *why)
{
	end_attempt(q, how);
	q->unsent = verdict == VERDICT_NOT_RUN && how != BALANCER_REFUSED;
	if (verdict != VERDICT_NOT_RUN) {
		q->ran++;
		gateway_rollout_on_response(q, true);
	}
	q->verdict = verdict_merge(q->verdict, verdict);
	logger_event(LOGGER_INFO, "attempt.failed",
	    "request=%s attempt=%u server=%s verdict=\"%s\" reason=\"%s\"",
	    q->call.id, q->sent, q->server, verdict_name(verdict), why);
}

static void
attempt_failed(struct gateway_request *q, enum balancer_outcome how,
    enum verdict verdict, const char *why)
{
	note_failure(q, how, verdict, why);
	if (!gateway_retry(q))
		gateway_give_up(q, why);
}

static void
note_load(struct gateway_request *q)
{
	struct gateway *g = q->gw;
	struct gateway_server *s = g_hash_table_lookup(g->servers, q->server);
	struct balancer_report report = {
		.running = q->answer.running,
		.waiting = q->answer.waiting,
	};

	if (s == NULL || !q->answer.has_load)
		return;
	report.sequence = ++s->reports;
	balancer_record_report(
	    g->router, loop_now_us(g->loop), s->route, &report);
}

/// Whether the head is that of this request's answer by a backend server.
static bool
head_is_ours(const struct gateway_request *q)
{
	const struct api_response *a = &q->answer;

	if (a->id[0] != '\0' && strcmp(a->id, q->call.id) != 0)
		return false;
	if (q->status >= 200 && q->status < 300)
		return a->stamped && !a->encoded && a->id[0] != '\0';
	return true;
}

static bool
not_run(const struct gateway_request *q)
{
	return q->answer.not_run || q->status == GATEWAY_HTTP_MISDIRECTED;
}

static void
on_head(void *arg, int http_status)
{
	struct gateway_request *q = arg;
	struct gateway *g = q->gw;

	q->status = http_status;
	api_response_read(g->http, q->call_handle, &q->answer);
	note_load(q);
	q->streams = q->events != NULL && http_status == 200 &&
	    head_is_ours(q) && !not_run(q);
	if (!q->streams || q->response_headers != NULL)
		return;
	q->response_headers =
	    api_headers_from_response(g->http, q->call_handle);
}

/// Arms the time at which a started stream is left. One that can't go on at
/// another server is left only after its caller's deadline.
static void
arm_stall(struct gateway_request *q)
{
	const uint64_t pause =
	    (uint64_t)q->route->gap_ms * USEC_PER_MSEC * GATEWAY_STALL_PAUSES;
	const uint64_t deadline =
	    q->arrived_us + (uint64_t)q->call.deadline_ms * USEC_PER_MSEC;

	if (fleetcfg_is_retryable(q->route) &&
	    q->ran + 1 < q->route->max_attempts)
		timerq_arm_in(q->timer, MAX(pause, GATEWAY_STALL_US));
	else
		timerq_arm(q->timer, deadline + GATEWAY_STALL_US);
}

/// Counts a request's prompt as work for the service, once.
static void
weigh(struct gateway_request *q)
{
	if (!q->weighed)
		gateway_service_load(q->gw, q->service->name)->tokens +=
		    q->choice.recompute_tokens;
	q->weighed = true;
}

/// Learns how fast servers compute prompts.
static void
learn_speed(const struct gateway_request *q, uint64_t now_us)
{
	struct gateway_service_load *l =
	    gateway_service_load(q->gw, q->service->name);
	const double ms = (double)(now_us - q->sent_us) / USEC_PER_MSEC;
	double speed;

	if (q->choice.recompute_tokens < GATEWAY_LEARN_TOKENS || ms <= 0)
		return;
	speed = q->choice.recompute_tokens / ms;
	if (l->tokens_per_ms <= 0)
		l->tokens_per_ms = speed;
	if (speed > l->tokens_per_ms)
		l->tokens_per_ms *= 1 + GATEWAY_LEARN_UP;
	else
		l->tokens_per_ms *= 1 - GATEWAY_LEARN_DOWN;
}

static void
on_data(void *arg, const uint8_t *bytes, size_t len)
{
	struct gateway_request *q = arg;
	struct gateway *g = q->gw;
	const uint32_t before = evstream_n_events(q->events);

	if (!q->streams) {
		if (q->error_body == NULL)
			q->error_body = g_string_new(NULL);
		if (q->error_body->len + len <= GATEWAY_MAX_ERROR_BYTES)
			(void)g_string_append_len(
			    q->error_body, (const char *)bytes, (gssize)len);
		return;
	}
	if (q->stream_broken)
		return;
	if (!gateway_stream_feed(q, bytes, len)) {
		q->stream_broken = true;
		logger_event(LOGGER_WARN, "stream.broken",
		    "request=%s server=%s after=%" PRIu64, q->call.id,
		    q->server, evstream_last_id(q->events));
		timerq_arm_in(q->timer, 0);
		return;
	}
	if (evstream_n_events(q->events) == before)
		return;
	if (q->first_us == 0) {
		q->first_us = loop_now_us(g->loop);
		learn_speed(q, q->first_us);
	}
	balancer_first_token(g->router, loop_now_us(g->loop), q->dispatch);
	gateway_count_usage(q);
	arm_stall(q);
}

static void
end_refused(struct gateway_request *q)
{
	if (q->status == GATEWAY_HTTP_MISDIRECTED)
		gateway_servers_remove(q->gw, q->server);
	attempt_failed(q, BALANCER_REFUSED, VERDICT_NOT_RUN,
	    q->status == GATEWAY_HTTP_MISDIRECTED
		? "another server has the address"
		: "the server refused it");
}

static void
pass_answer(struct gateway_request *q, const uint8_t *body, size_t len)
{
	struct gateway *g = q->gw;

	if (q->response_headers == NULL)
		q->response_headers =
		    api_headers_from_response(g->http, q->call_handle);
	// Otherwise the attempt was noted as failed already.
	if (q->call_handle != HANDLE_NONE) {
		balancer_first_token(
		    g->router, loop_now_us(g->loop), q->dispatch);
		end_attempt(
		    q, q->status >= 500 ? BALANCER_FAILED : BALANCER_DONE);
		gateway_rollout_on_response(q, q->status >= 500);
	}
	q->verdict = VERDICT_RAN;
	gateway_count_usage(q);
	gateway_forward_response(q, q->status, body, len);
}

/// A server's failure of a request that may be repeated is tried elsewhere.
static bool
worth_another(const struct gateway_request *q)
{
	const char *why;

	return q->status >= 500 && fleetcfg_is_retryable(q->route) &&
	    q->ran + 1 < MAX(q->route->max_attempts, 1) &&
	    gateway_can_retry(q, &why) &&
	    loop_now_us(q->gw->loop) < q->give_up_us;
}

static void
end_answered(struct gateway_request *q, const struct httpc_result *result)
{
	const uint8_t *body = result->body;
	size_t len = result->len;

	if (!head_is_ours(q)) {
		attempt_failed(q, BALANCER_FAILED, VERDICT_MAY_HAVE_RUN,
		    "the answer isn't this request's");
		return;
	}
	if (not_run(q)) {
		end_refused(q);
		return;
	}
	if (q->streams) {
		if (evstream_has_partial(q->events)) {
			attempt_failed(q, BALANCER_FAILED, VERDICT_MAY_HAVE_RUN,
			    "the stream ended within an event");
			return;
		}
		end_attempt(q, BALANCER_DONE);
		q->verdict = VERDICT_RAN;
		gateway_rollout_on_response(q, false);
		gateway_stream_end(q);
		return;
	}
	if (q->started) {
		attempt_failed(q, BALANCER_FAILED, VERDICT_MAY_HAVE_RUN,
		    "it could not be resumed");
		return;
	}
	if (worth_another(q)) {
		if (q->response_headers == NULL)
			q->response_headers = api_headers_from_response(
			    q->gw->http, q->call_handle);
		note_failure(q, BALANCER_FAILED, VERDICT_MAY_HAVE_RUN,
		    "the server failed");
		if (gateway_retry(q))
			return;
	}
	if (q->error_body != NULL) {
		body = (const uint8_t *)q->error_body->str;
		len = q->error_body->len;
	}
	pass_answer(q, body, len);
}

static void
on_end(void *arg, const struct httpc_result *result)
{
	struct gateway_request *q = arg;

	q->status = result->http_status;
	if (result->status == STATUS_OK) {
		api_response_read(q->gw->http, q->call_handle, &q->answer);
		note_load(q);
		end_answered(q, result);
		return;
	}
	attempt_failed(q, BALANCER_FAILED, result->verdict,
	    result->verdict == VERDICT_NOT_RUN ? "no connection"
					       : "the answer broke off");
}

/// Has the server fetch the shared prompt from its home rather than compute it
/// again.
static void
set_fetch(struct gateway_request *q)
{
	struct gateway *g = q->gw;
	const struct balancer_server_conf *home =
	    balancer_get(g->router, q->choice.home);
	const struct gateway_server *s;

	if (home == NULL || q->choice.home == q->choice.server ||
	    q->service->engine.link_mbps <= 0 ||
	    q->choice.cached_tokens + GATEWAY_FETCH_TOKENS > q->shared_tokens)
		return;
	s = g_hash_table_lookup(g->servers, home->name);
	if (s != NULL)
		api_headers_addf(q->headers, API_HDR_KV_FETCH, "%s:%u",
		    s->instance.host, s->instance.port);
}

/// Headers that this system sets, behind the caller's own.
static void
set_headers(
    struct gateway_request *q, const struct gateway_server *s, uint64_t now_us)
{
	struct api_headers *h = q->headers;
	const uint64_t until = q->events != NULL
	    ? q->arrived_us + (uint64_t)q->call.deadline_ms * USEC_PER_MSEC
	    : q->give_up_us;
	const uint64_t left_ms =
	    until > now_us ? (until - now_us) / USEC_PER_MSEC : 0;

	api_headers_truncate(h, q->n_headers);
	api_headers_addf(h, API_HDR_DEADLINE, "%" PRIu64, MAX(left_ms, 1));
	api_headers_add(h, API_HDR_EXPECT_INSTANCE, s->instance.id);
	if (q->customer != NULL)
		api_headers_add(h, API_HDR_CUSTOMER, q->customer->name);
	set_fetch(q);
	if (q->events != NULL && evstream_last_id(q->events) > 0)
		api_headers_addf(h, API_HDR_LAST_EVENT, "%" PRIu64,
		    evstream_last_id(q->events));
	else if (q->call.resumes)
		api_headers_addf(
		    h, API_HDR_LAST_EVENT, "%" PRIu64, q->call.last_event);
}

static void
begin(struct gateway_request *q, const struct balancer_request *ask,
    uint64_t now_us)
{
	struct gateway *g = q->gw;

	if (q->sent == 0)
		retry_record_first(
		    gateway_service_load(g, q->service->name)->retries, now_us,
		    &q->attempts, q->choice.server);
	else
		retry_record_attempt(&q->attempts, q->choice.server);
	q->dispatch = balancer_begin(g->router, now_us, ask, &q->choice);
	q->sent++;
	q->unsent = false;
	q->sent_us = now_us;
	q->first_us = 0;
	q->streams = false;
	q->stream_broken = false;
	q->status = 0;
	if (q->error_body != NULL)
		(void)g_string_truncate(q->error_body, 0);
	if (q->events != NULL)
		evstream_restart(q->events, 0);
	if (!q->started) {
		api_headers_free(q->response_headers);
		q->response_headers = NULL;
	}
}

static void
send_to(
    struct gateway_request *q, const struct gateway_server *s, uint64_t now_us)
{
	struct gateway *g = q->gw;
	struct httpc_request call = {
		.method = q->method,
		.host = s->instance.host,
		.port = s->instance.port,
		.path = q->target,
		.body = q->body,
		.len = q->len,
		// A kept connection may close under a request, which leaves
		// its outcome unknown.
		.fresh = !fleetcfg_is_retryable(q->route),
		.connect_us = GATEWAY_CONNECT_US,
		.on_head = on_head,
		.on_data = q->events != NULL ? on_data : NULL,
		.on_end = on_end,
		.arg = q,
	};

	set_headers(q, s, now_us);
	call.more = api_headers_array(q->headers);
	call.n_more = api_headers_count(q->headers);
	logger_event(LOGGER_INFO, "attempt.sent",
	    "request=%s attempt=%u server=%s recompute=%u queue=%.0f",
	    q->call.id, q->sent, s->instance.id, q->choice.recompute_tokens,
	    q->choice.queue_tokens);
	q->call_handle = httpc_send(g->http, &call);
	if (q->call_handle == HANDLE_NONE) {
		attempt_failed(
		    q, BALANCER_FAILED, VERDICT_NOT_RUN, "can't be sent");
		return;
	}
	gateway_service_load(g, q->service->name)->running++;
	if (q->started)
		arm_stall(q);
	else
		timerq_arm(q->timer,
		    MAX(gateway_attempt_deadline_us(q, now_us), now_us));
}

/// Leaves an attempt that is silent for much longer than its route allows, if
/// another server may answer in time.
static bool
leave_silent(struct gateway_request *q)
{
	uint64_t at_us;

	if (q->started || q->stream_broken ||
	    loop_now_us(q->gw->loop) >= q->give_up_us)
		return false;
	// The head of a plain answer is there: its body is on its way.
	if ((q->events == NULL && q->status != 0) ||
	    !gateway_retry_plan(q, VERDICT_MAY_HAVE_RUN, &at_us)) {
		timerq_arm(q->timer, q->give_up_us);
		return true;
	}
	httpc_cancel(q->gw->http, q->call_handle);
	note_failure(
	    q, BALANCER_TIMED_OUT, VERDICT_MAY_HAVE_RUN, "silent for too long");
	gateway_retry_arm(q, at_us);
	return true;
}

/// The time of an attempt under way is over.
static void
leave_attempt(struct gateway_request *q)
{
	if (leave_silent(q))
		return;
	httpc_cancel(q->gw->http, q->call_handle);
	attempt_failed(q, BALANCER_TIMED_OUT, VERDICT_MAY_HAVE_RUN,
	    q->stream_broken ? "the stream is broken" : "no answer in time");
}

/// Sends the next attempt, or ends the one under way whose time is over.
void
gateway_send(struct gateway_request *q)
{
	struct gateway *g = q->gw;
	const uint64_t now = loop_now_us(g->loop);
	const struct balancer_server_conf *conf;
	const struct gateway_server *s;
	struct balancer_request ask;

	if (q->call_handle != HANDLE_NONE) {
		leave_attempt(q);
		return;
	}
	if (choose(q, &ask) != STATUS_OK) {
		gateway_give_up(q, "no backend server to be had");
		return;
	}
	weigh(q);
	conf = balancer_get(g->router, q->choice.server);
	s = g_hash_table_lookup(g->servers, conf->name);
	g_assert(s != NULL);
	(void)g_strlcpy(q->server, s->instance.id, sizeof(q->server));
	begin(q, &ask, now);
	send_to(q, s, now);
}
