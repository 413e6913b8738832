#include "route/brittle.h"

#include <glib.h>

#include "base/timerq.h"

/// Least time without requests after a refusal: refusals are counted by the
/// second.
#define MIN_PAUSE_US USEC_PER_SEC
#define MAX_PAUSE_US (10 * USEC_PER_SEC)

/// Weight of the newest request in the smoothed time of work.
#define SMOOTH 0.1

/// When a server without free room is looked at again.
#define CHECK_US (20 * USEC_PER_MSEC)

/// Refusals in a second that this process may cause.
static uint32_t
own_refusals(const struct brittle *b, const struct brittle_senders *senders)
{
	return MAX(b->max_refusals / MAX(senders->n, 1), 1);
}

/// The server says that it is brittle.
///
/// @param max_refusals  in a second, with which it goes on
void
brittle_set(struct brittle *b, uint32_t max_refusals)
{
	b->on = true;
	b->max_refusals = max_refusals;
}

/// The server isn't brittle any more.
void
brittle_clear(struct brittle *b)
{
	*b = (struct brittle){ .on = false };
}

/// Requests that this process may have at the server at a time: its share of
/// the slots, at least one.
uint32_t
brittle_places(const struct brittle *b, uint32_t slots,
    const struct brittle_senders *senders)
{
	const uint32_t n = MAX(senders->n, 1);
	uint32_t places = slots / n + (senders->rank < slots % n);

	if (slots == 0)
		places = own_refusals(b, senders);
	if (b->in_doubt)
		places = MIN(places, b->at_a_time);
	return MAX(places, 1);
}

/// Whether the server may be sent one more request.
bool
brittle_is_open(const struct brittle *b, uint64_t now_us,
    const struct brittle_room *room, const struct brittle_senders *senders)
{
	if (!b->on)
		return true;
	if (now_us < b->closed_until_us ||
	    room->own >= brittle_places(b, room->slots, senders))
		return false;
	return room->slots == 0 ||
	    (uint64_t)room->own + room->others < room->slots;
}

/// When the server may be sent one more request; a guess if that depends on
/// requests that are there.
uint64_t
brittle_opens_us(const struct brittle *b, uint64_t now_us,
    const struct brittle_room *room, const struct brittle_senders *senders)
{
	if (brittle_is_open(b, now_us, room, senders))
		return now_us;
	return MAX(b->closed_until_us, now_us + CHECK_US);
}

/// Requests per second that this process can send; 0: not known.
double
brittle_per_s(const struct brittle *b, uint32_t slots,
    const struct brittle_senders *senders)
{
	return b->work_us > 0 ? brittle_places(b, slots, senders) *
		(double)USEC_PER_SEC / b->work_us
			      : 0;
}

/// The server has refused a request. If there are more processes than refusals
/// with which it goes on, each waits longer, so that those of all are few.
void
brittle_on_refused(
    struct brittle *b, uint64_t now_us, const struct brittle_senders *senders)
{
	const uint64_t pause_us =
	    (uint64_t)senders->n * USEC_PER_SEC / MAX(b->max_refusals, 1);

	if (!b->on)
		return;
	b->in_doubt = true;
	b->at_a_time = own_refusals(b, senders);
	b->refused_us = now_us;
	b->closed_until_us =
	    now_us + CLAMP(pause_us, MIN_PAUSE_US, MAX_PAUSE_US);
}

/// The server has responded completely to a request.
///
/// @param begin_us  when it was sent: one that was sent before the last refusal
///                  doesn't show that there is room
void
brittle_on_done(struct brittle *b, uint64_t now_us, uint64_t begin_us)
{
	const double us = (double)(now_us - begin_us);

	if (!b->on)
		return;
	b->work_us += b->work_us > 0 ? SMOOTH * (us - b->work_us) : us;
	if (b->in_doubt && begin_us > b->refused_us &&
	    b->at_a_time < UINT32_MAX)
		b->at_a_time++;
}
