#ifndef REPLOG_RAFT_INTERNAL_H
#define REPLOG_RAFT_INTERNAL_H

#include "replog/raft.h"
#include "replog/raft_codec.h"

#include <glib.h>
#include <inttypes.h>

/// Internals of the raft core, shared by its files.

#define RAFT_MAX_PEERS (2 * RAFT_MAX_MEMBERS)
#define RAFT_MAX_IN_FLIGHT 32         ///< Unacknowledged appends to a member.
#define RAFT_BATCH_BYTES (256U << 10) ///< Entries of one message.
#define RAFT_ENTRY_OVERHEAD_BYTES 16  ///< Counted for each entry.

/// How a leader replicates to a member.
enum raft_progress {
	RAFT_PROBE,     ///< Unknown where the logs agree: one append at a time.
	RAFT_REPLICATE, ///< Appends are pipelined.
	RAFT_SNAPSHOT,  ///< The entries that it needs are compacted.
};

/// State of another member as a leader or candidate knows it.
struct raft_peer {
	uint32_t id;
	bool voter;
	bool granted; ///< Vote or pre-vote of this election.
	/// Newest term for which it requested a pre-vote while this voter
	/// waited after a restart.
	uint64_t pre_vote_term;
	enum raft_progress progress;
	bool probing;         ///< A probe or a snapshot chunk is in flight.
	uint64_t match;       ///< Highest index known to be synced there.
	uint64_t next;        ///< Index of the next entry to send.
	uint64_t acked_round; ///< Highest round that it replied to.
	uint64_t acked_at_us; ///< Send time of the newest acknowledged message.
	uint64_t in_flight[RAFT_MAX_IN_FLIGHT]; ///< Last index of each message.
	size_t n_in_flight;
	GBytes *snapshot; ///< Being sent, or NULL.
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	uint64_t snapshot_transfer_id; ///< Tells one transfer from the next.
	size_t snapshot_offset;        ///< Bytes acknowledged.
};

enum raft_pending_kind {
	RAFT_PENDING_SEND, ///< Message that depends on synced writes.
	RAFT_PENDING_VOTE, ///< Count the vote for itself.
	RAFT_PENDING_LOG,  ///< Entries up to `index` are synced.
};

/// Action that waits for a sync.
struct raft_pending {
	enum raft_pending_kind kind;
	uint64_t seq; ///< Of the sync.
	uint64_t index;
	uint64_t term;
	uint32_t to;
	uint8_t *bytes;
	size_t len;
};

/// A proposal or read barrier whose outcome is pending.
struct raft_waiter {
	uint64_t tag;
	uint64_t index; ///< Must be committed first.
	uint64_t round; ///< Reads: must be acknowledged by a quorum first.
};

/// A snapshot that is being received.
struct raft_receive {
	GByteArray *bytes;
	uint32_t from;
	uint64_t transfer_id;
	uint64_t index;
	uint64_t term;
	struct raft_members members;
	bool installing; ///< Complete; the caller installs it.
};

struct raft_core {
	uint32_t group;
	uint32_t self;
	uint64_t election_us;
	uint64_t heartbeat_us;
	struct raft_limits limits;
	struct rnd *rnd;
	uint64_t now_us;
	struct raft_effects *out; ///< Effects of the current step.

	struct raft_hard_state hard_state;
	bool step_wrote;     ///< The current step has written.
	uint64_t write_seq;  ///< Sync that covers the newest write.
	uint64_t synced_seq; ///< Newest sync that has completed.
	GQueue pending;      ///< struct raft_pending, by seq.

	GArray *log;         ///< struct raft_entry after base_index.
	uint64_t base_index; ///< The log starts right after it.
	uint64_t base_term;
	uint64_t synced_index;
	uint64_t
	    verified_index; ///< Known to agree with the leader of this term.
	uint64_t commit;
	GArray
	    *member_sets; ///< struct raft_members, oldest first, never empty.

	enum raft_role role;
	uint32_t leader;
	uint32_t skipped_elections; ///< See may_campaign().
	bool leader_transfer;       ///< The old leader requested this election.
	bool self_granted;          ///< Its own vote is synced.
	uint64_t deadline_us;       ///< Next tick.
	uint64_t armed_us;          ///< Time last given to the caller, 0: none.
	bool leader_contacted;      ///< leader_contact_us is set.
	uint64_t leader_contact_us; ///< Last contact with a leader.
	bool vote_withheld; ///< leader_contact_us is the restart time: no
			    ///< leader was in contact since.

	struct raft_peer peers[RAFT_MAX_PEERS];
	size_t n_peers;
	uint64_t round;      ///< Leader: counts heartbeats, reads and snapshot
			     ///< transfers.
	uint64_t term_start; ///< Leader: index of its first entry.
	uint64_t led_since_us;
	GArray *proposals;    ///< struct raft_waiter, by index.
	guint proposals_done; ///< Of them, completed from the front.
	GArray *reads;        ///< struct raft_waiter, by round.
	bool transferring;    ///< A leadership transfer is under way.
	bool lease_revoked;   ///< The successor was told to start an election.
	uint32_t transfer_to;
	uint64_t transfer_until_us;

	struct raft_receive receive;
};

/* raft.c */
struct raft_effect *raft_emit(struct raft_core *c, enum raft_effect_kind kind);
void raft_send(struct raft_core *c, uint32_t to, struct raft_msg *m);
void raft_send_after_sync(struct raft_core *c, uint32_t to, struct raft_msg *m);
void raft_write_hard_state(struct raft_core *c);
uint64_t raft_mark_write(struct raft_core *c);
void raft_emit_outcome(
    struct raft_core *c, uint64_t tag, enum status status, uint64_t index);
void raft_emit_role(struct raft_core *c);
struct raft_peer *raft_peer(struct raft_core *c, uint32_t id);
void raft_pending_free(struct raft_pending *p);

/* raft_log.c */
void raft_log_append(struct raft_core *c, const struct raft_entry *e);
void raft_log_truncate(struct raft_core *c, uint64_t from);
void raft_log_compact(struct raft_core *c, uint64_t upto);
void raft_log_retain(struct raft_core *c, uint64_t snapshot_index);
void raft_log_reset(struct raft_core *c, uint64_t index, uint64_t term,
    const struct raft_members *members);
void raft_log_init(struct raft_core *c, const struct raft_config *config);
void raft_log_free(struct raft_core *c);

/* raft_election.c */
void raft_become_follower(struct raft_core *c, uint64_t term, uint32_t leader);
void raft_note_leader_contact(struct raft_core *c, uint32_t leader);
void raft_reset_deadline(struct raft_core *c);
void raft_campaign(struct raft_core *c, bool leader_transfer);
void raft_count_votes(struct raft_core *c);
void raft_on_election_msg(struct raft_core *c, const struct raft_msg *m);
void raft_election_tick(struct raft_core *c);
bool raft_has_recent_leader(const struct raft_core *c);
void raft_reset_pre_vote_deadline(struct raft_core *c);

/* raft_restart.c */
void raft_restart_begin(struct raft_core *c);
void raft_restart_on_pre_vote(struct raft_core *c, const struct raft_msg *m);

/* raft_append.c */
void raft_become_leader(struct raft_core *c);
void raft_stop_leading(struct raft_core *c);
void raft_broadcast(struct raft_core *c, bool heartbeat);
void raft_send_append(struct raft_core *c, struct raft_peer *p, bool heartbeat);
void raft_on_append(struct raft_core *c, const struct raft_msg *m);
void raft_on_append_reply(struct raft_core *c, const struct raft_msg *m);
void raft_commit_to(struct raft_core *c, uint64_t index);
void raft_leader_commit(struct raft_core *c);
void raft_propose(struct raft_core *c, uint64_t tag, enum raft_entry_kind kind,
    const uint8_t *bytes, size_t len);

/* raft_leadership.c */
void raft_read(struct raft_core *c, uint64_t tag);
void raft_complete_reads(struct raft_core *c);
void raft_leader_tick(struct raft_core *c);
void raft_transfer(struct raft_core *c, uint32_t to);
void raft_transfer_step(struct raft_core *c);
void raft_on_timeout_now(struct raft_core *c, const struct raft_msg *m);

/* raft_members.c */
void raft_members_push(struct raft_core *c, const struct raft_entry *e);
void raft_members_truncate(struct raft_core *c, uint64_t from);
void raft_peers_refresh(struct raft_core *c);
void raft_change_members(struct raft_core *c, const struct raft_event *ev);
void raft_members_committed(struct raft_core *c, uint64_t index);

/* raft_snapshot.c */
void raft_send_snapshot(struct raft_core *c, struct raft_peer *p);
void raft_on_snapshot(struct raft_core *c, const struct raft_msg *m);
void raft_on_snapshot_reply(struct raft_core *c, const struct raft_msg *m);
void raft_snapshot_installed(
    struct raft_core *c, uint64_t index, uint64_t term);
void raft_receive_clear(struct raft_core *c);
void raft_peer_drop_snapshot(struct raft_peer *p);

#endif
