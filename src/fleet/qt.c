#include "fleet/qt.h"

#include <assert.h>
#include <math.h>

#define US_PER_S 1e6

/// Share of a quota that is dealt out evenly, so that a gateway whose first
/// request of a customer comes has something to give.
#define EVEN_SHARE 0.3

/// Part of the slack above the quota that is let through; the rest covers
/// shares on their way and clocks that differ.
#define SLACK_USED 0.4

/// A request larger than what is left passes while so much of the bucket is
/// full, and leaves a debt: otherwise the largest would never pass.
#define DEBT_LEVEL 0.5

/// A wait is told up to this; callers don't wait longer.
#define MAX_WAIT_S 30.0

/// Units that may be let through at once, by all gateways.
static double
capacity(const struct qt_limit *limit)
{
	const double over = limit->over * limit->rate_per_s * limit->window_s;

	return limit->burst + SLACK_USED * (limit->slack + over);
}

static void
refill(struct qt_bucket *b, const struct qt_limit *limit, uint64_t now_us)
{
	const double most = b->share * capacity(limit);

	if (b->last_us == 0)
		b->units = most;
	else if (now_us > b->last_us)
		b->units += b->share * limit->rate_per_s *
		    (double)(now_us - b->last_us) / US_PER_S;
	b->units = fmin(b->units, most);
	b->last_us = now_us;
}

/// Takes over a new share. A share that grows brings no units with it: these
/// are another gateway's.
void
qt_lease(struct qt_bucket *b, const struct qt_limit *limit, uint64_t now_us,
    double share)
{
	assert(share >= 0 && share <= 1);
	if (b->last_us != 0)
		refill(b, limit, now_us);
	b->share = share;
	if (b->last_us != 0)
		refill(b, limit, now_us);
}

/// Takes a request's units, if they fit.
struct qt_answer
qt_take(struct qt_bucket *b, const struct qt_limit *limit, uint64_t now_us,
    double units)
{
	struct qt_answer a = { .outcome = QT_TAKEN };
	double enough;
	double rate;
	double wait_s;

	b->asked += units;
	if (limit->rate_per_s <= 0)
		return a;
	refill(b, limit, now_us);
	enough = fmin(units, DEBT_LEVEL * b->share * capacity(limit));
	if (enough <= b->units && b->share > 0) {
		b->units -= units;
		return a;
	}
	rate = b->share * limit->rate_per_s;
	wait_s = rate > 0 ? (enough - b->units) / rate : MAX_WAIT_S;
	a.outcome = QT_OVER;
	a.wait_us = (uint64_t)(fmin(wait_s, MAX_WAIT_S) * US_PER_S);
	return a;
}

/// Units asked for since the last call.
double
qt_demand(struct qt_bucket *b)
{
	const double asked = b->asked;

	b->asked = 0;
	return asked;
}

/// Splits a quota over gateways by their demand.
///
/// @param demand  of each gateway
/// @param shares  receives their shares; they sum to 1 at most
void
qt_split(const double *demand, size_t n, double *shares)
{
	double sum = 0;

	for (size_t i = 0; i < n; i++)
		sum += demand[i];
	for (size_t i = 0; i < n; i++) {
		const double even = 1.0 / (double)n;

		shares[i] = sum <= 0
		    ? even
		    : EVEN_SHARE * even + (1 - EVEN_SHARE) * demand[i] / sum;
	}
}
