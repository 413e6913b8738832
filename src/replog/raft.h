#ifndef REPLOG_RAFT_H
#define REPLOG_RAFT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/rnd.h"
#include "base/status.h"

/// Replicated log of one group: a core without I/O. The caller feeds events
/// with the time and carries out the effects in order: first writes, then
/// one sync, then messages and the rest (see struct raft_effects).

#define RAFT_MAX_MEMBERS 9

/// A member's id is its fixed slot (from the settings) in the low bits; the
/// bits above tell a member that joined anew with another disk from the one
/// that had the slot before. Messages are addressed by slot.
#define RAFT_SLOT_BITS 16
#define RAFT_SLOT_MASK 0xffffU

enum raft_entry_kind {
	RAFT_COMMAND, ///< Bytes for the state machine.
	RAFT_MEMBERS, ///< A new set of members (encoded struct raft_members).
	RAFT_EMPTY,   ///< First entry of a term.
};

struct raft_entry {
	uint64_t index;
	uint64_t term;
	enum raft_entry_kind kind;
	uint32_t len;
	uint8_t *data;
};

struct raft_members {
	uint64_t index; ///< Log index that set them.
	uint32_t n_voters;
	uint32_t n_learners;
	uint32_t voters[RAFT_MAX_MEMBERS];
	uint32_t learners[RAFT_MAX_MEMBERS];
};

/// What must be on disk before anything counts: identity, term and vote.
struct raft_hard_state {
	uint64_t term;
	uint32_t voted_for; ///< 0: nobody
};

/// Sizes; 0 in each field stands for the default.
struct raft_limits {
	uint32_t retained_entries; ///< Kept in memory behind a snapshot.
	uint32_t batch_entries;    ///< In one message.
	uint32_t piece_bytes;      ///< Of a snapshot in one message.
};

/// State read from the disk at start.
struct raft_config {
	uint32_t group;
	uint32_t self;
	struct raft_hard_state hard_state;
	struct raft_members members; ///< As of the snapshot, or the first set.
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	const struct raft_entry *entries; ///< After the snapshot.
	size_t n_entries;
	uint64_t election_us;
	uint64_t heartbeat_us;
	struct raft_limits limits;
	/// A process that restarted may have heard a leader right before: it
	/// waits one election time before it votes again.
	bool restarted;
};

enum raft_role {
	RAFT_FOLLOWER,
	RAFT_PRE_CANDIDATE,
	RAFT_CANDIDATE,
	RAFT_LEADER,
};

enum raft_event_kind {
	RAFT_EVENT_TICK,     ///< The armed time has come.
	RAFT_EVENT_MESSAGE,  ///< Bytes of a peer's message (encoded).
	RAFT_EVENT_PROPOSE,  ///< Append a command (leader only).
	RAFT_EVENT_SYNCED,   ///< All writes up to this sync's `seq` are synced.
	RAFT_EVENT_READ,     ///< Ask for a read barrier (leader only).
	RAFT_EVENT_MEMBERS,  ///< Change members by one step (leader only).
	RAFT_EVENT_TRANSFER, ///< Hand leadership over (planned stop).
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
			bool more; ///< Further proposals follow at once: the
				   ///< messages go out with the last one.
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
			bool voter; ///< else learner
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
	RAFT_EFFECT_APPEND,  ///< Write an entry (after cutting at its index).
	RAFT_EFFECT_SYNC,    ///< Sync, then give RAFT_EVENT_SYNCED with `seq`.
	RAFT_EFFECT_SEND,    ///< Send bytes to a peer.
	RAFT_EFFECT_COMMIT,  ///< Entry is committed: apply it.
	RAFT_EFFECT_OUTCOME, ///< A proposal or read ended: `tag`, `status`.
	RAFT_EFFECT_ROLE,    ///< Role, leader or term changed.
	RAFT_EFFECT_ARM_TIMER,     ///< Give RAFT_EVENT_TICK at this time.
	RAFT_EFFECT_NEED_SNAPSHOT, ///< Peer needs the snapshot: stream it.
	RAFT_EFFECT_INSTALL, ///< Received snapshot complete: install, sync.
};

struct raft_effect {
	enum raft_effect_kind kind;
	union {
		struct raft_hard_state hard_state;
		struct raft_entry entry; ///< APPEND, COMMIT; data lives in core
		struct {
			uint64_t seq; ///< Grows with each step that wrote.
		} sync;
		struct {
			uint32_t to;
			uint8_t *bytes; ///< Owned by the effects.
			size_t len;
		} send;
		struct {
			uint64_t tag;
			enum status
			    status; ///< OK, UNAVAILABLE (not appended) or
				    ///< TIMEOUT (leadership lost: unknown)
			uint64_t index;
		} outcome;
		struct {
			enum raft_role role;
			uint32_t leader; ///< 0: unknown
			uint64_t term;
		} role;
		struct {
			uint64_t at_us;
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
/// message that promises something about the disk appears only after the
/// RAFT_EVENT_SYNCED that covers it, so SEND effects may always go out at once.
struct raft_effects {
	size_t n;
	size_t room;
	struct raft_effect *items;
};

struct raft_core;

struct raft_core *raft_new(
    const struct raft_config *boot, struct rnd *rnd, uint64_t now_us);
void raft_free(struct raft_core *c);
void raft_step(struct raft_core *c, uint64_t now_us,
    const struct raft_event *ev, struct raft_effects *out);
void raft_effects_clear(struct raft_effects *fx);
void raft_effects_free(struct raft_effects *fx);

/// Snapshot bytes for a peer, handed over in pieces by the core.
void raft_provide_snapshot(struct raft_core *c, uint64_t now_us, uint32_t to,
    uint64_t index, uint64_t term, const uint8_t *bytes, size_t len,
    struct raft_effects *out);

enum raft_role raft_role(const struct raft_core *c);
uint32_t raft_leader(const struct raft_core *c);
uint64_t raft_term(const struct raft_core *c);
uint64_t raft_commit_index(const struct raft_core *c);
uint64_t raft_last_index(const struct raft_core *c);
const struct raft_members *raft_members(const struct raft_core *c);
/// Members as of an index at or after the last snapshot.
const struct raft_members *raft_members_at(
    const struct raft_core *c, uint64_t index);
/// Term of an entry that the core still holds, else 0.
uint64_t raft_term_at(const struct raft_core *c, uint64_t index);
/// Entry that the core still holds, else NULL.
const struct raft_entry *raft_entry_at(
    const struct raft_core *c, uint64_t index);
bool raft_is_voter(const struct raft_members *m, uint32_t id);
bool raft_is_learner(const struct raft_members *m, uint32_t id);
/// Whether the leader's lease holds, so that it may answer reads and give
/// orders at this time without asking.
bool raft_lease_holds(const struct raft_core *c, uint64_t now_us);
/// For the leader: highest index known to be synced at a member.
uint64_t raft_match_index(const struct raft_core *c, uint32_t id);
/// For the leader: whether a member answered within an election time.
bool raft_is_active(const struct raft_core *c, uint64_t now_us, uint32_t id);

#endif
