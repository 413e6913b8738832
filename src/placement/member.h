#ifndef PLACEMENT_MEMBER_H
#define PLACEMENT_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

/// Which control processes vote in a replicated group: a core without I/O.
/// Voters leave a data centre before its announced reclaim, a standby
/// replaces a voter that is lost, and voters are spread over data centres.

#define MEMBER_MAX 32

enum member_kind {
	MEMBER_VOTER,
	MEMBER_LEARNER,
	MEMBER_JOINER, ///< A process that asks to belong.
};

struct member_info {
	uint32_t id;
	enum member_kind kind;
	uint32_t data_centre; ///< index
	bool draining;        ///< its data centre is to be reclaimed
	bool active;          ///< it answered lately; the leader itself is
	bool synced;          ///< it has synced all that is committed
};

struct member_inputs {
	uint32_t self; ///< id of the leader
	uint32_t want_voters;
	uint32_t n;
	struct member_info members[MEMBER_MAX];
};

enum member_change_kind {
	MEMBER_NOTHING,
	MEMBER_ADD,     ///< as a learner
	MEMBER_PROMOTE, ///< learner to voter
	MEMBER_REMOVE,
	MEMBER_TRANSFER, ///< leadership to another voter
};

struct member_change {
	enum member_change_kind kind;
	uint32_t id; ///< MEMBER_TRANSFER: 0, the best follower
};

struct member_change member_next_change(const struct member_inputs *w);

#endif
