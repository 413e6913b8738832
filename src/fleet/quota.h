#ifndef FLEET_QUOTA_H
#define FLEET_QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// A customer's quota over all gateways. Control keeps one bucket; gateways
/// tell what they spent and are told what is left. Between two words of control
/// a gateway spends a part of what was left only, so that all together stay
/// close to the quota, and a gateway that is cut off goes on with its part.

/// What the quota allows, for all gateways together.
struct quota_limit {
	double rate_per_s; ///< 0: no limit
	double burst;
	double window_s; ///< over which the bound is judged
	double over;     ///< share by which the bound lies above the quota
	double slack;    ///< units by which it lies above that
};

/// Control's bucket.
struct quota_bucket {
	double level;     ///< units left; below 0: owed
	uint64_t last_us; ///< when `level` was true; 0: never
};

/// A gateway's view of that bucket.
struct quota_view {
	double level;               ///< as control said
	uint64_t level_received_us; ///< when; 0: never
	uint64_t spent;             ///< here, since the start
	uint64_t counted; ///< part of `spent` that `level` takes into account
};

enum quota_outcome {
	QUOTA_GRANTED,
	QUOTA_EXCEEDED, ///< refused; the wait says when it would fit
};

struct quota_result {
	enum quota_outcome outcome;
	uint64_t wait_us;
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
