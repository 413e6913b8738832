#include "replog/logstore_internal.h"

#include <errno.h>
#include <string.h>
#include <xxhash.h>

/// Path of a file of the group; released with g_free().
char *
logstore_path(const struct logstore *d, const char *name)
{
	return g_build_filename(d->folder, name, NULL);
}

/// Makes the log refuse everything from now on.
enum status
logstore_mark_failed(struct logstore *d, enum status st)
{
	if (d->broken == STATUS_OK)
		d->broken = st;
	return st;
}

/// Reports a failed system call, from errno.
enum status
logstore_io_error(struct logstore *d, const char *what, const char *name)
{
	const bool full = errno == ENOSPC || errno == EDQUOT;

	return status_fail(full ? STATUS_FULL : STATUS_IO, "%s: %s %s: %s",
	    d->folder, what, name, g_strerror(errno));
}

/// Writes bytes at an offset, going on after a short write.
enum status
logstore_write_at(
    struct logstore *d, int fd, const uint8_t *bytes, size_t len, uint64_t at)
{
	while (len > 0) {
		const int64_t n = d->os.pwrite(d->os.arg, fd, bytes, len, at);

		if (n < 0 && errno == EINTR)
			continue;
		if (n == 0)
			errno = ENOSPC;
		if (n <= 0)
			return logstore_io_error(d, "write", "");
		bytes += n;
		len -= (size_t)n;
		at += (uint64_t)n;
	}
	return STATUS_OK;
}

static enum status
read_all(struct logstore *d, int fd, const char *name, GByteArray *into)
{
	const int64_t size = d->os.size(d->os.arg, fd);
	size_t got = 0;

	if (size < 0 || size > G_MAXINT32)
		return logstore_io_error(d, "size of", name);
	g_byte_array_set_size(into, (guint)size);
	while (got < (size_t)size) {
		const int64_t n = d->os.pread(
		    d->os.arg, fd, into->data + got, (size_t)size - got, got);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return logstore_io_error(d, "read", name);
		got += (size_t)n;
	}
	return STATUS_OK;
}

/// Reads a whole file. STATUS_NOT_FOUND if there is none.
enum status
logstore_read_file(struct logstore *d, const char *name, GByteArray **out)
{
	char *path = logstore_path(d, name);
	const int fd = d->os.open(d->os.arg, path, false);
	enum status st;

	g_free(path);
	if (fd < 0 && errno == ENOENT)
		return STATUS_NOT_FOUND;
	if (fd < 0)
		return logstore_io_error(d, "open", name);
	*out = g_byte_array_new();
	st = read_all(d, fd, name, *out);
	(void)d->os.close(d->os.arg, fd);
	if (st != STATUS_OK) {
		g_byte_array_unref(*out);
		*out = NULL;
	}
	return st;
}

/// Reads a file written by logstore_write_checked() and gives its content.
enum status
logstore_read_checked(
    struct logstore *d, const char *name, const char *magic, GByteArray **out)
{
	uint64_t head[3];
	enum status st = logstore_read_file(d, name, out);

	if (st != STATUS_OK)
		return st;
	if ((*out)->len >= LOGSTORE_FILE_HEADER_BYTES) {
		memcpy(head, (*out)->data, LOGSTORE_FILE_HEADER_BYTES);
		g_byte_array_remove_range(*out, 0, LOGSTORE_FILE_HEADER_BYTES);
		if (memcmp(head, magic, 8) == 0 && head[1] == (*out)->len &&
		    head[2] == XXH64((*out)->data, (*out)->len, 0))
			return STATUS_OK;
	}
	g_byte_array_unref(*out);
	*out = NULL;
	return status_fail(STATUS_CORRUPT,
	    "%s: %s is damaged; empty the folder so that the process joins "
	    "anew",
	    d->folder, name);
}

static enum status
write_synced(struct logstore *d, int fd, const char *magic,
    const uint8_t *bytes, size_t len)
{
	uint64_t head[3];
	enum status st;

	memcpy(head, magic, 8);
	head[1] = len;
	head[2] = XXH64(bytes, len, 0);
	if (d->os.truncate(d->os.arg, fd, 0) != 0)
		return logstore_io_error(d, "truncate", "");
	st = logstore_write_at(
	    d, fd, (const uint8_t *)head, LOGSTORE_FILE_HEADER_BYTES, 0);
	if (st == STATUS_OK)
		st = logstore_write_at(
		    d, fd, bytes, len, LOGSTORE_FILE_HEADER_BYTES);
	if (st == STATUS_OK && d->os.sync(d->os.arg, fd) != 0)
		st = logstore_io_error(d, "sync", "");
	return st;
}

/// Replaces a file as a whole: written and synced beside it, renamed, and
/// the folder synced.
enum status
logstore_write_checked(struct logstore *d, const char *name, const char *magic,
    const uint8_t *bytes, size_t len)
{
	char *path = logstore_path(d, name);
	char *temporary = g_strconcat(path, ".tmp", NULL);
	const int fd = d->os.open(d->os.arg, temporary, true);
	enum status st;

	if (fd < 0) {
		st = logstore_io_error(d, "open", name);
	} else {
		st = write_synced(d, fd, magic, bytes, len);
		(void)d->os.close(d->os.arg, fd);
	}
	if (st == STATUS_OK && d->os.rename(d->os.arg, temporary, path) != 0)
		st = logstore_io_error(d, "rename", name);
	if (st == STATUS_OK && d->os.sync_folder(d->os.arg, d->folder) != 0)
		st = logstore_io_error(d, "sync folder of", name);
	g_free(temporary);
	g_free(path);
	return st == STATUS_OK ? STATUS_OK : logstore_mark_failed(d, st);
}
