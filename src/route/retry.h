#ifndef ROUTE_RETRY_H
#define ROUTE_RETRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/slotmap.h"
#include "base/rnd.h"
#include "base/verdict.h"
#include "route/balancer.h"

/// Retries and hedges under one budget: a core without I/O. Over any window
/// the extra attempts are at most a percentage of the requests plus a floor,
/// whatever fails.

struct retry;

struct retry_params {
	uint32_t budget_percent; ///< Extra attempts per hundred requests.
	uint32_t budget_floor;   ///< Extra attempts allowed in any window.
	uint64_t window_us;
	uint32_t max_attempts;   ///< Of one request, the first included.
	uint64_t backoff_us;     ///< Doubles with each attempt,
	uint64_t backoff_max_us; ///< up to this; jitter over the whole.
	double hedge_quantile;   ///< Of latencies seen, after which to hedge.
	uint32_t hedge_min_samples;
};

extern const struct retry_params retry_defaults;

/// Attempts of one request, kept by the caller beside the request.
struct retry_history {
	uint32_t n;         ///< Made so far.
	uint32_t n_servers; ///< Servers tried, newest last.
	handle_t servers[BALANCER_MAX_EXCLUDED];
	bool hedged;
};

enum retry_reason {
	RETRY_ALLOWED,
	RETRY_UNSAFE,       ///< Another attempt could run it twice.
	RETRY_MAX_ATTEMPTS, ///< Enough were made.
	RETRY_NO_BUDGET,    ///< The budget is spent.
	RETRY_NO_TIME,      ///< No time is left.
	RETRY_NO_HEDGE,     ///< Not idempotent, streamed, or hedged before.
};

struct retry_failure {
	enum verdict verdict;
	bool idempotent;
	bool unsent;             ///< No server can have got the attempt.
	uint64_t deadline_us;    ///< Of the caller; 0: none.
	uint64_t retry_after_us; ///< The server's own word; 0: none.
};

struct retry_decision {
	bool go;
	enum retry_reason reason;
	uint64_t at_us; ///< When to send, if go.
};

struct retry *retry_new(const struct retry_params *params);
void retry_free(struct retry *t);

/// Takes note of a request's first attempt; the budget grows with it.
void retry_record_first(struct retry *t, uint64_t now_us,
    struct retry_history *attempts, handle_t server);

/// Whether a failed request is sent again, and when. A go spends budget, but
/// for an attempt that no server got: the next one then adds no load to that of
/// the first. Call retry_record_attempt() when it goes out.
struct retry_decision retry_decide(struct retry *t, uint64_t now_us,
    struct rnd *rnd, const struct retry_history *attempts,
    const struct retry_failure *failure);

/// When to send a second attempt of a slow call: UINT64_MAX for never.
/// `route` names whose latencies count.
uint64_t retry_hedge_at(const struct retry *t, uint64_t sent_us,
    const char *route, bool idempotent, bool streamed);

/// Asks for the hedge at its time; a go spends budget.
struct retry_decision retry_hedge(struct retry *t, uint64_t now_us,
    struct retry_history *attempts, bool idempotent, bool streamed);

/// Takes note that an extra attempt went to a server.
void retry_record_attempt(struct retry_history *attempts, handle_t server);

/// Latency of a call that was answered, for hedging.
void retry_record_latency(
    struct retry *t, const char *route, uint64_t latency_us);

/// Excludes the servers tried so far from a choice.
void retry_exclude_tried(
    const struct retry_history *attempts, struct balancer_request *ask);

struct retry_stats {
	uint64_t requests; ///< In the window.
	uint64_t extra;    ///< Retries and hedges in the window.
	uint64_t denied;   ///< By the budget, since the start.
};

void retry_stats(struct retry *t, uint64_t now_us, struct retry_stats *out);

#endif
