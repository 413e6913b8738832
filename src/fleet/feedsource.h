#ifndef FLEET_FEEDSOURCE_H
#define FLEET_FEEDSOURCE_H

#include <stdbool.h>
#include <stdint.h>

/// Decides when a gateway leaves the control process that it has chosen for the
/// configuration and the list of servers. Has no I/O.

/// A process whose list is older is left for another one, unless lists are
/// usually older.
#define FEEDSOURCE_LIST_OLD_US UINT64_C(2000000)

struct feedsource {
	uint32_t slot;            ///< of the chosen process; 0: none
	uint64_t chosen_us;       ///< when it was chosen
	uint64_t unanswered_us;   ///< when the first ask without an answer was
				  ///< sent; 0: none
	uint64_t version;         ///< of the newest configuration that it has
	uint64_t wanted_version;  ///< newest one that the leader told of
	uint64_t behind_since_us; ///< since when `wanted_version` is lacking
};

/// What the gateway has.
struct feedsource_state {
	uint64_t version;       ///< of its configuration; 0: none
	uint64_t list_fresh_us; ///< when its list was read; 0: it has none
	uint64_t list_old_us;   ///< age from which another process may have a
				///< newer one; 0: only the usual bound holds
};

void feedsource_choose(struct feedsource *f, uint32_t slot, uint64_t now_us);
void feedsource_want(
    struct feedsource *f, uint64_t version, uint64_t has, uint64_t now_us);
void feedsource_on_ask(struct feedsource *f, uint64_t now_us);
void feedsource_on_answer(struct feedsource *f, uint64_t version);
bool feedsource_is_behind(const struct feedsource *f, uint64_t has);
bool feedsource_must_leave(const struct feedsource *f,
    const struct feedsource_state *has, uint64_t now_us);
bool feedsource_may_return(const struct feedsource *f, uint64_t now_us);

#endif
