#ifndef REPLOG_LOGSTORE_INTERNAL_H
#define REPLOG_LOGSTORE_INTERNAL_H

#include "replog/logstore.h"

#include <glib.h>

/// Internals of the disk log, shared by its files.

#define LOGSTORE_FILE_HEADER_BYTES 24 ///< Magic, length and checksum.

/// One file of entries.
struct logstore_segment {
	uint64_t number;
	uint64_t bytes;     ///< Written, without the buffer.
	uint64_t max_index; ///< Highest index ever written into it.
};

struct logstore {
	struct logstore_os os;
	char *folder; ///< Of the group.
	int lock_fd;
	int fd; ///< Of the last segment, or -1.
	GArray *segments;
	GByteArray *buffer;    ///< Records not yet written.
	uint64_t synced_bytes; ///< Synced bytes of the last segment.
	bool folder_dirty;     ///< A segment was created, folder not synced.
	bool hard_state_dirty; ///< hard_state isn't written yet.
	struct raft_hard_state hard_state;
	uint64_t first;    ///< Index of terms[0].
	GArray *terms;     ///< uint64_t, terms of the current entries.
	enum status error; ///< First failure, STATUS_OK if none.
	uint32_t group;
};

/* logstore_file.c */
char *logstore_path(const struct logstore *d, const char *name);
enum status logstore_read_file(
    struct logstore *d, const char *name, GByteArray **out);
enum status logstore_read_checked(
    struct logstore *d, const char *name, const char *magic, GByteArray **out);
enum status logstore_write_checked(struct logstore *d, const char *name,
    const char *magic, const uint8_t *bytes, size_t len);
enum status logstore_write_at(struct logstore *d, int fd, const uint8_t *bytes,
    size_t len, uint64_t offset);
enum status logstore_mark_failed(struct logstore *d, enum status status);
enum status logstore_io_error(
    struct logstore *d, const char *what, const char *name);

/* logstore_segment.c */
enum status logstore_segments_load(
    struct logstore *d, const char *names, struct logstore_loaded *loaded);
enum status logstore_segments_flush(struct logstore *d);
enum status logstore_segments_drop(struct logstore *d, uint64_t upto);
enum status logstore_segments_clear(struct logstore *d);
uint64_t logstore_last_index(const struct logstore *d);

#endif
