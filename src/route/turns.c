#include "route/turns.h"

#include <assert.h>
#include <math.h>

#define US_PER_S 1e6
/// A limit of zero lets one request through in this time: only a response can
/// show that it has ended.
#define MIN_PER_S 0.05

/// Number of turns between the start of a round and this process's turn.
static double
first_turn(const struct turns *t)
{
	return (
	    double)((t->position.number + (uint64_t)t->offset) % t->position.n);
}

/// Start of an own turn.
static double
start_us(const struct turns *t, int64_t own)
{
	return ((double)own * t->position.n + first_turn(t)) * US_PER_S /
	    t->per_s;
}

/// The last own turn that has started.
static int64_t
newest(const struct turns *t, uint64_t time_us)
{
	const double turn = floor((double)time_us * t->per_s / US_PER_S);

	return (int64_t)floor((turn - first_turn(t)) / t->position.n);
}

/// The first own turn that is valid now or later and isn't used.
static int64_t
oldest_valid(const struct turns *t, uint64_t time_us)
{
	const uint64_t valid_us =
	    t->valid_us != 0 ? t->valid_us : TURNS_VALID_US;
	const uint64_t since = time_us > valid_us ? time_us - valid_us : 0;
	const int64_t valid = newest(t, since) + 1;

	return valid > t->used ? valid : t->used + 1;
}

/// Sets limit and numbers. Turns that have started under other ones are given
/// up, so that a change gives nobody two.
///
/// @param time_us  since 1970, the same at all processes
/// @param offset   spreads the turns of servers with the same limit
void
turns_set(struct turns *t, uint64_t time_us, double per_s,
    struct turns_position position, uint32_t offset)
{
	assert(position.n == 0 || position.number < position.n);
	t->per_s = per_s;
	if (per_s > 0 && per_s < MIN_PER_S)
		t->per_s = MIN_PER_S;
	t->position = position;
	t->offset = offset;
	t->used = per_s > 0 && position.n > 0 ? newest(t, time_us) : 0;
}

/// Whether a request may be sent.
bool
turns_is_open(const struct turns *t, uint64_t time_us)
{
	if (t->per_s <= 0)
		return true;
	return t->position.n > 0 &&
	    oldest_valid(t, time_us) <= newest(t, time_us);
}

/// Number of the oldest turn that is valid, or of the next one.
int64_t
turns_number(const struct turns *t, uint64_t time_us)
{
	return t->position.n > 0 ? oldest_valid(t, time_us) : 0;
}

/// When the next request may be sent; UINT64_MAX: no turn belongs to this
/// process.
uint64_t
turns_next_us(const struct turns *t, uint64_t time_us)
{
	double start;

	if (turns_is_open(t, time_us))
		return time_us;
	if (t->position.n == 0)
		return UINT64_MAX;
	start = start_us(t, oldest_valid(t, time_us));
	return start > (double)time_us ? (uint64_t)ceil(start) : time_us + 1;
}

/// Uses the oldest turn that is valid. A request that is sent without one uses
/// the next turn.
void
turns_use(struct turns *t, uint64_t time_us)
{
	if (t->per_s > 0 && t->position.n > 0)
		t->used = oldest_valid(t, time_us);
}
