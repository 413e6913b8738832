#include "route/balancer_internal.h"

#include <glib.h>

#include "base/timerq.h"

/// Which servers take a request now: those whose limit, or cold time, has a
/// turn of this process, that aren't paused, and that have room if they are
/// brittle.

/// When the response to the request after a pause is next looked for.
#define TRIAL_CHECK_US (20 * USEC_PER_MSEC)
/// An older load report doesn't show that a brittle server is full: without
/// requests there is no newer one.
#define ROOM_REPORT_US (500 * USEC_PER_MSEC)

/// Time that all processes share, for the turns.
uint64_t
balancer__shared_us(const struct balancer *r, uint64_t now_us)
{
	return (uint64_t)((int64_t)now_us + r->time_offset_us);
}

/// Whether a server takes requests at moments only, which differ between
/// processes.
bool
balancer__has_turns(const struct balancer_server *p)
{
	return p->half_open || p->turns.per_s > 0 || p->cold.until_us > 0;
}

/// To be called when a limit, a pause, a cold time or brittleness begins or
/// ends.
void
balancer__update_restricted(struct balancer_server *p)
{
	p->restricted = balancer__has_turns(p) || p->brittle.on;
}

/// The processes that send to a server. Which of them get the slots that remain
/// after an equal division differs between servers.
struct brittle_senders
balancer__senders(const struct balancer *r, const struct balancer_server *p)
{
	const uint32_t n = (uint32_t)MAX(r->params.n_entries, 1);

	return (struct brittle_senders){
		.n = n,
		.rank = r->position.n != n
		    ? n
		    : (uint32_t)((r->position.number + p->name_hash % n) % n),
	};
}

/// Requests that a server works on at a time; 0: unknown.
uint32_t
balancer__slots(const struct balancer_server *p)
{
	return p->report.slots > 0 ? p->report.slots : p->conf.slots;
}

static struct brittle_room
room_of(const struct balancer_server *p, uint64_t now_us)
{
	const bool is_fresh = now_us < p->report_us + ROOM_REPORT_US;

	return (struct brittle_room){
		.slots = balancer__slots(p),
		.own = p->own_requests,
		.others = is_fresh ? p->other_requests : 0,
	};
}

void
balancer_set_brittle(
    struct balancer *r, handle_t server, bool is_brittle, uint32_t max_refusals)
{
	struct balancer_server *p = balancer__server(r, server);

	if (p == NULL)
		return;
	if (is_brittle)
		brittle_set(&p->brittle, max_refusals);
	else
		brittle_clear(&p->brittle);
	balancer__update_restricted(p);
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
	const struct brittle_room room = room_of(p, now_us);
	const struct brittle_senders senders = balancer__senders(r, p);
	uint64_t open_us = MAX(now_us, p->paused_until_us);

	if (next == UINT64_MAX)
		return next;
	if (p->half_open && p->trial != HANDLE_NONE)
		open_us = MAX(open_us, now_us + TRIAL_CHECK_US);
	open_us = MAX(open_us, now_us + (next - shared));
	open_us = MAX(
	    open_us, brittle_opens_us(&p->brittle, now_us, &room, &senders));
	return MAX(open_us, balancer__cold_opens_us(r, p, now_us));
}

/// Whether a server's limit, pause and cold time allow a request now.
static bool
is_open(
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

/// Whether a server takes a request now.
bool
balancer__is_open(
    const struct balancer *r, const struct balancer_server *p, uint64_t now_us)
{
	const struct brittle_room room = room_of(p, now_us);
	const struct brittle_senders senders = balancer__senders(r, p);

	return is_open(r, p, now_us) &&
	    brittle_is_open(&p->brittle, now_us, &room, &senders);
}

bool
balancer_is_open(const struct balancer *r, uint64_t now_us, handle_t server)
{
	const struct balancer_server *p = balancer__server(r, server);

	return p != NULL && is_open(r, p, now_us);
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

/// Adds the requests per second that a server takes from this process.
static void
add_rate(const struct balancer *r, const struct balancer_server *p,
    uint64_t now_us, struct balancer_openings *out)
{
	const struct brittle_senders senders = balancer__senders(r, p);
	double per_s = 0;

	if (balancer__is_cold(p, now_us))
		per_s = p->cold.turns.per_s / MAX(r->position.n, 1);
	else if (p->turns.per_s > 0)
		per_s = p->turns.per_s / p->turns.position.n;
	else if (p->brittle.on)
		per_s =
		    brittle_per_s(&p->brittle, balancer__slots(p), &senders);
	if (per_s > 0)
		out->per_s += per_s;
	else
		out->any_unlimited = true;
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
		add_rate(r, p, now_us, out);
	}
	return out->next_us != UINT64_MAX;
}
