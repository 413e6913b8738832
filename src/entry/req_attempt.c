#include "entry/entry_internal.h"

#include <stdlib.h>
#include <string.h>

/// An attempt is aborted when the runner sends nothing for this many times the
/// target of the route, and at least for the minimum below.
#define REQ_STALL_FACTOR 8
#define REQ_STALL_MIN_US (1 * USEC_PER_SEC)
#define REQ_FIRST_STALL_MIN_US (3 * USEC_PER_SEC)
#define REQ_NO_SERVER_WAIT_US (50 * USEC_PER_MSEC)
#define REQ_DISCONNECT_COUNT_US (2 * USEC_PER_SEC)

/// Aborts the attempt in flight, if there is one.
///
/// @param how  outcome that routing records
void
req_abort_attempt(struct req *q, enum balancer_outcome how)
{
	struct entry *e = q->entry;

	timerq_disarm(q->timer);
	req_migrate_cancel(q);
	if (q->http_call != HANDLE_NONE)
		httpc_cancel(e->http, q->http_call);
	q->http_call = HANDLE_NONE;
	if (q->dispatch != HANDLE_NONE)
		balancer_end(e->router, loop_now_us(e->loop), q->dispatch, how,
		    q->attempt_tokens, UINT32_MAX);
	q->dispatch = HANDLE_NONE;
}

static uint64_t
stall_timeout_us(const struct req *q)
{
	const bool before_first = q->attempt_tokens == 0;
	const uint64_t target_ms =
	    before_first ? q->route.first_token_ms : q->route.between_tokens_ms;
	const uint64_t minimum_us =
	    before_first ? REQ_FIRST_STALL_MIN_US : REQ_STALL_MIN_US;

	return MAX(target_ms * USEC_PER_MSEC * REQ_STALL_FACTOR, minimum_us);
}

static void
arm_stall_timer(struct req *q)
{
	const uint64_t now = loop_now_us(q->entry->loop);
	uint64_t at = q->deadline_us;

	if (q->kind == SPEC_SERVER_RUNNER)
		at = MIN(at, now + stall_timeout_us(q));
	timerq_arm(q->timer, MAX(at, now));
}

/// Records the first token of an attempt. Admission and the metric of the time
/// to first token count only the first one of the request.
static void
record_ttft(struct req *q)
{
	struct entry *e = q->entry;
	const uint64_t now = loop_now_us(e->loop);

	q->first_token_us = now;
	balancer_first_token(e->router, now, q->dispatch);
	if (q->had_first_token)
		return;
	q->had_first_token = true;
	admit_first_token(
	    entry_pool(e, q->route.pool)->admission, now, q->admission_ticket);
	metrics_observe(e->ttft_hist, now - q->arrived_us);
}

static void
on_stream_event(void *arg, const struct assembler_event *ev)
{
	struct req *q = arg;
	struct entry *e = q->entry;
	const uint64_t now = loop_now_us(e->loop);

	switch (ev->kind) {
	case ASSEMBLER_TOKEN:
		if (q->attempt_tokens == 0) {
			record_ttft(q);
		} else {
			metrics_observe(
			    e->inter_token_hist, now - q->last_token_us);
			q->inter_token_sum_us += now - q->last_token_us;
		}
		q->attempt_tokens++;
		q->last_token_us = now;
		e->n_tokens->value++;
		req_on_token(q, ev);
		break;
	case ASSEMBLER_COMPLETE:
		q->complete = true;
		q->end_event = *ev;
		(void)g_strlcpy(q->finish_reason, ev->complete.finish_reason,
		    sizeof(q->finish_reason));
		break;
	case ASSEMBLER_PROTOCOL_ERROR:
		q->stream_failed = true;
		// The connection is up, but the stream's data is invalid.
		logger_event(LOGGER_WARN, "stream.broken",
		    "request=%s attempt=%u server=%s reason=\"%s\"", q->id,
		    q->attempt, q->target.server, ev->reason);
		break;
	case ASSEMBLER_DROPPED:
		e->n_dropped_chunks->value++;
		logger_event(LOGGER_DEBUG, "stream.dropped",
		    "request=%s attempt=%u reason=\"%s\"", q->id, q->attempt,
		    ev->reason);
		break;
	}
}

/// Whether a connection that broke counts in the rollout stats of the version:
/// once per server and REQ_DISCONNECT_COUNT_US, since the loss of one VM breaks
/// many, and not for a draining server.
static bool
disconnect_counts(struct req *q)
{
	struct entry *e = q->entry;
	struct entry_poller *p =
	    g_hash_table_lookup(e->pollers, q->target.server);
	const uint64_t now = loop_now_us(e->loop);

	if (p == NULL ||
	    balancer_is_draining(e->router, q->target.choice.server, NULL))
		return false;
	if (now < p->disconnects_count_after_us)
		return false;
	p->disconnects_count_after_us = now + REQ_DISCONNECT_COUNT_US;
	return true;
}

static void
end_attempt(struct req *q, enum balancer_outcome how, uint32_t cached)
{
	struct entry *e = q->entry;

	timerq_disarm(q->timer);
	req_migrate_cancel(q);
	q->http_call = HANDLE_NONE;
	balancer_end(e->router, loop_now_us(e->loop), q->dispatch, how,
	    q->attempt_tokens, cached);
	q->dispatch = HANDLE_NONE;
}

/// Ends an attempt that gave no complete response; the request goes on to its
/// next attempt or to recording the outcome.
static void
attempt_failed(struct req *q, enum balancer_outcome how, enum verdict verdict)
{
	end_attempt(q, how, UINT32_MAX);
	q->not_sent = verdict == VERDICT_NOT_RUN && how != BALANCER_REFUSED;
	if (how == BALANCER_FAILED && verdict != VERDICT_NOT_RUN &&
	    disconnect_counts(q))
		entry_stats_record(q, true);
	logger_event(LOGGER_INFO, "attempt.failed",
	    "request=%s attempt=%u server=%s verdict=\"%s\"", q->id, q->attempt,
	    q->target.server, verdict_name(verdict));
	if (q->journaled) {
		req_journal_outcome(q, verdict);
		return;
	}
	q->verdict = verdict_merge(q->verdict, verdict);
	req_next_attempt(q);
}

/// Ends the attempt with a response that goes to the caller unchanged: of a
/// service, or a runner's 4xx. A journaled request records it first.
static void
take_backend_response(struct req *q, const struct httpc_result *result)
{
	end_attempt(q,
	    result->http_status >= 500 ? BALANCER_FAILED : BALANCER_DONE,
	    UINT32_MAX);
	q->response_status = result->http_status;
	(void)g_strlcpy(
	    q->response_type, result->content_type, sizeof(q->response_type));
	q->response = g_memdup2(result->body, result->len);
	q->response_len = result->len;
	if (q->journaled)
		req_journal_outcome(q, VERDICT_RAN);
	else
		req_reply_service(q);
}

/// Whether a response of a service leads to another attempt: an idempotent call
/// that the service could not serve. Any other response goes to the caller.
static bool
service_may_retry(const struct req *q, const struct httpc_result *result)
{
	return q->route.idempotent && !q->journaled &&
	    (result->http_status >= 500 || result->http_status == 429) &&
	    q->attempts.n < retry_defaults.max_attempts;
}

/// Ends the attempt at a service, by its response or a failure.
static void
on_service_end(void *arg, const struct httpc_result *result)
{
	struct req *q = arg;

	q->http_call = HANDLE_NONE;
	if (result->status != STATUS_OK)
		attempt_failed(q,
		    result->status == STATUS_TIMEOUT ? BALANCER_TIMED_OUT
						     : BALANCER_FAILED,
		    result->verdict);
	else if (service_may_retry(q, result))
		attempt_failed(q,
		    result->http_status == 429 ? BALANCER_REFUSED
					       : BALANCER_FAILED,
		    result->http_status == 429 ? VERDICT_NOT_RUN
					       : VERDICT_MAY_HAVE_RUN);
	else
		take_backend_response(q, result);
}

static void
on_runner_data(void *arg, const uint8_t *bytes, size_t len)
{
	struct req *q = arg;

	assembler_feed(q->stream, q->attempt, bytes, len, on_stream_event, q);
	if (q->stream_failed) {
		httpc_cancel(q->entry->http, q->http_call);
		attempt_failed(q, BALANCER_FAILED, VERDICT_MAY_HAVE_RUN);
		return;
	}
	arm_stall_timer(q);
}

static void
finish_complete(struct req *q)
{
	struct entry *e = q->entry;

	end_attempt(q, BALANCER_DONE, q->end_event.complete.cached_tokens);
	entry_stats_record(q, false);
	if (q->attempts.n > 1)
		q->recomputed += q->end_event.complete.recomputed_tokens;
	e->n_recomputed->value += q->recomputed;
	if (q->journaled)
		req_journal_outcome(q, VERDICT_RAN);
	else
		req_complete(q);
}

/// Called when the attempt received nothing for too long, or at the deadline.
void
req_stalled(struct req *q)
{
	httpc_cancel(q->entry->http, q->http_call);
	if (q->complete) {
		finish_complete(q);
		return;
	}
	logger_event(LOGGER_WARN, "attempt.stalled",
	    "request=%s attempt=%u server=%s", q->id, q->attempt,
	    q->target.server);
	attempt_failed(q, BALANCER_TIMED_OUT, VERDICT_MAY_HAVE_RUN);
}

/// Ends the attempt at a runner; the stream that came before decides whether it
/// is complete.
static void
on_runner_end(void *arg, const struct httpc_result *result)
{
	struct req *q = arg;

	q->http_call = HANDLE_NONE;
	if (q->complete) {
		finish_complete(q);
		return;
	}
	if (result->status != STATUS_OK) {
		attempt_failed(q, BALANCER_FAILED, result->verdict);
		return;
	}
	// The runner is busy, or doesn't have the version loaded (any more).
	if (result->http_status == 429 || result->http_status == 404) {
		attempt_failed(q, BALANCER_REFUSED, VERDICT_NOT_RUN);
		return;
	}
	if (result->http_status >= 500)
		entry_stats_record(q, true);
	if (result->http_status >= 400 && result->http_status < 500) {
		take_backend_response(q, result);
		return;
	}
	attempt_failed(q, BALANCER_FAILED, VERDICT_MAY_HAVE_RUN);
}

/// Body for a runner: the caller's with the version to run, and streaming on.
///
/// @return text to be released with free()
static char *
runner_body(const struct req *q)
{
	json_t *o = json_copy(q->json);
	char *text;

	(void)json_object_set_new(o, "model", json_string(q->target.version));
	(void)json_object_set_new(o, "stream", json_true());
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

static void
send_to_runner(struct req *q, uint32_t resume_from)
{
	char attempt[16];
	char resume[16];
	char priority[16];
	char *body = runner_body(q);
	const struct httpc_request call = {
		.method = "POST",
		.host = q->target.host,
		.port = q->target.port,
		.path = json_object_get(q->json, "prompt") != NULL ?
		    "/v1/completions" :
		    "/v1/chat/completions",
		.headers = {
			{ "Content-Type", "application/json" },
			{ "X-Request-Id", q->id },
			{ "X-Attempt", attempt },
			{ "X-Priority", priority },
			{ "X-Resume-From", resume },
		},
		.body = (const uint8_t *)body,
		.len = strlen(body),
		.on_data = on_runner_data,
		.on_end = on_runner_end,
		.arg = q,
	};

	(void)g_snprintf(attempt, sizeof(attempt), "%u", q->attempt);
	(void)g_snprintf(resume, sizeof(resume), "%u", resume_from);
	(void)g_snprintf(priority, sizeof(priority), "%u", q->route.priority);
	q->http_call = httpc_send(q->entry->http, &call);
	free(body);
}

static void
send_to_service(struct req *q)
{
	char attempt[16];
	const struct httpc_request call = {
		.method = "POST",
		.host = q->target.host,
		.port = q->target.port,
		.path = q->route.path,
		.headers = {
			{ "Content-Type", q->content_type },
			{ "X-Request-Id", q->id },
			{ "X-Attempt", attempt },
		},
		.body = q->body,
		.len = q->len,
		// The server may close a reused connection while a request is
		// sent over it, which leaves its outcome unknown.
		.new_connection = !q->route.idempotent,
		.on_end = on_service_end,
		.arg = q,
	};

	(void)g_snprintf(attempt, sizeof(attempt), "%u", q->attempt);
	q->http_call = httpc_send(q->entry->http, &call);
}

/// Picks a version by the hash of the request. After an attempt that may have
/// run and failed, the baseline version is used.
static void
pick_version(const struct req *q, struct req_target *out)
{
	const struct entry *e = q->entry;
	const uint64_t pool = rollout_key(q->route.pool);
	const uint64_t key = q->attempts.n > 0 && q->verdict != VERDICT_NOT_RUN
	    ? rollout_entry_baseline(e->versions, pool)
	    : rollout_entry_pick(e->versions, pool, q->version_hash);
	const char *name = entry_version_name(e, key);

	(void)g_strlcpy(
	    out->version, name != NULL ? name : "", sizeof(out->version));
}

static void
fill_balancer_request(const struct req *q, const struct req_target *target,
    struct balancer_request *out)
{
	const struct balancer_request request = {
		.pool = q->route.pool,
		.version = target->version,
		.blocks = q->blocks,
		.n_blocks = q->n_blocks,
		.prompt_tokens = q->prompt_tokens,
		.output_tokens = q->output_tokens,
		.priority = q->route.priority,
	};

	*out = request;
}

/// Chooses among the servers that this request has not tried, or among all if
/// there is no other: one that failed may be available again.
static enum status
choose_server(struct req *q, struct req_target *out)
{
	struct entry *e = q->entry;
	const uint64_t now = loop_now_us(e->loop);
	struct balancer_request request;
	enum status status;

	fill_balancer_request(q, out, &request);
	retry_exclude_tried(&q->attempts, &request);
	status = balancer_choose(
	    e->router, now, loop_random(e->loop), &request, &out->choice);
	if (status != STATUS_UNAVAILABLE || request.n_servers == 0)
		return status;
	request.n_servers = 0;
	return balancer_choose(
	    e->router, now, loop_random(e->loop), &request, &out->choice);
}

/// Chooses a server for the next attempt. The hash of the request decides the
/// version; a stream that has delivered tokens keeps its version as long as a
/// server has it loaded.
///
/// @return STATUS_OK with `out` set, else no server is available
enum status
req_pick_server(struct req *q, struct req_target *out)
{
	struct entry *e = q->entry;
	const bool started =
	    q->stream != NULL && assembler_delivered_tokens(q->stream) > 0;
	const struct balancer_server_conf *s;
	const struct catalog_server *conf;
	enum status status = STATUS_NOT_FOUND;

	if (started && q->target.version[0] != '\0') {
		(void)g_strlcpy(
		    out->version, q->target.version, sizeof(out->version));
		status = choose_server(q, out);
	}
	if (status != STATUS_OK) {
		pick_version(q, out);
		status = choose_server(q, out);
	}
	if (status != STATUS_OK)
		return status;
	s = balancer_get(e->router, out->choice.server);
	conf = catalog_server(e->config, s->name);
	if (conf == NULL)
		return status_fail(STATUS_UNAVAILABLE,
		    "the chosen server is not in the configuration");
	(void)g_strlcpy(out->server, s->name, sizeof(out->server));
	(void)g_strlcpy(out->host, conf->spec.host, sizeof(out->host));
	out->port = conf->spec.port;
	return STATUS_OK;
}

static void
begin_dispatch(struct req *q)
{
	struct entry *e = q->entry;
	const uint64_t now = loop_now_us(e->loop);
	struct balancer_request request;

	fill_balancer_request(q, &q->target, &request);
	if (q->attempts.n == 0)
		retry_record_first(
		    e->retries, now, &q->attempts, q->target.choice.server);
	else
		retry_record_attempt(&q->attempts, q->target.choice.server);
	q->dispatch =
	    balancer_begin(e->router, now, &request, &q->target.choice);
	q->sent_us = now;
	q->first_token_us = 0;
	q->attempt_tokens = 0;
	q->stream_failed = false;
	q->not_sent = false;
	q->inter_token_sum_us = 0;
}

/// Sends an attempt to the server chosen before.
void
req_send_picked(struct req *q)
{
	uint32_t resume_from = 0;

	begin_dispatch(q);
	q->state = REQ_RUNNING;
	if (q->stream != NULL)
		resume_from = assembler_begin_attempt(q->stream, q->attempt);
	logger_event(LOGGER_DEBUG, "attempt.sent",
	    "request=%s attempt=%u server=%s version=%s from=%u", q->id,
	    q->attempt, q->target.server, q->target.version, resume_from);
	if (q->kind == SPEC_SERVER_RUNNER)
		send_to_runner(q, resume_from);
	else
		send_to_service(q);
	if (q->http_call == HANDLE_NONE)
		attempt_failed(q, BALANCER_FAILED, VERDICT_NOT_RUN);
	else
		arm_stall_timer(q);
}

/// Chooses a server and sends an attempt there; without one, tries again until
/// the deadline.
void
req_send(struct req *q)
{
	const enum status status = req_pick_server(q, &q->target);

	if (status != STATUS_OK) {
		const uint64_t now = loop_now_us(q->entry->loop);

		if (now >= q->deadline_us) {
			req_fail(
			    q, 503, q->verdict, "no backend server at present");
			return;
		}
		q->state = REQ_BACKOFF;
		timerq_arm(q->timer, now + REQ_NO_SERVER_WAIT_US);
		return;
	}
	q->attempt++;
	req_send_picked(q);
}
