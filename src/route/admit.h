#ifndef ROUTE_ADMIT_H
#define ROUTE_ADMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/slotmap.h"

/// Admission control of the requests for one pool, with fair shares of
/// customers by their weights. A core without I/O. Work is counted in tokens. A
/// request is started at once, queued, or refused before it costs anything; a
/// refused one was not run.
///
/// The caller offers a request; if it is queued, admit_next() returns it when
/// it may start or must be refused. Call admit_next() until ADMIT_NOTHING after
/// each offer and end, and at admit_next_wake_us().

struct admit;

enum admit_action {
	ADMIT_NOTHING, ///< Of admit_next(): no queued request starts or is
		       ///< refused now.
	ADMIT_START,  ///< Send it now; call admit_end() later.
	ADMIT_QUEUED, ///< Keep it; admit_next() will return its ticket.
	ADMIT_REFUSE, ///< Not run; its ticket is no longer valid.
};

enum admit_reason {
	ADMIT_OK,
	ADMIT_WAIT,        ///< Queued behind others.
	ADMIT_TOO_LATE,    ///< It can't start in time: 503.
	ADMIT_OVER_SHARE,  ///< Its customer is over its share: 429.
	ADMIT_NO_CAPACITY, ///< No backend server: 503.
};

struct admit_request {
	const char *customer;
	uint32_t priority;        ///< 0 first, up to 9.
	uint32_t tokens;          ///< Expected: prompt to compute and output.
	uint32_t output_tokens;   ///< Of these, the ones after the first token.
	uint64_t latest_start_us; ///< Time by which it must start: now plus
				  ///< its target, less the first_token_us that
				  ///< balancer_choose() expects. 0: max_wait_us
				  ///< from now.
	uint64_t first_token_us;  ///< Target for the time from the offer to the
				  ///< first token; 0: none, the request doesn't
				  ///< count for the size of the window.
	uint64_t tag;             ///< Opaque; returned with each decision.
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
	uint32_t window_tokens; ///< Initial size of the window, which limits
				///< the tokens in flight.
	uint32_t min_window_tokens;
	uint32_t max_window_tokens;
	uint32_t max_queued;
	uint64_t max_wait_us; ///< For a request without latest_start_us.
	uint32_t priority_lead_tokens; ///< Lead of a priority over the next.
	uint32_t burst_tokens;   ///< Work that a customer who has been idle
				 ///< may send before its share counts.
	uint32_t growth_percent; ///< Of the window, after a good round.
	uint32_t shrink_percent; ///< Of the window, after a bad round.
	uint32_t miss_percent;   ///< A round with a higher percentage of late
				 ///< first tokens is bad, with under half of it
				 ///< good.
	uint32_t round_samples;  ///< Fewest samples in a round.
	uint64_t round_us;       ///< Shortest length of a round.
};

extern const struct admit_params admit_defaults;

struct admit *admit_new(const struct admit_params *params);
void admit_free(struct admit *a);

/// Sets the weight of a customer; others have weight 1.
void admit_set_customer(struct admit *a, const char *name, uint32_t weight);

/// Sets whether any backend server can take work; without one all requests are
/// refused.
void admit_set_available(struct admit *a, bool available);

void admit_offer(struct admit *a, uint64_t now_us,
    const struct admit_request *request, struct admit_decision *out);
void admit_next(struct admit *a, uint64_t now_us, struct admit_decision *out);

/// Drops a queued request whose caller has left; a started one is not affected.
void admit_cancel(struct admit *a, uint64_t now_us, handle_t ticket);

/// Records the first token (or head of the response) of a started request.
void admit_first_token(struct admit *a, uint64_t now_us, handle_t ticket);

/// Records the end of a started request; its ticket is invalid afterwards.
///
/// @param tokens      its actual cost
/// @param overloaded  the backend server refused it, failed it for overload, or
///                    had too high an inter-token latency
void admit_end(struct admit *a, uint64_t now_us, handle_t ticket,
    uint32_t tokens, bool overloaded);

/// Next time at which admit_next() has something to do; UINT64_MAX: none.
uint64_t admit_next_wake_us(const struct admit *a);

struct admit_stats {
	uint64_t window_tokens;
	uint64_t started_tokens; ///< Tokens in flight.
	uint64_t queued_tokens;
	uint32_t queued;
	double tokens_per_s; ///< Throughput of the pool, estimated.
	uint64_t refused;
};

void admit_stats(const struct admit *a, struct admit_stats *out);

#endif
