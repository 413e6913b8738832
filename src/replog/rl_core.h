#ifndef REPLOG_RL_CORE_H
#define REPLOG_RL_CORE_H

#include "replog/rl.h"
#include "replog/rl_codec.h"

#include <glib.h>
#include <inttypes.h>

/// Internals of the replicated log core, shared by its files.

#define RL_MAX_PEERS (2 * RL_MAX_MEMBERS)
#define RL_MAX_IN_FLIGHT 32
#define RL_BATCH_BYTES (256U << 10)
#define RL_ENTRY_OVERHEAD 16

enum rl_progress {
	RL_PROBE,     ///< Where the logs agree isn't known: one at a time.
	RL_REPLICATE, ///< Appends are pipelined.
	RL_SNAPSHOT,  ///< The entries needed are gone: a snapshot is sent.
};

/// What a leader or candidate knows of a member.
struct rl_peer {
	uint32_t id;
	bool voter;
	bool granted; ///< Vote or pre-vote of this election.
	/// Newest term it asked for pre-votes in while this voter waited after
	/// a restart.
	uint64_t asked_term;
	enum rl_progress progress;
	bool probing; ///< A probe is under way.
	uint64_t match;
	uint64_t next;
	uint64_t acked_round;
	uint64_t acked_at_us; ///< When the newest acked message was sent.
	uint64_t in_flight[RL_MAX_IN_FLIGHT]; ///< Last index of each message.
	size_t n_in_flight;
	GBytes *snapshot;
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	uint64_t snapshot_offer; ///< Tells one offer from the next.
	size_t snapshot_offset;
};

enum rl_pending_kind {
	RL_PENDING_SEND, ///< A message that promises something on the disk.
	RL_PENDING_VOTE, ///< The vote for itself.
	RL_PENDING_LOG,  ///< Entries up to `index`.
};

/// What becomes true only by a sync.
struct rl_pending {
	enum rl_pending_kind kind;
	uint64_t seq;
	uint64_t index;
	uint64_t term;
	uint32_t to;
	uint8_t *bytes;
	size_t len;
};

struct rl_waiting {
	uint64_t tag;
	uint64_t index;
	uint64_t round;
};

/// A snapshot that is being received.
struct rl_receive {
	GByteArray *bytes;
	uint32_t from;
	uint64_t offer;
	uint64_t index;
	uint64_t term;
	struct rl_members members;
	bool installing;
};

struct rl_core {
	uint32_t group;
	uint32_t self;
	uint64_t election_us;
	uint64_t heartbeat_us;
	struct rl_limits limits;
	struct rnd *rnd;
	uint64_t now_us;
	struct rl_effects *out; ///< Of the step under way.

	struct rl_hard hard;
	bool wrote; ///< In this step.
	uint64_t write_seq;
	uint64_t synced_seq;
	GQueue pending;

	GArray *log; ///< struct rl_entry after base_index.
	uint64_t base_index;
	uint64_t base_term;
	uint64_t synced_index;
	uint64_t verified; ///< Known to agree with the leader of this term.
	uint64_t commit;
	GArray *sets; ///< struct rl_members, oldest first, never empty.

	enum rl_role role;
	uint32_t leader;
	uint32_t held_back;   ///< elections left to others, see rl_campaign()
	bool forced;          ///< The election was asked for by the leader.
	bool self_granted;    ///< Its own vote is synced.
	uint64_t deadline_us; ///< Next tick.
	uint64_t armed_us;
	bool heard; ///< heard_us is set.
	uint64_t heard_us;
	bool restart_waits; ///< heard_us is the start, no leader was heard.

	struct rl_peer peers[RL_MAX_PEERS];
	size_t n_peers;
	uint64_t round;
	uint64_t term_start; ///< Leader: index of its first entry.
	uint64_t led_since_us;
	GArray *proposals;    ///< struct rl_waiting, by index.
	guint proposals_done; ///< Of them, settled from the front.
	GArray *reads;
	bool transferring;
	bool lease_void; ///< The order to elect another was sent.
	uint32_t transfer_to;
	uint64_t transfer_until_us;

	struct rl_receive receive;
};

/* rl.c */
struct rl_effect *rl_emit(struct rl_core *c, enum rl_effect_kind kind);
void rl_send(struct rl_core *c, uint32_t to, struct rl_msg *m);
void rl_promise(struct rl_core *c, uint32_t to, struct rl_msg *m);
void rl_write_hard(struct rl_core *c);
uint64_t rl_mark_write(struct rl_core *c);
void rl_outcome(
    struct rl_core *c, uint64_t tag, enum st status, uint64_t index);
void rl_emit_role(struct rl_core *c);
struct rl_peer *rl_peer(struct rl_core *c, uint32_t id);
void rl_pending_free(struct rl_pending *p);

/* rl_log.c */
void rl_log_append(struct rl_core *c, const struct rl_entry *e);
void rl_log_cut(struct rl_core *c, uint64_t from);
void rl_log_trim(struct rl_core *c, uint64_t upto);
void rl_log_reset(struct rl_core *c, uint64_t index, uint64_t term,
    const struct rl_members *members);
void rl_log_init(struct rl_core *c, const struct rl_boot *boot);
void rl_log_free(struct rl_core *c);

/* rl_election.c */
void rl_become_follower(struct rl_core *c, uint64_t term, uint32_t leader);
void rl_heard_leader(struct rl_core *c, uint32_t leader);
void rl_reset_deadline(struct rl_core *c);
void rl_campaign(struct rl_core *c, bool forced);
void rl_count_votes(struct rl_core *c);
void rl_on_election_msg(struct rl_core *c, const struct rl_msg *m);
void rl_election_tick(struct rl_core *c);
bool rl_heard_lately(const struct rl_core *c);
void rl_reset_pre_vote_deadline(struct rl_core *c);

/* rl_restart.c */
void rl_restart_begin(struct rl_core *c);
void rl_restart_asked(struct rl_core *c, const struct rl_msg *m);

/* rl_append.c */
void rl_start_leading(struct rl_core *c);
void rl_stop_leading(struct rl_core *c);
void rl_broadcast(struct rl_core *c, bool heartbeat);
void rl_send_append(struct rl_core *c, struct rl_peer *p, bool heartbeat);
void rl_on_append(struct rl_core *c, const struct rl_msg *m);
void rl_on_append_reply(struct rl_core *c, const struct rl_msg *m);
void rl_commit_to(struct rl_core *c, uint64_t index);
void rl_leader_commit(struct rl_core *c);
void rl_propose(struct rl_core *c, uint64_t tag, enum rl_entry_kind kind,
    const uint8_t *bytes, size_t len);

/* rl_lead.c */
uint64_t rl_quorum_time(const struct rl_core *c);
void rl_read(struct rl_core *c, uint64_t tag);
void rl_settle_reads(struct rl_core *c);
void rl_leader_tick(struct rl_core *c);
void rl_transfer(struct rl_core *c, uint32_t to);
void rl_transfer_step(struct rl_core *c);
void rl_on_timeout_now(struct rl_core *c, const struct rl_msg *m);

/* rl_members.c */
void rl_members_push(struct rl_core *c, const struct rl_entry *e);
void rl_members_cut(struct rl_core *c, uint64_t from);
void rl_peers_refresh(struct rl_core *c);
void rl_change_members(struct rl_core *c, const struct rl_event *ev);
void rl_members_committed(struct rl_core *c, uint64_t index);

/* rl_snapshot.c */
void rl_send_snapshot(struct rl_core *c, struct rl_peer *p);
void rl_on_snapshot(struct rl_core *c, const struct rl_msg *m);
void rl_on_snapshot_reply(struct rl_core *c, const struct rl_msg *m);
void rl_snapshot_installed(struct rl_core *c, uint64_t index, uint64_t term);
void rl_receive_clear(struct rl_core *c);
void rl_peer_drop_snapshot(struct rl_peer *p);

#endif
