#ifndef COMMON_ROLLSIM_H
#define COMMON_ROLLSIM_H

#include <stdbool.h>
#include <stdint.h>

#include "base/rnd.h"
#include "rollout/rollout.h"

/// Simulation of a fleet during one rollout from v1 to v2: requests, responses
/// of a good or bad version, and entries that receive control's messages late.

#define ROLLSIM_ENTRIES 8
#define ROLLSIM_ROUTES 3
#define ROLLSIM_TICK_US 50000ULL
#define ROLLSIM_LEASE_US \
	3000000ULL ///< a split is in force so long after sending
#define ROLLSIM_LAG_MAX_US 500000ULL ///< of most messages from control
/// What users allow a bad version: ROLLSIM_SHARE_MAX of the requests plus
/// ROLLSIM_SLACK_MAX, and none later than ROLLSIM_ROLLBACK_MAX_US after
/// ROLLSIM_BAD_LIMIT bad responses.
#define ROLLSIM_SHARE_MAX 0.1
#define ROLLSIM_SLACK_MAX 50
#define ROLLSIM_BAD_LIMIT 50
#define ROLLSIM_SLOW_MIN 3.0 ///< a response this many times slower is bad
#define ROLLSIM_ROLLBACK_MAX_US 5000000ULL

/// When the new version shows its fault.
enum rollsim_onset {
	ROLLSIM_GOOD,       ///< never
	ROLLSIM_AT_ONCE,    ///< always
	ROLLSIM_LATER,      ///< from a time on
	ROLLSIM_UNDER_LOAD, ///< at servers of high load
	ROLLSIM_ONE_ROUTE,  ///< on one route
	ROLLSIM_ONSETS,
};

/// Fault of the new version.
enum rollsim_fault {
	ROLLSIM_FAILS,
	ROLLSIM_SLOW_TTFT,
	ROLLSIM_SLOW_INTER_TOKEN,
	ROLLSIM_FAULTS,
};

struct rollsim_case {
	enum rollsim_onset when;
	enum rollsim_fault fault;
	double severity;        ///< failure rate, or factor of the latency
	uint64_t fault_from_us; ///< ROLLSIM_LATER: when the fault begins
	uint32_t route;         ///< ROLLSIM_ONE_ROUTE: route with the fault
	double requests_per_s;
	uint64_t submit_us;   ///< when the rollout is submitted
	uint64_t deadline_us; ///< when it must be complete
	uint64_t end_us;
	bool disturbed; ///< entries restart or lose contact, control fails
	uint64_t control_lost_us; ///< control is lost from then on; 0: never
};

/// Rollout policy under test. Each function gets self as its first argument.
struct rollsim_policy {
	void *self;
	/// Version of a request; 0: the entry takes no requests now.
	uint64_t (*pick)(
	    void *self, uint32_t entry, uint64_t hash, uint64_t now_us);
	void (*record_response)(void *self, uint32_t entry,
	    const struct rollout_response *a, uint64_t now_us);
	void (*tick)(void *self, uint64_t now_us, bool control_out);
	void (*submit)(void *self, uint64_t now_us, uint64_t deadline_us);
	void (*restart)(void *self, uint32_t entry);
	/// Sets whether an entry has lost contact with control.
	void (*disconnect)(void *self, uint32_t entry, bool disconnected);
	uint32_t (*share)(void *self); ///< of v2 as decided last, permille
};

struct rollsim_result {
	uint64_t requests;
	uint64_t to_new;     ///< requests that went to the new version
	uint64_t in_rollout; ///< requests between the order and its deadline
	uint64_t in_rollout_new; ///< of these, to the new version
	uint64_t affected;       ///< requests to it that met its fault
	uint64_t bad;            ///< of these, the ones that users call bad
	uint64_t exposed;        ///< requests to it since its fault showed
	uint64_t shown_us;       ///< first affected request; 0: none
	uint64_t bad_limit_us; ///< when bad reached ROLLSIM_BAD_LIMIT; 0: never
	uint64_t
	    late; ///< requests to it ROLLSIM_ROLLBACK_MAX_US after bad_limit_us
	uint64_t last_us;        ///< last request to it
	uint64_t complete_us;    ///< when it had the full share; 0: never
	uint64_t rolled_back_us; ///< when it was rolled back; 0: never
	uint64_t windows_over;   ///< windows in which it got too many requests
	uint64_t after_rollback; ///< requests to it when no entry may send any
};

extern const char *const rollsim_onset_names[];

struct rollsim_case rollsim_draw_case(
    struct rnd *r, enum rollsim_onset when, bool disturbed);
void rollsim_run(struct rnd *r, const struct rollsim_case *c,
    const struct rollsim_policy *policy, struct rollsim_result *out);

/// The project's own policy: rollout_control and rollout_entry connected by
/// simulated messages.
struct rollsim_product;

struct rollsim_product *rollsim_product_new(
    struct rnd *r, struct rollsim_policy *policy);
void rollsim_product_free(struct rollsim_product *o);
void rollsim_product_state(
    const struct rollsim_product *o, struct rollout_record *out);
void rollsim_product_ignore_leases(struct rollsim_product *o);
bool rollsim_product_sent_to_stopped(const struct rollsim_product *o);

#define ROLLSIM_POOL 11
#define ROLLSIM_V1 101
#define ROLLSIM_V2 102

#endif
