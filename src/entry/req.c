#include "base/inv.h"
#include "entry/entry_internal.h"

#include <stdlib.h>
#include <string.h>

/// A plain service's call counts as so many tokens at admission.
#define REQ_SERVICE_TOKENS 16
/// Resumes of one stream, each after the loss of a backend server. They are
/// not under the retry budget: they go on with work already admitted.
#define REQ_MAX_RESUMES 8
/// A request may wait for this part of its target at least.
#define REQ_LEAST_WAIT_PART 4
#define REQ_NO_SERVER_WAIT_US (50 * USEC_PER_MSEC)
#define REQ_REOFFER_US (200 * USEC_PER_MSEC)

static void
on_timer(void *arg, uint64_t now_us)
{
	struct req *q = arg;

	switch (q->state) {
	case REQ_BACKOFF:
		if (q->started)
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

/// Makes a request.
///
/// @param caller  HANDLE_NONE when nobody waits for it here
struct req *
req_new(struct entry *e, handle_t caller)
{
	struct req *q;
	void *item;
	const handle_t self = slotmap_add(e->requests, &item);

	q = item;
	q->en = e;
	q->self = self;
	q->verdict = VERDICT_NOT_RUN;
	q->timer = timerq_timer_new(loop_timers(e->loop), on_timer, q);
	req_set_caller(q, caller);
	return q;
}

/// Gives a request another id: the caller hears of the earlier request whose
/// key it used again.
void
req_set_id(struct req *q, const char *id)
{
	struct entry *e = q->en;

	// The table's key is the id itself, which is about to change.
	if (g_hash_table_lookup(e->by_id, q->id) == q)
		(void)g_hash_table_remove(e->by_id, q->id);
	(void)g_strlcpy(q->id, id, sizeof(q->id));
}

/// Says who waits for the answer; HANDLE_NONE: nobody any more.
void
req_set_caller(struct req *q, handle_t caller)
{
	struct entry *e = q->en;

	if (q->caller != HANDLE_NONE)
		(void)g_hash_table_remove(e->by_caller, &q->caller);
	q->caller = caller;
	if (caller != HANDLE_NONE)
		(void)g_hash_table_insert(e->by_caller, &q->caller, q);
}

static void
leave_admission(struct req *q, bool overloaded)
{
	struct entry *e = q->en;
	struct entry_pool *pool = entry_pool(e, q->route.pool);
	const uint64_t now = loop_now_us(e->loop);

	if (q->ticket == HANDLE_NONE)
		return;
	if (q->started)
		admit_end(pool->admission, now, q->ticket,
		    q->prompt_tokens + q->attempt_tokens, overloaded);
	else
		admit_cancel(pool->admission, now, q->ticket);
	q->ticket = HANDLE_NONE;
	timerq_arm_in(pool->wake, 0);
}

/// Releases a request and all that it holds. Its caller must have been
/// answered or be gone.
void
req_free(struct req *q)
{
	struct entry *e = q->en;

	req_abort_attempt(q, BALANCER_CANCELLED);
	leave_admission(q, false);
	req_set_caller(q, HANDLE_NONE);
	if (g_hash_table_lookup(e->by_id, q->id) == q)
		(void)g_hash_table_remove(e->by_id, q->id);
	inv_check(g_hash_table_size(e->by_id) < slotmap_count(e->requests),
	    "entry.each_request_known_once", "request=%s known=%u open=%zu",
	    q->id, g_hash_table_size(e->by_id), slotmap_count(e->requests));
	timerq_timer_free(q->timer);
	assembler_free(q->stream);
	json_decref(q->json);
	if (q->text != NULL)
		(void)g_string_free(q->text, TRUE);
	g_free(q->body);
	g_free(q->blocks);
	g_free(q->answer);
	slotmap_remove(e->requests, q->self);
}

/// Ends a request that failed: tells the caller and releases it. A stream
/// that was begun ends with an error and no end marker.
///
/// @param verdict  whether it may have run
void
req_fail(struct req *q, int status, enum verdict verdict, const char *message)
{
	struct entry *e = q->en;
	const handle_t caller = q->caller;
	const struct slo_request level = {
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
		e->n_refused->n++;
	else
		e->n_failed->n++;
	slo_record(e->levels, &level);
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
refuse(struct req *q, const struct admit_decision *d)
{
	q->ticket = HANDLE_NONE;
	// A request that nobody waits for was accepted before: it stays.
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
take_decision(struct req *q, const struct admit_decision *d)
{
	switch (d->action) {
	case ADMIT_START:
		q->ticket = d->ticket;
		q->started = true;
		req_start(q);
		break;
	case ADMIT_QUEUED:
		q->ticket = d->ticket;
		q->state = REQ_QUEUED;
		break;
	case ADMIT_REFUSE:
		refuse(q, d);
		break;
	case ADMIT_NOTHING:
		break;
	}
}

/// Lets queued requests of a pool go on, as far as its admission allows.
void
req_admission_wake(struct entry_pool *pool)
{
	struct entry *e = pool->en;
	struct admit_decision d;
	uint64_t wake;

	for (;;) {
		struct req *q;

		admit_next(pool->admission, loop_now_us(e->loop), &d);
		if (d.action == ADMIT_NOTHING)
			break;
		q = slotmap_get(e->requests, d.tag);
		if (q != NULL)
			take_decision(q, &d);
	}
	wake = admit_next_wake_us(pool->admission);
	if (wake != UINT64_MAX)
		timerq_arm(pool->wake, wake);
}

/// What admission has to know. The expected cost and time come from the
/// choice of a server as it would be made now.
static void
make_offer(struct req *q, struct admit_request *out)
{
	const uint64_t now = loop_now_us(q->en->loop);
	const uint64_t target_us = q->route.first_token_ms * USEC_PER_MSEC;
	uint64_t wait_us = target_us;
	struct req_target target;

	memset(out, 0, sizeof(*out));
	out->customer = q->customer;
	out->priority = q->route.priority;
	out->tag = q->self;
	out->tokens = REQ_SERVICE_TOKENS;
	if (q->kind == SPEC_SERVER_RUNNER) {
		out->tokens = q->prompt_tokens + q->output_tokens;
		out->output_tokens = q->output_tokens;
	}
	// Nobody waits for a request that was accepted before.
	if (q->caller == HANDLE_NONE)
		return;
	if (q->kind == SPEC_SERVER_RUNNER)
		out->first_token_us = target_us;
	if (q->kind == SPEC_SERVER_RUNNER &&
	    req_pick_server(q, &target) == STATUS_OK) {
		out->tokens = target.choice.recompute_tokens + q->output_tokens;
		wait_us -= MIN(wait_us, target.choice.first_token_us);
	}
	// A long prompt alone may take the whole target.
	wait_us = MAX(wait_us, target_us / REQ_LEAST_WAIT_PART);
	out->latest_start_us = MIN(q->deadline_us, now + wait_us);
}

/// Offers a request to admission.
void
req_admit(struct req *q)
{
	struct entry *e = q->en;
	struct entry_pool *pool = entry_pool(e, q->route.pool);
	struct admit_request ask;
	struct admit_decision d;

	make_offer(q, &ask);
	admit_offer(pool->admission, loop_now_us(e->loop), &ask, &d);
	take_decision(q, &d);
	req_admission_wake(pool);
}

/// Goes on with a request that admission let through.
void
req_start(struct req *q)
{
	if (q->journaled && !q->accepted)
		req_journal_accept(q);
	else if (q->journaled)
		req_journal_permit(q);
	else
		req_send(q);
}

/// The caller left. An accepted request goes on without it.
void
req_caller_gone(struct req *q)
{
	req_set_caller(q, HANDLE_NONE);
	if (q->journaled && q->state != REQ_QUEUED)
		return;
	logger_event(LOGGER_INFO, "request.caller_gone", "request=%s", q->id);
	req_free(q);
}

static void
wait_until(struct req *q, uint64_t at_us)
{
	q->state = REQ_BACKOFF;
	timerq_arm(q->timer, at_us);
}

/// After an attempt that failed, or when no server was found: tries again,
/// or ends the request with its verdict.
void
req_next_attempt(struct req *q)
{
	struct entry *e = q->en;
	const uint64_t now = loop_now_us(e->loop);
	const uint32_t delivered =
	    q->stream != NULL ? assembler_delivered_tokens(q->stream) : 0;
	const struct retry_failure failure = {
		.verdict = q->verdict,
		.idempotent = q->route.idempotent,
		.unsent = q->unsent,
		.deadline_us = q->deadline_us,
	};
	struct retry_decision d;

	if (now >= q->deadline_us) {
		req_fail(q, 504, q->verdict, "no answer within the deadline");
		return;
	}
	if (q->attempts.n == 0) {
		wait_until(q, now + REQ_NO_SERVER_WAIT_US);
		return;
	}
	if (delivered > 0 && q->attempts.n <= REQ_MAX_RESUMES) {
		e->n_resumed->n++;
		wait_until(q, now);
		return;
	}
	d = retry_decide(
	    e->retries, now, loop_random(e->loop), &q->attempts, &failure);
	if (!d.go) {
		req_fail(q, q->verdict == VERDICT_NOT_RUN ? 503 : 502,
		    q->verdict, "the backend server failed");
		return;
	}
	e->n_retries->n++;
	wait_until(q, d.at_us);
}
