#ifndef REPLOG_REPLICA_H
#define REPLOG_REPLICA_H

#include "base/timerq.h"
#include "replog/logstore.h"
#include "replog/raft.h"

/// One process's replica of a replicated group: owns the raft core and the disk
/// log, and runs in one loop on one thread. Callbacks are made only from
/// replica_open() (snapshot_load and failed), replica_receive(),
/// replica_cancel_waiters() and timers. A callback may call any function of
/// this header but replica_close().
struct replica;

#define REPLICA_MAX_COMMAND_BYTES (16U << 20)

/// Callbacks to the owner of a replica. The first argument is `arg` of struct
/// replica_config.
struct replica_ops {
	/// Send an encoded message to the process with slot `to`. It may be
	/// dropped. The bytes are valid during the call only.
	void (*send)(void *arg, uint32_t to, const uint8_t *bytes, size_t len);
	/// Apply a committed command. The result, if any, is given to the
	/// proposer if that is in this process; it is allocated with malloc()
	/// by the callee and freed by the replica.
	void (*apply)(void *arg, uint64_t index, const uint8_t *cmd, size_t len,
	    uint8_t **result, size_t *result_len);
	/// Encode the state as of the last applied index. The bytes are
	/// allocated with malloc() and freed by the replica.
	enum status (*snapshot_make)(void *arg, uint8_t **bytes, size_t *len);
	/// Replace the state by an encoded one.
	enum status (*snapshot_load)(
	    void *arg, const uint8_t *bytes, size_t len);
	/// Role, leader or term changed, or a leader became ready (see
	/// replica_is_ready()). `leader` is a member id, 0: unknown.
	void (*role_changed)(
	    void *arg, enum raft_role role, uint32_t leader, uint64_t term);
	/// The disk failed or its content is damaged: the replica does nothing
	/// any more. The owner should log status_last() and end the process. A
	/// full disk is no failure: see replica_status.suspended.
	void (*failed)(void *arg, enum status status);
};

struct replica_config {
	const char *folder;     ///< Data folder of the process.
	uint32_t group;         ///< Number of the group, from 1.
	uint32_t self;          ///< Slot of this process, from 1.
	const char *deployment; ///< Stored on the disk and checked at start.
	const char *node;       ///< Same.
	/// Slots of the initial voters. The first start needs all of them: they
	/// agree on the set of their disks, so that a process that returns with
	/// an empty disk is recognized as a new member and not taken for the
	/// voter that it was. A process that isn't among them joins as a
	/// learner. See docs/design/members.md.
	uint32_t n_voters;
	uint32_t voters[RAFT_MAX_MEMBERS];
	/// The group may have started before. An initial voter with an empty
	/// disk then has lost one: it joins the group as a learner, unless a
	/// majority of the initial voters have the disks of their first start
	/// and haven't started the group.
	bool group_started;
	/// Slots to contact, besides the initial voters, while this process
	/// knows no leader.
	uint32_t n_contacts;
	uint32_t contacts[RAFT_MAX_MEMBERS];
	uint64_t election_us;  ///< Shortest election timeout.
	uint64_t heartbeat_us; ///< Between two heartbeats of a leader.
	/// As the leader, replace a member whose slot returned with another
	/// disk: add the new member as a learner, remove the old one, and
	/// promote the new one once it has synced all.
	bool auto_replace;
	uint64_t snapshot_bytes; ///< Growth of the log since the last snapshot
				 ///< that starts another; 0: 4 MiB
	struct raft_limits limits;
	struct timerq *timerq;
	struct rnd *rnd;
	const struct logstore_os *os; ///< NULL: logstore_os_system().
	struct replica_ops ops;
	void *arg;
};

struct replica_status {
	uint32_t self; ///< Member id of this disk, see RAFT_SLOT_BITS.
	enum raft_role role;
	uint32_t leader; ///< 0: unknown
	uint64_t term;
	uint64_t commit;      ///< Highest committed index known here.
	uint64_t applied;     ///< Index of the entry applied last.
	uint64_t last;        ///< Index of the last entry of the log.
	uint64_t snapshot;    ///< Index of the newest snapshot.
	uint64_t log_bytes;   ///< Without the snapshot.
	uint64_t incarnation; ///< Of the disk.
	enum logstore_origin origin;
	bool lease; ///< As replica_is_ready().
	bool failed;
	/// The disk is full: until there is space, this process votes for
	/// nobody and acknowledges nothing, and keeps the state that it has.
	bool suspended;
	struct raft_members members;
	/// For the leader: highest synced index of each voter, then learner,
	/// in the order of `members`.
	uint64_t match[2 * RAFT_MAX_MEMBERS];
	/// For the leader, in the same order: replied within an election time.
	bool active[2 * RAFT_MAX_MEMBERS];
	/// For the leader: ids of processes that recently asked to join and
	/// aren't members.
	uint32_t n_joiners;
	uint32_t joiners[RAFT_MAX_MEMBERS];
};

/// Outcome of a proposal, read barrier or member change. Called once, or not at
/// all if the replica fails or is closed before and replica_cancel_waiters()
/// isn't called.
///
/// @param status  STATUS_OK: committed and applied here. STATUS_UNAVAILABLE:
///                certainly not appended. STATUS_TIMEOUT: leadership was lost
///                after the append, or replica_cancel_waiters() was called;
///                the outcome is unknown. Member changes also have the errors
///                of replica_change_member().
/// @param result  from the apply callback, valid during the call; may be NULL
typedef void (*replica_done_cb)(
    void *arg, enum status status, const uint8_t *result, size_t len);

enum status replica_open(
    const struct replica_config *config, struct replica **out);
void replica_cancel_waiters(struct replica *g);
void replica_close(struct replica *g);
void replica_receive(
    struct replica *g, uint32_t from, const uint8_t *bytes, size_t len);
void replica_propose(struct replica *g, const uint8_t *bytes, size_t len,
    replica_done_cb done, void *arg);
void replica_read_barrier(struct replica *g, replica_done_cb done, void *arg);
void replica_change_member(struct replica *g, uint32_t id, bool voter,
    bool remove, replica_done_cb done, void *arg);
void replica_transfer_leader(struct replica *g, uint32_t to);
bool replica_is_ready(const struct replica *g);
void replica_status(const struct replica *g, struct replica_status *out);

#endif
