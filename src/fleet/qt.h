#ifndef FLEET_QT_H
#define FLEET_QT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// A customer's quota over all gateways. Control keeps one bucket; gateways
/// tell what they spent and are told what is left. Between two words of control
/// a gateway spends a part of what was left only, so that all together stay
/// close to the quota, and a gateway that is cut off goes on with its part.

/// What the quota allows, for all gateways together.
struct qt_limit {
	double rate_per_s; ///< 0: no limit
	double burst;
	double window_s; ///< over which the bound is judged
	double over;     ///< share by which the bound lies above the quota
	double slack;    ///< units by which it lies above that
};

/// Control's bucket.
struct qt_pool {
	double level;     ///< units left; below 0: owed
	uint64_t last_us; ///< when `level` was true; 0: never
};

/// A gateway's view of that bucket.
struct qt_view {
	double level;     ///< as control said
	uint64_t told_us; ///< when; 0: never
	uint64_t spent;   ///< here, since the start
	uint64_t counted; ///< part of `spent` that `level` takes into account
};

enum qt_outcome {
	QT_TAKEN,
	QT_OVER, ///< refused; the wait says when it would fit
};

struct qt_answer {
	enum qt_outcome outcome;
	uint64_t wait_us;
};

double qt_capacity(const struct qt_limit *limit);

void qt_pool_start(
    struct qt_pool *p, const struct qt_limit *limit, uint64_t now_us);
void qt_pool_known(struct qt_pool *p, double level);
void qt_pool_spend(struct qt_pool *p, const struct qt_limit *limit,
    uint64_t now_us, double units);

void qt_told(
    struct qt_view *v, uint64_t now_us, double level, uint64_t counted);
double qt_level(const struct qt_view *v, const struct qt_limit *limit,
    uint64_t now_us, uint32_t n_gateways);
struct qt_answer qt_take(struct qt_view *v, const struct qt_limit *limit,
    uint64_t now_us, uint32_t n_gateways, double units);
bool qt_should_tell(const struct qt_view *v, const struct qt_limit *limit);

#endif
