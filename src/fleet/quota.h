#ifndef FLEET_QUOTA_H
#define FLEET_QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// A customer's quota over all gateways, without I/O. Control's leader keeps
/// one token bucket and grants requests one by one: with hundreds of gateways
/// an even part of what is left is less than one long prompt. A gateway lets a
/// request pass without asking while its part of what was left at the last
/// update covers it. Without contact to control it lets requests pass at
/// random, so that all gateways together pass the customer's rate.

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
	/// Part of the refill that is granted here; the rest is left to
	/// gateways without contact.
	double refill_share;
	/// Units per second that all gateways want, averaged.
	double demand_per_s;
	uint32_t n_wanted;  ///< requests since demand_us
	double wanted;      ///< units since demand_us
	uint64_t demand_us; ///< when demand_per_s was last updated
	uint64_t since_us;  ///< when it was made
	double first_level; ///< what it had then, as far as is known
	double unled_units; ///< that passed without a leader, less the refill
	double unled_debt;  ///< part of them that `level` takes into account
};

/// What tells whether another request would be refused, too.
struct quota_refusal {
	uint32_t priority;
	double units;
	uint64_t room_at_us;     ///< when room was expected for that request
	uint64_t valid_until_us; ///< 0: there was none
};

/// A gateway's view of that bucket.
struct quota_view {
	double level;               ///< units left, as received from control
	uint64_t level_received_us; ///< 0: never
	double demand_per_s;        ///< as received from control; 0: not known
	uint64_t spent;             ///< units spent here without a grant
	/// Part of `spent` that `level` takes into account.
	uint64_t acked_spent;
	uint64_t refused; ///< units refused here since the last ask
	/// Units that passed without contact since the last update.
	uint64_t passed_offline;
	/// Units that may pass without contact, and when they were last
	/// refilled; 0: not yet since the last update.
	double offline_credit;
	uint64_t offline_us;
	uint64_t denied_until_us; ///< an older leader has refused a grant until
				  ///< then, whatever the request
	struct quota_refusal refusal; ///< the leader's last one
	/// Units and requests wanted here, which count less with time.
	double own_units;
	double own_requests;
	uint64_t own_us; ///< when they were last updated
};

enum quota_outcome {
	QUOTA_GRANTED,
	QUOTA_ASK,      ///< control decides: see quota_bucket_ask()
	QUOTA_EXCEEDED, ///< refused; `wait_us` says when to try again
};

struct quota_result {
	enum quota_outcome outcome;
	uint64_t wait_us; ///< 0 unless QUOTA_EXCEEDED
};

double quota_capacity(const struct quota_limit *limit);

void quota_bucket_init(
    struct quota_bucket *p, const struct quota_limit *limit, uint64_t now_us);
void quota_bucket_set_level(struct quota_bucket *p, double level);
void quota_bucket_set_share(struct quota_bucket *p,
    const struct quota_limit *limit, uint64_t now_us, double share);
double quota_bucket_refill_per_s(
    const struct quota_bucket *p, const struct quota_limit *limit);
void quota_bucket_refill(
    struct quota_bucket *p, const struct quota_limit *limit, uint64_t now_us);
void quota_bucket_spend(struct quota_bucket *p, const struct quota_limit *limit,
    uint64_t now_us, double units);
void quota_bucket_want(struct quota_bucket *p, uint64_t now_us, double units);
bool quota_bucket_is_pressed(
    const struct quota_bucket *p, const struct quota_limit *limit);
void quota_bucket_settle(struct quota_bucket *p,
    const struct quota_limit *limit, uint64_t now_us, double units,
    uint64_t silence_us, uint32_t n_gateways);
struct quota_result quota_bucket_ask(struct quota_bucket *p,
    const struct quota_limit *limit, uint64_t now_us, double units);

void quota_view_update(struct quota_view *v, uint64_t now_us, double level,
    double demand_per_s, uint64_t counted);
void quota_view_on_answer(struct quota_view *v, uint64_t now_us, double level,
    double demand_per_s, const struct quota_result *result);
void quota_view_on_refusal(struct quota_view *v, uint64_t now_us,
    uint32_t priority, double units, uint64_t room_us);
bool quota_view_foresees_refusal(const struct quota_view *v, uint64_t now_us,
    uint32_t priority, double units, uint64_t wait_us);
void quota_view_count_refused(struct quota_view *v, double units);
double quota_view_level(const struct quota_view *v,
    const struct quota_limit *limit, uint64_t now_us, uint32_t n_gateways);
struct quota_result quota_take(struct quota_view *v,
    const struct quota_limit *limit, uint64_t now_us, uint32_t n_gateways,
    double units);
struct quota_result quota_take_offline(struct quota_view *v,
    const struct quota_limit *limit, uint64_t now_us, uint32_t n_gateways,
    double units, double draw);
uint64_t quota_view_settle(struct quota_view *v);
bool quota_view_is_offline(const struct quota_view *v, uint64_t now_us);
bool quota_should_report(
    const struct quota_view *v, const struct quota_limit *limit);

#endif
