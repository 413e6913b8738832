#ifndef REPLOG_REPLICA_HELLO_H
#define REPLOG_REPLICA_HELLO_H

#include "replog/logstore.h"

/// First byte of a hello; no encoded raft message starts with it.
#define REPLICA_HELLO_MARK 'H'

/// What a process reports of its disk to the others while it has no leader.
/// It isn't replicated.
struct replica_hello {
	uint32_t group;
	uint32_t id;          ///< Member id of the sender.
	uint64_t incarnation; ///< Of its disk.
	enum logstore_origin origin;
	bool is_reply;    ///< It replies to a hello; no reply is sent to it.
	uint32_t n_disks; ///< Initial voters in the sender's identity.
	/// Incarnations of the initial voters' disks that the sender has
	/// pinned; the first is 0 if it has pinned none.
	uint64_t disks[RAFT_MAX_MEMBERS];
};

uint8_t *replica_hello_encode(const struct replica_hello *h, size_t *len);
enum status replica_hello_decode(
    const uint8_t *bytes, size_t len, struct replica_hello *out);

#endif
