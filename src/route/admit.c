#include "route/admit.h"

#include <assert.h>
#include <glib.h>
#include <math.h>

#include "base/inv.h"
#include "base/timerq.h"

/// Weight of the newest request in smoothed figures.
#define SMOOTH 0.05

#define MIN_RETRY_MS 100
#define MAX_RETRY_MS 30000

/// With so many customers, idle ones are evicted when a new one comes.
#define MAX_CUSTOMERS 4096

struct customer {
	uint32_t weight;
	bool configured; ///< Set by admit_set_customer(); never evicted.
	double finish;   ///< Virtual time at which its work so far is done.
	uint64_t started_tokens;
	uint64_t queued_tokens;
	uint32_t n; ///< Requests queued or started.
};

enum ticket_state {
	QUEUED,
	STARTED,
	DROPPED, ///< To be refused by admit_next().
};

struct ticket {
	handle_t self;
	enum ticket_state state;
	struct customer *customer;
	uint32_t tokens;
	uint32_t output_tokens;
	uint32_t window_tokens; ///< Tokens that it has in the window.
	double token_us;        ///< Sum of window_tokens times microseconds.
	double start;           ///< Virtual time at which it may start.
	double key; ///< Order in the queue: start, shifted by priority.
	uint64_t offered_us;
	uint64_t latest_us; ///< It must start by then.
	uint64_t started_us;
	uint64_t target_us; ///< For the time to first token; 0: none.
	uint64_t first_token_at_us;
	bool has_first_token;
	uint64_t tag;
	GSequenceIter *by_key;
	GSequenceIter *by_latest;
};

struct admit {
	struct admit_params params;
	struct slotmap *tickets;
	GHashTable *customers;
	GSequence *queue;  ///< Queued tickets, by key.
	GSequence *latest; ///< The same tickets, by latest start.
	GQueue dropped;    ///< Tickets in state DROPPED.
	double virtual_now;
	double max_finish;
	double window;
	uint64_t started_tokens;
	uint64_t queued_tokens;
	double mean_tokens;   ///< Smoothed, of ended requests.
	double mean_token_us; ///< Smoothed token_us of ended requests.
	uint64_t round_us;    ///< When the round of samples began.
	uint64_t resized_us;  ///< Requests started before don't count.
	uint32_t round_n;
	uint32_t round_missed;
	bool round_limited;   ///< The window was full.
	double active_weight; ///< Sum over customers with requests here.
	bool available;
	uint64_t refused;
};

const struct admit_params admit_defaults = {
	.window_tokens = 40000,
	.min_window_tokens = 2000,
	.max_window_tokens = 10000000,
	.max_queued = 1000,
	.max_wait_us = 2 * USEC_PER_SEC,
	.priority_lead_tokens = 4000,
	.burst_tokens = 4000,
	.growth_percent = 20,
	.shrink_percent = 10,
	.miss_percent = 24,
	.round_samples = 20,
	.round_us = 200 * USEC_PER_MSEC,
};

/// Makes the admission control of one pool.
///
/// @param params  copied; see admit_defaults
/// @return to be freed with admit_free()
struct admit *
admit_new(const struct admit_params *params)
{
	struct admit *a = g_new0(struct admit, 1);

	a->params = *params;
	a->tickets = slotmap_new(sizeof(struct ticket));
	a->customers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	a->queue = g_sequence_new(NULL);
	a->latest = g_sequence_new(NULL);
	g_queue_init(&a->dropped);
	a->window = params->window_tokens;
	a->available = true;
	return a;
}

/// Frees an admission control; NULL is allowed.
void
admit_free(struct admit *a)
{
	if (a == NULL)
		return;
	g_sequence_free(a->queue);
	g_sequence_free(a->latest);
	g_queue_clear(&a->dropped);
	g_hash_table_destroy(a->customers);
	slotmap_free(a->tickets);
	g_free(a);
}

static gboolean
is_evictable(gpointer key, gpointer value, gpointer arg)
{
	const struct customer *c = value;
	const struct admit *a = arg;

	(void)key;
	return c->n == 0 && !c->configured && c->finish <= a->virtual_now;
}

static struct customer *
customer_of(struct admit *a, const char *name)
{
	struct customer *c = g_hash_table_lookup(a->customers, name);

	if (c != NULL)
		return c;
	if (g_hash_table_size(a->customers) >= MAX_CUSTOMERS)
		g_hash_table_foreach_remove(a->customers, is_evictable, a);
	c = g_new0(struct customer, 1);
	c->weight = 1;
	g_hash_table_insert(a->customers, g_strdup(name), c);
	return c;
}

void
admit_set_customer(struct admit *a, const char *name, uint32_t weight)
{
	struct customer *c = customer_of(a, name);

	if (c->n > 0)
		a->active_weight -= c->weight;
	c->weight = weight == 0 ? 1 : weight;
	if (c->n > 0)
		a->active_weight += c->weight;
	c->configured = true;
}

void
admit_set_available(struct admit *a, bool available)
{
	a->available = available;
}

/// Tokens a second that the pool completes for this entry when the window is
/// full: by Little's law, the window over the time that a token stays in it.
/// 0 when no request has ended yet.
static double
drain_rate(const struct admit *a)
{
	if (a->mean_token_us <= 0)
		return 0;
	return a->window * a->mean_tokens * (double)USEC_PER_SEC /
	    a->mean_token_us;
}

/// Tokens of the queued tickets with this key or a lower one.
static double
tokens_up_to(const struct admit *a, double key)
{
	GSequenceIter *i = g_sequence_get_begin_iter(a->queue);
	double tokens = 0;

	for (; !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i)) {
		const struct ticket *t = g_sequence_get(i);

		if (t->key > key)
			break;
		tokens += t->tokens;
	}
	return tokens;
}

/// Time until the window has room for a new ticket; 0 when the drain rate isn't
/// known.
static uint64_t
estimate_wait_us(const struct admit *a, const struct ticket *t)
{
	const double rate = drain_rate(a);
	double tokens = tokens_up_to(a, t->key);

	tokens += (double)a->started_tokens - a->window;
	if (rate <= 0 || tokens <= 0)
		return 0;
	return (uint64_t)(tokens / rate * (double)USEC_PER_SEC);
}

static gint
compare_key(gconstpointer x, gconstpointer y, gpointer arg)
{
	const struct ticket *a = x;
	const struct ticket *b = y;

	(void)arg;
	if (a->key != b->key)
		return a->key < b->key ? -1 : 1;
	return a->self < b->self ? -1 : a->self > b->self;
}

static gint
compare_latest(gconstpointer x, gconstpointer y, gpointer arg)
{
	const struct ticket *a = x;
	const struct ticket *b = y;

	(void)arg;
	if (a->latest_us != b->latest_us)
		return a->latest_us < b->latest_us ? -1 : 1;
	return a->self < b->self ? -1 : a->self > b->self;
}

static uint32_t
retry_after_ms(uint64_t wait_us)
{
	const uint64_t ms = wait_us / USEC_PER_MSEC;

	return (uint32_t)CLAMP(ms, MIN_RETRY_MS, MAX_RETRY_MS);
}

/// Whether a customer has more of the queued and started work than its weight
/// gives it.
static bool
is_over_share(const struct admit *a, const struct customer *self)
{
	const double own = (double)(self->started_tokens + self->queued_tokens);
	const double all = (double)(a->started_tokens + a->queued_tokens);
	const double weights = a->active_weight;

	return weights > self->weight && own * weights > all * self->weight;
}

static struct admit_decision
make_decision(
    const struct ticket *t, enum admit_action action, enum admit_reason reason)
{
	return (struct admit_decision){
		.action = action,
		.reason = reason,
		.ticket = t->self,
		.tag = t->tag,
	};
}

/// Removes a ticket, and its customer from the active ones if it was the last.
static void
remove_ticket(struct admit *a, struct ticket *t)
{
	t->customer->n--;
	if (t->customer->n == 0)
		a->active_weight -= t->customer->weight;
	slotmap_remove(a->tickets, t->self);
}

static void
unqueue(struct admit *a, struct ticket *t)
{
	g_sequence_remove(t->by_key);
	g_sequence_remove(t->by_latest);
	a->queued_tokens -= t->tokens;
	t->customer->queued_tokens -= t->tokens;
}

/// Refunds what a customer was charged for a request that did not run.
static void
refund(struct ticket *t)
{
	t->customer->finish -= (double)t->tokens / t->customer->weight;
}

static struct admit_decision
refuse_ticket(struct admit *a, struct ticket *t, enum admit_reason reason,
    uint64_t wait_us)
{
	struct admit_decision d = make_decision(t, ADMIT_REFUSE, reason);

	d.wait_us = wait_us;
	d.retry_after_ms = retry_after_ms(wait_us);
	inv_check(t->state != STARTED, "admission.refused_not_run", "tag=%lu",
	    (unsigned long)t->tag);
	refund(t);
	remove_ticket(a, t);
	a->refused++;
	return d;
}

static bool
has_room(const struct admit *a)
{
	return (double)a->started_tokens < a->window;
}

static struct admit_decision
start_ticket(struct admit *a, uint64_t now_us, struct ticket *t)
{
	t->state = STARTED;
	t->started_us = now_us;
	t->window_tokens = t->tokens;
	a->started_tokens += t->tokens;
	t->customer->started_tokens += t->tokens;
	if (t->start > a->virtual_now)
		a->virtual_now = t->start;
	return make_decision(t, ADMIT_START, ADMIT_OK);
}

/// Charges a request to its customer in virtual time (start-time fair queueing)
/// and sets its place in the queue, with a bounded lead for each priority.
static void
charge(struct admit *a, struct ticket *t, uint32_t priority)
{
	struct customer *c = t->customer;
	double credit;

	if (a->started_tokens == 0 && g_sequence_is_empty(a->queue))
		a->virtual_now = MAX(a->virtual_now, a->max_finish);
	credit = (double)a->params.burst_tokens / c->weight;
	t->start = MAX(a->virtual_now - credit, c->finish);
	c->finish = t->start + (double)t->tokens / c->weight;
	a->max_finish = MAX(a->max_finish, c->finish);
	/* The lead is in tokens of all customers together. Virtual time
	 * advances by their tokens divided by the active weight. */
	t->key = t->start +
	    (double)priority * a->params.priority_lead_tokens /
		a->active_weight;
}

static struct ticket *
new_ticket(
    struct admit *a, uint64_t now_us, const struct admit_request *request)
{
	const uint64_t limit = now_us + a->params.max_wait_us;
	struct ticket *t;
	void *item;
	const handle_t handle = slotmap_add(a->tickets, &item);

	t = item;
	t->self = handle;
	t->customer = customer_of(a, request->customer);
	if (t->customer->n++ == 0)
		a->active_weight += t->customer->weight;
	t->tokens = MAX(request->tokens, 1);
	t->output_tokens = MIN(request->output_tokens, t->tokens);
	t->offered_us = now_us;
	t->latest_us =
	    request->latest_start_us == 0 ? limit : request->latest_start_us;
	t->target_us = request->first_token_us;
	t->tag = request->tag;
	charge(a, t, request->priority);
	return t;
}

/// Makes room in a full queue: drops its last request if that comes after t.
///
/// @return false when t itself would be the last
static bool
drop_last(struct admit *a, const struct ticket *t)
{
	GSequenceIter *end = g_sequence_get_end_iter(a->queue);
	struct ticket *last = g_sequence_get(g_sequence_iter_prev(end));

	if (last->key <= t->key)
		return false;
	unqueue(a, last);
	last->state = DROPPED;
	g_queue_push_tail(&a->dropped, last);
	return true;
}

static struct admit_decision
enqueue(struct admit *a, struct ticket *t, uint64_t wait_us)
{
	struct admit_decision d = make_decision(t, ADMIT_QUEUED, ADMIT_WAIT);

	t->state = QUEUED;
	t->by_key = g_sequence_insert_sorted(a->queue, t, compare_key, NULL);
	t->by_latest =
	    g_sequence_insert_sorted(a->latest, t, compare_latest, NULL);
	a->queued_tokens += t->tokens;
	t->customer->queued_tokens += t->tokens;
	d.wait_us = wait_us;
	return d;
}

/// Offers a request: it starts, is queued, or is refused at once.
void
admit_offer(struct admit *a, uint64_t now_us,
    const struct admit_request *request, struct admit_decision *out)
{
	struct ticket *t = new_ticket(a, now_us, request);
	uint64_t wait_us;

	if (!a->available) {
		*out = refuse_ticket(a, t, ADMIT_NO_CAPACITY, USEC_PER_SEC);
		return;
	}
	/* With nothing in flight, only a wrong estimate can make it late, and
	 * only starting it can correct the estimate. */
	if (t->latest_us < now_us && a->started_tokens > 0) {
		*out =
		    refuse_ticket(a, t, ADMIT_TOO_LATE, now_us - t->latest_us);
		return;
	}
	if (g_sequence_is_empty(a->queue) && has_room(a)) {
		*out = start_ticket(a, now_us, t);
		return;
	}
	a->round_limited = true;
	wait_us = estimate_wait_us(a, t);
	if (now_us + wait_us > t->latest_us) {
		const bool over = is_over_share(a, t->customer);

		*out = refuse_ticket(
		    a, t, over ? ADMIT_OVER_SHARE : ADMIT_TOO_LATE, wait_us);
		return;
	}
	if ((uint32_t)g_sequence_get_length(a->queue) >= a->params.max_queued &&
	    !drop_last(a, t)) {
		*out = refuse_ticket(a, t, ADMIT_OVER_SHARE, wait_us);
		return;
	}
	*out = enqueue(a, t, wait_us);
}

/// A queued request that can no longer start in time, or NULL.
static struct ticket *
expired_ticket(const struct admit *a, uint64_t now_us)
{
	struct ticket *t;

	if (g_sequence_is_empty(a->latest))
		return NULL;
	t = g_sequence_get(g_sequence_get_begin_iter(a->latest));
	return t->latest_us < now_us ? t : NULL;
}

/// Returns the next queued request that starts or is refused now, and
/// ADMIT_NOTHING when there is none.
void
admit_next(struct admit *a, uint64_t now_us, struct admit_decision *out)
{
	struct ticket *t = g_queue_pop_head(&a->dropped);

	if (t != NULL) {
		*out = refuse_ticket(
		    a, t, ADMIT_OVER_SHARE, a->params.max_wait_us);
		return;
	}
	t = expired_ticket(a, now_us);
	if (t != NULL) {
		unqueue(a, t);
		*out =
		    refuse_ticket(a, t, ADMIT_TOO_LATE, now_us - t->offered_us);
		return;
	}
	if (g_sequence_is_empty(a->queue) || (a->available && !has_room(a))) {
		*out = (struct admit_decision){ .action = ADMIT_NOTHING };
		return;
	}
	t = g_sequence_get(g_sequence_get_begin_iter(a->queue));
	unqueue(a, t);
	if (a->available)
		*out = start_ticket(a, now_us, t);
	else
		*out = refuse_ticket(a, t, ADMIT_NO_CAPACITY, USEC_PER_SEC);
}

void
admit_cancel(struct admit *a, uint64_t now_us, handle_t ticket)
{
	struct ticket *t = slotmap_get(a->tickets, ticket);

	(void)now_us;
	if (t == NULL || t->state == STARTED)
		return;
	if (t->state == QUEUED)
		unqueue(a, t);
	else
		(void)g_queue_remove(&a->dropped, t);
	refund(t);
	remove_ticket(a, t);
}

/// Resizes the window after a round: smaller when too many samples missed their
/// target, larger when few did and the window was full.
static void
end_round(struct admit *a, uint64_t now_us)
{
	const uint32_t percent = a->round_missed * 100 / a->round_n;
	const double min_tokens = a->params.min_window_tokens;
	const double max_tokens = a->params.max_window_tokens;

	if (percent > a->params.miss_percent) {
		a->window -= a->window * a->params.shrink_percent / 100;
		a->resized_us = now_us;
	} else if (percent < a->params.miss_percent / 2 && a->round_limited) {
		a->window += a->window * a->params.growth_percent / 100;
		a->resized_us = now_us;
	}
	a->window = CLAMP(a->window, min_tokens, max_tokens);
	a->round_us = now_us;
	a->round_n = 0;
	a->round_missed = 0;
	a->round_limited = false;
}

/// Counts a request in the round, unless it started before the window was last
/// resized.
static void
count_sample(
    struct admit *a, uint64_t now_us, const struct ticket *t, bool missed)
{
	if (t->started_us < a->resized_us)
		return;
	a->round_n++;
	a->round_missed += missed;
	if (a->round_n >= a->params.round_samples &&
	    now_us >= a->round_us + a->params.round_us)
		end_round(a, now_us);
}

/// Whether a first token came late. Time in the queue here counts for at most
/// half of the target, since a smaller window would only lengthen the queue.
static bool
is_late(const struct ticket *t, uint64_t now_us)
{
	const uint64_t queued_us = t->started_us - t->offered_us;
	const uint64_t counted_us = MIN(queued_us, t->target_us / 2);

	return now_us - t->started_us > t->target_us - counted_us;
}

/// Subtracts completed work of a started ticket from the tokens in flight,
/// which the window limits, and from those of its customer.
static void
release_tokens(struct admit *a, struct ticket *t, uint32_t tokens)
{
	t->window_tokens -= tokens;
	a->started_tokens -= tokens;
	t->customer->started_tokens -= tokens;
}

void
admit_first_token(struct admit *a, uint64_t now_us, handle_t ticket)
{
	struct ticket *t = slotmap_get(a->tickets, ticket);

	if (t == NULL || t->state != STARTED || t->has_first_token)
		return;
	t->has_first_token = true;
	t->first_token_at_us = now_us;
	t->token_us = (double)(now_us - t->started_us) * t->window_tokens;
	release_tokens(a, t, t->window_tokens - t->output_tokens);
	/* Without a target, a long prompt would look late. */
	if (t->target_us != 0)
		count_sample(a, now_us, t, is_late(t, now_us));
}

static void
smooth(double *value, double sample)
{
	if (*value <= 0)
		*value = sample;
	else
		*value += SMOOTH * (sample - *value);
}

void
admit_end(struct admit *a, uint64_t now_us, handle_t ticket, uint32_t tokens,
    bool overloaded)
{
	struct ticket *t = slotmap_get(a->tickets, ticket);
	struct customer *c;
	uint64_t since_us;

	if (t == NULL || t->state != STARTED)
		return;
	c = t->customer;
	since_us = t->has_first_token ? t->first_token_at_us : t->started_us;
	t->token_us += (double)(now_us - since_us) * t->window_tokens;
	release_tokens(a, t, t->window_tokens);
	if (overloaded) {
		count_sample(a, now_us, t, true);
	} else {
		smooth(&a->mean_tokens, t->tokens);
		smooth(&a->mean_token_us, t->token_us);
	}
	c->finish += ((double)tokens - t->tokens) / c->weight;
	remove_ticket(a, t);
}

uint64_t
admit_next_wake_us(const struct admit *a)
{
	const struct ticket *t;

	if (!g_queue_is_empty((GQueue *)&a->dropped))
		return 0;
	if (g_sequence_is_empty(a->latest))
		return UINT64_MAX;
	t = g_sequence_get(g_sequence_get_begin_iter(a->latest));
	return t->latest_us + 1;
}

/// Reports the state of admission, for status and metrics.
void
admit_stats(const struct admit *a, struct admit_stats *out)
{
	*out = (struct admit_stats){
		.window_tokens = (uint64_t)a->window,
		.started_tokens = a->started_tokens,
		.queued_tokens = a->queued_tokens,
		.queued = (uint32_t)g_sequence_get_length(a->queue),
		.tokens_per_s = drain_rate(a),
		.refused = a->refused,
	};
}
