#ifndef REPLOG_LOGSTORE_OS_H
#define REPLOG_LOGSTORE_OS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// System calls of the disk log. Each gives -1 with errno set on failure, as
/// the call of the same name does. `arg` is handed through.
struct logstore_os {
	void *arg;
	uint64_t segment_bytes; ///< Size of a full segment.
	/// A folder that is there already is no failure.
	int (*mkdir)(void *arg, const char *path);
	/// For reading and writing.
	int (*open)(void *arg, const char *path, bool create);
	int (*close)(void *arg, int fd);
	int64_t (*pread)(void *arg, int fd, void *buf, size_t len, uint64_t at);
	int64_t (*pwrite)(
	    void *arg, int fd, const void *buf, size_t len, uint64_t at);
	int (*truncate)(void *arg, int fd, uint64_t len);
	int64_t (*size)(void *arg, int fd);
	int (*sync)(void *arg, int fd);
	int (*sync_folder)(void *arg, const char *path);
	int (*rename)(void *arg, const char *from, const char *to);
	int (*unlink)(void *arg, const char *path);
	/// Names in a folder, each ended by a NUL, the last by another one;
	/// freed with free(). NULL on failure.
	char *(*list)(void *arg, const char *folder);
	/// Lock a file against a second process.
	int (*lock)(void *arg, int fd);
};

const struct logstore_os *logstore_os_system(void);

#endif
