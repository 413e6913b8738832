#ifndef FLEET_QUOTA_H
#define FLEET_QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// A customer's quota over all gateways. Control keeps one token bucket;
/// gateways report what they spent and receive what is left. Between two
/// updates a gateway spends only a part of what was left, so that all gateways
/// together stay close to the quota, and a gateway without contact to control
/// continues with its part.

/// What the quota allows, for all gateways together.
struct quota_limit {
	double rate_per_s; ///< 0: no limit
	double burst;      ///< units
	double window_s;  ///< window of the bound on what all gateways let pass
	double tolerance; ///< share by which the bound is above the quota
	double slack_units; ///< units by which the bound is above that
};

/// Control's bucket.
struct quota_bucket {
	double level;     ///< units left; below 0: overspent
	uint64_t last_us; ///< when `level` was last refilled; 0: never
};

/// A gateway's view of that bucket.
struct quota_view {
	double level;               ///< units left, as received from control
	uint64_t level_received_us; ///< 0: never
	uint64_t spent;             ///< units spent here since the start
	/// Part of `spent` that `level` takes into account.
	uint64_t acked_spent;
};

enum quota_outcome {
	QUOTA_GRANTED,
	QUOTA_EXCEEDED, ///< refused; `wait_us` says when to try again
};

struct quota_result {
	enum quota_outcome outcome;
	uint64_t wait_us; ///< 0 when granted
};

double quota_capacity(const struct quota_limit *limit);

void quota_bucket_init(
    struct quota_bucket *p, const struct quota_limit *limit, uint64_t now_us);
void quota_bucket_set_level(struct quota_bucket *p, double level);
void quota_bucket_spend(struct quota_bucket *p, const struct quota_limit *limit,
    uint64_t now_us, double units);

void quota_view_update(
    struct quota_view *v, uint64_t now_us, double level, uint64_t counted);
double quota_view_level(const struct quota_view *v,
    const struct quota_limit *limit, uint64_t now_us, uint32_t n_gateways);
struct quota_result quota_take(struct quota_view *v,
    const struct quota_limit *limit, uint64_t now_us, uint32_t n_gateways,
    double units);
bool quota_should_report(
    const struct quota_view *v, const struct quota_limit *limit);

#endif
