#include "gateway/gateway_internal.h"

#include <inttypes.h>
#include <string.h>

#include "platform/api_names.h"

/// Time to establish a connection; the attempt fails after it.
#define GATEWAY_CONNECT_US (400 * USEC_PER_MSEC)
/// Largest response that is forwarded as a whole; a stream's events are only
/// bounded one by one. Many of them are held at once.
#define GATEWAY_MAX_RESPONSE_BYTES (4U << 20)
/// Least number of uncached shared tokens that are fetched from another server.
#define GATEWAY_FETCH_MIN_TOKENS 500

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
		gateway_openq_wake(
		    g, gateway_service_load(g, q->service->name));
	}
	q->call_handle = HANDLE_NONE;
	if (q->dispatch != HANDLE_NONE)
		balancer_end(g->balancer, now, q->dispatch, how,
		    gateway_events_delivered(q), UINT32_MAX);
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
void
gateway_attempt_end(struct gateway_request *q, enum balancer_outcome how)
{
	struct gateway *g = q->gateway;
	const uint64_t now = loop_now_us(g->loop);

	timerq_disarm(q->timer);
	if (q->call_handle != HANDLE_NONE) {
		struct gateway_service_load *l =
		    gateway_service_load(g, q->service->name);

		l->running--;
		l->work_us += now - q->attempt_sent_us;
		gateway_openq_wake(g, l);
	}
	q->call_handle = HANDLE_NONE;
	if (q->dispatch != HANDLE_NONE)
		balancer_end(g->balancer, now, q->dispatch, how,
		    gateway_events_delivered(q), UINT32_MAX);
	q->dispatch = HANDLE_NONE;
}

/// Number of events of a stream that were passed on to the caller; 0 for other
/// requests.
uint32_t
gateway_events_delivered(const struct gateway_request *q)
{
	return q->events != NULL ? evstream_n_events(q->events) : 0;
}

/// Records that the attempt in flight gave no response to forward.
void
gateway_attempt_record_failure(struct gateway_request *q,
    enum balancer_outcome how, enum verdict verdict, const char *why)
{
	gateway_attempt_end(q, how);
	q->not_sent = verdict == VERDICT_NOT_RUN && how != BALANCER_REFUSED;
	if (verdict != VERDICT_NOT_RUN) {
		q->n_ran++;
		gateway_rollout_on_response(q, true);
	}
	q->verdict = verdict_merge(q->verdict, verdict);
	logger_event(LOGGER_INFO, "attempt.failed",
	    "request=%s attempt=%u server=%s verdict=\"%s\" events=%u "
	    "reason=\"%s\"",
	    q->call.id, q->n_sent, q->server, verdict_name(verdict),
	    gateway_events_delivered(q), why);
}

/// Records a failed attempt, and schedules another one or fails the request.
void
gateway_attempt_failed(struct gateway_request *q, enum balancer_outcome how,
    enum verdict verdict, const char *why)
{
	gateway_attempt_record_failure(q, how, verdict, why);
	if (!gateway_retry(q))
		gateway_give_up(q, why);
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

/// Whether the next attempt's server is told an event to go on after.
///
/// @param after  receives its id; 0 if there is none
static bool
resumes_after(const struct gateway_request *q, uint64_t *after)
{
	*after = q->events != NULL ? evstream_last_id(q->events) : 0;
	if (*after == 0 && q->call.resumes)
		*after = q->call.last_event;
	return *after > 0 || q->call.resumes;
}

/// What the gateway that an attempt goes through is told of it.
static const char *
relay_mode(const struct gateway_request *q)
{
	if (fleetcfg_is_retryable(q->route))
		return q->events != NULL ? API_RELAY_STREAM : API_RELAY_PLAIN;
	return q->events != NULL ? API_RELAY_STREAM_ONCE : API_RELAY_PLAIN_ONCE;
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
	uint64_t after;

	api_headers_truncate(h, q->n_headers);
	api_headers_addf(h, API_HDR_DEADLINE, "%" PRIu64, MAX(left_ms, 1));
	api_headers_add(h, API_HDR_EXPECT_INSTANCE, s->instance.id);
	if (q->customer != NULL)
		api_headers_add(h, API_HDR_CUSTOMER, q->customer->name);
	if (q->via != 0)
		api_headers_add(h, API_HDR_RELAY, relay_mode(q));
	set_fetch(q);
	if (resumes_after(q, &after))
		api_headers_addf(h, API_HDR_LAST_EVENT, "%" PRIu64, after);
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
	q->n_relays = 0;
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
		.on_head = gateway_on_head,
		.on_data = q->events != NULL ? gateway_on_data : NULL,
		.on_end = gateway_on_end,
		.arg = q,
	};
	char parts[GATEWAY_PARTS_TEXT_BYTES];
	char via[INSTANCE_HOST_BYTES];
	uint64_t after;

	if (gateway_relay_choose(q, s, via)) {
		call.host = via;
		call.port = gateway_relay_port(g);
	}
	set_headers(q, s, now_us);
	gateway_parts_text(q, parts, sizeof(parts));
	call.extra_headers = api_headers_array(q->headers);
	call.n_extra_headers = api_headers_count(q->headers);
	(void)resumes_after(q, &after);
	logger_event(LOGGER_INFO, "attempt.sent",
	    "request=%s attempt=%u server=%s after=%" PRIu64
	    " recompute=%u queue=%.0f parts=%s",
	    q->call.id, q->n_sent, s->instance.id, after,
	    q->choice.recompute_tokens, q->choice.queue_tokens, parts);
	q->call_handle = httpc_send(g->http, &call);
	if (q->call_handle == HANDLE_NONE) {
		gateway_attempt_failed(
		    q, BALANCER_FAILED, VERDICT_NOT_RUN, "can't be sent");
		return;
	}
	gateway_service_load(g, q->service->name)->running++;
	if (q->head_sent)
		gateway_arm_stall_timer(q);
	else
		timerq_arm(q->timer,
		    MAX(gateway_attempt_deadline_us(q, now_us), now_us));
}

/// Sends the attempt again, through another gateway: the first one hasn't sent
/// it to the server.
void
gateway_send_again(struct gateway_request *q)
{
	struct gateway *g = q->gateway;
	const struct gateway_server *s =
	    g_hash_table_lookup(g->servers, q->server);

	q->awaits_relay = false;
	if (s == NULL)
		gateway_attempt_failed(
		    q, BALANCER_FAILED, VERDICT_NOT_RUN, "the server is gone");
	else
		send_to(q, s, loop_now_us(g->loop));
}

/// The attempt in flight has had no response for too long.
static void
on_silent(const struct gateway_request *q)
{
	if (q->via == 0)
		gateway_reach_silent(q->gateway, q->server);
	else
		gateway_relay_avoid(q);
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
	on_silent(q);
	httpc_cancel(q->gateway->http, q->call_handle);
	gateway_attempt_record_failure(q, BALANCER_TIMED_OUT,
	    VERDICT_MAY_HAVE_RUN, "no response for too long");
	gateway_retry_arm(q, at_us);
	return true;
}

/// The timer of the attempt in flight has expired.
static void
abandon_attempt(struct gateway_request *q)
{
	if (abandon_if_silent(q))
		return;
	if (!q->protocol_error)
		on_silent(q);
	httpc_cancel(q->gateway->http, q->call_handle);
	gateway_attempt_failed(q, BALANCER_TIMED_OUT, VERDICT_MAY_HAVE_RUN,
	    q->protocol_error ? "the response can't be read"
			      : "no answer in time");
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
