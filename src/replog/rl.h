#ifndef REPLOG_RL_H
#define REPLOG_RL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/rnd.h"
#include "base/st.h"

/// Replicated log of one group: a core without I/O. The caller feeds events
/// with the time and carries out the effects in order: first writes, then
/// one sync, then messages and the rest (see struct rl_effects).

#define RL_MAX_MEMBERS 9

/// A member's id is its fixed slot (from the settings) in the low bits; the
/// bits above tell a member that joined anew with another disk from the one
/// that had the slot before. Messages are addressed by slot.
#define RL_SLOT_BITS 16
#define RL_SLOT_MASK 0xffffU

enum rl_entry_kind {
	RL_COMMAND, ///< Bytes for the state machine.
	RL_MEMBERS, ///< A new set of members (encoded struct rl_members).
	RL_EMPTY,   ///< First entry of a term.
};

struct rl_entry {
	uint64_t index;
	uint64_t term;
	enum rl_entry_kind kind;
	uint32_t len;
	uint8_t *data;
};

struct rl_members {
	uint64_t index; ///< Log index that set them.
	uint32_t n_voters;
	uint32_t n_learners;
	uint32_t voters[RL_MAX_MEMBERS];
	uint32_t learners[RL_MAX_MEMBERS];
};

/// What must be on disk before anything counts: identity, term and vote.
struct rl_hard {
	uint64_t term;
	uint32_t voted_for; ///< 0: nobody
};

/// Sizes; 0 in each field stands for the default.
struct rl_limits {
	uint32_t trail_entries; ///< Kept in memory behind a snapshot.
	uint32_t batch_entries; ///< In one message.
	uint32_t piece_bytes;   ///< Of a snapshot in one message.
};

/// State read from the disk at start.
struct rl_boot {
	uint32_t group;
	uint32_t self;
	struct rl_hard hard;
	struct rl_members members; ///< As of the snapshot, or the first set.
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	const struct rl_entry *entries; ///< After the snapshot.
	size_t n_entries;
	uint64_t election_us;
	uint64_t heartbeat_us;
	struct rl_limits limits;
	/// A process that restarted may have heard a leader right before: it
	/// waits one election time before it votes again.
	bool restarted;
};

enum rl_role {
	RL_FOLLOWER,
	RL_PRE_CANDIDATE,
	RL_CANDIDATE,
	RL_LEADER,
};

enum rl_event_kind {
	RL_EV_TICK,          ///< The armed time has come.
	RL_EV_MESSAGE,       ///< Bytes of a peer's message (encoded).
	RL_EV_PROPOSE,       ///< Append a command (leader only).
	RL_EV_SYNCED,        ///< All writes up to this sync's `seq` are synced.
	RL_EV_READ,          ///< Ask for a read barrier (leader only).
	RL_EV_MEMBERS,       ///< Change members by one step (leader only).
	RL_EV_TRANSFER,      ///< Hand leadership over (planned stop).
	RL_EV_SNAPSHOT_MADE, ///< The caller took a snapshot up to `index`.
	RL_EV_SNAPSHOT_IN,   ///< A received snapshot is installed and synced.
};

struct rl_event {
	enum rl_event_kind kind;
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

enum rl_effect_kind {
	RL_FX_HARD,          ///< Write term and vote.
	RL_FX_APPEND,        ///< Write an entry (after cutting at its index).
	RL_FX_SYNC,          ///< Sync, then give RL_EV_SYNCED with `seq`.
	RL_FX_SEND,          ///< Send bytes to a peer.
	RL_FX_COMMIT,        ///< Entry is committed: apply it.
	RL_FX_OUTCOME,       ///< A proposal or read ended: `tag`, `status`.
	RL_FX_ROLE,          ///< Role, leader or term changed.
	RL_FX_ARM,           ///< Give RL_EV_TICK at this time.
	RL_FX_NEED_SNAPSHOT, ///< Peer needs the snapshot: stream it.
	RL_FX_INSTALL,       ///< Received snapshot complete: install, sync.
};

struct rl_effect {
	enum rl_effect_kind kind;
	union {
		struct rl_hard hard;
		struct rl_entry entry; ///< APPEND, COMMIT; data lives in core
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
			enum st status; ///< OK, UNAVAILABLE (not appended) or
					///< TIMEOUT (leadership lost: unknown)
			uint64_t index;
		} outcome;
		struct {
			enum rl_role role;
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
			struct rl_members members;
			uint8_t *bytes; ///< Owned by the effects.
			size_t len;
		} install;
	};
};

/// Effects of one step, in the order in which they must be carried out. A
/// message that promises something about the disk appears only after the
/// RL_EV_SYNCED that covers it, so SEND effects may always go out at once.
struct rl_effects {
	size_t n;
	size_t room;
	struct rl_effect *items;
};

struct rl_core;

struct rl_core *rl_new(
    const struct rl_boot *boot, struct rnd *rnd, uint64_t now_us);
void rl_free(struct rl_core *c);
void rl_step(struct rl_core *c, uint64_t now_us, const struct rl_event *ev,
    struct rl_effects *out);
void rl_effects_clear(struct rl_effects *fx);
void rl_effects_free(struct rl_effects *fx);

/// Snapshot bytes for a peer, handed over in pieces by the core.
void rl_offer_snapshot(struct rl_core *c, uint64_t now_us, uint32_t to,
    uint64_t index, uint64_t term, const uint8_t *bytes, size_t len,
    struct rl_effects *out);

enum rl_role rl_role(const struct rl_core *c);
uint32_t rl_leader(const struct rl_core *c);
uint64_t rl_term(const struct rl_core *c);
uint64_t rl_commit_index(const struct rl_core *c);
uint64_t rl_last_index(const struct rl_core *c);
const struct rl_members *rl_members(const struct rl_core *c);
/// Members as of an index at or after the last snapshot.
const struct rl_members *rl_members_at(const struct rl_core *c, uint64_t index);
/// Term of an entry that the core still holds, else 0.
uint64_t rl_term_at(const struct rl_core *c, uint64_t index);
/// Entry that the core still holds, else NULL.
const struct rl_entry *rl_entry_at(const struct rl_core *c, uint64_t index);
bool rl_is_voter(const struct rl_members *m, uint32_t id);
bool rl_is_learner(const struct rl_members *m, uint32_t id);
/// Whether the leader's lease holds, so that it may answer reads and give
/// orders at this time without asking.
bool rl_lease_holds(const struct rl_core *c, uint64_t now_us);
/// For the leader: highest index known to be synced at a member.
uint64_t rl_match_index(const struct rl_core *c, uint32_t id);
/// For the leader: whether a member answered within an election time.
bool rl_is_active(const struct rl_core *c, uint64_t now_us, uint32_t id);

#endif
