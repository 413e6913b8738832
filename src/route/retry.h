#ifndef ROUTE_RETRY_H
#define ROUTE_RETRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/slotmap.h"
#include "base/rnd.h"
#include "base/verdict.h"
#include "route/balancer.h"

/// Retries and hedged requests under one budget: a core without I/O. In any
/// window the extra attempts are at most a percentage of the requests plus a
/// floor, so that retries can't multiply the load of a failing system.

struct retry;

struct retry_params {
	uint32_t budget_percent; ///< Extra attempts per hundred requests.
	uint32_t budget_floor;   ///< Extra attempts allowed in any window.
	uint64_t window_us;
	uint32_t max_attempts; ///< Of one request, the first included.
	/// Limit of the first backoff; doubles with each attempt up to
	/// backoff_max_us. The wait is random between 0 and the limit.
	uint64_t backoff_us;
	uint64_t backoff_max_us;
	double hedge_quantile; ///< Hedge calls slower than this quantile of
			       ///< their route's latencies.
	uint32_t hedge_min_samples; ///< Latencies needed before hedging.
};

extern const struct retry_params retry_defaults;

/// Attempts of one request; the caller keeps it with the request.
struct retry_history {
	uint32_t n;         ///< Attempts made so far.
	uint32_t n_servers; ///< Servers tried, newest last.
	handle_t servers[BALANCER_MAX_EXCLUDED];
	bool hedged; ///< A hedge was sent; there is at most one.
};

enum retry_reason {
	RETRY_ALLOWED,
	RETRY_UNSAFE,       ///< Another attempt could run it twice.
	RETRY_MAX_ATTEMPTS, ///< max_attempts were made.
	RETRY_NO_BUDGET,    ///< The budget is spent.
	RETRY_NO_TIME,      ///< The retry would start after the deadline.
	RETRY_NO_HEDGE,     ///< Not idempotent, streamed, or hedged before.
};

struct retry_failure {
	enum verdict verdict;
	bool idempotent;
	bool not_sent;           ///< No server can have received the attempt.
	uint64_t deadline_us;    ///< Of the caller, as a time; 0: none.
	uint64_t retry_after_us; ///< Requested by the server; 0: none.
};

struct retry_decision {
	bool allowed; ///< The extra attempt is allowed.
	enum retry_reason reason;
	uint64_t send_at_us; ///< When to send it, if allowed.
};

struct retry *retry_new(const struct retry_params *params);
void retry_free(struct retry *t);

/// Records a request's first attempt; the budget grows with it.
void retry_record_first(struct retry *t, uint64_t now_us,
    struct retry_history *attempts, handle_t server);

/// Decides whether a failed request is sent again, and when. Allowing it spends
/// budget, unless no server received the failed attempt: the retry then adds no
/// load. Call retry_record_attempt() when it is sent.
struct retry_decision retry_decide(struct retry *t, uint64_t now_us,
    struct rnd *rnd, const struct retry_history *attempts,
    const struct retry_failure *failure);

/// When to hedge a call, that is to send a second attempt if it has no response
/// by then.
///
/// @param route     the route whose latencies count
/// @param streamed  the call's response is streamed
/// @return a time; UINT64_MAX: never, as for a call that is streamed or not
///         idempotent, or when the route has too few latencies
uint64_t retry_hedge_at(const struct retry *t, uint64_t sent_us,
    const char *route, bool idempotent, bool streamed);

/// Decides whether a hedge is sent now; allowing it spends budget. Call
/// retry_record_attempt() when it is sent.
struct retry_decision retry_hedge(struct retry *t, uint64_t now_us,
    struct retry_history *attempts, bool idempotent, bool streamed);

/// Records that an extra attempt was sent to a server.
void retry_record_attempt(struct retry_history *attempts, handle_t server);

/// Records the latency of a call that got a response, for hedging.
void retry_record_latency(
    struct retry *t, const char *route, uint64_t latency_us);

/// Excludes the servers tried so far from the choice for a request.
void retry_exclude_tried(
    const struct retry_history *attempts, struct balancer_request *request);

struct retry_stats {
	uint64_t requests;       ///< In the window.
	uint64_t extra_attempts; ///< Retries and hedges in the window.
	uint64_t budget_denials; ///< Since the start.
};

void retry_stats(struct retry *t, uint64_t now_us, struct retry_stats *out);

#endif
