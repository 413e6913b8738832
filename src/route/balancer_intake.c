#include "route/balancer_internal.h"

#include <glib.h>

#include "base/timerq.h"

/// Which servers take a request now: those whose limit, or cold time, has a
/// turn of this process, and that aren't paused.

/// When the response to the request after a pause is next looked for.
#define TRIAL_CHECK_US (20 * USEC_PER_MSEC)

/// Time that all processes share, for the turns.
uint64_t
balancer__shared_us(const struct balancer *r, uint64_t now_us)
{
	return (uint64_t)((int64_t)now_us + r->time_offset_us);
}

/// To be called when a limit, a pause or a cold time begins or ends.
void
balancer__update_restricted(struct balancer_server *p)
{
	p->restricted =
	    p->half_open || p->turns.per_s > 0 || p->cold.until_us > 0;
}

static void
set_turns(struct balancer *r, struct balancer_server *p, uint64_t now_us,
    double per_s)
{
	turns_set(&p->turns, balancer__shared_us(r, now_us), per_s, r->position,
	    (uint32_t)p->name_hash);
	balancer__update_restricted(p);
}

/// Sets this process's number among those that send to the servers.
///
/// @param time_offset_us  time since 1970 minus the clock of `now_us`
void
balancer_set_position(struct balancer *r, uint64_t now_us,
    struct turns_position position, int64_t time_offset_us)
{
	if (position.number == r->position.number &&
	    position.n == r->position.n && time_offset_us == r->time_offset_us)
		return;
	r->position = position;
	r->time_offset_us = time_offset_us;
	for (uint32_t i = 0; i < r->n_slots; i++) {
		struct balancer_server *p = r->slots[i];

		if (p == NULL)
			continue;
		set_turns(r, p, now_us, p->turns.per_s);
		if (balancer__is_cold(p, now_us) || p->cold.ended_us != 0)
			balancer__cold_set_turns(r, p, now_us);
	}
}

/// Limits the requests that a server gets from all processes together.
///
/// @param per_s  0: no limit
void
balancer_set_limit(
    struct balancer *r, uint64_t now_us, handle_t server, double per_s)
{
	struct balancer_server *p = balancer__server(r, server);

	if (p != NULL)
		set_turns(r, p, now_us, per_s);
}

/// Of overlapping pauses the later end counts.
void
balancer_pause(
    struct balancer *r, uint64_t now_us, handle_t server, uint64_t until_us)
{
	struct balancer_server *p = balancer__server(r, server);

	if (p == NULL || until_us <= now_us)
		return;
	p->paused_until_us = MAX(p->paused_until_us, until_us);
	p->half_open = true;
	p->restricted = true;
}

/// When a server takes the next request; UINT64_MAX: not known.
static uint64_t
opens_us(
    const struct balancer *r, const struct balancer_server *p, uint64_t now_us)
{
	const uint64_t shared = balancer__shared_us(r, now_us);
	const uint64_t next = turns_next_us(&p->turns, shared);
	uint64_t open_us = MAX(now_us, p->paused_until_us);

	if (next == UINT64_MAX)
		return next;
	if (p->half_open && p->trial != HANDLE_NONE)
		open_us = MAX(open_us, now_us + TRIAL_CHECK_US);
	open_us = MAX(open_us, now_us + (next - shared));
	return MAX(open_us, balancer__cold_opens_us(r, p, now_us));
}

/// Whether a server takes a request now.
bool
balancer__is_open(
    const struct balancer *r, const struct balancer_server *p, uint64_t now_us)
{
	if (now_us < p->paused_until_us ||
	    (p->half_open && p->trial != HANDLE_NONE))
		return false;
	if (balancer__is_cold(p, now_us) &&
	    !turns_is_open(&p->cold.turns, balancer__shared_us(r, now_us)))
		return false;
	return turns_is_open(&p->turns, balancer__shared_us(r, now_us));
}

bool
balancer_is_open(const struct balancer *r, uint64_t now_us, handle_t server)
{
	const struct balancer_server *p = balancer__server(r, server);

	return p != NULL && balancer__is_open(r, p, now_us);
}

/// Counts a request that is sent to a server.
void
balancer__count_sent(struct balancer *r, struct balancer_server *p,
    uint64_t now_us, handle_t dispatch)
{
	turns_use(&p->turns, balancer__shared_us(r, now_us));
	if (p->half_open)
		p->trial = dispatch;
}

void
balancer_count_request(struct balancer *r, uint64_t now_us, handle_t server)
{
	struct balancer_server *p = balancer__server(r, server);

	if (p != NULL)
		turns_use(&p->turns, balancer__shared_us(r, now_us));
}

/// Ends the trial after a pause, if the request is its one. Any response but a
/// refusal ends the pause's effect.
void
balancer__end_trial(struct balancer_server *p, uint64_t now_us,
    handle_t dispatch, enum balancer_outcome end)
{
	if (p->trial != dispatch)
		return;
	p->trial = HANDLE_NONE;
	if (end == BALANCER_REFUSED)
		p->paused_until_us =
		    MAX(p->paused_until_us, now_us + BALANCER_BUSY_US);
	else if (end != BALANCER_CANCELLED)
		p->half_open = now_us < p->paused_until_us;
	balancer__update_restricted(p);
}

/// When servers of a pool take requests again, and how many.
///
/// @return false when the pool has no server that will
bool
balancer_openings(const struct balancer *r, uint64_t now_us, const char *name,
    struct balancer_openings *out)
{
	const struct balancer_pool *pool = g_hash_table_lookup(r->pools, name);

	*out = (struct balancer_openings){ .next_us = UINT64_MAX };
	for (uint32_t i = 0; pool != NULL && i < pool->n_peers; i++) {
		const struct balancer_server *p = pool->peers[i];
		const uint64_t at_us = opens_us(r, p, now_us);

		if (balancer__is_unavailable(p) || at_us == UINT64_MAX)
			continue;
		out->next_us = MIN(out->next_us, at_us);
		if (balancer__is_cold(p, now_us))
			out->per_s +=
			    p->cold.turns.per_s / MAX(r->position.n, 1);
		else if (p->turns.per_s > 0)
			out->per_s += p->turns.per_s / p->turns.position.n;
		else
			out->any_unlimited = true;
	}
	return out->next_us != UINT64_MAX;
}
