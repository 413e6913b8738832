#ifndef ROUTE_RT_H
#define ROUTE_RT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/slotmap.h"
#include "base/rnd.h"
#include "base/verdict.h"
#include "route/ro.h"

/// Retries and hedges under one budget: a core without I/O. Over any window
/// the extra attempts are at most a percentage of the requests plus a floor,
/// whatever fails.

struct rt;

struct rt_params {
	uint32_t budget_percent; ///< Extra attempts per hundred requests.
	uint32_t budget_floor;   ///< Extra attempts allowed in any window.
	uint64_t window_us;
	uint32_t max_attempts;   ///< Of one request, the first included.
	uint64_t backoff_us;     ///< Doubles with each attempt,
	uint64_t backoff_max_us; ///< up to this; jitter over the whole.
	double hedge_quantile;   ///< Of latencies seen, after which to hedge.
	uint32_t hedge_min_samples;
};

extern const struct rt_params rt_defaults;

/// Attempts of one request, kept by the caller beside the request.
struct rt_attempts {
	uint32_t n;         ///< Made so far.
	uint32_t n_servers; ///< Servers tried, newest last.
	handle_t servers[RO_MAX_EXCLUDED];
	bool hedged;
};

enum rt_reason {
	RT_OK,
	RT_VERDICT,    ///< Another attempt could run it twice.
	RT_ATTEMPTS,   ///< Enough were made.
	RT_BUDGET,     ///< The budget is spent.
	RT_DEADLINE,   ///< No time is left.
	RT_NOT_HEDGED, ///< Not idempotent, streamed, or hedged before.
};

struct rt_failure {
	enum verdict verdict;
	bool idempotent;
	bool unsent;             ///< No server can have got the attempt.
	uint64_t deadline_us;    ///< Of the caller; 0: none.
	uint64_t retry_after_us; ///< The server's own word; 0: none.
};

struct rt_decision {
	bool go;
	enum rt_reason reason;
	uint64_t at_us; ///< When to send, if go.
};

struct rt *rt_new(const struct rt_params *params);
void rt_free(struct rt *t);

/// Takes note of a request's first attempt; the budget grows with it.
void rt_first(struct rt *t, uint64_t now_us, struct rt_attempts *attempts,
    handle_t server);

/// Whether a failed request is sent again, and when. A go spends budget, but
/// for an attempt that no server got: the next one then adds no load to that of
/// the first. Call rt_sent() when it goes out.
struct rt_decision rt_retry(struct rt *t, uint64_t now_us, struct rnd *rnd,
    const struct rt_attempts *attempts, const struct rt_failure *failure);

/// When to send a second attempt of a slow call: UINT64_MAX for never.
/// `route` names whose latencies count.
uint64_t rt_hedge_at(const struct rt *t, uint64_t sent_us, const char *route,
    bool idempotent, bool streamed);

/// Asks for the hedge at its time; a go spends budget.
struct rt_decision rt_hedge(struct rt *t, uint64_t now_us,
    struct rt_attempts *attempts, bool idempotent, bool streamed);

/// Takes note that an extra attempt went to a server.
void rt_sent(struct rt_attempts *attempts, handle_t server);

/// Latency of a call that was answered, for hedging.
void rt_latency(struct rt *t, const char *route, uint64_t latency_us);

/// Excludes the servers tried so far from a choice.
void rt_exclude(const struct rt_attempts *attempts, struct ro_ask *ask);

struct rt_view {
	uint64_t requests; ///< In the window.
	uint64_t extra;    ///< Retries and hedges in the window.
	uint64_t denied;   ///< By the budget, since the start.
};

void rt_view(struct rt *t, uint64_t now_us, struct rt_view *out);

#endif
