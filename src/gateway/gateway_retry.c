#include "gateway/gateway_internal.h"

/// Attempts that didn't run may be followed by others up to this many.
#define GATEWAY_MAX_SENT 4
/// An answer that may be asked for twice is waited for so many times as long as
/// it should take, if so many are left then.
#define GATEWAY_SILENT_TIMES 2
#define GATEWAY_SILENT_LEFT_TIMES 1

/// No further attempt: the answer says whether the request may have run.
void
gateway_give_up(struct gateway_request *q, const char *why)
{
	const uint64_t now = loop_now_us(q->gw->loop);

	if (q->verdict == VERDICT_NOT_RUN)
		gateway_fail(q, 503, gateway_retry_after(q), why);
	else
		gateway_fail(q, now >= q->give_up_us ? 504 : 502, 0, why);
}

/// Whether the verdicts so far and the route allow another attempt.
bool
gateway_can_retry(const struct gateway_request *q, const char **why)
{
	if (q->verdict != VERDICT_NOT_RUN && !fleetcfg_is_retryable(q->route))
		*why = "it may have run";
	else if (q->ran >= MAX(q->route->max_attempts, 1))
		*why = "all attempts of the route were made";
	else if (q->sent >= GATEWAY_MAX_SENT + q->ran)
		*why = "too many servers refused it";
	else
		return true;
	return false;
}

/// Decides on another attempt after one that ended, or that is to be ended,
/// with a verdict.
///
/// @return false when there is none: the reason is logged
bool
gateway_retry_plan(
    struct gateway_request *q, enum verdict verdict, uint64_t *at_us)
{
	struct gateway *g = q->gw;
	const uint64_t now = loop_now_us(g->loop);
	const struct retry_failure failure = {
		.verdict = verdict,
		.idempotent = fleetcfg_is_retryable(q->route),
		.unsent = q->unsent,
		.deadline_us = q->started ? UINT64_MAX : q->give_up_us,
	};
	const char *no = "the time is over";
	struct retry_decision d = { .go = false };

	if ((q->started || now < q->give_up_us) && gateway_can_retry(q, &no)) {
		d = retry_decide(
		    gateway_service_load(g, q->service->name)->retries, now,
		    loop_random(g->loop), &q->attempts, &failure);
		no = d.reason == RETRY_NO_BUDGET ? "the retry budget is spent"
						 : "the time is over";
	}
	if (!d.go) {
		logger_event(LOGGER_INFO, "attempt.last",
		    "request=%s reason=\"%s\"", q->call.id, no);
		return false;
	}
	*at_us = MAX(d.at_us, now);
	return true;
}

/// Arms the attempt that was decided on.
void
gateway_retry_arm(struct gateway_request *q, uint64_t at_us)
{
	q->gw->n_retries->n++;
	if (q->started)
		q->gw->n_resumed->n++;
	timerq_arm(q->timer, at_us);
}

/// Arms another attempt after one that ended.
bool
gateway_retry(struct gateway_request *q)
{
	uint64_t at_us;

	if (!gateway_retry_plan(q, q->verdict, &at_us))
		return false;
	gateway_retry_arm(q, at_us);
	return true;
}

/// How long an answer, or the first event of a stream, should take: what the
/// route aims at, and the prompts that the server has to read before it.
static uint64_t
usual_us(const struct gateway_request *q)
{
	const struct gateway_service_load *l =
	    gateway_service_load(q->gw, q->service->name);
	const double tokens =
	    q->choice.queue_tokens + q->choice.recompute_tokens;
	const uint64_t target = (uint64_t)q->route->target_ms * USEC_PER_MSEC;

	if (q->events == NULL || l->tokens_per_ms <= 0)
		return target;
	return target + (uint64_t)(tokens / l->tokens_per_ms * USEC_PER_MSEC);
}

/// When an attempt without an answer is left: once, if the request may be
/// repeated and another server has the time for it, else when its time is over.
uint64_t
gateway_attempt_deadline_us(const struct gateway_request *q, uint64_t now_us)
{
	const uint64_t usual = usual_us(q);
	const uint64_t at = now_us + GATEWAY_SILENT_TIMES * usual;

	if (!fleetcfg_is_retryable(q->route) || q->ran > 0 ||
	    q->route->max_attempts < 2 || usual == 0 ||
	    at + GATEWAY_SILENT_LEFT_TIMES * usual > q->give_up_us)
		return q->give_up_us;
	return at;
}
