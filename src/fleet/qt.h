#ifndef FLEET_QT_H
#define FLEET_QT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// A customer's quota, shared by all gateways: each holds a share that control
/// leases to it by demand. The shares of all gateways never sum to more than
/// one, so what all let through together stays within the quota.

/// What the quota allows, for all gateways together.
struct qt_limit {
	double rate_per_s; ///< 0: no limit
	double burst;
	double window_s; ///< over which the bound is judged
	double over;     ///< share by which the bound lies above the quota
	double slack;    ///< units by which it lies above that
};

/// One gateway's part of one customer's quota.
struct qt_bucket {
	double units;     ///< left
	double share;     ///< 0 .. 1
	uint64_t last_us; ///< when `units` was true; 0: never
	double asked;     ///< units asked for since the last qt_demand()
};

enum qt_outcome {
	QT_TAKEN,
	QT_OVER, ///< refused; the wait says when it would fit
};

struct qt_answer {
	enum qt_outcome outcome;
	uint64_t wait_us;
};

void qt_lease(struct qt_bucket *b, const struct qt_limit *limit,
    uint64_t now_us, double share);
struct qt_answer qt_take(struct qt_bucket *b, const struct qt_limit *limit,
    uint64_t now_us, double units);
double qt_demand(struct qt_bucket *b);
void qt_split(const double *demand, size_t n, double *shares);

#endif
