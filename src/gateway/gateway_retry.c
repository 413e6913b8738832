#include "gateway/gateway_internal.h"

/// Most attempts of a request that servers did not run.
#define GATEWAY_MAX_NOT_RUN 4
/// As long as no attempt of a retryable request may have run, the next one
/// times out after this many times the expected time of its response,
#define GATEWAY_TIMEOUT_FACTOR 2
/// if at least this many times the expected time is left for another attempt.
#define GATEWAY_TIME_LEFT_FACTOR 1

/// Fails a request for which there is no further attempt. The status says
/// whether it may have run: 503 if not, else 502, or 504 after the deadline.
void
gateway_give_up(struct gateway_request *q, const char *why)
{
	const uint64_t now = loop_now_us(q->gateway->loop);

	if (q->verdict == VERDICT_NOT_RUN)
		gateway_fail(q, 503, gateway_openq_retry_after(q), why);
	else
		gateway_fail(q, now >= q->deadline_us ? 504 : 502, 0, why);
}

/// Whether the verdicts so far and the route allow another attempt.
///
/// @param why  receives the reason if not, a static string
bool
gateway_can_retry(const struct gateway_request *q, const char **why)
{
	if ((q->verdict != VERDICT_NOT_RUN || q->head_sent) &&
	    !fleetcfg_is_retryable(q->route))
		*why = "it may have run";
	else if (q->n_ran >= MAX(q->route->max_attempts, 1))
		*why = "all attempts of the route were made";
	else if (q->n_sent >= GATEWAY_MAX_NOT_RUN + q->n_ran)
		*why = "too many servers refused it";
	else
		return true;
	return false;
}

/// Decides whether another attempt follows one that has ended, or that is to be
/// ended.
///
/// @param verdict  of that attempt
/// @param at_us    receives the time to send the next one
/// @return false if there is none; the reason is logged
bool
gateway_retry_plan(
    struct gateway_request *q, enum verdict verdict, uint64_t *at_us)
{
	struct gateway *g = q->gateway;
	const uint64_t now = loop_now_us(g->loop);
	const struct retry_failure failure = {
		.verdict = verdict,
		.idempotent = fleetcfg_is_retryable(q->route),
		.not_sent = q->not_sent,
		.deadline_us = q->head_sent ? UINT64_MAX : q->deadline_us,
	};
	const char *reason = "no time is left before the deadline";
	struct retry_decision decision = { .allowed = false };

	if ((q->head_sent || now < q->deadline_us) &&
	    gateway_can_retry(q, &reason)) {
		decision = retry_decide(
		    gateway_service_load(g, q->service->name)->retries, now,
		    loop_random(g->loop), &q->attempts, &failure);
		reason = decision.reason == RETRY_NO_BUDGET
		    ? "the retry budget is spent"
		    : "no time is left before the deadline";
	}
	if (!decision.allowed) {
		logger_event(LOGGER_INFO, "attempt.last",
		    "request=%s reason=\"%s\"", q->call.id, reason);
		return false;
	}
	*at_us = MAX(decision.send_at_us, now);
	return true;
}

/// Schedules the next attempt, and counts it.
void
gateway_retry_arm(struct gateway_request *q, uint64_t at_us)
{
	q->gateway->n_retries->value++;
	if (q->head_sent)
		q->gateway->n_resumed->value++;
	timerq_arm(q->timer, at_us);
}

/// Schedules another attempt after one that has ended.
///
/// @return false if there is none; the reason is logged
bool
gateway_retry(struct gateway_request *q)
{
	uint64_t at_us;

	if (!gateway_retry_plan(q, q->verdict, &at_us))
		return false;
	gateway_retry_arm(q, at_us);
	return true;
}

/// Expected time of a response, or of a stream's first event: the route's
/// target, and for streams the time to compute the prompts that are queued
/// before it and its own.
static uint64_t
expected_us(const struct gateway_request *q)
{
	const struct gateway_service_load *l =
	    gateway_service_load(q->gateway, q->service->name);
	const double tokens =
	    q->choice.queue_tokens + q->choice.recompute_tokens;
	const uint64_t target = (uint64_t)q->route->target_ms * USEC_PER_MSEC;

	if (q->events == NULL || l->tokens_per_ms <= 0)
		return target;
	return target + (uint64_t)(tokens / l->tokens_per_ms * USEC_PER_MSEC);
}

/// When an attempt without a response is given up. That is before the request's
/// deadline only if the request is retryable, no earlier attempt of it may have
/// run, and enough time is left for another server.
uint64_t
gateway_attempt_deadline_us(const struct gateway_request *q, uint64_t now_us)
{
	const uint64_t expected = expected_us(q);
	const uint64_t timeout_at_us =
	    now_us + GATEWAY_TIMEOUT_FACTOR * expected;

	if (!fleetcfg_is_retryable(q->route) || q->n_ran > 0 ||
	    q->route->max_attempts < 2 || expected == 0 ||
	    timeout_at_us + GATEWAY_TIME_LEFT_FACTOR * expected >
		q->deadline_us)
		return q->deadline_us;
	return timeout_at_us;
}
