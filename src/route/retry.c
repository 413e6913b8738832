#include "route/retry.h"

#include <assert.h>
#include <glib.h>
#include <math.h>
#include <string.h>

#include "base/inv.h"
#include "base/timerq.h"

/// The window is divided into SPANS time spans. One more span is counted, so
/// that the count always covers the whole window.
#define SPANS 20
#define BUCKETS (SPANS + 1)

/// Upper limits of the latency buckets start at LATENCY_FIRST_US and grow by
/// LATENCY_GROWTH.
#define LATENCY_BUCKETS 80
#define LATENCY_FIRST_US 100.0
#define LATENCY_GROWTH 1.25

/// A route's counts are halved when they reach this sum, so that old latencies
/// lose weight.
#define LATENCY_MAX_COUNT 2000

/// Counts of one time span.
struct bucket {
	uint64_t number; ///< Of the span: its start divided by its length.
	uint64_t requests;
	uint64_t extra;
};

/// Latency histogram of one route.
struct latencies {
	uint32_t n;
	uint32_t counts[LATENCY_BUCKETS];
};

struct retry {
	struct retry_params params;
	struct bucket buckets[BUCKETS];
	GHashTable *routes; ///< name -> struct latencies
	uint64_t budget_denials;
};

const struct retry_params retry_defaults = {
	.budget_percent = 10,
	.budget_floor = 3,
	.window_us = 10 * USEC_PER_SEC,
	.max_attempts = 3,
	.backoff_us = 10 * USEC_PER_MSEC,
	.backoff_max_us = 1 * USEC_PER_SEC,
	.hedge_quantile = 0.95,
	.hedge_min_samples = 100,
};

/// Makes a budget of retries and hedges.
///
/// @param params  copied; see retry_defaults
/// @return to be freed with retry_free()
struct retry *
retry_new(const struct retry_params *params)
{
	struct retry *t = g_new0(struct retry, 1);

	assert(params->window_us >= SPANS);
	t->params = *params;
	t->routes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return t;
}

/// Frees a budget; NULL is allowed.
void
retry_free(struct retry *t)
{
	if (t == NULL)
		return;
	g_hash_table_destroy(t->routes);
	g_free(t);
}

static uint64_t
bucket_number(const struct retry *t, uint64_t now_us)
{
	return now_us / (t->params.window_us / SPANS);
}

static struct bucket *
bucket_at(struct retry *t, uint64_t now_us)
{
	const uint64_t number = bucket_number(t, now_us);
	struct bucket *b = &t->buckets[number % BUCKETS];

	if (b->number != number)
		*b = (struct bucket){ .number = number };
	return b;
}

/// Counts the requests and extra attempts in the window that ends now.
static void
sum_window(
    const struct retry *t, uint64_t now_us, uint64_t *requests, uint64_t *extra)
{
	const uint64_t number = bucket_number(t, now_us);

	*requests = 0;
	*extra = 0;
	for (size_t i = 0; i < BUCKETS; i++) {
		const struct bucket *b = &t->buckets[i];

		if (b->number + BUCKETS <= number)
			continue;
		*requests += b->requests;
		*extra += b->extra;
	}
}

void
retry_record_first(struct retry *t, uint64_t now_us,
    struct retry_history *attempts, handle_t server)
{
	bucket_at(t, now_us)->requests++;
	retry_record_attempt(attempts, server);
}

void
retry_record_attempt(struct retry_history *attempts, handle_t server)
{
	attempts->n++;
	if (attempts->n_servers < BALANCER_MAX_EXCLUDED)
		attempts->servers[attempts->n_servers++] = server;
}

/// Spends one extra attempt, if the window allows it.
static bool
spend_budget(struct retry *t, uint64_t now_us)
{
	uint64_t requests, extra, allowed;

	sum_window(t, now_us, &requests, &extra);
	allowed =
	    t->params.budget_floor + requests * t->params.budget_percent / 100;
	if (extra >= allowed) {
		t->budget_denials++;
		return false;
	}
	bucket_at(t, now_us)->extra++;
	inv_check(extra + 1 <= allowed, "retry.budget",
	    "extra=%lu allowed=%lu requests=%lu", (unsigned long)extra + 1,
	    (unsigned long)allowed, (unsigned long)requests);
	return true;
}

static struct retry_decision
deny(enum retry_reason reason)
{
	return (struct retry_decision){ .allowed = false, .reason = reason };
}

/// Wait before a retry: random up to a limit that doubles with each attempt
/// (exponential backoff with full jitter).
static uint64_t
backoff_us(const struct retry *t, struct rnd *rnd, uint32_t attempts)
{
	const uint32_t doublings = attempts > 16 ? 16 : attempts - 1;
	const uint64_t limit =
	    MIN(t->params.backoff_us << doublings, t->params.backoff_max_us);

	return (uint64_t)((double)limit * rnd_unit(rnd));
}

struct retry_decision
retry_decide(struct retry *t, uint64_t now_us, struct rnd *rnd,
    const struct retry_history *attempts, const struct retry_failure *failure)
{
	uint64_t at_us;

	assert(attempts->n > 0);
	if (!verdict_may_retry(failure->verdict, failure->idempotent))
		return deny(RETRY_UNSAFE);
	if (attempts->n >= t->params.max_attempts)
		return deny(RETRY_MAX_ATTEMPTS);
	at_us = now_us + backoff_us(t, rnd, attempts->n);
	if (failure->retry_after_us > 0)
		at_us += MIN(failure->retry_after_us, t->params.backoff_max_us);
	if (failure->deadline_us != 0 && at_us >= failure->deadline_us)
		return deny(RETRY_NO_TIME);
	if (!failure->not_sent && !spend_budget(t, now_us))
		return deny(RETRY_NO_BUDGET);
	return (struct retry_decision){ .allowed = true, .send_at_us = at_us };
}

static double
latency_bucket_limit_us(uint32_t bucket)
{
	return LATENCY_FIRST_US * pow(LATENCY_GROWTH, bucket);
}

static uint32_t
latency_bucket(uint64_t latency_us)
{
	double n;

	if ((double)latency_us <= LATENCY_FIRST_US)
		return 0;
	n = log((double)latency_us / LATENCY_FIRST_US) / log(LATENCY_GROWTH);
	return (uint32_t)MIN(ceil(n), LATENCY_BUCKETS - 1);
}

void
retry_record_latency(struct retry *t, const char *route, uint64_t latency_us)
{
	struct latencies *l = g_hash_table_lookup(t->routes, route);

	if (l == NULL) {
		l = g_new0(struct latencies, 1);
		g_hash_table_insert(t->routes, g_strdup(route), l);
	}
	l->counts[latency_bucket(latency_us)]++;
	if (++l->n < LATENCY_MAX_COUNT)
		return;
	l->n = 0;
	for (size_t i = 0; i < LATENCY_BUCKETS; i++) {
		l->counts[i] /= 2;
		l->n += l->counts[i];
	}
}

uint64_t
retry_hedge_at(const struct retry *t, uint64_t sent_us, const char *route,
    bool idempotent, bool streamed)
{
	const struct latencies *l;
	double remaining;

	if (!idempotent || streamed)
		return UINT64_MAX;
	l = g_hash_table_lookup(t->routes, route);
	if (l == NULL || l->n < t->params.hedge_min_samples)
		return UINT64_MAX;
	remaining = l->n * t->params.hedge_quantile;
	for (uint32_t i = 0; i < LATENCY_BUCKETS; i++) {
		remaining -= l->counts[i];
		if (remaining <= 0)
			return sent_us + (uint64_t)latency_bucket_limit_us(i);
	}
	return UINT64_MAX;
}

struct retry_decision
retry_hedge(struct retry *t, uint64_t now_us, struct retry_history *attempts,
    bool idempotent, bool streamed)
{
	if (!idempotent || streamed || attempts->hedged)
		return deny(RETRY_NO_HEDGE);
	if (attempts->n >= t->params.max_attempts)
		return deny(RETRY_MAX_ATTEMPTS);
	if (!spend_budget(t, now_us))
		return deny(RETRY_NO_BUDGET);
	attempts->hedged = true;
	return (struct retry_decision){ .allowed = true, .send_at_us = now_us };
}

void
retry_exclude_tried(
    const struct retry_history *attempts, struct balancer_request *request)
{
	for (uint32_t i = 0; i < attempts->n_servers; i++) {
		if (request->n_servers < BALANCER_MAX_EXCLUDED)
			request->servers[request->n_servers++] =
			    attempts->servers[i];
	}
}

void
retry_stats(struct retry *t, uint64_t now_us, struct retry_stats *out)
{
	*out = (struct retry_stats){ .budget_denials = t->budget_denials };
	sum_window(t, now_us, &out->requests, &out->extra_attempts);
}
