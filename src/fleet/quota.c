#include "fleet/quota.h"

#include <math.h>

#define US_PER_S 1e6

/// Part of the slack above the quota that is let through; the rest covers
/// what gateways spend before they hear of each other.
#define SLACK_USED 0.4
/// Part of the share by which the bound lies above the quota that is given out
/// all the time.
#define OVER_USED 0.5
/// Until control's next word a gateway may spend so many times its even part of
/// what is left: not all are asked for much at the same time.
#define OVERCOMMIT 2.0
/// A request larger than that passes as the first one since control's last
/// word while the bucket is so full, and leaves a debt: otherwise the largest
/// would never pass.
#define DEBT_LEVEL 0.25
/// Such a first request passes when so many times its units are left.
#define FIRST_FACTOR 1.25
/// Units spent that control should hear of at once, as a part of the bucket.
#define TELL_PART 0.1
/// A wait is told up to this; callers don't wait longer.
#define MAX_WAIT_S 30.0
/// Control's next word takes about so long.
#define MIN_WAIT_S 0.3

/// Units that the bucket holds.
double
quota_capacity(const struct quota_limit *limit)
{
	const double over = limit->over * limit->rate_per_s * limit->window_s;

	return limit->burst + SLACK_USED * (limit->slack + over);
}

/// Units that come back in a second.
static double
refill_rate(const struct quota_limit *limit)
{
	return limit->rate_per_s * (1 + OVER_USED * limit->over);
}

static void
refill(struct quota_bucket *p, const struct quota_limit *limit, uint64_t now_us)
{
	const double most = quota_capacity(limit);

	if (now_us > p->last_us)
		p->level += refill_rate(limit) * (double)(now_us - p->last_us) /
		    US_PER_S;
	p->level = fmin(p->level, most);
	p->last_us = now_us;
}

/// Starts control's bucket, full.
void
quota_bucket_init(
    struct quota_bucket *p, const struct quota_limit *limit, uint64_t now_us)
{
	p->level = quota_capacity(limit);
	p->last_us = now_us;
}

/// Takes over the level that a gateway was told by an earlier leader.
void
quota_bucket_set_level(struct quota_bucket *p, double level)
{
	p->level = fmin(p->level, level);
}

/// Takes what a gateway spent; what passed has passed, so the level may fall
/// below zero.
void
quota_bucket_spend(struct quota_bucket *p, const struct quota_limit *limit,
    uint64_t now_us, double units)
{
	refill(p, limit, now_us);
	p->level -= units;
}

/// Takes control's word over.
///
/// @param counted  what was spent here, as control knows it
void
quota_view_update(
    struct quota_view *v, uint64_t now_us, double level, uint64_t counted)
{
	v->level = level;
	v->level_received_us = now_us;
	v->counted = counted < v->spent ? counted : v->spent;
}

/// What is left of the quota as far as this gateway knows, without what it
/// spent since control's last word.
double
quota_view_level(const struct quota_view *v, const struct quota_limit *limit,
    uint64_t now_us, uint32_t n_gateways)
{
	const double age_s = (double)(now_us - v->level_received_us) / US_PER_S;
	const double part = refill_rate(limit) / fmax(n_gateways, 1);

	return fmin(v->level + part * age_s, quota_capacity(limit));
}

/// Takes a request's units, if they fit.
struct quota_result
quota_take(struct quota_view *v, const struct quota_limit *limit,
    uint64_t now_us, uint32_t n_gateways, double units)
{
	const double part = fmin(OVERCOMMIT / fmax(n_gateways, 1), 1);
	const double most = quota_capacity(limit);
	const double own = (double)(v->spent - v->counted);
	struct quota_result a = { .outcome = QUOTA_GRANTED };
	double level;
	double enough;

	if (limit->rate_per_s <= 0)
		return a;
	level = quota_view_level(v, limit, now_us, n_gateways);
	enough = (own + units) / part;
	if (v->spent == v->counted)
		enough =
		    fmin(enough, fmin(FIRST_FACTOR * units, DEBT_LEVEL * most));
	if (level >= enough) {
		v->spent += (uint64_t)units;
		return a;
	}
	a.outcome = QUOTA_EXCEEDED;
	enough = fmin(enough, DEBT_LEVEL * most);
	a.wait_us = (uint64_t)(fmin(fmax((enough - level) / limit->rate_per_s,
					MIN_WAIT_S),
				   MAX_WAIT_S) *
	    US_PER_S);
	return a;
}

/// Whether so much was spent that control should hear of it at once.
bool
quota_should_report(const struct quota_view *v, const struct quota_limit *limit)
{
	return (double)(v->spent - v->counted) >
	    TELL_PART * quota_capacity(limit);
}
