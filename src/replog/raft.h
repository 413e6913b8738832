#ifndef REPLOG_RAFT_H
#define REPLOG_RAFT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/rnd.h"
#include "base/status.h"

/// Raft core of one replicated group, without I/O. The caller feeds it events
/// with the time and carries out the resulting effects in order (see struct
/// raft_effects).

#define RAFT_MAX_MEMBERS 9

/// A member's id has its fixed slot (from the settings) in the low bits. The
/// bits above distinguish a member that joined again with another disk from the
/// one that had the slot before. Messages are addressed by slot.
#define RAFT_SLOT_BITS 16
#define RAFT_SLOT_MASK 0xffffU

enum raft_entry_kind {
	RAFT_COMMAND, ///< Bytes for the state machine.
	RAFT_MEMBERS, ///< A new set of members (encoded struct raft_members).
	RAFT_EMPTY,   ///< First entry of a term, without data.
};

struct raft_entry {
	uint64_t index;
	uint64_t term;
	enum raft_entry_kind kind;
	uint32_t len; ///< Bytes of data.
	uint8_t *data;
};

struct raft_members {
	uint64_t index; ///< Log index that set them.
	uint32_t n_voters;
	uint32_t n_learners;
	uint32_t voters[RAFT_MAX_MEMBERS];
	uint32_t learners[RAFT_MAX_MEMBERS];
};

/// Term and vote. They must be synced before any message that depends on them
/// is sent.
struct raft_hard_state {
	uint64_t term;
	uint32_t voted_for; ///< 0: nobody
};

/// Limits of the core; 0 in a field means the default.
struct raft_limits {
	uint32_t retained_entries; ///< Kept in memory before a snapshot's
				   ///< index, for members that lag.
	size_t retained_bytes;     ///< The same, of their data together.
	uint32_t batch_entries;    ///< At most in one message.
	uint32_t chunk_bytes;      ///< Of a snapshot, at most in one message.
};

/// Settings of a core and its state read from the disk at start.
struct raft_config {
	uint32_t group;
	uint32_t self; ///< Id of this member, not 0.
	struct raft_hard_state hard_state;
	struct raft_members members; ///< As of the snapshot, or the first set.
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	const struct raft_entry *entries; ///< After the snapshot.
	size_t n_entries;
	uint64_t election_us;  ///< Shortest election timeout.
	uint64_t heartbeat_us; ///< Between two heartbeats of a leader.
	struct raft_limits limits;
	/// The process was part of the group before. It may have had contact
	/// with a leader just before it stopped, so it waits one election time
	/// before it votes again.
	bool restarted;
};

enum raft_role {
	RAFT_FOLLOWER,
	RAFT_PRE_CANDIDATE,
	RAFT_CANDIDATE,
	RAFT_LEADER,
};

enum raft_event_kind {
	RAFT_EVENT_TICK,     ///< The time of RAFT_EFFECT_ARM_TIMER has come.
	RAFT_EVENT_MESSAGE,  ///< Encoded message from a peer.
	RAFT_EVENT_PROPOSE,  ///< Append a command (leader only).
	RAFT_EVENT_SYNCED,   ///< All writes up to this sync's `seq` are synced.
	RAFT_EVENT_READ,     ///< Request a read barrier (leader only).
	RAFT_EVENT_MEMBERS,  ///< Change members by one step (leader only).
	RAFT_EVENT_TRANSFER, ///< Transfer leadership (before a planned stop).
	RAFT_EVENT_SNAPSHOT_MADE, ///< The caller took a snapshot up to `index`.
	RAFT_EVENT_SNAPSHOT_INSTALLED, ///< A received snapshot is installed and
				       ///< synced.
};

struct raft_event {
	enum raft_event_kind kind;
	union {
		struct {
			uint32_t from; ///< Slot of the sender.
			const uint8_t *bytes;
			size_t len;
		} message;
		struct {
			uint64_t tag; ///< Returned with the outcome.
			const uint8_t *bytes;
			size_t len;
			bool more; ///< Another proposal follows at once: the
				   ///< messages are sent with the last one.
		} propose;
		struct {
			uint64_t seq;
		} synced;
		struct {
			uint64_t tag;
		} read;
		struct {
			uint64_t tag;
			bool remove;
			bool voter; ///< Promote it; else add a learner.
			uint32_t id;
		} members;
		struct {
			uint32_t to; ///< 0: the best follower.
		} transfer;
		struct {
			uint64_t index;
			uint64_t term;
		} snapshot;
	};
};

enum raft_effect_kind {
	RAFT_EFFECT_HARD_STATE, ///< Write term and vote.
	RAFT_EFFECT_APPEND,     ///< Write an entry, replacing all from its
				///< index on.
	RAFT_EFFECT_SYNC,    ///< Sync, then feed RAFT_EVENT_SYNCED with `seq`.
	RAFT_EFFECT_SEND,    ///< Send bytes to a peer.
	RAFT_EFFECT_COMMIT,  ///< Entry is committed: apply it.
	RAFT_EFFECT_OUTCOME, ///< A proposal, read or member change ended.
	RAFT_EFFECT_ROLE,    ///< Role, leader or term changed.
	RAFT_EFFECT_ARM_TIMER,     ///< Feed RAFT_EVENT_TICK at this time.
	RAFT_EFFECT_NEED_SNAPSHOT, ///< A peer needs a snapshot: call
				   ///< raft_provide_snapshot().
	RAFT_EFFECT_INSTALL, ///< Install and sync a received snapshot, then
			     ///< feed RAFT_EVENT_SNAPSHOT_INSTALLED.
};

struct raft_effect {
	enum raft_effect_kind kind;
	union {
		struct raft_hard_state hard_state;
		struct raft_entry entry; ///< APPEND, COMMIT; the core
					 ///< owns the data.
		struct {
			uint64_t seq; ///< Grows with each step that writes.
		} sync;
		struct {
			uint32_t to;    ///< Member id.
			uint8_t *bytes; ///< Owned by the effects.
			size_t len;
		} send;
		struct {
			uint64_t tag; ///< As given with the event.
			/// OK, UNAVAILABLE (not appended, or read not
			/// confirmed) or TIMEOUT (leadership lost: unknown).
			/// Of a member change also another one, see
			/// raft_change_members().
			enum status status;
			/// Of the entry. Of a read: the index that must be
			/// applied before it is answered. 0 if
			/// refused at once.
			uint64_t index;
		} outcome;
		struct {
			enum raft_role role;
			uint32_t leader; ///< 0: unknown
			uint64_t term;
		} role;
		struct {
			uint64_t at_us; ///< On the clock of raft_step().
		} arm;
		struct {
			uint32_t to;
		} need_snapshot;
		struct {
			uint64_t index;
			uint64_t term;
			struct raft_members members;
			uint8_t *bytes; ///< Owned by the effects.
			size_t len;
		} install;
	};
};

/// Effects of one step, in the order in which they must be carried out. A
/// message that depends on synced writes appears only after the
/// RAFT_EVENT_SYNCED that covers them, so that SEND effects may always be
/// carried out at once. Zeroed at first; released with raft_effects_free().
struct raft_effects {
	size_t n;
	size_t capacity;
	struct raft_effect *items;
};

struct raft_core;

struct raft_core *raft_new(
    const struct raft_config *config, struct rnd *rnd, uint64_t now_us);
void raft_free(struct raft_core *c);
void raft_step(struct raft_core *c, uint64_t now_us,
    const struct raft_event *ev, struct raft_effects *out);
void raft_effects_clear(struct raft_effects *fx);
void raft_effects_free(struct raft_effects *fx);

void raft_provide_snapshot(struct raft_core *c, uint64_t now_us, uint32_t to,
    uint64_t index, uint64_t term, const uint8_t *bytes, size_t len,
    struct raft_effects *out);

enum raft_role raft_role(const struct raft_core *c);
uint32_t raft_leader(const struct raft_core *c);
uint64_t raft_term(const struct raft_core *c);
uint64_t raft_commit_index(const struct raft_core *c);
uint64_t raft_last_index(const struct raft_core *c);
const struct raft_members *raft_members(const struct raft_core *c);
const struct raft_members *raft_members_at(
    const struct raft_core *c, uint64_t index);
uint64_t raft_term_at(const struct raft_core *c, uint64_t index);
const struct raft_entry *raft_entry_at(
    const struct raft_core *c, uint64_t index);
bool raft_is_voter(const struct raft_members *m, uint32_t id);
bool raft_is_learner(const struct raft_members *m, uint32_t id);
bool raft_lease_holds(const struct raft_core *c, uint64_t now_us);
uint64_t raft_quorum_contact_us(const struct raft_core *c);
uint64_t raft_match_index(const struct raft_core *c, uint32_t id);
bool raft_is_active(const struct raft_core *c, uint64_t now_us, uint32_t id);

#endif
