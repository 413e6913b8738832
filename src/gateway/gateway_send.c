#include "gateway/gateway_internal.h"

#include <inttypes.h>
#include <string.h>

#include "platform/api_names.h"

/// Time to establish a connection; the attempt fails after it.
#define GATEWAY_CONNECT_US (400 * USEC_PER_MSEC)
/// A stream without an event for this many of its route's longest pauses, and
/// for at least this long, is resumed at another server.
#define GATEWAY_STALL_PAUSES 3
#define GATEWAY_STALL_US (1500 * USEC_PER_MSEC)
/// Largest response that is forwarded as a whole; a stream's events are only
/// bounded one by one. Many of them are held at once.
#define GATEWAY_MAX_RESPONSE_BYTES (4U << 20)
#define GATEWAY_MAX_ERROR_BYTES (1U << 20)
/// Least number of uncached shared tokens that are fetched from another server.
#define GATEWAY_FETCH_MIN_TOKENS 500
/// Shorter prompts don't show how fast a server computes.
#define GATEWAY_LEARN_MIN_TOKENS 1000
/// Relative steps of the speed estimate, up and down. Their ratio sets the
/// quantile that it tends to: a high one, since the speed of servers with
/// little load is wanted.
#define GATEWAY_LEARN_UP 0.02
#define GATEWAY_LEARN_DOWN 0.005

static void on_end(void *arg, const struct httpc_result *result);

/// Cancels the attempt in flight, if there is one.
///
/// @param how  its outcome for the balancer
void
gateway_cancel_attempt(struct gateway_request *q, enum balancer_outcome how)
{
	struct gateway *g = q->gateway;
	const uint64_t now = loop_now_us(g->loop);

	timerq_disarm(q->timer);
	if (q->call_handle != HANDLE_NONE) {
		httpc_cancel(g->http, q->call_handle);
		gateway_service_load(g, q->service->name)->running--;
		gateway_service_load(g, q->service->name)->work_us +=
		    now - q->attempt_sent_us;
	}
	q->call_handle = HANDLE_NONE;
	if (q->dispatch != HANDLE_NONE)
		balancer_end(g->balancer, now, q->dispatch, how,
		    q->events != NULL ? evstream_n_events(q->events) : 0,
		    UINT32_MAX);
	q->dispatch = HANDLE_NONE;
}

/// Releases a request that has no attempt in flight.
void
gateway_request_free(struct gateway_request *q)
{
	struct gateway *g = q->gateway;
	const gint64 key = (gint64)q->original_caller;

	gateway_openq_remove(q);
	gateway_quota_forget(q);
	(void)g_hash_table_remove(g->by_caller, &key);
	timerq_timer_free(q->timer);
	api_headers_free(q->headers);
	api_headers_free(q->response_headers);
	if (q->kept_body != NULL)
		(void)g_string_free(q->kept_body, TRUE);
	evstream_free(q->events);
	fleetcfg_unref(q->config);
	g_free(q->key);
	g_free(q->method);
	g_free(q->target);
	g_free(q->body);
	g_free(q->blocks);
	slotmap_remove(g->requests, q->self);
}

static void
make_query(const struct gateway_request *q, struct balancer_request *out)
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

/// Chooses a server for the next attempt among those that the request has not
/// tried; among all if no other is available. A restriction to a rollout's
/// version is lifted first if no server with it is available.
///
/// @param query  receives the query that was answered, for balancer_begin()
/// @return STATUS_OK with the server in `q->choice`, or the error of
///         balancer_choose()
static enum status
choose_server(struct gateway_request *q, struct balancer_request *query)
{
	struct gateway *g = q->gateway;
	const uint64_t now = loop_now_us(g->loop);
	enum status st;

	make_query(q, query);
	if (!gateway_regions_exclude(q, query))
		return STATUS_UNAVAILABLE;
	gateway_rollout_choose(q, query);
	retry_exclude_tried(&q->attempts, query);
	st = balancer_choose(
	    g->balancer, now, loop_random(g->loop), query, &q->choice);
	if (st != STATUS_OK && query->version != NULL) {
		gateway_rollout_fall_back(q, query);
		st = balancer_choose(
		    g->balancer, now, loop_random(g->loop), query, &q->choice);
	}
	if (st != STATUS_UNAVAILABLE || query->n_servers == 0)
		return st;
	query->n_servers = 0;
	return balancer_choose(
	    g->balancer, now, loop_random(g->loop), query, &q->choice);
}

/// Records the end of the attempt in flight.
static void
end_attempt(struct gateway_request *q, enum balancer_outcome how)
{
	struct gateway *g = q->gateway;
	const uint64_t now = loop_now_us(g->loop);

	timerq_disarm(q->timer);
	if (q->call_handle != HANDLE_NONE) {
		struct gateway_service_load *l =
		    gateway_service_load(g, q->service->name);

		l->running--;
		l->work_us += now - q->attempt_sent_us;
	}
	q->call_handle = HANDLE_NONE;
	if (q->dispatch != HANDLE_NONE)
		balancer_end(g->balancer, now, q->dispatch, how,
		    q->events != NULL ? evstream_n_events(q->events) : 0,
		    UINT32_MAX);
	q->dispatch = HANDLE_NONE;
}

/// Records that the attempt in flight gave no response to forward.
static void
record_failure(struct gateway_request *q, enum balancer_outcome how,
    enum verdict verdict, const char *why)
{
	end_attempt(q, how);
	q->not_sent = verdict == VERDICT_NOT_RUN && how != BALANCER_REFUSED;
	if (verdict != VERDICT_NOT_RUN) {
		q->n_ran++;
		gateway_rollout_on_response(q, true);
	}
	q->verdict = verdict_merge(q->verdict, verdict);
	logger_event(LOGGER_INFO, "attempt.failed",
	    "request=%s attempt=%u server=%s verdict=\"%s\" reason=\"%s\"",
	    q->call.id, q->n_sent, q->server, verdict_name(verdict), why);
}

/// Records a failed attempt, and schedules another one or fails the request.
static void
attempt_failed(struct gateway_request *q, enum balancer_outcome how,
    enum verdict verdict, const char *why)
{
	record_failure(q, how, verdict, why);
	if (!gateway_retry(q))
		gateway_give_up(q, why);
}

/// Passes the load in the response's headers, if any, to the balancer; the pace
/// only once, when the head has come.
static void
record_load(struct gateway_request *q, bool is_head)
{
	struct gateway *g = q->gateway;
	struct gateway_server *s = g_hash_table_lookup(g->servers, q->server);
	struct balancer_report report = {
		.running = q->response.running,
		.waiting = q->response.waiting,
		.slots = q->response.slots,
		.pace_percent = is_head ? q->response.pace_percent : 0,
	};

	if (s == NULL || !q->response.has_load)
		return;
	gateway_speed_on_response(g, s, report.pace_percent);
	report.sequence = ++s->n_reports;
	balancer_record_report(
	    g->balancer, loop_now_us(g->loop), s->balancer_handle, &report);
}

static bool
was_not_run(const struct gateway_request *q)
{
	return q->response.not_run || q->status == GATEWAY_HTTP_MISDIRECTED;
}

/// Whether the response's headers allow that it is this request's. One with
/// another request's id isn't. A 2xx must have the id and a backend server's
/// stamp, and no content encoding. A refusal without an id may be that of an
/// earlier request on a kept-alive connection; only retryable requests use
/// these.
static bool
response_matches(const struct gateway_request *q)
{
	const struct api_response *a = &q->response;

	if (a->id[0] != '\0')
		return strcmp(a->id, q->call.id) == 0 &&
		    (q->status < 200 || q->status >= 300 ||
			(a->stamped && !a->encoded));
	if (q->status >= 200 && q->status < 300)
		return false;
	return !was_not_run(q) || !fleetcfg_is_retryable(q->route);
}

static void
on_head(void *arg, int http_status)
{
	struct gateway_request *q = arg;
	struct gateway *g = q->gateway;

	q->status = http_status;
	api_response_read(g->http, q->call_handle, &q->response);
	record_load(q, true);
	gateway_signals_on_head(q);
	q->is_stream = q->events != NULL && http_status == 200 &&
	    response_matches(q) && !was_not_run(q);
	if (!q->is_stream || q->response_headers != NULL)
		return;
	q->response_headers =
	    api_headers_from_response(g->http, q->call_handle);
}

/// Arms the timer that gives up a stream without events. A stream that can't be
/// resumed at another server is given up only after its caller's deadline.
static void
arm_stall_timer(struct gateway_request *q)
{
	const uint64_t stall_us =
	    (uint64_t)q->route->gap_ms * USEC_PER_MSEC * GATEWAY_STALL_PAUSES;
	const uint64_t deadline =
	    q->arrived_us + (uint64_t)q->call.deadline_ms * USEC_PER_MSEC;

	if (fleetcfg_is_retryable(q->route) &&
	    q->n_ran + 1 < q->route->max_attempts)
		timerq_arm_in(q->timer, MAX(stall_us, GATEWAY_STALL_US));
	else
		timerq_arm(q->timer, deadline + GATEWAY_STALL_US);
}

/// Adds a request's prompt to its service's load, once.
static void
count_work(struct gateway_request *q)
{
	if (!q->work_counted)
		gateway_service_load(q->gateway, q->service->name)->tokens +=
		    q->choice.recompute_tokens;
	q->work_counted = true;
}

/// Updates the estimate of how fast servers compute prompts.
static void
learn_speed(const struct gateway_request *q, uint64_t now_us)
{
	struct gateway_service_load *l =
	    gateway_service_load(q->gateway, q->service->name);
	const double ms = (double)(now_us - q->attempt_sent_us) / USEC_PER_MSEC;
	double speed;

	if (q->choice.recompute_tokens < GATEWAY_LEARN_MIN_TOKENS || ms <= 0)
		return;
	speed = q->choice.recompute_tokens / ms;
	if (l->tokens_per_ms <= 0)
		l->tokens_per_ms = speed;
	if (speed > l->tokens_per_ms)
		l->tokens_per_ms *= 1 + GATEWAY_LEARN_UP;
	else
		l->tokens_per_ms *= 1 - GATEWAY_LEARN_DOWN;
}

/// Keeps the body of a response that should be a stream and isn't.
static void
keep_body(struct gateway_request *q, const uint8_t *bytes, size_t len)
{
	if (q->kept_body == NULL)
		q->kept_body = g_string_new(NULL);
	if (q->kept_body->len + len <= GATEWAY_MAX_ERROR_BYTES) {
		(void)g_string_append_len(
		    q->kept_body, (const char *)bytes, (gssize)len);
		httpc_set_retained(
		    q->gateway->http, q->call_handle, q->kept_body->len);
		return;
	}
	// A part of it must not be forwarded as the whole.
	if (!q->protocol_error) {
		q->protocol_error = true;
		timerq_arm_in(q->timer, 0);
	}
}

static void
on_data(void *arg, const uint8_t *bytes, size_t len)
{
	struct gateway_request *q = arg;
	struct gateway *g = q->gateway;
	const uint32_t before = evstream_n_events(q->events);

	if (!q->is_stream) {
		keep_body(q, bytes, len);
		return;
	}
	if (q->protocol_error)
		return;
	if (!gateway_stream_feed(q, bytes, len)) {
		// The connection works; the stream's data is malformed.
		q->protocol_error = true;
		logger_event(LOGGER_WARN, "stream.broken",
		    "request=%s server=%s after=%" PRIu64, q->call.id,
		    q->server, evstream_last_id(q->events));
		timerq_arm_in(q->timer, 0);
		return;
	}
	httpc_set_retained(
	    g->http, q->call_handle, evstream_partial_bytes(q->events));
	if (evstream_n_events(q->events) == before)
		return;
	if (q->first_event_us == 0) {
		q->first_event_us = loop_now_us(g->loop);
		learn_speed(q, q->first_event_us);
	}
	balancer_first_token(g->balancer, loop_now_us(g->loop), q->dispatch);
	gateway_count_usage(q);
	arm_stall_timer(q);
}

static void
finish_refused(struct gateway_request *q)
{
	if (q->status == GATEWAY_HTTP_MISDIRECTED)
		gateway_servers_on_misdirected(q->gateway, q->server);
	attempt_failed(q, BALANCER_REFUSED, VERDICT_NOT_RUN,
	    q->status == GATEWAY_HTTP_MISDIRECTED
		? "another server has the address"
		: "the server refused it");
}

/// Forwards a server's response, also one whose attempt has been recorded as
/// failed.
static void
forward_response(struct gateway_request *q, const uint8_t *body, size_t len)
{
	struct gateway *g = q->gateway;

	if (q->response_headers == NULL)
		q->response_headers =
		    api_headers_from_response(g->http, q->call_handle);
	// Otherwise the attempt was recorded as failed already.
	if (q->call_handle != HANDLE_NONE) {
		balancer_first_token(
		    g->balancer, loop_now_us(g->loop), q->dispatch);
		end_attempt(
		    q, q->status >= 500 ? BALANCER_FAILED : BALANCER_DONE);
		gateway_rollout_on_response(q, q->status >= 500);
	}
	q->verdict = VERDICT_RAN;
	if (q->status >= 200 && q->status < 300)
		gateway_parts_answered(q);
	gateway_count_usage(q);
	gateway_forward_response(q, q->status, body, len);
}

/// Whether a server's error response is to be followed by another attempt
/// rather than forwarded.
static bool
should_retry_failure(const struct gateway_request *q)
{
	const char *why;

	return q->status >= 500 && fleetcfg_is_retryable(q->route) &&
	    q->n_ran + 1 < MAX(q->route->max_attempts, 1) &&
	    gateway_can_retry(q, &why) &&
	    loop_now_us(q->gateway->loop) < q->deadline_us;
}

static void
response_lost(struct gateway_request *q, const char *why)
{
	gateway_crashes_on_lost(q);
	attempt_failed(q, BALANCER_FAILED, VERDICT_MAY_HAVE_RUN, why);
}

static void
stream_complete(struct gateway_request *q)
{
	end_attempt(q, BALANCER_DONE);
	q->verdict = VERDICT_RAN;
	if (evstream_n_events(q->events) > 0)
		gateway_parts_answered(q);
	gateway_rollout_on_response(q, false);
	gateway_stream_end(q);
}

/// Whether a response that ended with its connection is complete. That of a
/// server which has crashed or stopped looks the same, so the server is checked
/// first; one that can't be checked isn't trusted.
///
/// @return false if it isn't, and the attempt has failed, or if
///         gateway_response_checked() will tell
static bool
is_complete(struct gateway_request *q)
{
	if (gateway_evac_covers_attempt(q)) {
		response_lost(q, "it may be cut off, by an evacuated server");
		return false;
	}
	switch (gateway_crashes_wait(q)) {
	case GATEWAY_SERVER_CHECKED:
		timerq_disarm(q->timer);
		return false;
	case GATEWAY_SERVER_UNKNOWN:
		response_lost(q,
		    "it may be cut off, by a server that can't be "
		    "checked");
		return false;
	case GATEWAY_SERVER_LIVES:
		break;
	}
	return true;
}

/// Decides what follows a stream that has ended.
static void
finish_stream(struct gateway_request *q, bool until_close)
{
	if (evstream_has_partial(q->events)) {
		response_lost(q, "the stream ended within an event");
		return;
	}
	if (until_close && evstream_n_events(q->events) == 0 &&
	    !q->call.resumes) {
		response_lost(q, "the stream ended before its first event");
		return;
	}
	if (!until_close || is_complete(q))
		stream_complete(q);
}

/// Forwards a plain response that is complete, or sends another attempt.
static void
plain_complete(struct gateway_request *q, const uint8_t *body, size_t len)
{
	if (should_retry_failure(q)) {
		if (q->response_headers == NULL)
			q->response_headers = api_headers_from_response(
			    q->gateway->http, q->call_handle);
		record_failure(q, BALANCER_FAILED, VERDICT_MAY_HAVE_RUN,
		    "the server responded with an error");
		if (gateway_retry(q))
			return;
	}
	if (q->kept_body != NULL) {
		body = (const uint8_t *)q->kept_body->str;
		len = q->kept_body->len;
	}
	forward_response(q, body, len);
}

/// Decides what follows a plain response that has ended.
static void
finish_plain(struct gateway_request *q, const struct httpc_result *result)
{
	if (!result->until_close) {
		plain_complete(q, result->body, result->len);
		return;
	}
	// The call ends now, a check of the server later.
	if (q->kept_body == NULL)
		q->kept_body = g_string_new_len(
		    (const char *)result->body, (gssize)result->len);
	if (q->response_headers == NULL)
		q->response_headers =
		    api_headers_from_response(q->gateway->http, q->call_handle);
	if (is_complete(q))
		plain_complete(q, NULL, 0);
}

/// The server of a response that ended with its connection was checked.
void
gateway_response_checked(struct gateway_request *q, bool crashed)
{
	if (crashed)
		attempt_failed(q, BALANCER_FAILED, VERDICT_MAY_HAVE_RUN,
		    "the server ended during the response");
	else if (q->is_stream)
		stream_complete(q);
	else
		plain_complete(q, NULL, 0);
}

/// Decides what follows a response that has come to its end.
static void
finish_response(struct gateway_request *q, const struct httpc_result *result)
{
	if (q->protocol_error) {
		attempt_failed(q, BALANCER_FAILED, VERDICT_MAY_HAVE_RUN,
		    "the response can't be read");
		return;
	}
	if (!response_matches(q)) {
		httpc_discard(q->gateway->http, q->call_handle);
		attempt_failed(q, BALANCER_FAILED, VERDICT_MAY_HAVE_RUN,
		    "the answer isn't this request's");
		return;
	}
	if (was_not_run(q)) {
		finish_refused(q);
		return;
	}
	if (q->is_stream) {
		finish_stream(q, result->until_close);
		return;
	}
	if (q->head_sent) {
		attempt_failed(q, BALANCER_FAILED, VERDICT_MAY_HAVE_RUN,
		    "the server didn't resume the stream");
		return;
	}
	finish_plain(q, result);
}

static const char *
failure_reason(const struct httpc_result *result)
{
	if (result->verdict == VERDICT_NOT_RUN)
		return "no connection";
	return result->error != NULL ? result->error : "the answer broke off";
}

static void
on_end(void *arg, const struct httpc_result *result)
{
	struct gateway_request *q = arg;

	q->status = result->http_status;
	if (result->status == STATUS_OK) {
		api_response_read(
		    q->gateway->http, q->call_handle, &q->response);
		record_load(q, false);
		finish_response(q, result);
		return;
	}
	if (result->verdict != VERDICT_NOT_RUN)
		gateway_crashes_on_lost(q);
	else
		gateway_cold_on_unreachable(q->gateway, q->server);
	attempt_failed(
	    q, BALANCER_FAILED, result->verdict, failure_reason(result));
}

/// Asks the server to fetch the KV cache of the shared prompt from the
/// preferred server, if that saves enough computing.
static void
set_fetch(struct gateway_request *q)
{
	struct gateway *g = q->gateway;
	const struct balancer_server_conf *preferred =
	    balancer_get(g->balancer, q->choice.preferred);
	const struct gateway_server *s;

	if (preferred == NULL || q->choice.preferred == q->choice.server ||
	    q->service->engine.link_mbps <= 0 ||
	    q->choice.cached_tokens + GATEWAY_FETCH_MIN_TOKENS >
		q->shared_tokens)
		return;
	s = g_hash_table_lookup(g->servers, preferred->name);
	if (s != NULL)
		api_headers_addf(q->headers, API_HDR_KV_FETCH, "%s:%u",
		    s->instance.host, s->instance.port);
}

/// Sets this gateway's own headers of an attempt, after those of the caller.
static void
set_headers(
    struct gateway_request *q, const struct gateway_server *s, uint64_t now_us)
{
	struct api_headers *h = q->headers;
	const uint64_t until_us = q->events != NULL
	    ? q->arrived_us + (uint64_t)q->call.deadline_ms * USEC_PER_MSEC
	    : q->deadline_us;
	const uint64_t left_ms =
	    until_us > now_us ? (until_us - now_us) / USEC_PER_MSEC : 0;

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

/// Registers an attempt with the balancer and the retry budget, and resets the
/// state of the previous one.
static void
begin_attempt(struct gateway_request *q, const struct balancer_request *query,
    uint64_t now_us)
{
	struct gateway *g = q->gateway;

	if (q->n_sent == 0)
		retry_record_first(
		    gateway_service_load(g, q->service->name)->retries, now_us,
		    &q->attempts, q->choice.server);
	else
		retry_record_attempt(&q->attempts, q->choice.server);
	q->dispatch = balancer_begin(g->balancer, now_us, query, &q->choice);
	q->n_sent++;
	q->not_sent = false;
	q->attempt_sent_us = now_us;
	q->first_event_us = 0;
	q->is_stream = false;
	q->protocol_error = false;
	q->status = 0;
	if (q->kept_body != NULL)
		(void)g_string_free(q->kept_body, TRUE);
	q->kept_body = NULL;
	if (q->events != NULL)
		evstream_restart(q->events, 0);
	if (!q->head_sent) {
		api_headers_free(q->response_headers);
		q->response_headers = NULL;
	}
}

static void
send_to(
    struct gateway_request *q, const struct gateway_server *s, uint64_t now_us)
{
	struct gateway *g = q->gateway;
	struct httpc_request call = {
		.method = q->method,
		.host = s->instance.host,
		.port = s->instance.port,
		.path = q->target,
		.body = q->body,
		.len = q->len,
		// A keep-alive connection may close while the request is sent,
		// which leaves its outcome unknown.
		.new_connection = !fleetcfg_is_retryable(q->route),
		.connect_us = GATEWAY_CONNECT_US,
		.max_body = q->events != NULL ? 0 : GATEWAY_MAX_RESPONSE_BYTES,
		.on_head = on_head,
		.on_data = q->events != NULL ? on_data : NULL,
		.on_end = on_end,
		.arg = q,
	};
	char parts[GATEWAY_PARTS_TEXT_BYTES];

	set_headers(q, s, now_us);
	gateway_parts_text(q, parts, sizeof(parts));
	call.extra_headers = api_headers_array(q->headers);
	call.n_extra_headers = api_headers_count(q->headers);
	logger_event(LOGGER_INFO, "attempt.sent",
	    "request=%s attempt=%u server=%s recompute=%u queue=%.0f parts=%s",
	    q->call.id, q->n_sent, s->instance.id, q->choice.recompute_tokens,
	    q->choice.queue_tokens, parts);
	q->call_handle = httpc_send(g->http, &call);
	if (q->call_handle == HANDLE_NONE) {
		attempt_failed(
		    q, BALANCER_FAILED, VERDICT_NOT_RUN, "can't be sent");
		return;
	}
	gateway_service_load(g, q->service->name)->running++;
	if (q->head_sent)
		arm_stall_timer(q);
	else
		timerq_arm(q->timer,
		    MAX(gateway_attempt_deadline_us(q, now_us), now_us));
}

/// Gives up an attempt whose response is overdue, if another server can respond
/// in time; else arms the timer for the deadline.
///
/// @return false if the timer meant something else: the deadline, a stall or a
///         malformed stream
static bool
abandon_if_silent(struct gateway_request *q)
{
	uint64_t at_us;

	if (q->head_sent || q->protocol_error ||
	    loop_now_us(q->gateway->loop) >= q->deadline_us)
		return false;
	// The head of a plain response has come: wait for its body.
	if ((q->events == NULL && q->status != 0) ||
	    !gateway_retry_plan(q, VERDICT_MAY_HAVE_RUN, &at_us)) {
		timerq_arm(q->timer, q->deadline_us);
		return true;
	}
	httpc_cancel(q->gateway->http, q->call_handle);
	record_failure(q, BALANCER_TIMED_OUT, VERDICT_MAY_HAVE_RUN,
	    "no response for too long");
	gateway_retry_arm(q, at_us);
	return true;
}

/// The timer of the attempt in flight has expired.
static void
abandon_attempt(struct gateway_request *q)
{
	if (abandon_if_silent(q))
		return;
	httpc_cancel(q->gateway->http, q->call_handle);
	attempt_failed(q, BALANCER_TIMED_OUT, VERDICT_MAY_HAVE_RUN,
	    q->protocol_error ? "the response can't be read"
			      : "no answer in time");
}

/// Sends an attempt to the server chosen for it.
///
/// @return false when no server takes the request now
bool
gateway_try_send(struct gateway_request *q)
{
	struct gateway *g = q->gateway;
	const uint64_t now = loop_now_us(g->loop);
	const struct balancer_server_conf *conf;
	const struct gateway_server *s;
	struct balancer_request query;

	if (choose_server(q, &query) != STATUS_OK)
		return false;
	count_work(q);
	conf = balancer_get(g->balancer, q->choice.server);
	s = g_hash_table_lookup(g->servers, conf->name);
	g_assert(s != NULL);
	(void)g_strlcpy(q->server, s->instance.id, sizeof(q->server));
	begin_attempt(q, &query, now);
	send_to(q, s, now);
	return true;
}

/// Called when a request's timer expires, and for its first attempt: sends an
/// attempt, or gives up the one in flight.
void
gateway_send(struct gateway_request *q)
{
	if (q->call_handle != HANDLE_NONE)
		abandon_attempt(q);
	else if (!gateway_regions_have_server(q))
		gateway_give_up(q, "no server in an allowed region");
	else if ((gateway_openq_is_waiting(q) || !gateway_try_send(q)) &&
	    !gateway_openq_add(q))
		gateway_give_up(q, "no backend server to be had");
}
