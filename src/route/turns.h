#ifndef ROUTE_TURNS_H
#define ROUTE_TURNS_H

#include <stdbool.h>
#include <stdint.h>

/// Divides a server's limit of requests per second among the processes that
/// send to it, without messages: time since 1970 is cut into turns of
/// 1 / limit, and each turn belongs to one of the processes, by their numbers.
/// A core without I/O. A turn allows one request, until TURNS_VALID_US after
/// its start, or a shorter time where `valid_us` says so.
///
/// In any W seconds the processes together send at most limit * (W + 1) + 1
/// requests. While their numbers change, two processes may have the same turn,
/// for as long as one knows the new numbers and the other doesn't. With turns
/// of a second, four seconds have at most 5 * limit + 1, and a second of such a
/// change stays below the bound of 6 * limit + 5.

#define TURNS_VALID_US 1000000

/// One process's number among all of them.
struct turns_position {
	uint32_t number; ///< from 0
	uint32_t n;      ///< processes; 0: not known, no turn belongs to this
};

struct turns {
	double per_s; ///< 0: no limit
	struct turns_position position;
	uint32_t offset;   ///< differs between servers
	uint64_t valid_us; ///< of a turn; 0: TURNS_VALID_US
	int64_t used;      ///< own turn that was used or given up last
};

void turns_set(struct turns *t, uint64_t time_us, double per_s,
    struct turns_position position, uint32_t offset);
bool turns_is_open(const struct turns *t, uint64_t time_us);
int64_t turns_number(const struct turns *t, uint64_t time_us);
uint64_t turns_next_us(const struct turns *t, uint64_t time_us);
void turns_use(struct turns *t, uint64_t time_us);

#endif
