#include "fleet/quota.h"

#include <math.h>

#define US_PER_S 1e6

/// Part of the slack above the quota that the bucket gives out; the rest covers
/// what gateways spend before they know of each other's spending.
#define SLACK_USED 0.4
/// Part of the tolerance above the quota that is refilled continuously.
#define TOLERANCE_USED 0.5
/// Until control's next update a gateway may spend this many times its equal
/// share of what is left: not all gateways get much load at the same time.
#define OVERCOMMIT 2.0
/// The first request after an update passes, whatever its size, while the
/// bucket is filled to this part, and overdraws it: otherwise the largest
/// requests would never pass.
#define DEBT_LEVEL 0.25
/// The first request after an update passes when this many times its units are
/// left.
#define FIRST_FACTOR 1.25
/// Units spent, as a part of the bucket, that are reported to control at once.
#define REPORT_PART 0.1
/// Longest wait returned with a refusal; callers don't wait longer.
#define MAX_WAIT_S 30.0
/// Shortest wait returned with a refusal: about the time to control's next
/// update.
#define MIN_WAIT_S 0.3

/// Units of a full bucket.
double
quota_capacity(const struct quota_limit *limit)
{
	const double tolerance =
	    limit->tolerance * limit->rate_per_s * limit->window_s;

	return limit->burst + SLACK_USED * (limit->slack_units + tolerance);
}

/// Units refilled per second.
static double
refill_rate(const struct quota_limit *limit)
{
	return limit->rate_per_s * (1 + TOLERANCE_USED * limit->tolerance);
}

static void
refill(struct quota_bucket *p, const struct quota_limit *limit, uint64_t now_us)
{
	const double capacity = quota_capacity(limit);

	if (now_us > p->last_us)
		p->level += refill_rate(limit) * (double)(now_us - p->last_us) /
		    US_PER_S;
	p->level = fmin(p->level, capacity);
	p->last_us = now_us;
}

/// Initializes control's bucket as full.
void
quota_bucket_init(
    struct quota_bucket *p, const struct quota_limit *limit, uint64_t now_us)
{
	p->level = quota_capacity(limit);
	p->last_us = now_us;
}

/// Lowers the level to one that a gateway received from an earlier leader;
/// never raises it.
void
quota_bucket_set_level(struct quota_bucket *p, double level)
{
	p->level = fmin(p->level, level);
}

/// Subtracts what a gateway spent. Those requests have passed already, so the
/// level may fall below zero.
void
quota_bucket_spend(struct quota_bucket *p, const struct quota_limit *limit,
    uint64_t now_us, double units)
{
	refill(p, limit, now_us);
	p->level -= units;
}

/// Applies an update from control.
///
/// @param counted  units spent here that `level` takes into account
void
quota_view_update(
    struct quota_view *v, uint64_t now_us, double level, uint64_t counted)
{
	v->level = level;
	v->level_received_us = now_us;
	v->acked_spent = counted < v->spent ? counted : v->spent;
}

/// Estimates the units left of the quota. Adds this gateway's share of the
/// refill since control's last update; what it spent since then is not
/// subtracted.
double
quota_view_level(const struct quota_view *v, const struct quota_limit *limit,
    uint64_t now_us, uint32_t n_gateways)
{
	const double age_s = (double)(now_us - v->level_received_us) / US_PER_S;
	const double part = refill_rate(limit) / fmax(n_gateways, 1);

	return fmin(v->level + part * age_s, quota_capacity(limit));
}

/// Spends a request's units if the quota allows it.
///
/// @param n_gateways  that share the quota
struct quota_result
quota_take(struct quota_view *v, const struct quota_limit *limit,
    uint64_t now_us, uint32_t n_gateways, double units)
{
	const double part = fmin(OVERCOMMIT / fmax(n_gateways, 1), 1);
	const double capacity = quota_capacity(limit);
	const double unreported = (double)(v->spent - v->acked_spent);
	struct quota_result result = { .outcome = QUOTA_GRANTED };
	double level;
	double required;

	if (limit->rate_per_s <= 0)
		return result;
	level = quota_view_level(v, limit, now_us, n_gateways);
	required = (unreported + units) / part;
	if (v->spent == v->acked_spent)
		required = fmin(required,
		    fmin(FIRST_FACTOR * units, DEBT_LEVEL * capacity));
	if (level >= required) {
		v->spent += (uint64_t)units;
		return result;
	}
	result.outcome = QUOTA_EXCEEDED;
	required = fmin(required, DEBT_LEVEL * capacity);
	result.wait_us =
	    (uint64_t)(fmin(fmax((required - level) / limit->rate_per_s,
				MIN_WAIT_S),
			   MAX_WAIT_S) *
		US_PER_S);
	return result;
}

/// Whether so much was spent since the last update that it should be reported
/// to control at once.
bool
quota_should_report(const struct quota_view *v, const struct quota_limit *limit)
{
	return (double)(v->spent - v->acked_spent) >
	    REPORT_PART * quota_capacity(limit);
}
