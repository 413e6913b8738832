#ifndef ROUTE_ADMIT_H
#define ROUTE_ADMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/slotmap.h"

/// Admission of requests before one pool, and customers' fair shares: a core
/// without I/O. Work is counted in tokens. A request is started at once,
/// queued, or refused early and cheaply; a refused one was not run.
///
/// The caller offers a request; if it is queued, admit_next() gives it back
/// when it may start or must be refused. Call admit_next() until ADMIT_NOTHING
/// after each offer and end and at admit_next_wake_us().

struct admit;

enum admit_action {
	ADMIT_NOTHING, ///< Of admit_next(): no queued request has to be
		       ///< handled.
	ADMIT_START,  ///< Send it now; admit_end() later.
	ADMIT_QUEUED, ///< Keep it; admit_next() will name its ticket.
	ADMIT_REFUSE, ///< Not run; the ticket is gone.
};

enum admit_reason {
	ADMIT_OK,
	ADMIT_WAIT,        ///< Queued behind others.
	ADMIT_TOO_LATE,    ///< It can't be answered in time: 503.
	ADMIT_OVER_SHARE,  ///< Its customer is over its share: 429.
	ADMIT_NO_CAPACITY, ///< No backend server: 503.
};

struct admit_request {
	const char *customer;
	uint32_t priority;      ///< 0 first, up to 9.
	uint32_t tokens;        ///< Expected: prompt to compute and output.
	uint32_t output_tokens; ///< Of them, those not done at the first token.
	uint64_t latest_start_us; ///< Time by which it must start: now plus
				  ///< its target, less the first_token_us that
				  ///< balancer_choose() expects.
	uint64_t first_token_us;  ///< Target, from the offer to the first
				  ///< token; 0: it doesn't size the window.
	uint64_t tag;             ///< The caller's own.
};

struct admit_decision {
	enum admit_action action;
	enum admit_reason reason;
	handle_t ticket;
	uint64_t tag;
	uint64_t wait_us;        ///< Estimated wait in the queue.
	uint32_t retry_after_ms; ///< When refused.
};

struct admit_params {
	uint32_t window_tokens; ///< First size of the window of work started
				///< and not ended.
	uint32_t min_window_tokens;
	uint32_t max_window_tokens;
	uint32_t max_queued;
	uint64_t max_wait_us;          ///< When the request sets no limit.
	uint32_t priority_lead_tokens; ///< Lead of a priority over the next.
	uint32_t burst_tokens;   ///< Work that a customer who has been idle
				 ///< may bring before its share counts.
	uint32_t growth_percent; ///< Of the window, after a good round,
	uint32_t shrink_percent; ///< and after a bad one.
	uint32_t miss_percent;   ///< A round with more first tokens above the
				 ///< target is bad, with under half it is good.
	uint32_t round_samples;  ///< First tokens in a round, at least.
	uint64_t round_us;
};

extern const struct admit_params admit_defaults;

struct admit *admit_new(const struct admit_params *params);
void admit_free(struct admit *a);

/// Weight of a customer; those not set have weight 1.
void admit_set_customer(struct admit *a, const char *name, uint32_t weight);

/// Whether any backend server can take work; without one all are refused.
void admit_set_available(struct admit *a, bool available);

void admit_offer(struct admit *a, uint64_t now_us,
    const struct admit_request *ask, struct admit_decision *out);
void admit_next(struct admit *a, uint64_t now_us, struct admit_decision *out);

/// The caller left while its request was queued.
void admit_cancel(struct admit *a, uint64_t now_us, handle_t ticket);

/// First token (or head of the answer) of a started request.
void admit_first_token(struct admit *a, uint64_t now_us, handle_t ticket);

/// End of a started request. `tokens` is what it really cost; `overloaded`
/// when the backend server refused it, failed it for overload, or was too
/// slow between tokens.
void admit_end(struct admit *a, uint64_t now_us, handle_t ticket,
    uint32_t tokens, bool overloaded);

/// Next time at which admit_next() has something to do; UINT64_MAX: none.
uint64_t admit_next_wake_us(const struct admit *a);

struct admit_stats {
	uint64_t window_tokens;
	uint64_t started_tokens; ///< In flight.
	uint64_t queued_tokens;
	uint32_t queued;
	double tokens_per_s; ///< Observed.
	uint64_t refused;
};

void admit_stats(const struct admit *a, struct admit_stats *out);

#endif
