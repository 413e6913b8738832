#include "route/balancer_internal.h"

#include <glib.h>
#include <stdlib.h>

#include "base/inv.h"
#include "base/timerq.h"

/// Weight of the newest answer in the smoothed rate of failures.
#define FAIL_RATE_WEIGHT 0.1

/// A smoothed rate of failures that sets a server aside.
#define FAIL_RATE_LIMIT 0.5

/// Medians of a pool are taken this often at most.
#define MEDIANS_US (100 * USEC_PER_MSEC)

/// Servers that may be set aside at once in a pool of n.
static uint32_t
eject_limit(const struct balancer *r, uint32_t n)
{
	const uint32_t limit = n * r->params.eject_max_percent / 100;

	if (n < 2)
		return 0;
	return limit == 0 ? 1 : limit;
}

/// Counts the servers of a pool that may take work, and those set aside.
static void
count_pool(const struct balancer_pool *pool, uint32_t *n, uint32_t *aside)
{
	*n = 0;
	*aside = 0;
	for (uint32_t i = 0; i < pool->n_peers; i++) {
		if (balancer__is_unavailable(pool->peers[i]))
			continue;
		(*n)++;
		if (pool->peers[i]->health != BALANCER_HEALTHY)
			(*aside)++;
	}
}

/// Sets a server aside unless too many of its pool are already; a repeated
/// time is twice as long.
static void
eject(struct balancer *r, struct balancer_server *p, uint64_t now_us)
{
	const bool was_healthy = p->health == BALANCER_HEALTHY;
	const bool again =
	    !was_healthy || now_us < p->reinstated_us + r->params.eject_max_us;
	uint32_t n, aside;

	count_pool(p->pool, &n, &aside);
	if (was_healthy && aside >= eject_limit(r, n))
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
	count_pool(p->pool, &n, &aside);
	inv_check(!was_healthy || aside <= eject_limit(r, n), "route.eject_cap",
	    "pool=%s aside=%u servers=%u", p->pool->name, aside, n);
}

static void
return_in_full(struct balancer_server *p, uint64_t now_us)
{
	p->health = BALANCER_HEALTHY;
	p->reinstated_us = now_us;
	p->consecutive_failures = 0;
	p->fail_rate = 0;
	p->samples = 0;
	p->us_per_token = 0;
	p->first_us = 0;
	p->first_tokens = 0;
	p->between = 0;
}

/// A good answer of a server, or a fast enough first token.
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
		return_in_full(p, now_us);
}

/// A failure of a server.
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

/// Sets a server aside that is much slower than its pool, by its smoothed
/// figures, or ends its probing when the probe was slow.
void
balancer__check_latency(struct balancer *r, struct balancer_server *p,
    uint64_t now_us, handle_t dispatch, double us_per_token)
{
	const double limit =
	    r->params.eject_latency_ratio * p->pool->median_us_per_token;
	const double between =
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
	    (between > 0 && p->between > between))
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
	/* The lower one of two, so that a slow half is seen as slow. */
	return values[(n - 1) / 2];
}

/// Takes a pool's medians again if they are old.
void
balancer__update_medians(
    struct balancer *r, struct balancer_pool *pool, uint64_t now_us)
{
	double *values;
	uint32_t n = 0;

	if (pool->medians_us != 0 && now_us < pool->medians_us + MEDIANS_US)
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
		if (pool->peers[i]->between > 0)
			values[n++] = pool->peers[i]->between;
	}
	pool->median_inter_token_us = median_of(values, n);
	g_free(values);
}

/// Begins to try servers again whose time aside is over.
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
