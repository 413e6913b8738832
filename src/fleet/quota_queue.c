#include "fleet/quota_queue.h"

#include <assert.h>
#include <math.h>

#include <glib.h>

#define US_PER_S 1e6
/// Asks of one customer that wait; more are refused.
#define MAX_ASKS 256
/// Time constant of a priority's demand.
#define DEMAND_S 1.0
/// A priority below this part of the refill doesn't count among those that
/// divide it.
#define ACTIVE_PART 0.005
/// Part of its demand that a priority is granted, compared with that of the
/// next higher one, and the number of priorities over which it falls.
#define SHARE_STEP 0.25
#define MAX_STEPS 2
/// A lower priority leaves the units that higher ones request in this time, but
/// no more than this part of the bucket.
#define RESERVE_S 0.5
#define RESERVE_MAX_PART 0.1
/// Part of the refill that is taken to be free for callers that return while
/// the demand leaves less.
#define RETURN_PART 0.125
/// Shortest and longest time until a refused caller may return.
#define MIN_RETRY_US 100000
#define MAX_RETRY_US 30000000
/// A request of at most this part of the average one goes first whatever its
/// priority: all of them together take next to nothing from the others.
#define TINY_PART 0.125
/// Weight of the newest ask in the average.
#define MEAN_WEIGHT 0.02
/// Parts of the latency target, and of the caller's remaining time, that a
/// request may wait; the rest is for serving it.
#define TARGET_DIVISOR 3
#define LEFT_DIVISOR 4
/// Part of its route's time that a caller must lack to be taken to come back.
#define SPENT_DIVISOR 4
/// An ask is refused at once if its expected wait is a larger part of the
/// longest: more urgent ones may come before it.
#define EXPECTED_PART 0.6
/// A request passes others by its size for at most this part of its wait.
#define SIZE_DIVISOR 16

/// Levels: tiny requests, the priorities of others, and late requests.
#define TINY_LEVEL 0
#define N_LEVELS (QUOTA_LATE + 2)

struct waiting {
	struct quota_ask ask;
	uint32_t level; ///< index into `levels`
	uint64_t added_us;
	uint64_t latest_us;
	double key; ///< the lowest of a level is first
};

struct level {
	double tag;   ///< virtual time at which its grants so far are paid
	double units; ///< requested, which count less with time
	uint64_t units_us;
};

struct quota_queue {
	GArray *asks; ///< struct waiting
	struct level levels[N_LEVELS];
	double virtual_time;
	double mean_units; ///< of an ask; 0: there was none
	uint64_t line_us;  ///< end of the returns that were handed out
};

/// Derives how long a request can wait for a grant. A caller that names much
/// less time than its route gives is taken to have spent the difference on
/// earlier tries; callers' times vary by a smaller part.
///
/// @param target_us   latency target of the route; 0: none
/// @param timeout_us  of the route
/// @param left_us     time that the caller named; 0: none
/// @param held_us     since the request came
struct quota_patience
quota_patience(
    uint64_t target_us, uint64_t timeout_us, uint64_t left_us, uint64_t held_us)
{
	const uint64_t whole_us = left_us > 0 ? left_us : timeout_us;
	const uint64_t spent_us =
	    timeout_us > whole_us ? timeout_us - whole_us : 0;
	struct quota_patience p = {
		.left_us = whole_us > held_us ? whole_us - held_us : 0,
		.late = target_us > 0 && spent_us >= target_us &&
		    spent_us >= timeout_us / SPENT_DIVISOR,
	};

	p.wait_us = p.left_us / LEFT_DIVISOR;
	if (target_us == 0)
		return p;
	p.wait_us = MIN(p.wait_us, target_us / TARGET_DIVISOR);
	p.wait_us -= MIN(p.wait_us, held_us);
	return p;
}

/// Priority of a request among those of its customer.
uint32_t
quota_priority(uint32_t route_priority, bool late)
{
	return late ? QUOTA_LATE : MIN(route_priority, QUOTA_LATE - 1);
}

/// Makes an empty queue, to be released with quota_queue_free().
struct quota_queue *
quota_queue_new(void)
{
	struct quota_queue *q = g_new0(struct quota_queue, 1);

	q->asks = g_array_new(FALSE, FALSE, sizeof(struct waiting));
	return q;
}

/// Releases a queue; NULL is allowed.
void
quota_queue_free(struct quota_queue *q)
{
	if (q == NULL)
		return;
	g_array_unref(q->asks);
	g_free(q);
}

static struct waiting *
at(const struct quota_queue *q, guint i)
{
	return &g_array_index(q->asks, struct waiting, i);
}

static double
demand_per_s(const struct level *l, uint64_t now_us)
{
	const double age_s = (double)(now_us - l->units_us) / US_PER_S;

	return l->units * exp(-age_s / DEMAND_S) / DEMAND_S;
}

static void
count_demand(struct level *l, uint64_t now_us, double units)
{
	l->units = demand_per_s(l, now_us) * DEMAND_S + units;
	l->units_us = now_us;
}

static bool
is_active(const struct quota_queue *q, uint32_t level,
    const struct quota_limit *limit, uint64_t now_us)
{
	return demand_per_s(&q->levels[level], now_us) >
	    ACTIVE_PART * limit->rate_per_s;
}

/// Weight of a level's share in the refill: a level that requests more of the
/// quota gets more, and one after others that have requests gets less.
static double
weight_of(const struct quota_queue *q, uint32_t level,
    const struct quota_limit *limit, uint64_t now_us)
{
	double weight = fmax(demand_per_s(&q->levels[level], now_us),
	    ACTIVE_PART * limit->rate_per_s);
	uint32_t steps = 0;

	for (uint32_t i = TINY_LEVEL + 1; i < level && steps < MAX_STEPS; i++) {
		if (is_active(q, i, limit, now_us)) {
			weight *= SHARE_STEP;
			steps++;
		}
	}
	return weight;
}

/// Units per second that all levels before `level` request.
static double
demand_before(const struct quota_queue *q, uint32_t level, uint64_t now_us)
{
	double sum = 0;

	for (uint32_t i = 0; i < level; i++)
		sum += demand_per_s(&q->levels[i], now_us);
	return sum;
}

/// Part of the refill that a level gets while all others have requests; tiny
/// ones take next to nothing.
static double
share_of(const struct quota_queue *q, uint32_t level,
    const struct quota_limit *limit, uint64_t now_us)
{
	const double own = weight_of(q, level, limit, now_us);
	double all = 0;

	if (level == TINY_LEVEL)
		return 1;
	for (uint32_t i = TINY_LEVEL + 1; i < N_LEVELS; i++) {
		if (i == level || is_active(q, i, limit, now_us))
			all += weight_of(q, i, limit, now_us);
	}
	return own / all;
}

/// Units that a level leaves in the bucket for those before it.
static double
reserve_of(const struct quota_queue *q, uint32_t level,
    const struct quota_limit *limit, uint64_t now_us)
{
	return fmin(demand_before(q, level, now_us) * RESERVE_S,
	    quota_capacity(limit) * RESERVE_MAX_PART);
}

static double
start_tag(const struct quota_queue *q, uint32_t level)
{
	return fmax(q->levels[level].tag, q->virtual_time);
}

/// Whether `a` is granted before `b`.
static bool
goes_before(const struct quota_queue *q, const struct waiting *a,
    const struct waiting *b)
{
	const double x = start_tag(q, a->level);
	const double y = start_tag(q, b->level);

	if (a->level == b->level)
		return a->key < b->key;
	if (a->level == TINY_LEVEL || b->level == TINY_LEVEL)
		return a->level == TINY_LEVEL;
	return x < y || (x <= y && a->level < b->level);
}

/// Time until the bucket is expected to have units for an ask: when those that
/// go first are granted, beside what their priorities go on to request, or by
/// the share of its own priority, whichever is sooner.
static double
expected_wait_s(const struct quota_queue *q, const struct quota_bucket *bucket,
    const struct quota_limit *limit, uint64_t now_us, const struct waiting *w)
{
	const double refill = quota_bucket_refill_per_s(bucket, limit);
	const double left = refill - demand_before(q, w->level, now_us);
	const double share = refill * share_of(q, w->level, limit, now_us);
	const double debt =
	    reserve_of(q, w->level, limit, now_us) - bucket->level;
	double ahead = debt;
	double own = fmax(-bucket->level, 0);
	double wait_s = MAX_RETRY_US / US_PER_S;

	for (guint i = 0; i < q->asks->len; i++) {
		const struct waiting *other = at(q, i);

		if (other->level < w->level ||
		    (other->level == w->level && other->key < w->key))
			ahead += other->ask.units;
		if (other->level == w->level && other->key < w->key)
			own += other->ask.units;
	}
	if (ahead <= 0)
		return 0;
	if (left > 0)
		wait_s = fmin(wait_s, ahead / left);
	if (share > 0)
		wait_s = fmin(wait_s, own / share);
	return wait_s;
}

/// Hands out the time after which a refused caller may return.
static uint64_t
hand_out_return(struct quota_queue *q, const struct quota_bucket *bucket,
    const struct quota_limit *limit, uint64_t now_us, const struct waiting *w,
    uint64_t room_us)
{
	const double refill = quota_bucket_refill_per_s(bucket, limit);
	const double unused = refill - demand_before(q, N_LEVELS, now_us);
	const double room = fmax(unused, refill * RETURN_PART);
	const uint64_t at_us =
	    MAX(now_us + MAX(room_us, MIN_RETRY_US), q->line_us);
	const uint64_t retry_us = MIN(at_us - now_us, MAX_RETRY_US);

	if (room > 0 && retry_us < w->ask.patience.left_us)
		q->line_us = at_us + (uint64_t)(w->ask.units / room * US_PER_S);
	return retry_us;
}

static struct quota_decision
refuse(struct quota_queue *q, const struct quota_bucket *bucket,
    const struct quota_limit *limit, uint64_t now_us, const struct waiting *w)
{
	const double wait_s = expected_wait_s(q, bucket, limit, now_us, w);
	const uint64_t room_us =
	    (uint64_t)fmin(wait_s * US_PER_S, MAX_RETRY_US);

	return (struct quota_decision){
		.kind = QUOTA_REFUSE,
		.ask = w->ask,
		.waited_us = now_us - w->added_us,
		.retry_us =
		    hand_out_return(q, bucket, limit, now_us, w, room_us),
		.room_us = room_us,
	};
}

static uint32_t
level_of(const struct quota_queue *q, const struct quota_ask *ask)
{
	const struct quota_patience *p = &ask->patience;

	if (!p->late && ask->units <= q->mean_units * TINY_PART)
		return TINY_LEVEL;
	return TINY_LEVEL + 1 + quota_priority(ask->priority, p->late);
}

static void
count_size(struct quota_queue *q, double units)
{
	if (q->mean_units <= 0)
		q->mean_units = units;
	q->mean_units += (units - q->mean_units) * MEAN_WEIGHT;
}

/// Adds an ask, or refuses it at once when no units are expected for it in
/// time. Calls of quota_queue_next() then decide on what can be decided.
///
/// @return a refusal, or QUOTA_NONE
struct quota_decision
quota_queue_add(struct quota_queue *q, struct quota_bucket *bucket,
    const struct quota_limit *limit, uint64_t now_us,
    const struct quota_ask *ask)
{
	const struct quota_patience *p = &ask->patience;
	const uint32_t level = level_of(q, ask);
	const double size_us = limit->rate_per_s > 0
	    ? ask->units / limit->rate_per_s * US_PER_S
	    : 0;
	const struct waiting w = {
		.ask = *ask,
		.level = level,
		.added_us = now_us,
		.latest_us = now_us + p->wait_us,
		.key = (double)now_us +
		    fmin(size_us, (double)p->wait_us / SIZE_DIVISOR),
	};

	quota_bucket_want(bucket, now_us, ask->units);
	quota_bucket_refill(bucket, limit, now_us);
	count_demand(&q->levels[level], now_us, ask->units);
	count_size(q, ask->units);
	if (limit->rate_per_s > 0 &&
	    (q->asks->len >= MAX_ASKS ||
		expected_wait_s(q, bucket, limit, now_us, &w) * US_PER_S >
		    (double)p->wait_us * EXPECTED_PART))
		return refuse(q, bucket, limit, now_us, &w);
	g_array_append_val(q->asks, w);
	return (struct quota_decision){ .kind = QUOTA_NONE };
}

/// The ask that is granted next; the queue isn't empty.
static guint
first(const struct quota_queue *q)
{
	guint best = 0;

	assert(q->asks->len > 0);
	for (guint i = 1; i < q->asks->len; i++) {
		if (goes_before(q, at(q, i), at(q, best)))
			best = i;
	}
	return best;
}

/// Units that the bucket must have more than for an ask to be granted. A
/// priority whose turn it is by share, with higher ones waiting, leaves them
/// nothing.
static double
level_needed(const struct quota_queue *q, const struct quota_limit *limit,
    uint64_t now_us, const struct waiting *w)
{
	for (guint i = 0; i < q->asks->len; i++) {
		if (at(q, i)->level < w->level)
			return 0;
	}
	return reserve_of(q, w->level, limit, now_us);
}

static void
charge(struct quota_queue *q, const struct quota_limit *limit, uint64_t now_us,
    const struct waiting *w)
{
	const double start = start_tag(q, w->level);

	if (w->level == TINY_LEVEL)
		return;
	q->levels[w->level].tag =
	    start + w->ask.units / weight_of(q, w->level, limit, now_us);
	q->virtual_time = start;
}

/// Decides on the next ask that can be decided now: a grant, or a refusal of
/// one that can wait no longer. It leaves the queue.
struct quota_decision
quota_queue_next(struct quota_queue *q, struct quota_bucket *bucket,
    const struct quota_limit *limit, uint64_t now_us)
{
	struct quota_decision d = { .kind = QUOTA_NONE };
	struct waiting w;
	guint i;

	quota_bucket_refill(bucket, limit, now_us);
	if (q->asks->len == 0)
		return d;
	i = first(q);
	w = *at(q, i);
	if (limit->rate_per_s <= 0 ||
	    bucket->level > level_needed(q, limit, now_us, &w)) {
		g_array_remove_index_fast(q->asks, i);
		charge(q, limit, now_us, &w);
		quota_bucket_spend(bucket, limit, now_us, w.ask.units);
		d = (struct quota_decision){
			.kind = QUOTA_GRANT,
			.ask = w.ask,
			.waited_us = now_us - w.added_us,
		};
		return d;
	}
	for (i = 0; i < q->asks->len; i++) {
		w = *at(q, i);
		if (now_us < w.latest_us)
			continue;
		g_array_remove_index_fast(q->asks, i);
		return refuse(q, bucket, limit, now_us, &w);
	}
	return d;
}

/// When quota_queue_next() may decide on another ask; 0: the queue is empty.
uint64_t
quota_queue_wake_us(const struct quota_queue *q, struct quota_bucket *bucket,
    const struct quota_limit *limit, uint64_t now_us)
{
	const double refill = quota_bucket_refill_per_s(bucket, limit);
	uint64_t wake_us = UINT64_MAX;
	const struct waiting *w;
	double missing;

	if (q->asks->len == 0)
		return 0;
	for (guint i = 0; i < q->asks->len; i++)
		wake_us = MIN(wake_us, at(q, i)->latest_us);
	w = at(q, first(q));
	missing = level_needed(q, limit, now_us, w) - bucket->level;
	if (refill > 0)
		wake_us = MIN(wake_us,
		    now_us + 1 +
			(uint64_t)(fmax(missing, 0) / refill * US_PER_S));
	return wake_us;
}

/// Number of asks that wait.
uint32_t
quota_queue_length(const struct quota_queue *q)
{
	return q->asks->len;
}

/// Index of an ask, or the length of the queue.
static guint
find(const struct quota_queue *q, uint64_t link, uint64_t tag)
{
	guint i = 0;

	while (i < q->asks->len &&
	    (at(q, i)->ask.link != link || at(q, i)->ask.tag != tag))
		i++;
	return i;
}

/// Whether an ask is waiting.
bool
quota_queue_has(const struct quota_queue *q, uint64_t link, uint64_t tag)
{
	return find(q, link, tag) < q->asks->len;
}

/// Removes an ask whose request was decided otherwise.
///
/// @return whether it was waiting
bool
quota_queue_withdraw(struct quota_queue *q, uint64_t link, uint64_t tag)
{
	const guint i = find(q, link, tag);

	if (i == q->asks->len)
		return false;
	g_array_remove_index_fast(q->asks, i);
	return true;
}

/// Removes the asks of a gateway that has left.
void
quota_queue_drop_link(struct quota_queue *q, uint64_t link)
{
	for (guint i = q->asks->len; i-- > 0;) {
		if (at(q, i)->ask.link == link)
			g_array_remove_index_fast(q->asks, i);
	}
}
