#include "route/balancer_internal.h"

#include <glib.h>
#include <stdlib.h>

#include "base/inv.h"
#include "base/timerq.h"

/// Weight of the newest response in the smoothed failure rate.
#define FAIL_RATE_WEIGHT 0.1

/// A server with a higher smoothed failure rate is ejected.
#define FAIL_RATE_LIMIT 0.5

/// Shortest time between two computations of a pool's medians.
#define MEDIANS_INTERVAL_US (100 * USEC_PER_MSEC)

/// Servers that may be ejected at once in a pool of n.
static uint32_t
eject_limit(const struct balancer *r, uint32_t n)
{
	const uint32_t limit = n * r->params.eject_max_percent / 100;

	if (n < 2)
		return 0;
	return limit == 0 ? 1 : limit;
}

/// Counts the servers of a pool that may take work, and the ejected or probed
/// ones among them.
static void
count_pool(const struct balancer_pool *pool, uint32_t *n, uint32_t *ejected)
{
	*n = 0;
	*ejected = 0;
	for (uint32_t i = 0; i < pool->n_peers; i++) {
		if (balancer__is_unavailable(pool->peers[i]))
			continue;
		(*n)++;
		if (pool->peers[i]->health != BALANCER_HEALTHY)
			(*ejected)++;
	}
}

/// Ejects a server unless too many of its pool are ejected already. An ejection
/// soon after the last one is twice as long.
static void
eject(struct balancer *r, struct balancer_server *p, uint64_t now_us)
{
	const bool was_healthy = p->health == BALANCER_HEALTHY;
	const bool again =
	    !was_healthy || now_us < p->reinstated_us + r->params.eject_max_us;
	uint32_t n, ejected;

	count_pool(p->pool, &n, &ejected);
	if (was_healthy && ejected >= eject_limit(r, n))
		return;
	if (p->ejection_us == 0 || !again)
		p->ejection_us = r->params.eject_us;
	else
		p->ejection_us =
		    MIN(p->ejection_us * 2, r->params.eject_max_us);
	p->health = BALANCER_EJECTED;
	p->ejected_until_us = now_us + p->ejection_us;
	p->probe = HANDLE_NONE;
	p->probe_ok_count = 0;
	count_pool(p->pool, &n, &ejected);
	inv_check(!was_healthy || ejected <= eject_limit(r, n),
	    "route.eject_cap", "pool=%s aside=%u servers=%u", p->pool->name,
	    ejected, n);
}

/// Drops what was learned of a server's speed.
void
balancer__forget_speed(struct balancer_server *p)
{
	p->samples = 0;
	p->us_per_token = 0;
	p->ttft_us = 0;
	p->ttft_tokens = 0;
	p->inter_token_us = 0;
}

static void
reinstate(struct balancer_server *p, uint64_t now_us)
{
	p->health = BALANCER_HEALTHY;
	p->reinstated_us = now_us;
	p->consecutive_failures = 0;
	p->fail_rate = 0;
	balancer__forget_speed(p);
}

/// Records a complete response of a server, and the success of its probe.
void
balancer__record_success(struct balancer *r, struct balancer_server *p,
    uint64_t now_us, handle_t dispatch)
{
	p->consecutive_failures = 0;
	p->fail_rate *= 1 - FAIL_RATE_WEIGHT;
	if (p->health != BALANCER_PROBING || p->probe != dispatch)
		return;
	p->probe = HANDLE_NONE;
	p->probe_ok_count++;
	if (p->probe_ok_count >= r->params.probe_successes)
		reinstate(p, now_us);
}

/// Records a failure of a server, which may eject it.
void
balancer__record_failure(struct balancer *r, struct balancer_server *p,
    uint64_t now_us, handle_t dispatch)
{
	p->failures++;
	p->consecutive_failures++;
	p->fail_rate *= 1 - FAIL_RATE_WEIGHT;
	p->fail_rate += FAIL_RATE_WEIGHT;
	switch (p->health) {
	case BALANCER_EJECTED:
		return;
	case BALANCER_PROBING:
		if (p->probe == dispatch)
			eject(r, p, now_us);
		return;
	case BALANCER_HEALTHY:
		if (p->consecutive_failures >= r->params.eject_failures ||
		    p->fail_rate > FAIL_RATE_LIMIT)
			eject(r, p, now_us);
		return;
	}
}

/// Called at each first token. Ejects a server whose smoothed time to first
/// token for each token of work, or inter-token latency, is more than
/// eject_latency_ratio times its pool's median, or ejects it again when a probe
/// was slow.
///
/// @param us_per_token  of this dispatch alone
void
balancer__check_latency(struct balancer *r, struct balancer_server *p,
    uint64_t now_us, handle_t dispatch, double us_per_token)
{
	const double limit =
	    r->params.eject_latency_ratio * p->pool->median_us_per_token;
	const double inter_token_limit =
	    r->params.eject_latency_ratio * p->pool->median_inter_token_us;

	if (p->health == BALANCER_PROBING && p->probe == dispatch) {
		if (limit > 0 && us_per_token > limit)
			eject(r, p, now_us);
		return;
	}
	if (p->health != BALANCER_HEALTHY ||
	    p->samples < r->params.eject_min_samples)
		return;
	if ((limit > 0 && p->us_per_token > limit) ||
	    (inter_token_limit > 0 && p->inter_token_us > inter_token_limit))
		eject(r, p, now_us);
}

static int
by_value(const void *a, const void *b)
{
	const double x = *(const double *)a;
	const double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static double
median_of(double *values, uint32_t n)
{
	if (n == 0)
		return 0;
	qsort(values, n, sizeof(*values), by_value);
	/* The lower of the middle two, so that a slow half is seen as slow. */
	return values[(n - 1) / 2];
}

/// Recomputes a pool's medians if they are older than MEDIANS_INTERVAL_US.
void
balancer__update_medians(
    struct balancer *r, struct balancer_pool *pool, uint64_t now_us)
{
	double *values;
	uint32_t n = 0;

	if (pool->medians_us != 0 &&
	    now_us < pool->medians_us + MEDIANS_INTERVAL_US)
		return;
	(void)r;
	pool->medians_us = now_us;
	values = g_new(double, pool->n_peers + 1);
	for (uint32_t i = 0; i < pool->n_peers; i++) {
		if (pool->peers[i]->us_per_token > 0)
			values[n++] = pool->peers[i]->us_per_token;
	}
	pool->median_us_per_token = median_of(values, n);
	n = 0;
	for (uint32_t i = 0; i < pool->n_peers; i++) {
		if (pool->peers[i]->inter_token_us > 0)
			values[n++] = pool->peers[i]->inter_token_us;
	}
	pool->median_inter_token_us = median_of(values, n);
	g_free(values);
}

/// Lets balancer_choose() probe the servers of a pool whose ejection time has
/// passed.
void
balancer__start_probes(struct balancer_pool *pool, uint64_t now_us)
{
	for (uint32_t i = 0; i < pool->n_peers; i++) {
		struct balancer_server *p = pool->peers[i];

		if (p->health != BALANCER_EJECTED ||
		    now_us < p->ejected_until_us)
			continue;
		p->health = BALANCER_PROBING;
		p->probe = HANDLE_NONE;
		p->probe_ok_count = 0;
	}
}
