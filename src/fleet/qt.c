#include "fleet/qt.h"

#include <math.h>

#define US_PER_S 1e6

/// Part of the slack above the quota that is let through; the rest covers
/// what gateways spend before they hear of each other.
#define SLACK_USED 0.4
/// Part of what is left that one gateway may spend until control's next word.
#define PART 0.4
/// A request larger than that passes while the bucket is so full, and leaves a
/// debt: otherwise the largest would never pass.
#define DEBT_LEVEL 0.25
/// Control's word is fresh for so long: until then the whole rate is added to
/// it, later a gateway's part.
#define FRESH_S 0.6
/// Units spent that control should hear of at once, as a part of the bucket.
#define TELL_PART 0.1
/// A wait is told up to this; callers don't wait longer.
#define MAX_WAIT_S 30.0

/// Units that the bucket holds.
double
qt_capacity(const struct qt_limit *limit)
{
	const double over = limit->over * limit->rate_per_s * limit->window_s;

	return limit->burst + SLACK_USED * (limit->slack + over);
}

static void
refill(struct qt_pool *p, const struct qt_limit *limit, uint64_t now_us)
{
	const double most = qt_capacity(limit);

	if (now_us > p->last_us)
		p->level += limit->rate_per_s *
		    (double)(now_us - p->last_us) / US_PER_S;
	p->level = fmin(p->level, most);
	p->last_us = now_us;
}

/// Starts control's bucket.
///
/// @param level  as gateways last knew it; NAN: nobody does
void
qt_pool_start(struct qt_pool *p, const struct qt_limit *limit, uint64_t now_us,
    double level)
{
	const double most = qt_capacity(limit);

	p->level = isnan(level) ? most : fmin(level, most);
	p->last_us = now_us;
}

/// Takes what a gateway spent; what passed has passed, so the level may fall
/// below zero.
void
qt_pool_spend(struct qt_pool *p, const struct qt_limit *limit, uint64_t now_us,
    double units)
{
	refill(p, limit, now_us);
	p->level -= units;
}

/// Takes control's word over.
///
/// @param counted  what was spent here, as control knows it
void
qt_told(struct qt_view *v, uint64_t now_us, double level, uint64_t counted)
{
	v->level = level;
	v->told_us = now_us;
	v->counted = counted < v->spent ? counted : v->spent;
}

/// What is left of the quota as far as this gateway knows.
double
qt_level(const struct qt_view *v, const struct qt_limit *limit, uint64_t now_us,
    uint32_t n_gateways)
{
	const double age = (double)(now_us - v->told_us) / US_PER_S;
	const double fresh = fmin(age, FRESH_S);
	const double part = 1.0 / fmax(n_gateways, 1);
	double level = v->level;

	level += limit->rate_per_s * (fresh + (age - fresh) * part);
	level = fmin(level, qt_capacity(limit));
	return level - (double)(v->spent - v->counted);
}

/// Takes a request's units, if they fit.
struct qt_answer
qt_take(struct qt_view *v, const struct qt_limit *limit, uint64_t now_us,
    uint32_t n_gateways, double units)
{
	struct qt_answer a = { .outcome = QT_TAKEN };
	const double most = qt_capacity(limit);
	double level;
	double enough;

	if (limit->rate_per_s <= 0)
		return a;
	level = qt_level(v, limit, now_us, n_gateways);
	enough = fmin(units / PART, DEBT_LEVEL * most);
	if (level >= enough) {
		v->spent += (uint64_t)units;
		return a;
	}
	a.outcome = QT_OVER;
	a.wait_us = (uint64_t)(
	    fmin((enough - level) / limit->rate_per_s, MAX_WAIT_S) * US_PER_S);
	return a;
}

/// Whether so much was spent that control should hear of it at once.
bool
qt_should_tell(const struct qt_view *v, const struct qt_limit *limit)
{
	return (double)(v->spent - v->counted) > TELL_PART * qt_capacity(limit);
}
