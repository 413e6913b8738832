#ifndef PLACEMENT_MEMBER_H
#define PLACEMENT_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

/// Decides which control processes vote in a replicated group, without I/O.
/// Voters are removed from a data centre before its announced reclaim, a
/// caught-up learner replaces a lost voter, and voters are spread over data
/// centres.

#define MEMBER_MAX 32 ///< voters, learners and joiners together

enum member_kind {
	MEMBER_VOTER,
	MEMBER_LEARNER,
	MEMBER_JOINER, ///< a process that requests membership
};

struct member_info {
	uint32_t id; ///< of the process in the replicated group
	enum member_kind kind;
	uint32_t data_centre; ///< index
	bool draining;        ///< a reclaim of its data centre is announced
	bool active; ///< responded recently; always set for the leader itself
	bool synced; ///< has every committed entry on disk
};

struct member_inputs {
	uint32_t self;        ///< id of the leader
	uint32_t want_voters; ///< configured number of voters
	uint32_t n;           ///< number of members
	struct member_info members[MEMBER_MAX];
};

enum member_change_kind {
	MEMBER_NOTHING,
	MEMBER_ADD,     ///< add a joiner as a learner
	MEMBER_PROMOTE, ///< make a learner a voter
	MEMBER_REMOVE,
	MEMBER_TRANSFER, ///< transfer leadership to another voter
};

struct member_change {
	enum member_change_kind kind;
	uint32_t id; ///< MEMBER_TRANSFER: 0, to the best follower
};

struct member_change member_next_change(const struct member_inputs *in);

#endif
