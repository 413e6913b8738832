#ifndef REPLOG_RAFT_CODEC_H
#define REPLOG_RAFT_CODEC_H

#include "replog/raft.h"

/// Messages between the members of a group, and their encoding.

enum raft_msg_kind {
	RAFT_MSG_PRE_VOTE = 1,
	RAFT_MSG_PRE_VOTE_REPLY,
	RAFT_MSG_VOTE,
	RAFT_MSG_VOTE_REPLY,
	RAFT_MSG_APPEND,
	RAFT_MSG_APPEND_REPLY,
	RAFT_MSG_SNAPSHOT,
	RAFT_MSG_SNAPSHOT_REPLY,
	RAFT_MSG_TIMEOUT_NOW,
	RAFT_MSG_LAST = RAFT_MSG_TIMEOUT_NOW,
};

/// One message. Entries and data of a decoded message are valid until
/// raft_msg_clear(); those of a message to encode belong to the caller.
struct raft_msg {
	enum raft_msg_kind kind;
	uint32_t group;
	uint32_t from;
	uint32_t to;
	uint64_t term;
	uint64_t index;    ///< Last, previous, matching or snapshot index.
	uint64_t log_term; ///< Term of the entry at `index`.
	uint64_t commit;
	uint64_t round;  ///< Counter of the leader, echoed by replies.
	uint64_t at_us;  ///< Send time of the leader, echoed by replies.
	uint64_t hint;   ///< Rejected append: highest index that may agree;
			 ///< snapshot: id of the transfer.
	uint64_t offset; ///< Of the snapshot's chunk; reply: bytes received.
	uint64_t total;  ///< Bytes of the whole snapshot.
	bool ok;         ///< Reply: granted, accepted or installed.
	bool leader_transfer; ///< Vote: the leader requested the election.
	bool heartbeat;       ///< Append without entries or a log position.
	struct raft_members members;
	const struct raft_entry *entries;
	size_t n_entries;
	const uint8_t *data; ///< Chunk of a snapshot.
	size_t len;
	void *owned;                ///< Memory of a decoded message.
	struct raft_entry *decoded; ///< Its entries.
};

uint8_t *raft_msg_encode(const struct raft_msg *m, size_t *len);
enum status raft_msg_decode(
    const uint8_t *bytes, size_t len, struct raft_msg *out);
void raft_msg_clear(struct raft_msg *m);

uint8_t *raft_members_encode(const struct raft_members *m, size_t *len);
enum status raft_members_decode(
    const uint8_t *bytes, size_t len, struct raft_members *out);

#endif
