#include "route/balancer_internal.h"

#include <assert.h>
#include <float.h>
#include <glib.h>
#include <math.h>
#include <string.h>

#include "base/inv.h"
#include "base/timerq.h"

/// Cost of a server that refused a request a moment ago.
#define BUSY_COST_TOKENS 20000.0

/// Fraction of a lower priority's prompt that counts as queued ahead of ours.
#define LOWER_PRIORITY_SHARE 0.25

/// Requests as which a call to a plain service counts at an idle server.
#define OWN_REQUESTS 2

/// Servers drawn for a request where they state their pace.
#define N_CANDIDATES 8

/// A server's slowness against the pool's median is clamped to these factors.
#define PACE_MIN 0.5
#define PACE_MAX 4.0
#define PACE_MIN_SAMPLES 4

/// Fraction of a shared prompt that its preferred server is assumed to cache.
#define SHARED_CACHED 0.9

/// Fraction of a shared prompt that counts as gained where a cold server caches
/// it for the requests after this one.
#define WARMED_SHARE 0.5

/// State of one call of balancer_choose().
struct search {
	struct balancer *r;
	const struct balancer_request *request;
	struct balancer_pool *pool;
	uint64_t now_us;
	uint32_t version;     ///< 0: any.
	uint32_t not_version; ///< 0: none.
	bool any_version;
	uint32_t n;        ///< Servers in r->usable.
	double load_sum;   ///< Of their loads.
	double load_limit; ///< Of one of them, with our request.
	bool panic;
	double tokens_per_block;
	uint64_t tie_hash; ///< Decides among servers of nearly equal cost.
	/// Preferred for the shared prompt, or NULL.
	const struct balancer_server *preferred;
	/// A cold server that will be preferred for it, or NULL.
	const struct balancer_server *warmed;
};

static bool
serves_version(const struct search *s, const struct balancer_server *p)
{
	if (s->not_version != 0 && p->conf.n_versions == 1 &&
	    p->versions[0] == s->not_version)
		return false;
	if (s->any_version || p->conf.n_versions == 0)
		return true;
	for (uint32_t i = 0; i < p->conf.n_versions; i++) {
		if (p->versions[i] == s->version)
			return true;
	}
	return false;
}

static bool
is_excluded(const struct search *s, const struct balancer_server *p)
{
	const struct balancer_request *request = s->request;

	for (uint32_t i = 0; i < request->n_servers; i++) {
		if (request->servers[i] == p->handle)
			return true;
	}
	for (uint32_t i = 0; i < request->n_data_centres; i++) {
		if (strcmp(request->data_centres[i], p->conf.data_centre) == 0)
			return true;
	}
	return false;
}

static bool
is_eligible(const struct search *s, const struct balancer_server *p)
{
	return !balancer__is_unavailable(p) && serves_version(s, p) &&
	    !is_excluded(s, p) &&
	    (!p->restricted || balancer__is_open(s->r, p, s->now_us));
}

/// Collects the servers to choose among in r->usable. Ejected ones are left
/// out, unless so few healthy ones remain that they would be overloaded.
static enum status
collect_usable(struct search *s)
{
	uint32_t n_serving = 0;
	uint32_t n_all = 0;
	uint32_t n_healthy = 0;

	for (uint32_t i = 0; i < s->pool->n_peers; i++) {
		struct balancer_server *p = s->pool->peers[i];

		balancer__cold_expire(p, s->now_us);
		n_serving += serves_version(s, p);
		if (!is_eligible(s, p))
			continue;
		n_healthy += p->health == BALANCER_HEALTHY;
		s->r->usable[n_all++] = p;
	}
	if (n_serving == 0)
		return status_fail(STATUS_NOT_FOUND,
		    "no server of pool %s serves the requested version",
		    s->pool->name);
	if (n_all == 0)
		return status_fail(STATUS_UNAVAILABLE,
		    "every server of pool %s that serves the version is "
		    "draining, reclaimed, excluded or takes no more now",
		    s->pool->name);
	s->panic = n_healthy == 0 ||
	    n_healthy * 100 < s->r->params.panic_percent * n_all;
	for (uint32_t i = 0; i < n_all; i++) {
		struct balancer_server *p = s->r->usable[i];

		if (!s->panic && p->health != BALANCER_HEALTHY)
			continue;
		s->r->usable[s->n++] = p;
		s->load_sum += balancer__load(p);
	}
	return STATUS_OK;
}

/// Prompt tokens of own requests that are queued ahead of ours at a server.
static double
pending_tokens(const struct balancer_server *p, uint32_t priority)
{
	double tokens = 0;

	for (uint32_t i = 0; i < BALANCER_PRIORITIES; i++) {
		const double share = i <= priority ? 1 : LOWER_PRIORITY_SHARE;

		tokens += share * (double)p->pending_tokens[i];
	}
	return tokens;
}

/// Extra cost of a server whose oldest own request takes more than twice the
/// predicted time to its first token.
static double
overdue_tokens(const struct search *s, const struct balancer_server *p)
{
	const struct balancer_dispatch *d = p->oldest;
	const double us_per_token = s->pool->median_us_per_token;
	double age;

	if (d == NULL || us_per_token <= 0)
		return 0;
	age = (double)(s->now_us - d->begin_us) / us_per_token /
	    balancer__pace(p, s->now_us);
	return age > 2 * d->predicted ? age - 2 * d->predicted : 0;
}

/// Work ahead of our request at a server, in tokens; includes the extra costs
/// of an overdue or busy server.
static double
queue_tokens(const struct search *s, const struct balancer_server *p)
{
	const struct balancer_params *params = &s->r->params;
	const double waiting = MIN(p->report.waiting, p->other_requests);
	double tokens = pending_tokens(p, s->request->priority);

	tokens += waiting *
	    (s->pool->mean_recompute_tokens + s->pool->mean_output_tokens);
	tokens += balancer__load(p) * params->running_request_tokens;
	tokens += overdue_tokens(s, p);
	if (s->now_us < p->busy_until_us)
		tokens += BUSY_COST_TOKENS;
	return tokens;
}

/// Prompt tokens that a server is expected to have in its prefix cache.
static double
cached_tokens(const struct search *s, const struct balancer_server *p)
{
	const struct prefix_match *m = &s->r->matches[p->slot];
	const double shared =
	    p == s->preferred ? s->request->shared_tokens * SHARED_CACHED : 0;
	double cached = shared;

	if (s->request->n_blocks > 0 && m->blocks > 0) {
		const double staleness =
		    balancer__staleness(s->r, p, s->now_us) -
		    (double)m->oldest_stamp;

		cached = MAX(shared,
		    m->blocks * s->tokens_per_block * exp(-MAX(staleness, 0)));
	}
	// No more than the prompt has, so that a cost isn't negative.
	return MIN(cached, s->request->prompt_tokens);
}

/// How many times slower a server is than the median of its pool.
static double
slowness(const struct balancer_server *p)
{
	if (p->samples < PACE_MIN_SAMPLES || p->pool->median_us_per_token <= 0)
		return 1;
	return CLAMP(
	    p->us_per_token / p->pool->median_us_per_token, PACE_MIN, PACE_MAX);
}

/// How many times longer work takes at a server than at the median one: by what
/// it states, and by what was learned beside that.
static double
slowness_with_pace(const struct search *s, const struct balancer_server *p)
{
	const double pace = balancer__pace(p, s->now_us);

	if (s->pool->kind == BALANCER_RUNNER)
		return pace * slowness(p);
	// Few servers with many requests each: their mean pace is known here.
	return slowness(p) * balancer__mean_pace(p) * pace /
	    balancer__usual_pace(p) * BALANCER_PACE_NORMAL;
}

/// Cost of sending the request to a server, in tokens at the median speed of
/// its pool: the uncached part of the prompt, the queue, and the network
/// distance.
static double
cost_of(const struct search *s, const struct balancer_server *p)
{
	const struct balancer_params *params = &s->r->params;
	const double distance_ms =
	    (double)p->data_centre->distance_us / USEC_PER_MSEC;
	double tokens = s->request->prompt_tokens - cached_tokens(s, p);

	if (p == s->warmed)
		tokens =
		    MAX(tokens - s->request->shared_tokens * WARMED_SHARE, 0);
	tokens += params->queue_weight * queue_tokens(s, p);
	if (s->pool->has_pace && s->pool->kind == BALANCER_SERVICE)
		tokens += OWN_REQUESTS * params->running_request_tokens;
	tokens *= s->pool->has_pace ? slowness_with_pace(s, p) : slowness(p);
	tokens += balancer__cold_cost(s->r, p, s->now_us, s->n);
	return tokens + params->distance_tokens_per_ms * distance_ms;
}

/// Highest load that a server may have with our request included.
static double
load_limit(const struct search *s)
{
	const double mean = (s->load_sum + 1) / s->n;
	const double slack = mean + s->r->params.load_slack;

	return MAX(s->r->params.load_bound * mean, slack);
}

/// Score of a server for a hash (rendezvous hashing): entries send the same new
/// prefix to the same server without exchanging messages.
static uint64_t
rendezvous_score(uint64_t hash, const struct balancer_server *p)
{
	uint64_t x = hash ^ p->name_hash;

	x ^= x >> 32;
	x *= 0x9e3779b97f4a7c15ULL;
	x ^= x >> 29;
	x *= 0xbf58476d1ce4e5b9ULL;
	return x ^ (x >> 32);
}

/// Order of a server among those that may be preferred for a hash, highest
/// first: a server of half the pace is it for twice as many hashes. All entries
/// know the same usual paces.
static double
preference(
    const struct search *s, uint64_t hash, const struct balancer_server *p)
{
	const double x = (double)(rendezvous_score(hash, p) >> 11);
	const double unit = (x + 1) / ((double)(UINT64_C(1) << 53) + 1);

	return log(unit) * (s->pool->has_pace ? balancer__usual_pace(p) : 1);
}

/// Finds the server that all entries prefer for the shared prompt, and a cold
/// one that they will prefer then. One with a limit takes requests for moments
/// only, and at another time for each entry.
static void
find_preferred(struct search *s)
{
	double best = -DBL_MAX;
	double best_cold = -DBL_MAX;

	for (uint32_t i = 0; i < s->n && s->request->shared_hash != 0; i++) {
		const struct balancer_server *p = s->r->usable[i];
		const double x = preference(s, s->request->shared_hash, p);

		if (balancer__is_cold(p, s->now_us) && x >= best_cold) {
			s->warmed = p;
			best_cold = x;
		}
		if (balancer__has_turns(p) ||
		    (s->preferred != NULL && x <= best))
			continue;
		s->preferred = p;
		best = x;
	}
	if (s->preferred != NULL && best_cold < best)
		s->warmed = NULL;
}

/// Keeps of the usable servers those to choose among where speeds are known:
/// the preferred one and a few drawn at random, faster ones more often. All
/// entries know the same fast servers, and little of the load there.
static void
draw_candidates(struct search *s, struct rnd *rnd)
{
	struct balancer_server **usable = s->r->usable;
	double *keys = s->r->costs;
	uint32_t kept = 0;

	if (!s->pool->has_pace || s->pool->kind != BALANCER_RUNNER)
		return;
	for (uint32_t i = 0; i < s->n; i++) {
		if (balancer__load(usable[i]) + 1 <= s->load_limit)
			usable[kept++] = usable[i];
	}
	s->n = kept;
	kept = 0;
	for (uint32_t i = 0; i < s->n; i++) {
		struct balancer_server *p = usable[i];

		if (p == s->preferred || p == s->warmed) {
			usable[i] = usable[kept];
			usable[kept++] = p;
		}
	}
	for (uint32_t i = kept; i < s->n; i++)
		keys[i] =
		    log(1 - rnd_unit(rnd)) * balancer__usual_pace(usable[i]);
	for (uint32_t k = 0; k < N_CANDIDATES && kept < s->n; k++, kept++) {
		uint32_t at = kept;
		struct balancer_server *p;

		for (uint32_t i = kept + 1; i < s->n; i++)
			at = keys[i] > keys[at] ? i : at;
		p = usable[at];
		usable[at] = usable[kept];
		usable[kept] = p;
		keys[at] = keys[kept];
	}
	s->n = kept;
}

static struct balancer_server *
pick_cheapest(const struct search *s)
{
	struct balancer *r = s->r;
	const double limit = s->load_limit;
	double best = DBL_MAX;
	double tie_limit;
	uint64_t best_score = 0;
	struct balancer_server *chosen = NULL;

	for (uint32_t i = 0; i < s->n; i++) {
		r->costs[i] = DBL_MAX;
		if (balancer__load(r->usable[i]) + 1 > limit)
			continue;
		r->costs[i] = cost_of(s, r->usable[i]);
		best = MIN(best, r->costs[i]);
	}
	tie_limit = best + fabs(best) * r->params.tie_tolerance +
	    r->params.running_request_tokens;
	for (uint32_t i = 0; i < s->n; i++) {
		uint64_t x;

		if (r->costs[i] > tie_limit || r->costs[i] == DBL_MAX)
			continue;
		x = rendezvous_score(s->tie_hash, r->usable[i]);
		if (chosen != NULL && x <= best_score)
			continue;
		chosen = r->usable[i];
		best_score = x;
	}
	inv_check(chosen != NULL && balancer__load(chosen) + 1 <= limit,
	    "route.load_bound", "pool=%s servers=%u limit=%.1f", s->pool->name,
	    s->n, limit);
	return chosen;
}

/// A server whose ejection is over and that has no probe in flight, or NULL.
static struct balancer_server *
due_probe(const struct search *s)
{
	for (uint32_t i = 0; i < s->pool->n_peers; i++) {
		struct balancer_server *p = s->pool->peers[i];

		if (p->health == BALANCER_PROBING && p->probe == HANDLE_NONE &&
		    is_eligible(s, p))
			return p;
	}
	return NULL;
}

/// Looks up the prompt in the prefix index and sets the tie hash: the first
/// block that no server is known to have, else the last block; random for a
/// request without blocks.
static void
match_prompt(struct search *s, struct rnd *rnd)
{
	const struct balancer_request *request = s->request;
	struct balancer *r = s->r;
	size_t depth;

	if (request->n_blocks == 0) {
		s->tie_hash = rnd_u64(rnd);
		return;
	}
	s->tokens_per_block =
	    (double)request->prompt_tokens / (double)request->n_blocks;
	depth = prefix_index_match(r->index, request->blocks, request->n_blocks,
	    r->matches, r->n_slots);
	s->tie_hash = request->blocks[MIN(depth, request->n_blocks - 1)];
}

static void
fill_choice(const struct search *s, const struct balancer_server *p, bool probe,
    struct balancer_choice *out)
{
	const uint32_t cached = (uint32_t)cached_tokens(s, p);
	const uint32_t prompt = s->request->prompt_tokens;

	const double queue = queue_tokens(s, p);
	const double us_per_token =
	    (p->samples < PACE_MIN_SAMPLES ? p->pool->median_us_per_token
					   : p->us_per_token) *
	    balancer__pace(p, s->now_us);
	const uint32_t recompute = prompt - MIN(cached, prompt);

	*out = (struct balancer_choice){
		.server = p->handle,
		.tag = p->conf.tag,
		.cached_tokens = MIN(cached, prompt),
		.recompute_tokens = recompute,
		.queue_tokens = queue,
		.first_token_us = (uint64_t)(us_per_token *
		    (recompute + queue + BALANCER_BASE_TOKENS)),
		.preferred =
		    s->preferred != NULL ? s->preferred->handle : HANDLE_NONE,
		.probe = probe,
		.panic = s->panic,
	};
	inv_check(balancer__is_open(s->r, p, s->now_us), "route.limit",
	    "server=%s per_s=%g", p->conf.name, p->turns.per_s);
	inv_check(!balancer__is_unavailable(p) && !is_excluded(s, p),
	    "route.no_new_work", "server=%s leaving=%d data_centre=%s",
	    p->conf.name, p->draining, p->conf.data_centre);
}

/// Chooses the server with the lowest cost for a request.
///
/// @param rnd  spreads requests without prompt blocks
/// @param out  the choice, for balancer_begin()
/// @return STATUS_OK; STATUS_NOT_FOUND: no such pool, or no server of it serves
///         the version; STATUS_UNAVAILABLE: all that do are draining,
///         reclaimed, excluded, or take no more requests now
enum status
balancer_choose(struct balancer *r, uint64_t now_us, struct rnd *rnd,
    const struct balancer_request *request, struct balancer_choice *out)
{
	struct search s = { .r = r, .request = request, .now_us = now_us };
	struct balancer_server *p;
	enum status st;

	assert(request->priority < BALANCER_PRIORITIES);
	s.any_version = request->version == NULL || request->version[0] == '\0';
	if (!s.any_version)
		s.version = GPOINTER_TO_UINT(
		    g_hash_table_lookup(r->versions, request->version));
	if (request->not_version != NULL)
		s.not_version = GPOINTER_TO_UINT(
		    g_hash_table_lookup(r->versions, request->not_version));
	s.pool = g_hash_table_lookup(r->pools, request->pool);
	if (s.pool == NULL)
		return status_fail(
		    STATUS_NOT_FOUND, "pool %s has no servers", request->pool);
	balancer__cold_presume_returned(r, now_us);
	balancer__start_probes(s.pool, now_us);
	balancer__update_medians(r, s.pool, now_us);
	st = collect_usable(&s);
	if (st != STATUS_OK)
		return st;
	match_prompt(&s, rnd);
	find_preferred(&s);
	p = s.panic ? NULL : due_probe(&s);
	if (p != NULL) {
		fill_choice(&s, p, true, out);
		return STATUS_OK;
	}
	s.load_limit = load_limit(&s);
	draw_candidates(&s, rnd);
	fill_choice(&s, pick_cheapest(&s), false, out);
	return STATUS_OK;
}
