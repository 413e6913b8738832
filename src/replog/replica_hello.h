#ifndef REPLOG_REPLICA_HELLO_H
#define REPLOG_REPLICA_HELLO_H

#include "replog/logstore.h"

/// First byte of a hello; no message of the core starts with it.
#define REPLICA_HELLO_MARK 'H'

/// What a process says of its disk, before and beside the log.
struct replica_hello {
	uint32_t group;
	uint32_t id;
	uint64_t incarnation;
	enum logstore_origin origin;
	bool answer; ///< To another hello: wants none.
	uint32_t n_disks;
	/// Disks of the initial voters that the sender has pinned; the first is
	/// 0 if it has pinned none.
	uint64_t disks[RAFT_MAX_MEMBERS];
};

uint8_t *replica_hello_encode(const struct replica_hello *h, size_t *len);
enum status replica_hello_decode(
    const uint8_t *bytes, size_t len, struct replica_hello *out);

#endif
