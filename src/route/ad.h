#ifndef ROUTE_AD_H
#define ROUTE_AD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/slotmap.h"

/// Admission of requests before one pool, and customers' fair shares: a core
/// without I/O. Work is counted in tokens. A request is started at once,
/// queued, or refused early and cheaply; a refused one was not run.
///
/// The caller offers a request; if it is queued, ad_next() gives it back
/// when it may start or must be refused. Call ad_next() until AD_NOTHING
/// after each offer and end and at ad_wake_us().

struct ad;

enum ad_action {
	AD_NOTHING, ///< Of ad_next(): no queued request has to be handled.
	AD_START,   ///< Send it now; ad_end() later.
	AD_QUEUED,  ///< Keep it; ad_next() will name its ticket.
	AD_REFUSE,  ///< Not run; the ticket is gone.
};

enum ad_reason {
	AD_FITS,
	AD_WAIT,        ///< Queued behind others.
	AD_TOO_LATE,    ///< It can't be answered in time: 503.
	AD_OVER_SHARE,  ///< Its customer is over its share: 429.
	AD_NO_CAPACITY, ///< No backend server: 503.
};

struct ad_ask {
	const char *customer;
	uint32_t priority;      ///< 0 first, up to 9.
	uint32_t tokens;        ///< Expected: prompt to compute and output.
	uint32_t output_tokens; ///< Of them, those not done at the first token.
	uint64_t latest_start_us; ///< Time by which it must start: now plus
				  ///< its target, less the first_token_us that
				  ///< ro_choose() expects.
	uint64_t first_token_us;  ///< Target, from the offer to the first
				  ///< token; 0: it doesn't size the window.
	uint64_t tag;             ///< The caller's own.
};

struct ad_decision {
	enum ad_action action;
	enum ad_reason reason;
	handle_t ticket;
	uint64_t tag;
	uint64_t wait_us;        ///< Estimated wait in the queue.
	uint32_t retry_after_ms; ///< When refused.
};

struct ad_params {
	uint32_t window_tokens; ///< First size of the window of work started
				///< and not ended.
	uint32_t min_window_tokens;
	uint32_t max_window_tokens;
	uint32_t max_queued;
	uint64_t max_wait_us;     ///< When the request sets no limit.
	uint32_t priority_tokens; ///< Lead of a priority over the next.
	uint32_t burst_tokens;    ///< Work that a customer who has been idle
				  ///< may bring before its share counts.
	uint32_t growth_percent;  ///< Of the window, after a good round,
	uint32_t shrink_percent;  ///< and after a bad one.
	uint32_t miss_percent;    ///< A round with more first tokens above the
			       ///< target is bad, with under half it is good.
	uint32_t round_samples; ///< First tokens in a round, at least.
	uint64_t round_us;
};

extern const struct ad_params ad_defaults;

struct ad *ad_new(const struct ad_params *params);
void ad_free(struct ad *a);

/// Weight of a customer; those not set have weight 1.
void ad_set_customer(struct ad *a, const char *name, uint32_t weight);

/// Whether any backend server can take work; without one all are refused.
void ad_set_available(struct ad *a, bool available);

void ad_offer(struct ad *a, uint64_t now_us, const struct ad_ask *ask,
    struct ad_decision *out);
void ad_next(struct ad *a, uint64_t now_us, struct ad_decision *out);

/// The caller left while its request was queued.
void ad_cancel(struct ad *a, uint64_t now_us, handle_t ticket);

/// First token (or head of the answer) of a started request.
void ad_first_token(struct ad *a, uint64_t now_us, handle_t ticket);

/// End of a started request. `tokens` is what it really cost; `pushed_back`
/// when the backend server refused it, failed it for overload, or was too
/// slow between tokens.
void ad_end(struct ad *a, uint64_t now_us, handle_t ticket, uint32_t tokens,
    bool pushed_back);

/// Next time at which ad_next() has something to do; UINT64_MAX: none.
uint64_t ad_wake_us(const struct ad *a);

struct ad_view {
	uint64_t window_tokens;
	uint64_t started_tokens; ///< In flight.
	uint64_t queued_tokens;
	uint32_t queued;
	double tokens_per_s; ///< Observed.
	uint64_t refused;
};

void ad_view(const struct ad *a, struct ad_view *out);

#endif
