#include "route/balancer_internal.h"

#include <glib.h>
#include <math.h>

#include "base/timerq.h"

/// Cold servers: for some time after a start a server takes few requests a
/// second from all processes together, has an empty cache and is slow. The
/// processes that know of it share what it takes by turns (turns.h).

/// A turn of a cold server that isn't used by then is lost.
#define COLD_TURN_US (500 * USEC_PER_MSEC)
/// Turns of so many seconds may be used within one.
#define COLD_TURN_SPAN 1.5
/// Time constant of a pool's smoothed rate of requests.
#define RATE_S 2.0
/// A later end than known, by this much, means that the server has restarted.
#define COLD_AGAIN_US USEC_PER_SEC

/// Sets what the cold servers of a pool take.
void
balancer_set_cold_rule(
    struct balancer *r, const char *name, const struct balancer_cold_rule *rule)
{
	struct balancer_pool *pool = g_hash_table_lookup(r->pools, name);

	if (pool != NULL)
		pool->cold_rule = *rule;
}

/// Whether the servers of a pool may be cold.
static bool
has_rule(const struct balancer_pool *pool)
{
	return pool->cold_rule.start_us > 0 && pool->cold_rule.per_s > 0;
}

bool
balancer__is_cold(const struct balancer_server *p, uint64_t now_us)
{
	return p->cold.until_us > now_us;
}

/// Turns per second: what the server takes, and less if all turns that may be
/// used within a second would exceed what it may get.
void
balancer__cold_set_turns(
    struct balancer *r, struct balancer_server *p, uint64_t now_us)
{
	const struct balancer_cold_rule *rule = &p->pool->cold_rule;
	const double per_s =
	    MIN(rule->per_s, (rule->max_per_s - 1) / COLD_TURN_SPAN);

	p->cold.turns.valid_us = COLD_TURN_US;
	turns_set(&p->cold.turns, balancer__shared_us(r, now_us),
	    MAX(per_s, G_MINDOUBLE), r->position, (uint32_t)p->name_hash);
}

/// Whether a server's cold time has ended lately. Processes that know nothing
/// of its load yet would all take it for idle.
static bool
is_warming(const struct balancer_server *p, uint64_t now_us)
{
	return p->cold.ended_us != 0 &&
	    now_us < p->cold.ended_us + p->pool->cold_rule.start_us;
}

/// Counts a request that is sent to a server of a pool with a rule.
void
balancer__cold_count(
    struct balancer *r, struct balancer_server *p, uint64_t now_us)
{
	struct balancer_pool *pool = p->pool;
	const double age_s =
	    (double)(now_us - pool->sent_us) / (double)USEC_PER_SEC;

	if (!has_rule(pool))
		return;
	pool->sent_per_s = pool->sent_per_s * exp(-age_s / RATE_S) + 1 / RATE_S;
	pool->sent_us = now_us;
	if (balancer__is_cold(p, now_us) || is_warming(p, now_us))
		turns_use(&p->cold.turns, balancer__shared_us(r, now_us));
}

/// Whether this process should use its turn at a cold server. Of its turns it
/// uses the part that gives the server as many requests as others have; which
/// ones, the number of the turn decides.
static bool
wants_turn(const struct balancer *r, const struct balancer_server *p,
    uint64_t now_us, uint32_t n_usable)
{
	const struct turns *t = &p->cold.turns;
	const double own_turns_per_s = t->per_s / MAX(t->position.n, 1);
	const double share =
	    p->pool->sent_per_s / MAX(n_usable, 1) / own_turns_per_s;
	const uint64_t number =
	    (uint64_t)turns_number(t, balancer__shared_us(r, now_us));
	const uint64_t hash = (number ^ p->name_hash) * 0x9e3779b97f4a7c15ULL;

	return (double)(hash >> 32) / 4294967296.0 < share;
}

/// What is added to a server's cost for its cold time, in tokens: less where a
/// turn would be lost; more where a server that was cold lately has none, which
/// fades.
double
balancer__cold_cost(const struct balancer *r, const struct balancer_server *p,
    uint64_t now_us, uint32_t n_usable)
{
	const double request = p->pool->mean_recompute_tokens;
	double left;

	if (balancer__is_cold(p, now_us))
		return wants_turn(r, p, now_us, n_usable) ? -request : 0;
	if (!is_warming(p, now_us) ||
	    turns_is_open(&p->cold.turns, balancer__shared_us(r, now_us)))
		return 0;
	left = 1 -
	    (double)(now_us - p->cold.ended_us) /
		(double)p->pool->cold_rule.start_us;
	return request * left * left;
}

/// Ends a cold time that has passed.
void
balancer__cold_expire(struct balancer_server *p, uint64_t now_us)
{
	if (p->cold.until_us == 0 || balancer__is_cold(p, now_us))
		return;
	p->cold.ended_us = p->cold.until_us;
	p->cold.until_us = 0;
	p->cold.presumed = false;
	balancer__forget_speed(p);
	balancer__update_restricted(p);
}

static void
begin(struct balancer *r, struct balancer_server *p, uint64_t now_us,
    uint64_t until_us)
{
	if (!balancer__is_cold(p, now_us))
		balancer__cold_set_turns(r, p, now_us);
	p->cold.until_us = until_us;
	balancer__update_restricted(p);
}

/// Records until when a server is cold, as told by the list or the server. A
/// time in the past ends a cold time that was only presumed.
void
balancer_set_cold(
    struct balancer *r, uint64_t now_us, handle_t server, uint64_t until_us)
{
	struct balancer_server *p = balancer__server(r, server);
	uint64_t known_us;

	if (p == NULL || !has_rule(p->pool))
		return;
	known_us = p->cold.presumed ? 0 : p->cold.until_us;
	if (until_us <= now_us) {
		if (p->cold.presumed)
			p->cold.until_us = MIN(p->cold.until_us, now_us);
		balancer__cold_expire(p, now_us);
		return;
	}
	until_us = MIN(until_us, now_us + p->pool->cold_rule.start_us);
	if (until_us > MAX(known_us, now_us) + COLD_AGAIN_US) {
		prefix_index_remove_server(r->index, p->slot);
		balancer__forget_speed(p);
	}
	if (until_us <= known_us)
		return;
	begin(r, p, now_us, until_us);
	p->cold.presumed = false;
}

/// Treats a server as cold that may have restarted just now. It keeps its
/// entries of the prefix index.
void
balancer_presume_cold(struct balancer *r, uint64_t now_us, handle_t server)
{
	struct balancer_server *p = balancer__server(r, server);
	uint64_t until_us;

	if (p == NULL || !has_rule(p->pool))
		return;
	until_us = now_us + p->pool->cold_rule.start_us;
	if (until_us <= p->cold.until_us)
		return;
	p->cold.presumed = true;
	begin(r, p, now_us, until_us);
}

/// Treats as cold the servers of data centres that get requests again.
void
balancer__cold_presume_returned(struct balancer *r, uint64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	if (!r->any_dc_returned)
		return;
	for (uint32_t i = 0; i < r->n_slots; i++) {
		if (r->slots[i] != NULL && r->slots[i]->data_centre->returned)
			balancer_presume_cold(r, now_us, r->slots[i]->handle);
	}
	g_hash_table_iter_init(&it, r->data_centres);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct balancer_dc *)value)->returned = false;
	r->any_dc_returned = false;
}

struct balancer_cold_state
balancer_cold_state(const struct balancer *r, uint64_t now_us, handle_t server)
{
	const struct balancer_server *p = balancer__server(r, server);

	if (p == NULL || !balancer__is_cold(p, now_us))
		return (struct balancer_cold_state){ .until_us = 0 };
	return (struct balancer_cold_state){ .until_us = p->cold.until_us,
		.presumed = p->cold.presumed };
}

/// When a server next takes a request by its cold time; UINT64_MAX: not known.
uint64_t
balancer__cold_opens_us(
    const struct balancer *r, const struct balancer_server *p, uint64_t now_us)
{
	const uint64_t shared = balancer__shared_us(r, now_us);
	uint64_t next;

	if (!balancer__is_cold(p, now_us))
		return now_us;
	next = turns_next_us(&p->cold.turns, shared);
	return next == UINT64_MAX
	    ? p->cold.until_us
	    : MIN(now_us + (next - shared), p->cold.until_us);
}
