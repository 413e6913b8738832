#ifndef ROUTE_BRITTLE_H
#define ROUTE_BRITTLE_H

#include <stdbool.h>
#include <stdint.h>

/// A brittle server: it fails when it has to refuse more than some requests in
/// a second for want of room. Decides whether this process may send it one
/// more. A core without I/O.
///
/// The processes that send to a server divide its slots, so that it has room
/// for all that they send at once. One that is refused sends nothing for a
/// time, and then as few at a time as it may have refused in a second, one more
/// for each success.

/// The processes that send to a server.
struct brittle_senders {
	uint32_t n;    ///< 0 counts as 1
	uint32_t rank; ///< of this one; n: not known
};

/// What a server has room for, and what it has.
struct brittle_room {
	uint32_t slots;  ///< requests that it works on at a time; 0: unknown
	uint32_t own;    ///< requests of this process there
	uint32_t others; ///< requests of other ones, as far as known
};

/// All zero: the server isn't brittle.
struct brittle {
	bool on;
	uint32_t max_refusals; ///< in a second, from all processes
	bool in_doubt;         ///< it has refused one; `at_a_time` applies
	uint32_t at_a_time;    ///< own requests there
	uint64_t refused_us;   ///< when it last refused one
	uint64_t closed_until_us;
	double work_us; ///< that a request takes there, smoothed; 0: unknown
};

void brittle_set(struct brittle *b, uint32_t max_refusals);
void brittle_clear(struct brittle *b);
uint32_t brittle_places(const struct brittle *b, uint32_t slots,
    const struct brittle_senders *senders);
bool brittle_is_open(const struct brittle *b, uint64_t now_us,
    const struct brittle_room *room, const struct brittle_senders *senders);
uint64_t brittle_opens_us(const struct brittle *b, uint64_t now_us,
    const struct brittle_room *room, const struct brittle_senders *senders);
double brittle_per_s(const struct brittle *b, uint32_t slots,
    const struct brittle_senders *senders);
void brittle_on_refused(
    struct brittle *b, uint64_t now_us, const struct brittle_senders *senders);
void brittle_on_done(struct brittle *b, uint64_t now_us, uint64_t begin_us);

#endif
