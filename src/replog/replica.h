#ifndef REPLOG_REPLICA_H
#define REPLOG_REPLICA_H

#include "base/timerq.h"
#include "replog/logstore.h"
#include "replog/raft.h"

/// Driver of one replicated group: owns the core and its disk log, lives in
/// one loop on one thread. Callbacks are never called from within the call
/// that caused them, except replica_receive() and timers, so a caller may call
/// any gp_ function but replica_close() from within a callback.
struct replica;

#define REPLICA_MAX_COMMAND_BYTES (16U << 20)

/// What a group asks of its owner. `arg` of struct replica_config comes first.
struct replica_ops {
	/// Send an encoded message to the process with slot `to`. May drop
	/// it.
	void (*send)(void *arg, uint32_t to, const uint8_t *bytes, size_t len);
	/// Apply a committed command. The result, if any, goes to the proposer
	/// at this process; it is malloc()ed by the callee and freed here.
	void (*apply)(void *arg, uint64_t index, const uint8_t *cmd, size_t len,
	    uint8_t **result, size_t *result_len);
	/// Encode the state as of the last applied index (malloc()ed).
	enum status (*snapshot_make)(void *arg, uint8_t **bytes, size_t *len);
	/// Replace the state by an encoded one.
	enum status (*snapshot_load)(
	    void *arg, const uint8_t *bytes, size_t len);
	/// Role, leader or term changed; also when the lease-backed leadership
	/// becomes usable (see replica_is_ready()).
	void (*role_changed)(
	    void *arg, enum raft_role role, uint32_t leader, uint64_t term);
	/// The disk failed or damage was found: the group refuses everything.
	/// The owner should log status_last() and end the process.
	void (*failed)(void *arg, enum status status);
};

struct replica_config {
	const char *folder;     ///< Data folder of the process.
	uint32_t group;         ///< 1..
	uint32_t self;          ///< 1..
	const char *deployment; ///< Kept on the disk, checked at start.
	const char *node;
	/// Members that the group starts with. The first start needs all of
	/// them: they agree on their disks, so that a process that comes back
	/// with an empty disk is known as a newcomer and not as the voter that
	/// it was. A process that isn't among these joins as a learner.
	uint32_t n_voters;
	uint32_t voters[RAFT_MAX_MEMBERS];
	/// The group is known to have started: this process, with an empty
	/// disk, joins it even where it has the slot of an initial voter.
	bool late;
	/// Slots to ask when this process knows no leader, besides the voters.
	uint32_t n_contacts;
	uint32_t contacts[RAFT_MAX_MEMBERS];
	uint64_t election_us;
	uint64_t heartbeat_us;
	/// As the leader, replace a member whose slot came back with another
	/// disk: remove the old one, add the new one, promote it once it has
	/// synced all.
	bool repair;
	uint64_t snapshot_bytes; ///< Log size that starts a snapshot; 0: 4 MiB
	struct raft_limits limits;
	struct timerq *tm;
	struct rnd *rnd;
	const struct logstore_os *os; ///< NULL: the system's calls.
	struct replica_ops ops;
	void *arg;
};

struct replica_status {
	uint32_t self; ///< Member id of this disk, see RAFT_SLOT_BITS.
	enum raft_role role;
	uint32_t leader; ///< 0: unknown
	uint64_t term;
	uint64_t commit;
	uint64_t applied;
	uint64_t last;
	uint64_t snapshot; ///< Index of the newest snapshot.
	uint64_t log_bytes;
	uint64_t incarnation; ///< Of the disk.
	enum logstore_origin origin;
	bool lease; ///< The leader's lease holds now.
	bool failed;
	struct raft_members members;
	/// For the leader: highest synced index of each voter, then learner,
	/// in the order of `members`.
	uint64_t match[2 * RAFT_MAX_MEMBERS];
	/// For the leader, in the same order: answered lately.
	bool active[2 * RAFT_MAX_MEMBERS];
	/// For the leader: processes that asked lately and aren't members.
	uint32_t n_joiners;
	uint32_t joiners[RAFT_MAX_MEMBERS];
};

/// Outcome of a proposal, read or change. STATUS_OK: committed and applied here
/// (`result` of the apply callback). STATUS_UNAVAILABLE: certainly not
/// appended. STATUS_TIMEOUT: leadership lost after the append, outcome unknown.
typedef void (*replica_done_cb)(
    void *arg, enum status status, const uint8_t *result, size_t len);

enum status replica_open(
    const struct replica_config *config, struct replica **out);
void replica_cancel_waiters(struct replica *g);
void replica_close(struct replica *g);
/// @param from  slot of the sender, as the transport knows it
void replica_receive(
    struct replica *g, uint32_t from, const uint8_t *bytes, size_t len);
void replica_propose(struct replica *g, const uint8_t *bytes, size_t len,
    replica_done_cb done, void *arg);
/// Read barrier: STATUS_OK once the state holds everything that was committed
/// when this was called, and this process led then.
void replica_read_barrier(struct replica *g, replica_done_cb done, void *arg);
/// One step: add as learner (voter false), promote or add as voter (voter
/// true, learner that has synced all), or remove.
void replica_change_member(struct replica *g, uint32_t id, bool voter,
    bool remove, replica_done_cb done, void *arg);
/// Hand leadership to `to`, or to the best follower if 0.
void replica_transfer_leader(struct replica *g, uint32_t to);
/// Leader with a held lease that has applied an entry of its own term: may
/// answer from its state and give orders.
bool replica_is_ready(const struct replica *g);
void replica_status(const struct replica *g, struct replica_status *out);

#endif
