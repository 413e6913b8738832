#ifndef REPLOG_LOGSTORE_OS_H
#define REPLOG_LOGSTORE_OS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// System calls of the disk log, replaceable by tests. Each returns -1 with
/// errno set on failure, as the call of the same name does, except where noted.
/// The first argument is `arg`.
struct logstore_os {
	void *arg;
	uint64_t segment_bytes; ///< Size from which a segment is full.
	/// Creates a folder; one that exists already is no failure.
	int (*mkdir)(void *arg, const char *path);
	/// Opens a file for reading and writing; returns the descriptor.
	int (*open)(void *arg, const char *path, bool create);
	int (*close)(void *arg, int fd);
	int64_t (*pread)(
	    void *arg, int fd, void *buf, size_t len, uint64_t offset);
	int64_t (*pwrite)(
	    void *arg, int fd, const void *buf, size_t len, uint64_t offset);
	int (*truncate)(void *arg, int fd, uint64_t len);
	/// Size of a file in bytes.
	int64_t (*size)(void *arg, int fd);
	/// Makes the content of a file durable.
	int (*sync)(void *arg, int fd);
	/// Makes the names in a folder durable.
	int (*sync_folder)(void *arg, const char *path);
	int (*rename)(void *arg, const char *from, const char *to);
	int (*unlink)(void *arg, const char *path);
	/// Names in a folder, each ended by a NUL, the last by another one; to
	/// be released with g_free(). NULL with errno set on failure.
	char *(*list)(void *arg, const char *folder);
	/// Locks a file against a second process; fails at once if it is
	/// locked.
	int (*lock)(void *arg, int fd);
};

const struct logstore_os *logstore_os_system(void);

#endif
