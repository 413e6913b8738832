#ifndef REPLOG_LOGSTORE_H
#define REPLOG_LOGSTORE_H

#include "replog/logstore_os.h"
#include "replog/raft.h"

/// Disk log of one group: identity, term and vote, entries with checksums,
/// snapshots. The files are in <folder>/group-<n>/. An incomplete write at the
/// end of the log is truncated; damage before it is refused with
/// STATUS_CORRUPT. Nothing is durable before logstore_sync() has returned
/// STATUS_OK (files and folder). After a failed write or sync all later ones
/// fail with the status of the first failure, because a failed sync can't be
/// retried.
///
/// Segments are append-only: a record with an index that the log has already
/// replaces that entry and drops all entries after it.
struct logstore;

/// How a disk came into its group.
enum logstore_origin {
	LOGSTORE_ORIGIN_UNKNOWN, ///< Not known yet whether the group has
				 ///< started.
	LOGSTORE_ORIGIN_INITIAL, ///< One of the disks that the group started
				 ///< with.
	LOGSTORE_ORIGIN_JOINED,  ///< Came later: a learner until promoted.
	LOGSTORE_ORIGIN_LATE, ///< Not known yet, and the disk was created after
			      ///< the first start of its process: an earlier
			      ///< one was lost.
};

/// Identity of a disk, created and stored on its first use. A process that lost
/// its disk gets a new incarnation and joins as a learner, so that it is never
/// taken for the voter that it was.
struct logstore_identity {
	char deployment[64];
	char node[64];
	uint32_t id;          ///< Member id, see RAFT_SLOT_BITS.
	uint64_t incarnation; ///< Random number of the disk.
	enum logstore_origin origin;
	struct raft_members
	    initial; ///< Initial voters, the same at all of them.
	/// Incarnations of the initial voters' disks, pinned before the first
	/// election; the first is 0 if they aren't.
	uint64_t disks[RAFT_MAX_MEMBERS];
};

/// Content of a log as read by logstore_open().
struct logstore_loaded {
	bool fresh; ///< The folder was empty: the identity was created.
	struct logstore_identity identity;
	struct raft_hard_state hard_state;
	uint64_t snapshot_index; ///< 0: no snapshot.
	uint64_t snapshot_term;
	struct raft_members members; ///< As of the snapshot; n_voters 0: none.
	uint8_t *snapshot; ///< Bytes given to logstore_save_snapshot().
	size_t snapshot_len;
	struct raft_entry *entries; ///< After the snapshot.
	size_t n_entries;
	uint64_t torn_bytes; ///< Truncated at the end of the log.
};

enum status logstore_open(const char *folder, uint32_t group,
    const struct logstore_identity *wanted, const struct logstore_os *os,
    struct logstore **out, struct logstore_loaded *loaded);
enum status logstore_remove(
    const char *folder, uint32_t group, const struct logstore_os *os);
uint32_t logstore_read_slot(
    const char *folder, uint32_t group, const struct logstore_os *os);
enum status logstore_write_identity(
    struct logstore *d, const struct logstore_identity *identity);
void logstore_loaded_free(struct logstore_loaded *loaded);
void logstore_close(struct logstore *d);
enum status logstore_write_hard_state(
    struct logstore *d, const struct raft_hard_state *hard_state);
enum status logstore_append(struct logstore *d, const struct raft_entry *entry);
enum status logstore_sync(struct logstore *d);
enum status logstore_save_snapshot(struct logstore *d, uint64_t index,
    uint64_t term, const struct raft_members *members, const uint8_t *bytes,
    size_t len);
enum status logstore_check_space(
    const char *folder, uint32_t group, const struct logstore_os *os);
uint64_t logstore_bytes(const struct logstore *d);

#endif
