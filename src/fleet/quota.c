#include "fleet/quota.h"

#include <math.h>

#define US_PER_S 1e6

/// Part of the slack above the quota that the bucket gives out. The rest covers
/// what gateways spend before control knows, and the request that overdraws the
/// bucket.
#define SLACK_USED 0.25
/// Part of the tolerance above the quota that is refilled continuously.
#define TOLERANCE_USED 0.5
/// Part of what is left that all gateways together may spend without asking
/// until control's next update.
#define FREE_PART 0.25
/// A request of this part of the bucket passes without asking while anything is
/// left, unless the demand is far above the rate.
#define SMALL_PART 0.005
/// Units spent, as a part of the bucket, that are reported to control at once.
#define REPORT_PART 0.02
/// Without an update for this long, control is taken to be out of contact.
#define OFFLINE_US 700000
/// Longest wait returned with a refusal; callers don't wait longer.
#define MAX_WAIT_S 30.0
/// Shortest wait returned with a refusal: about the time to control's next
/// update.
#define MIN_WAIT_S 0.3
/// A refusal is remembered for at most this long: the demand may fall.
#define MAX_DENIED_US 300000
/// The demand is averaged over this many requests, or over this time if there
/// are fewer: it follows a burst at once and isn't taken from one long prompt.
#define DEMAND_REQUESTS 10
#define DEMAND_US 2000000
/// Weight of the newest average in the demand.
#define DEMAND_WEIGHT 0.5
/// Without contact, all requests pass as long as the demand isn't above the
/// rate by this factor: few requests make an uneven demand.
#define OFFLINE_FACTOR 1.5
/// Else this part of the rate passes, as the draws are uneven as well.
#define OFFLINE_PART 0.9
/// Without a leader for longer, gateways' leases end.
#define MAX_SILENCE_US 5000000
/// Time constant of a gateway's own demand, and the requests in it that make an
/// estimate.
#define OWN_S 0.5
#define OWN_REQUESTS 2.0

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

/// Units per second that the bucket gets.
double
quota_bucket_refill_per_s(
    const struct quota_bucket *p, const struct quota_limit *limit)
{
	return p->refill_share * refill_rate(limit);
}

/// Adds what has been refilled since the last call.
void
quota_bucket_refill(
    struct quota_bucket *p, const struct quota_limit *limit, uint64_t now_us)
{
	const double capacity = quota_capacity(limit);

	if (now_us > p->last_us)
		p->level += quota_bucket_refill_per_s(p, limit) *
		    (double)(now_us - p->last_us) / US_PER_S;
	p->level = fmin(p->level, capacity);
	p->last_us = now_us;
}

static uint64_t
wait_us(double missing, const struct quota_limit *limit)
{
	const double wait_s = missing / limit->rate_per_s;

	return (
	    uint64_t)(fmin(fmax(wait_s, MIN_WAIT_S), MAX_WAIT_S) * US_PER_S);
}

/// Initializes control's bucket as full.
void
quota_bucket_init(
    struct quota_bucket *p, const struct quota_limit *limit, uint64_t now_us)
{
	*p = (struct quota_bucket){ .level = quota_capacity(limit),
		.first_level = quota_capacity(limit),
		.last_us = now_us,
		.refill_share = 1,
		.demand_us = now_us,
		.since_us = now_us };
}

/// Lowers the level to one that a gateway received from an earlier leader;
/// never raises it. What was spent of the bucket meanwhile is spent of that
/// level, too.
void
quota_bucket_set_level(struct quota_bucket *p, double level)
{
	if (level >= p->first_level)
		return;
	p->level -= p->first_level - level;
	p->first_level = level;
}

/// Sets the part of the refill that is granted from now on: gateways without
/// contact let requests pass as well.
void
quota_bucket_set_share(struct quota_bucket *p, const struct quota_limit *limit,
    uint64_t now_us, double share)
{
	quota_bucket_refill(p, limit, now_us);
	p->refill_share = share;
}

/// Subtracts what a gateway spent. Those requests have passed already, so the
/// level may fall below zero.
void
quota_bucket_spend(struct quota_bucket *p, const struct quota_limit *limit,
    uint64_t now_us, double units)
{
	quota_bucket_refill(p, limit, now_us);
	p->level -= units;
}

/// Counts units that were requested, granted or not, in the demand.
void
quota_bucket_want(struct quota_bucket *p, uint64_t now_us, double units)
{
	double newest;
	const uint64_t age_us =
	    now_us > p->demand_us ? now_us - p->demand_us : 0;

	p->wanted += units;
	if (units > 0)
		p->n_wanted++;
	if (age_us == 0 ||
	    (p->n_wanted < DEMAND_REQUESTS && age_us < DEMAND_US))
		return;
	newest = p->wanted * US_PER_S / (double)age_us;
	p->demand_per_s =
	    p->demand_per_s * (1 - DEMAND_WEIGHT) + newest * DEMAND_WEIGHT;
	p->wanted = 0;
	p->n_wanted = 0;
	p->demand_us = now_us;
}

/// Whether a customer's demand has risen so far above its rate that gateways
/// should know at once, in case they lose contact.
bool
quota_bucket_is_pressed(
    const struct quota_bucket *p, const struct quota_limit *limit)
{
	return limit->rate_per_s > 0 &&
	    p->demand_per_s > OFFLINE_FACTOR * limit->rate_per_s;
}

/// Takes out what a gateway let pass between the last leader's word to it and
/// this leader's first moment, less its part of what was refilled meanwhile.
/// What was refilled beyond that isn't given out later.
///
/// @param units       that passed
/// @param silence_us  since the last leader's word; 0: only `units` are told
void
quota_bucket_settle(struct quota_bucket *p, const struct quota_limit *limit,
    uint64_t now_us, double units, uint64_t silence_us, uint32_t n_gateways)
{
	const uint64_t led_us = now_us - p->since_us;
	const uint64_t most_us =
	    silence_us < MAX_SILENCE_US ? silence_us : MAX_SILENCE_US;
	const uint64_t unled_us = most_us > led_us ? most_us - led_us : 0;
	const double refilled = refill_rate(limit) * (double)unled_us /
	    US_PER_S / fmax(n_gateways, 1);
	double debt;

	p->unled_units += units - refilled;
	debt = fmax(p->unled_units, 0);
	quota_bucket_spend(p, limit, now_us, debt - p->unled_debt);
	p->unled_debt = debt;
}

/// Decides on a request that a gateway asks for. It passes, whatever its size,
/// while anything is left, and may overdraw the bucket: otherwise the largest
/// requests would never pass.
struct quota_result
quota_bucket_ask(struct quota_bucket *p, const struct quota_limit *limit,
    uint64_t now_us, double units)
{
	struct quota_result result = { .outcome = QUOTA_GRANTED };

	quota_bucket_want(p, now_us, units);
	quota_bucket_refill(p, limit, now_us);
	if (limit->rate_per_s <= 0)
		return result;
	if (p->level > 0) {
		p->level -= units;
		return result;
	}
	result.outcome = QUOTA_EXCEEDED;
	result.wait_us = wait_us(-p->level, limit);
	return result;
}

/// Applies an update from control.
///
/// @param demand_per_s  units that all gateways want
/// @param counted       units spent here that `level` takes into account
void
quota_view_update(struct quota_view *v, uint64_t now_us, double level,
    double demand_per_s, uint64_t counted)
{
	v->level = level;
	v->level_received_us = now_us;
	v->demand_per_s = demand_per_s;
	v->acked_spent = counted < v->spent ? counted : v->spent;
	v->passed_offline = 0;
	v->offline_us = 0;
}

/// Takes the units that passed without contact since the last update, for a
/// new leader. One that led all the time has left their refill to this gateway
/// and isn't told.
uint64_t
quota_view_settle(struct quota_view *v)
{
	const uint64_t units = v->passed_offline;

	v->passed_offline = 0;
	return units;
}

/// Applies control's answer to an ask.
///
/// @param level         as of the answer
/// @param demand_per_s  units that all gateways want
void
quota_view_on_answer(struct quota_view *v, uint64_t now_us, double level,
    double demand_per_s, const struct quota_result *result)
{
	v->level = level;
	v->level_received_us = now_us;
	v->demand_per_s = demand_per_s;
	if (result->outcome == QUOTA_EXCEEDED)
		v->denied_until_us = now_us +
		    (uint64_t)fmin((double)result->wait_us, MAX_DENIED_US);
}

/// Remembers a refusal of a request that could have waited.
///
/// @param room_us  until room was expected for it
void
quota_view_on_refusal(struct quota_view *v, uint64_t now_us, uint32_t priority,
    double units, uint64_t room_us)
{
	v->refusal = (struct quota_refusal){
		.priority = priority,
		.units = units,
		.room_at_us = now_us + room_us,
		.valid_until_us = now_us + MAX_DENIED_US,
	};
}

/// Whether the last refusal shows that a request would be refused as well: it
/// is no more urgent, no smaller, and can't wait until there is room.
///
/// @param wait_us  longest wait for a grant
bool
quota_view_foresees_refusal(const struct quota_view *v, uint64_t now_us,
    uint32_t priority, double units, uint64_t wait_us)
{
	const struct quota_refusal *r = &v->refusal;

	return now_us < r->valid_until_us && priority >= r->priority &&
	    units >= r->units && now_us + wait_us < r->room_at_us;
}

/// Counts units that were refused without an ask, for the demand.
void
quota_view_count_refused(struct quota_view *v, double units)
{
	v->refused += (uint64_t)units;
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

/// Whether control's last update is so old that it can't be asked.
bool
quota_view_is_offline(const struct quota_view *v, uint64_t now_us)
{
	return now_us > v->level_received_us + OFFLINE_US;
}

static struct quota_result
refuse(struct quota_view *v, const struct quota_limit *limit, double units)
{
	quota_view_count_refused(v, units);
	return (struct quota_result){ .outcome = QUOTA_EXCEEDED,
		.wait_us = wait_us(-v->level, limit) };
}

/// Counts a request in this gateway's own demand.
static void
count_own(struct quota_view *v, uint64_t now_us, double units)
{
	const double age_s = (double)(now_us - v->own_us) / US_PER_S;
	const double left = exp(-age_s / OWN_S);

	v->own_units = v->own_units * left + units;
	v->own_requests = v->own_requests * left + 1;
	v->own_us = now_us;
}

/// Units per second that all gateways want, as far as is known without control:
/// its last figure may be older than a burst, which this gateway sees a part
/// of.
static double
offline_demand(const struct quota_view *v, uint32_t n_gateways)
{
	const double own = v->own_units / OWN_S * fmax(n_gateways, 1);

	if (v->own_requests < OWN_REQUESTS)
		return v->demand_per_s;
	return fmax(own, v->demand_per_s);
}

/// Spends a request's units if that needs no grant.
///
/// @param n_gateways  that share the quota
struct quota_result
quota_take(struct quota_view *v, const struct quota_limit *limit,
    uint64_t now_us, uint32_t n_gateways, double units)
{
	const double unreported = (double)(v->spent - v->acked_spent);
	const double part = FREE_PART / fmax(n_gateways, 1);
	const double pressed = OFFLINE_FACTOR * limit->rate_per_s;
	struct quota_result result = { .outcome = QUOTA_GRANTED };

	if (limit->rate_per_s <= 0)
		return result;
	count_own(v, now_us, units);
	if (now_us < v->denied_until_us)
		return refuse(v, limit, units);
	if (!quota_view_is_offline(v, now_us) &&
	    (unreported + units <= part * v->level ||
		(v->level > 0 && v->demand_per_s <= pressed &&
		    units <= SMALL_PART * quota_capacity(limit)))) {
		v->spent += (uint64_t)units;
		return result;
	}
	result.outcome = QUOTA_ASK;
	return result;
}

/// Refills the units that may pass without contact, whatever the demand: this
/// gateway's part of the rate since control's last word.
static void
refill_offline(struct quota_view *v, const struct quota_limit *limit,
    uint64_t now_us, uint32_t n_gateways)
{
	const uint64_t from_us =
	    v->offline_us != 0 ? v->offline_us : v->level_received_us;
	const double age_s = (double)(now_us - from_us) / US_PER_S;
	const double part =
	    OFFLINE_PART * limit->rate_per_s / fmax(n_gateways, 1);

	if (v->offline_us == 0)
		v->offline_credit = 0;
	v->offline_credit += part * fmin(age_s, MAX_SILENCE_US / US_PER_S);
	v->offline_us = now_us;
}

/// Probability with which a request of a customer passes that was over its rate
/// when control was last heard: the demand may have grown since, so that many
/// pass as this gateway's part of the rate pays for.
static double
chance_by_credit(struct quota_view *v, double units)
{
	const double paid = fmin(v->offline_credit, units);

	v->offline_credit -= paid;
	return units > 0 ? paid / units : 1;
}

/// Decides on a request while control is out of contact. It passes with the
/// probability with which all gateways together pass the customer's rate, so
/// that a long prompt is as likely to pass as a short one. The refill that
/// control doesn't grant meanwhile pays for these requests: they aren't
/// reported as spent, unless control is only slow. A new leader is told of
/// them, see quota_view_settle().
///
/// @param n_gateways  that share the quota
/// @param draw        random number, 0 to 1
struct quota_result
quota_take_offline(struct quota_view *v, const struct quota_limit *limit,
    uint64_t now_us, uint32_t n_gateways, double units, double draw)
{
	const double pressed = OFFLINE_FACTOR * limit->rate_per_s;
	const double demand = offline_demand(v, n_gateways);
	double chance = 1;

	refill_offline(v, limit, now_us, n_gateways);
	if (v->demand_per_s > pressed)
		chance = chance_by_credit(v, units);
	else if (demand > pressed)
		chance = OFFLINE_PART * limit->rate_per_s / demand;
	if (draw > chance)
		return refuse(v, limit, units);
	if (!quota_view_is_offline(v, now_us))
		v->spent += (uint64_t)units;
	else
		v->passed_offline += (uint64_t)units;
	return (struct quota_result){ .outcome = QUOTA_GRANTED };
}

/// Whether so much was spent since the last update that it should be reported
/// to control at once.
bool
quota_should_report(const struct quota_view *v, const struct quota_limit *limit)
{
	return (double)(v->spent - v->acked_spent) >
	    REPORT_PART * quota_capacity(limit);
}
