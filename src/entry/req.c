#include "base/inv.h"
#include "entry/entry_internal.h"

#include <stdlib.h>
#include <string.h>

/// Tokens that a call of a service counts as at admission.
#define REQ_SERVICE_TOKENS 16
/// Most resumes of one stream, each after the loss of a backend server. They
/// don't count against the retry budget: they continue admitted work.
#define REQ_MAX_RESUMES 8
/// A request may wait in the queue for at least 1/REQ_MIN_WAIT_PART of its
/// target for the time to first token.
#define REQ_MIN_WAIT_PART 4
#define REQ_NO_SERVER_WAIT_US (50 * USEC_PER_MSEC)
#define REQ_REOFFER_US (200 * USEC_PER_MSEC)

static void
on_timer(void *arg, uint64_t now_us)
{
	struct req *q = arg;

	switch (q->state) {
	case REQ_BACKOFF:
		if (q->admitted)
			req_start(q);
		else
			req_admit(q);
		break;
	case REQ_QUERYING:
		req_journal_lookup(q);
		break;
	case REQ_RECORDING:
		req_journal_outcome(q, q->outcome);
		break;
	case REQ_ACCEPTING:
		req_journal_accept(q);
		break;
	case REQ_PERMITTING:
		req_journal_permit(q);
		break;
	case REQ_RUNNING:
		req_stalled(q);
		break;
	case REQ_COALESCED:
		req_journal_coalesce(q);
		break;
	case REQ_QUEUED:
	case REQ_CANCELLING:
		break;
	}
	(void)now_us;
}

/// Makes a request; release it with req_free().
///
/// @param caller  HANDLE_NONE when no caller waits for it here
struct req *
req_new(struct entry *e, handle_t caller)
{
	struct req *q;
	void *item;
	const handle_t handle = slotmap_add(e->requests, &item);

	q = item;
	q->entry = e;
	q->handle = handle;
	q->verdict = VERDICT_NOT_RUN;
	q->timer = timerq_timer_new(loop_timers(e->loop), on_timer, q);
	req_set_caller(q, caller);
	return q;
}

/// Changes the id of a request to that of the earlier request with the same
/// idempotency key, whose outcome the caller gets.
void
req_set_id(struct req *q, const char *id)
{
	struct entry *e = q->entry;

	// The table's key is the id itself, which is about to change.
	if (g_hash_table_lookup(e->reqs_by_id, q->id) == q)
		(void)g_hash_table_remove(e->reqs_by_id, q->id);
	(void)g_strlcpy(q->id, id, sizeof(q->id));
}

/// Sets the caller that waits for the response; HANDLE_NONE: none any more.
void
req_set_caller(struct req *q, handle_t caller)
{
	struct entry *e = q->entry;

	if (q->caller != HANDLE_NONE)
		(void)g_hash_table_remove(e->reqs_by_caller, &q->caller);
	q->caller = caller;
	if (caller != HANDLE_NONE)
		(void)g_hash_table_insert(e->reqs_by_caller, &q->caller, q);
}

static void
release_admission(struct req *q, bool overloaded)
{
	struct entry *e = q->entry;
	struct entry_pool *pool = entry_pool(e, q->route.pool);
	const uint64_t now = loop_now_us(e->loop);

	if (q->admission_ticket == HANDLE_NONE)
		return;
	if (q->admitted)
		admit_end(pool->admission, now, q->admission_ticket,
		    q->prompt_tokens + q->attempt_tokens, overloaded);
	else
		admit_cancel(pool->admission, now, q->admission_ticket);
	q->admission_ticket = HANDLE_NONE;
	timerq_arm_in(pool->wake, 0);
}

/// Releases a request and all that it holds. Its caller must have got its
/// response or be gone.
void
req_free(struct req *q)
{
	struct entry *e = q->entry;

	req_abort_attempt(q, BALANCER_CANCELLED);
	release_admission(q, false);
	req_set_caller(q, HANDLE_NONE);
	if (g_hash_table_lookup(e->reqs_by_id, q->id) == q)
		(void)g_hash_table_remove(e->reqs_by_id, q->id);
	inv_check(g_hash_table_size(e->reqs_by_id) < slotmap_count(e->requests),
	    "entry.each_request_known_once", "request=%s known=%u open=%zu",
	    q->id, g_hash_table_size(e->reqs_by_id),
	    slotmap_count(e->requests));
	timerq_timer_free(q->timer);
	assembler_free(q->stream);
	json_decref(q->json);
	if (q->response_text != NULL)
		(void)g_string_free(q->response_text, TRUE);
	g_free(q->body);
	g_free(q->blocks);
	g_free(q->response);
	slotmap_remove(e->requests, q->handle);
}

/// Ends a request that failed: sends the caller the error and releases the
/// request. A stream that was started ends with an error event and no end
/// marker.
///
/// @param status   HTTP status
/// @param verdict  whether the request may have run
void
req_fail(struct req *q, int status, enum verdict verdict, const char *message)
{
	struct entry *e = q->entry;
	const handle_t caller = q->caller;
	const struct slo_request slo = {
		.customer = q->customer,
		.route = q->route.path,
		.version = q->target.version,
		.totals = { .requests = 1, .failed = 1 },
	};
	char quoted[256];

	logger_event(LOGGER_INFO, "request.failed",
	    "request=%s route=%s status=%d verdict=\"%s\" reason=%s", q->id,
	    q->route.path, status, verdict_name(verdict),
	    logger_quote(quoted, sizeof(quoted), message));
	if (verdict == VERDICT_NOT_RUN)
		e->n_refused->value++;
	else
		e->n_failed->value++;
	slo_record(e->slo, &slo);
	req_set_caller(q, HANDLE_NONE);
	if (q->stream_open) {
		json_t *o = json_pack("{s:{s:s, s:s, s:s}}", "error", "message",
		    message, "verdict", verdict_name(verdict), "request_id",
		    q->id);
		char *text = json_dumps(o, JSON_COMPACT);
		char *line = g_strdup_printf("data: %s\n\n", text);

		httpd_stream_data(e->callers, caller, line, strlen(line));
		httpd_stream_end(e->callers, caller);
		g_free(line);
		free(text);
		json_decref(o);
	} else if (caller != HANDLE_NONE) {
		entry_reply_error(e, caller, status, q->id, verdict,
		    status == 503 || status == 429 ? 1 : 0, message);
	}
	req_free(q);
}

static void
refuse_request(struct req *q, const struct admit_decision *d)
{
	q->admission_ticket = HANDLE_NONE;
	// A request without a caller is in the journal: it isn't dropped, but
	// offered again.
	if (q->caller == HANDLE_NONE) {
		q->state = REQ_BACKOFF;
		timerq_arm_in(q->timer, REQ_REOFFER_US);
		return;
	}
	if (d->reason == ADMIT_OVER_SHARE)
		req_fail(q, 429, VERDICT_NOT_RUN, "over the customer's share");
	else if (d->reason == ADMIT_NO_CAPACITY)
		req_fail(
		    q, 503, VERDICT_NOT_RUN, "no backend server at present");
	else
		req_fail(q, 503, VERDICT_NOT_RUN, "can't be answered in time");
}

static void
apply_decision(struct req *q, const struct admit_decision *d)
{
	switch (d->action) {
	case ADMIT_START:
		q->admission_ticket = d->ticket;
		q->admitted = true;
		req_start(q);
		break;
	case ADMIT_QUEUED:
		q->admission_ticket = d->ticket;
		q->state = REQ_QUEUED;
		break;
	case ADMIT_REFUSE:
		refuse_request(q, d);
		break;
	case ADMIT_NOTHING:
		break;
	}
}

/// Starts or refuses queued requests of a pool as its admission decides, and
/// sets the timer for the next decision.
void
req_admission_wake(struct entry_pool *pool)
{
	struct entry *e = pool->entry;
	struct admit_decision d;
	uint64_t wake;

	for (;;) {
		struct req *q;

		admit_next(pool->admission, loop_now_us(e->loop), &d);
		if (d.action == ADMIT_NOTHING)
			break;
		q = slotmap_get(e->requests, d.tag);
		if (q != NULL)
			apply_decision(q, &d);
	}
	wake = admit_next_wake_us(pool->admission);
	if (wake != UINT64_MAX)
		timerq_arm(pool->wake, wake);
}

/// Fills in the request to admission. The expected cost and time to first token
/// come from the server that would be chosen now.
static void
fill_admit_request(struct req *q, struct admit_request *out)
{
	const uint64_t now = loop_now_us(q->entry->loop);
	const uint64_t target_us = q->route.first_token_ms * USEC_PER_MSEC;
	uint64_t wait_us = target_us;
	struct req_target target;

	memset(out, 0, sizeof(*out));
	out->customer = q->customer;
	out->priority = q->route.priority;
	out->tag = q->handle;
	out->tokens = REQ_SERVICE_TOKENS;
	if (q->kind == SPEC_SERVER_RUNNER) {
		out->tokens = q->prompt_tokens + q->output_tokens;
		out->output_tokens = q->output_tokens;
	}
	// Without a caller there is no target to meet.
	if (q->caller == HANDLE_NONE)
		return;
	if (q->kind == SPEC_SERVER_RUNNER)
		out->first_token_us = target_us;
	if (q->kind == SPEC_SERVER_RUNNER &&
	    req_pick_server(q, &target) == STATUS_OK) {
		out->tokens = target.choice.recompute_tokens + q->output_tokens;
		wait_us -= MIN(wait_us, target.choice.first_token_us);
	}
	// Computing a long prompt alone may take the whole target.
	wait_us = MAX(wait_us, target_us / REQ_MIN_WAIT_PART);
	out->latest_start_us = MIN(q->deadline_us, now + wait_us);
}

/// Offers a request to admission.
void
req_admit(struct req *q)
{
	struct entry *e = q->entry;
	struct entry_pool *pool = entry_pool(e, q->route.pool);
	struct admit_request request;
	struct admit_decision d;

	fill_admit_request(q, &request);
	admit_offer(pool->admission, loop_now_us(e->loop), &request, &d);
	apply_decision(q, &d);
	req_admission_wake(pool);
}

/// Starts a request that was admitted: the next step is its record in the
/// journal, the dispatch permit, or sending it.
void
req_start(struct req *q)
{
	if (q->journaled && !q->journal_accepted)
		req_journal_accept(q);
	else if (q->journaled)
		req_journal_permit(q);
	else
		req_send(q);
}

/// The caller disconnected. A journaled request continues without it unless it
/// is still queued; any other is released.
void
req_caller_gone(struct req *q)
{
	req_set_caller(q, HANDLE_NONE);
	if (q->journaled && q->state != REQ_QUEUED)
		return;
	logger_event(LOGGER_INFO, "request.caller_gone", "request=%s", q->id);
	req_free(q);
}

/// Schedules the next attempt.
///
/// @param at_us  on the clock of loop_now_us()
static void
back_off_until(struct req *q, uint64_t at_us)
{
	q->state = REQ_BACKOFF;
	timerq_arm(q->timer, at_us);
}

/// Called after an attempt that failed, or when no server was found: schedules
/// the next attempt, or fails the request with its verdict.
void
req_next_attempt(struct req *q)
{
	struct entry *e = q->entry;
	const uint64_t now = loop_now_us(e->loop);
	const uint32_t delivered =
	    q->stream != NULL ? assembler_delivered_tokens(q->stream) : 0;
	const struct retry_failure failure = {
		.verdict = q->verdict,
		.idempotent = q->route.idempotent,
		.not_sent = q->not_sent,
		.deadline_us = q->deadline_us,
	};
	struct retry_decision d;

	if (now >= q->deadline_us) {
		req_fail(q, 504, q->verdict, "no answer within the deadline");
		return;
	}
	if (q->attempts.n == 0) {
		back_off_until(q, now + REQ_NO_SERVER_WAIT_US);
		return;
	}
	if (delivered > 0 && q->attempts.n <= REQ_MAX_RESUMES) {
		e->n_resumed->value++;
		back_off_until(q, now);
		return;
	}
	d = retry_decide(
	    e->retries, now, loop_random(e->loop), &q->attempts, &failure);
	if (!d.allowed) {
		req_fail(q, q->verdict == VERDICT_NOT_RUN ? 503 : 502,
		    q->verdict, "the backend server failed");
		return;
	}
	e->n_retries->value++;
	back_off_until(q, d.send_at_us);
}
