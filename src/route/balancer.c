#include "route/balancer.h"
#include "route/balancer_internal.h"

#include <assert.h>
#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "base/timerq.h"

/// Events may be this late before prefix index entries begin to age.
#define EVENT_GRACE_US (2 * USEC_PER_SEC)

/// Tokens assumed in a block of prompt when sizes aren't known.
#define TOKENS_PER_BLOCK 16

/// Staleness added by a gap of unknown size. It is small since every poll may
/// have one.
#define UNKNOWN_GAP_STALENESS 0.05

/// Blocks that a server's cache holds when its report doesn't say.
#define CACHE_BLOCKS 8192

const struct balancer_params balancer_defaults = {
	.load_bound = 2,
	.load_slack = 10,
	.queue_weight = 1.0,
	.running_request_tokens = 60,
	.distance_tokens_per_ms = 20,
	.tie_tolerance = 0.05,
	.eject_failures = 5,
	.eject_latency_ratio = 4,
	.eject_min_samples = 12,
	.eject_max_percent = 34,
	.panic_percent = 50,
	.eject_us = 2 * USEC_PER_SEC,
	.eject_max_us = 60 * USEC_PER_SEC,
	.probe_successes = 3,
	.index_half_life_us = 120 * USEC_PER_SEC,
	.max_blocks = 1U << 18,
	.n_entries = 1,
};

/// Makes a balancer without servers.
///
/// @param params  copied; see balancer_defaults
/// @return to be freed with balancer_free()
struct balancer *
balancer_new(const struct balancer_params *params)
{
	struct balancer *r = g_new0(struct balancer, 1);

	r->params = *params;
	r->servers = slotmap_new(sizeof(struct balancer_server));
	r->dispatches = slotmap_new(sizeof(struct balancer_dispatch));
	r->servers_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	r->pools = g_hash_table_new(g_str_hash, g_str_equal);
	r->data_centres =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	r->versions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	r->index = prefix_index_new(params->max_blocks);
	return r;
}

static void
free_pool(void *key, void *value, void *arg)
{
	struct balancer_pool *pool = value;

	(void)key;
	(void)arg;
	g_free(pool->peers);
	g_free(pool);
}

/// Sets how many entries send similar work to the same servers.
void
balancer_set_entries(struct balancer *r, uint32_t n)
{
	r->params.n_entries = MAX(n, 1);
}

/// Frees a balancer; NULL is allowed.
void
balancer_free(struct balancer *r)
{
	if (r == NULL)
		return;
	g_hash_table_foreach(r->pools, free_pool, NULL);
	g_hash_table_destroy(r->pools);
	g_hash_table_destroy(r->servers_by_name);
	g_hash_table_destroy(r->data_centres);
	g_hash_table_destroy(r->versions);
	slotmap_free(r->servers);
	slotmap_free(r->dispatches);
	prefix_index_free(r->index);
	g_free(r->slots);
	g_free(r->matches);
	g_free(r->costs);
	g_free(r->usable);
	g_free(r);
}

static struct balancer_pool *
pool_of(struct balancer *r, const struct balancer_server_conf *server)
{
	struct balancer_pool *pool =
	    g_hash_table_lookup(r->pools, server->pool);

	if (pool != NULL)
		return pool;
	pool = g_new0(struct balancer_pool, 1);
	(void)g_strlcpy(pool->name, server->pool, sizeof(pool->name));
	pool->kind = server->kind;
	g_hash_table_insert(r->pools, pool->name, pool);
	return pool;
}

static struct balancer_dc *
data_centre_of(struct balancer *r, const char *name)
{
	struct balancer_dc *c = g_hash_table_lookup(r->data_centres, name);

	if (c != NULL)
		return c;
	c = g_new0(struct balancer_dc, 1);
	(void)g_strlcpy(c->name, name, sizeof(c->name));
	g_hash_table_insert(r->data_centres, c->name, c);
	return c;
}

/// Number of a version's name, from 1; a new name gets the next one.
uint32_t
balancer__version(struct balancer *r, const char *name)
{
	uint32_t n = GPOINTER_TO_UINT(g_hash_table_lookup(r->versions, name));

	if (n != 0)
		return n;
	n = g_hash_table_size(r->versions) + 1;
	g_hash_table_insert(r->versions, g_strdup(name), GUINT_TO_POINTER(n));
	return n;
}

void
balancer_set_data_centre(
    struct balancer *r, const char *name, uint64_t distance_us, bool reclaiming)
{
	struct balancer_dc *c = data_centre_of(r, name);

	c->distance_us = distance_us;
	if (c->by_note && !reclaiming) {
		c->by_notice = false;
		c->returned = true;
		r->any_dc_returned = true;
	}
	c->by_note = reclaiming;
}

void
balancer_reclaim_dc(
    struct balancer *r, uint64_t now_us, const char *data_centre)
{
	(void)now_us;
	data_centre_of(r, data_centre)->by_notice = true;
}

void
balancer_restore_dc(struct balancer *r, const char *data_centre)
{
	data_centre_of(r, data_centre)->by_notice = false;
}

bool
balancer_is_reclaiming(const struct balancer *r, const char *data_centre)
{
	const struct balancer_dc *c =
	    g_hash_table_lookup(r->data_centres, data_centre);

	return c != NULL && (c->by_note || c->by_notice);
}

static void
add_to_pool(struct balancer_pool *pool, struct balancer_server *p)
{
	if (pool->n_peers == pool->capacity) {
		pool->capacity = pool->capacity == 0 ? 16 : pool->capacity * 2;
		pool->peers = g_renew(
		    struct balancer_server *, pool->peers, pool->capacity);
	}
	pool->peers[pool->n_peers++] = p;
	p->pool = pool;
}

static void
remove_from_pool(struct balancer_server *p)
{
	struct balancer_pool *pool = p->pool;

	for (uint32_t i = 0; i < pool->n_peers; i++) {
		if (pool->peers[i] != p)
			continue;
		pool->peers[i] = pool->peers[--pool->n_peers];
		return;
	}
}

static uint32_t
take_slot(struct balancer *r, struct balancer_server *p)
{
	for (uint32_t i = 0; i < r->n_slots; i++) {
		if (r->slots[i] == NULL) {
			r->slots[i] = p;
			return i;
		}
	}
	r->slots = g_renew(struct balancer_server *, r->slots, r->n_slots + 1);
	r->matches = g_renew(struct prefix_match, r->matches, r->n_slots + 1);
	r->costs = g_renew(double, r->costs, r->n_slots + 1);
	r->usable =
	    g_renew(struct balancer_server *, r->usable, r->n_slots + 1);
	r->slots[r->n_slots] = p;
	return r->n_slots++;
}

static void
apply_conf(struct balancer *r, struct balancer_server *p,
    const struct balancer_server_conf *server)
{
	p->conf = *server;
	p->data_centre = data_centre_of(r, server->data_centre);
	assert(server->n_versions <= BALANCER_MAX_VERSIONS);
	for (uint32_t i = 0; i < server->n_versions; i++)
		p->versions[i] = balancer__version(r, server->versions[i]);
}

static handle_t
add_server(struct balancer *r, uint64_t now_us,
    const struct balancer_server_conf *server)
{
	void *item;
	const handle_t handle = slotmap_add(r->servers, &item);
	struct balancer_server *p = item;

	p->handle = handle;
	p->slot = take_slot(r, p);
	p->event_us = now_us;
	p->name_hash = XXH64(server->name, strlen(server->name), 0);
	apply_conf(r, p, server);
	add_to_pool(pool_of(r, server), p);
	g_hash_table_insert(r->servers_by_name, p->conf.name, p);
	return handle;
}

/// Adds a server, or changes the one of that name. Another incarnation, pool or
/// data centre makes it a new server.
///
/// @return its handle; a new server gets a new one
handle_t
balancer_set_server(struct balancer *r, uint64_t now_us,
    const struct balancer_server_conf *server)
{
	struct balancer_server *p =
	    g_hash_table_lookup(r->servers_by_name, server->name);

	if (p == NULL)
		return add_server(r, now_us, server);
	if (p->conf.incarnation != server->incarnation ||
	    strcmp(p->conf.pool, server->pool) != 0 ||
	    strcmp(p->conf.data_centre, server->data_centre) != 0) {
		balancer_remove_server(r, p->handle);
		return add_server(r, now_us, server);
	}
	apply_conf(r, p, server);
	return p->handle;
}

/// Removes a server; its requests in flight may still be ended.
void
balancer_remove_server(struct balancer *r, handle_t server)
{
	struct balancer_server *p = balancer__server(r, server);

	if (p == NULL)
		return;
	g_hash_table_remove(r->servers_by_name, p->conf.name);
	remove_from_pool(p);
	r->slots[p->slot] = NULL;
	prefix_index_remove_server(r->index, p->slot);
	slotmap_remove(r->servers, server);
}

/// Server of a handle; NULL when it was removed.
struct balancer_server *
balancer__server(const struct balancer *r, handle_t server)
{
	return slotmap_get(r->servers, server);
}

/// Handle of a server by its name, or HANDLE_NONE.
handle_t
balancer_find(const struct balancer *r, const char *name)
{
	const struct balancer_server *p =
	    g_hash_table_lookup(r->servers_by_name, name);

	return p == NULL ? HANDLE_NONE : p->handle;
}

/// Configuration of a server, or NULL.
const struct balancer_server_conf *
balancer_get(const struct balancer *r, handle_t server)
{
	const struct balancer_server *p = balancer__server(r, server);

	return p == NULL ? NULL : &p->conf;
}

/// Number of servers.
size_t
balancer_count(const struct balancer *r)
{
	return slotmap_count(r->servers);
}

void
balancer_set_draining(struct balancer *r, uint64_t now_us, handle_t server,
    enum balancer_drain_source source)
{
	struct balancer_server *p = balancer__server(r, server);

	assert(source < BALANCER_DRAIN_SOURCES);
	if (p == NULL || p->draining)
		return;
	p->draining = true;
	p->draining_since_us = now_us;
}

/// Whether a server is draining.
///
/// @param since_us  receives when that was first known; may be NULL
bool
balancer_is_draining(
    const struct balancer *r, handle_t server, uint64_t *since_us)
{
	const struct balancer_server *p = balancer__server(r, server);

	if (p == NULL || !p->draining)
		return false;
	if (since_us != NULL)
		*since_us = p->draining_since_us;
	return true;
}

/// Whether a server gets no new work because it is draining or its data centre
/// is being reclaimed. Its load and health don't matter.
bool
balancer__is_unavailable(const struct balancer_server *p)
{
	return p->draining || p->data_centre->by_note ||
	    p->data_centre->by_notice;
}

/// Own requests that were at a server at an earlier time.
static uint32_t
own_requests_at(const struct balancer_server *p, uint64_t at_us)
{
	for (uint32_t i = 0; i < BALANCER_OWN_HISTORY; i++) {
		const uint32_t back =
		    (p->history_newest + BALANCER_OWN_HISTORY - i) %
		    BALANCER_OWN_HISTORY;

		if (p->history[back].at_us <= at_us)
			return p->history[back].n;
	}
	return p->history[(p->history_newest + 1) % BALANCER_OWN_HISTORY].n;
}

/// Adds (by > 0) or removes one own request of a server.
void
balancer__update_own(struct balancer_server *p, uint64_t now_us, int by)
{
	assert(by > 0 || p->own_requests > 0);
	p->own_requests = by > 0 ? p->own_requests + 1 : p->own_requests - 1;
	if (p->history[p->history_newest].at_us != now_us)
		p->history_newest =
		    (p->history_newest + 1) % BALANCER_OWN_HISTORY;
	p->history[p->history_newest].at_us = now_us;
	p->history[p->history_newest].n = p->own_requests;
}

/// Records a load report. It describes the time when it was made: our own
/// requests of that time are subtracted, and balancer__load() adds the current
/// ones. A report older than the last one is ignored, but for its draining
/// flag.
void
balancer_record_report(struct balancer *r, uint64_t now_us, handle_t server,
    const struct balancer_report *report)
{
	struct balancer_server *p = balancer__server(r, server);
	const uint64_t at_us =
	    report->age_us > now_us ? 0 : now_us - report->age_us;
	uint32_t total, own;

	if (p == NULL)
		return;
	if (report->draining)
		balancer_set_draining(r, now_us, server, BALANCER_BY_SERVER);
	if (p->report_us != 0 && report->sequence < p->report.sequence)
		return;
	total = report->running + report->waiting;
	own = own_requests_at(p, at_us);
	balancer__speed_record(p, at_us, report->pace_percent);
	p->report = *report;
	p->report_us = at_us == 0 ? 1 : at_us;
	p->other_requests = total > own ? total - own : 0;
}

/// Requests at a server: those of other entries as reported, and our own.
double
balancer__load(const struct balancer_server *p)
{
	return (double)p->other_requests + (double)p->own_requests;
}

/// Staleness of the prefix index for a server: an entry with stamp s still
/// holds with probability exp(s - balancer__staleness()).
double
balancer__staleness(
    const struct balancer *r, const struct balancer_server *p, uint64_t now_us)
{
	uint64_t age = now_us - p->event_us;

	if (now_us <= p->event_us + EVENT_GRACE_US)
		return p->index_staleness;
	age -= EVENT_GRACE_US;
	return p->index_staleness +
	    M_LN2 * (double)age / (double)r->params.index_half_life_us;
}

void
balancer_events_current(struct balancer *r, uint64_t now_us, handle_t server)
{
	struct balancer_server *p = balancer__server(r, server);

	if (p == NULL)
		return;
	p->index_staleness = balancer__staleness(r, p, now_us);
	p->event_us = now_us;
}

/// A cache event: a server has stored a block.
void
balancer_block_stored(
    struct balancer *r, uint64_t now_us, handle_t server, uint64_t block)
{
	struct balancer_server *p = balancer__server(r, server);

	if (p == NULL)
		return;
	balancer_events_current(r, now_us, server);
	prefix_index_add(r->index, p->slot, block, (float)p->index_staleness);
}

/// A cache event: a server has evicted a block.
void
balancer_block_evicted(
    struct balancer *r, uint64_t now_us, handle_t server, uint64_t block)
{
	struct balancer_server *p = balancer__server(r, server);

	if (p == NULL)
		return;
	balancer_events_current(r, now_us, server);
	prefix_index_remove(r->index, p->slot, block);
}

void
balancer_events_lost(
    struct balancer *r, uint64_t now_us, handle_t server, uint64_t missed)
{
	struct balancer_server *p = balancer__server(r, server);
	double blocks = CACHE_BLOCKS;

	if (p == NULL)
		return;
	balancer_events_current(r, now_us, server);
	if (p->report.kv_total_tokens >= TOKENS_PER_BLOCK)
		blocks = (double)p->report.kv_total_tokens / TOKENS_PER_BLOCK;
	/* Half of what was missed are evictions once a cache is full. */
	p->index_staleness +=
	    missed == 0 ? UNKNOWN_GAP_STALENESS : (double)missed / 2 / blocks;
}

/// Reports what is known of a server, for status and metrics.
///
/// @return false when there is no such server
bool
balancer_server_stats(const struct balancer *r, uint64_t now_us,
    handle_t server, struct balancer_server_stats *out)
{
	const struct balancer_server *p = balancer__server(r, server);

	struct brittle_senders senders;

	if (p == NULL)
		return false;
	senders = balancer__senders(r, p);
	*out = (struct balancer_server_stats){
		.load = balancer__load(p),
		.own_requests = p->own_requests,
		.ejected = p->health != BALANCER_HEALTHY,
		.draining = balancer__is_unavailable(p),
		.first_token_us = (uint64_t)p->ttft_us,
		.limit_per_s = p->turns.per_s,
		.paused_until_us = p->paused_until_us,
		.cold_until_us = p->cold.until_us,
		.brittle = p->brittle.on,
		.places = p->brittle.on
		    ? brittle_places(&p->brittle, balancer__slots(p), &senders)
		    : 0,
		.pace_percent = balancer__usual_pace(p),
		.pace_now_percent = (uint32_t)(balancer__pace(p, now_us) *
		    BALANCER_PACE_NORMAL),
		.failures = p->failures,
		.blocks = prefix_index_count(r->index, p->slot),
	};
	return true;
}
