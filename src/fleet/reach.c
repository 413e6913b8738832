#include "fleet/reach.h"

#include "base/timerq.h"

/// How often a server that is out of reach is checked, and one that is silent.
#define REACH_CHECK_US (500 * USEC_PER_MSEC)

/// No connection to a server could be made.
///
/// @return true if the gateway is cut off from now on
bool
reach_failed(struct reach *r, struct reach_server *s, uint64_t now_us)
{
	s->is_suspect = false;
	r->n_reached = 0;
	if (s->lost_us != 0)
		return false;
	s->lost_us = now_us;
	if (r->n_failed++ == 0)
		r->failing_since_us = now_us;
	if (r->is_cut || r->n_failed < REACH_CUT_SERVERS)
		return false;
	r->is_cut = true;
	return true;
}

/// A new connection to a server has worked.
///
/// @return true if the gateway isn't cut off any more
bool
reach_succeeded(struct reach *r, struct reach_server *s, uint64_t now_us)
{
	const bool was_lost = reach_is_lost(r, s);

	s->is_suspect = false;
	s->lost_us = 0;
	s->reached_us = now_us;
	if (!r->is_cut) {
		r->n_failed = 0;
		return false;
	}
	// One that started after the cut is reached in spite of it.
	if (!was_lost || ++r->n_reached < REACH_BACK_SERVERS)
		return false;
	*r = (struct reach){ .is_cut = false };
	return true;
}

/// Whether a server is out of reach.
bool
reach_is_lost(const struct reach *r, const struct reach_server *s)
{
	if (s->lost_us != 0)
		return true;
	return r->is_cut && s->known_us < r->failing_since_us &&
	    s->reached_us < r->failing_since_us;
}

/// Whether a connection to a server is to be tried, to learn whether it is in
/// reach.
bool
reach_needs_check(
    const struct reach *r, const struct reach_server *s, uint64_t now_us)
{
	return (s->is_suspect || reach_is_lost(r, s)) &&
	    now_us >= s->checked_us + REACH_CHECK_US;
}
