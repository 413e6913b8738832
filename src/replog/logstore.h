#ifndef REPLOG_LOGSTORE_H
#define REPLOG_LOGSTORE_H

#include "replog/logstore_os.h"
#include "replog/raft.h"

/// Disk log of one group: identity, term and vote, entries with checksums,
/// snapshots. Files live under <folder>/group-<n>/. A torn tail is cut;
/// damage before the tail is refused with STATUS_CORRUPT. Nothing counts before
/// logstore_sync() has returned STATUS_OK (file and folder). After a failed
/// write or sync the log refuses everything (a failed sync can't be tried
/// again).
///
/// Segments are only ever appended to: a record with an index that is already
/// there replaces that entry and drops all after it.
struct logstore;

/// What a disk may do in its group.
enum logstore_origin {
	LOGSTORE_ORIGIN_UNKNOWN, ///< Not known yet whether the group has
				 ///< started.
	LOGSTORE_ORIGIN_INITIAL, ///< One of the disks that the group started
				 ///< with.
	LOGSTORE_ORIGIN_JOINED, ///< Came later: a learner until it is promoted.
};

/// Identity made with the disk and kept on it. A process that lost its disk
/// gets a new incarnation and is a new learner, never the old voter.
struct logstore_identity {
	char deployment[64];
	char node[64];
	uint32_t id;
	uint64_t incarnation;
	enum logstore_origin origin;
	struct raft_members
	    initial; ///< First members, the same at all of them.
	/// Disks of the initial voters, agreed before the first election.
	uint64_t disks[RAFT_MAX_MEMBERS];
};

struct logstore_loaded {
	bool fresh; ///< The folder was empty: a new identity was made.
	struct logstore_identity identity;
	struct raft_hard_state hard_state;
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	struct raft_members members; ///< As of the snapshot; n_voters 0: none.
	uint8_t *snapshot;
	size_t snapshot_len;
	struct raft_entry *entries;
	size_t n_entries;
	uint64_t torn_bytes; ///< Cut from the tail.
};

enum status logstore_open(const char *folder, uint32_t group,
    const struct logstore_identity *want, const struct logstore_os *os,
    struct logstore **out, struct logstore_loaded *loaded);
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
uint64_t logstore_bytes(const struct logstore *d);

#endif
