#include "gateway/gateway_internal.h"

#include <inttypes.h>
#include <string.h>

/// A stream without an event for this many of its route's longest pauses, and
/// for at least this long, is resumed at another server.
#define GATEWAY_STALL_PAUSES 3
#define GATEWAY_STALL_US (1500 * USEC_PER_MSEC)
#define GATEWAY_MAX_ERROR_BYTES (1U << 20)
/// Shorter prompts don't show how fast a server computes.
#define GATEWAY_LEARN_MIN_TOKENS 1000
/// Relative steps of the speed estimate, up and down. Their ratio sets the
/// quantile that it tends to: a high one, since the speed of servers with
/// little load is wanted.
#define GATEWAY_LEARN_UP 0.02
#define GATEWAY_LEARN_DOWN 0.005

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

void
gateway_on_head(void *arg, int http_status)
{
	struct gateway_request *q = arg;
	struct gateway *g = q->gateway;

	q->status = http_status;
	if (gateway_relay_refusal(q) != NULL)
		return;
	api_response_read(g->http, q->call_handle, &q->response);
	record_load(q, true);
	// Retryable requests may use a connection from before.
	if (q->via == 0 && !fleetcfg_is_retryable(q->route))
		gateway_reach_succeeded(g, q->server);
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
void
gateway_arm_stall_timer(struct gateway_request *q)
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

void
gateway_on_data(void *arg, const uint8_t *bytes, size_t len)
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
		    "request=%s server=%s after=%" PRIu64 " reason=\"%s\"",
		    q->call.id, q->server, evstream_last_id(q->events),
		    evstream_error(q->events));
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
	gateway_arm_stall_timer(q);
}

static void
finish_refused(struct gateway_request *q)
{
	if (q->status == GATEWAY_HTTP_MISDIRECTED)
		gateway_servers_on_misdirected(q->gateway, q->server);
	gateway_attempt_failed(q, BALANCER_REFUSED, VERDICT_NOT_RUN,
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
		gateway_attempt_end(
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
	gateway_attempt_failed(q, BALANCER_FAILED, VERDICT_MAY_HAVE_RUN, why);
}

static void
stream_complete(struct gateway_request *q)
{
	gateway_attempt_end(q, BALANCER_DONE);
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
	if (evstream_is_behind(q->events)) {
		gateway_attempt_failed(q, BALANCER_FAILED, VERDICT_MAY_HAVE_RUN,
		    "the stream ended before the events that the caller has");
		return;
	}
	if (until_close && evstream_is_empty(q->events) && !q->call.resumes) {
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
		gateway_attempt_record_failure(q, BALANCER_FAILED,
		    VERDICT_MAY_HAVE_RUN, "the server responded with an error");
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
		gateway_attempt_failed(q, BALANCER_FAILED, VERDICT_MAY_HAVE_RUN,
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
		gateway_attempt_failed(q, BALANCER_FAILED, VERDICT_MAY_HAVE_RUN,
		    "the response can't be read");
		return;
	}
	if (!response_matches(q)) {
		httpc_discard(q->gateway->http, q->call_handle);
		gateway_attempt_failed(q, BALANCER_FAILED, VERDICT_MAY_HAVE_RUN,
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
		gateway_attempt_failed(q, BALANCER_FAILED, VERDICT_MAY_HAVE_RUN,
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

/// Learns from an attempt without a response what it says of the server. One
/// that went through another gateway says nothing of it.
static void
on_lost(struct gateway_request *q, const struct httpc_result *result)
{
	struct gateway *g = q->gateway;

	if (q->via != 0)
		return;
	if (result->verdict != VERDICT_NOT_RUN) {
		gateway_crashes_on_lost(q);
		return;
	}
	if (result->status == STATUS_UNAVAILABLE)
		gateway_reach_failed(g, q->server);
	if (!gateway_reach_is_cut(g, q->service->name))
		gateway_cold_on_unreachable(g, q->server);
}

void
gateway_on_end(void *arg, const struct httpc_result *result)
{
	struct gateway_request *q = arg;
	struct httpc_result of_server = *result;

	if (gateway_relay_on_end(q, result))
		return;
	q->status = result->http_status;
	if (result->status == STATUS_OK) {
		of_server.until_close =
		    result->until_close || gateway_relay_is_unframed(q);
		api_response_read(
		    q->gateway->http, q->call_handle, &q->response);
		record_load(q, false);
		finish_response(q, &of_server);
		return;
	}
	on_lost(q, result);
	gateway_attempt_failed(
	    q, BALANCER_FAILED, result->verdict, failure_reason(result));
}
