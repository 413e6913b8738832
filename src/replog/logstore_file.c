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

/// Records the first failure, after which the log refuses all operations.
///
/// @return `status`, also when an earlier failure stays recorded
enum status
logstore_mark_failed(struct logstore *d, enum status status)
{
	if (d->error == STATUS_OK)
		d->error = status;
	return status;
}

/// Reports a failed system call, with the reason from errno.
///
/// @param what  operation, for the message
/// @param name  file, for the message
/// @return STATUS_FULL if the disk or quota is full, else STATUS_IO
enum status
logstore_io_error(struct logstore *d, const char *what, const char *name)
{
	const bool full = errno == ENOSPC || errno == EDQUOT;

	return status_fail(full ? STATUS_FULL : STATUS_IO, "%s: %s %s: %s",
	    d->folder, what, name, g_strerror(errno));
}

/// Writes all bytes at an offset, continuing after short writes.
enum status
logstore_write_at(struct logstore *d, int fd, const uint8_t *bytes, size_t len,
    uint64_t offset)
{
	while (len > 0) {
		const int64_t n =
		    d->os.pwrite(d->os.arg, fd, bytes, len, offset);

		if (n < 0 && errno == EINTR)
			continue;
		if (n == 0)
			errno = ENOSPC;
		if (n <= 0)
			return logstore_io_error(d, "write", "file");
		bytes += n;
		len -= (size_t)n;
		offset += (uint64_t)n;
	}
	return STATUS_OK;
}

static enum status
read_all(struct logstore *d, int fd, const char *name, GByteArray *buffer)
{
	const int64_t size = d->os.size(d->os.arg, fd);
	size_t n_read = 0;

	if (size < 0 || size > G_MAXINT32)
		return logstore_io_error(d, "get size of", name);
	g_byte_array_set_size(buffer, (guint)size);
	while (n_read < (size_t)size) {
		const int64_t n = d->os.pread(d->os.arg, fd,
		    buffer->data + n_read, (size_t)size - n_read, n_read);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return logstore_io_error(d, "read", name);
		n_read += (size_t)n;
	}
	return STATUS_OK;
}

/// Reads a whole file.
///
/// @param out  the content, to be released by the caller on STATUS_OK
/// @return STATUS_OK, STATUS_NOT_FOUND if there is no such file, STATUS_IO
enum status
logstore_read_file(struct logstore *d, const char *name, GByteArray **out)
{
	char *path = logstore_path(d, name);
	const int fd = d->os.open(d->os.arg, path, false);
	enum status status;

	g_free(path);
	if (fd < 0 && errno == ENOENT)
		return STATUS_NOT_FOUND;
	if (fd < 0)
		return logstore_io_error(d, "open", name);
	*out = g_byte_array_new();
	status = read_all(d, fd, name, *out);
	(void)d->os.close(d->os.arg, fd);
	if (status != STATUS_OK) {
		g_byte_array_unref(*out);
		*out = NULL;
	}
	return status;
}

/// Reads a file written by logstore_write_checked() and verifies its checksum.
///
/// @param out  the content without the header, to be released by the caller on
///             STATUS_OK
/// @return as logstore_read_file(), or STATUS_CORRUPT
enum status
logstore_read_checked(
    struct logstore *d, const char *name, const char *magic, GByteArray **out)
{
	uint64_t header[3];
	enum status status = logstore_read_file(d, name, out);

	if (status != STATUS_OK)
		return status;
	if ((*out)->len >= LOGSTORE_FILE_HEADER_BYTES) {
		memcpy(header, (*out)->data, LOGSTORE_FILE_HEADER_BYTES);
		g_byte_array_remove_range(*out, 0, LOGSTORE_FILE_HEADER_BYTES);
		if (memcmp(header, magic, 8) == 0 && header[1] == (*out)->len &&
		    header[2] == XXH64((*out)->data, (*out)->len, 0))
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
write_and_sync(struct logstore *d, int fd, const char *magic,
    const uint8_t *bytes, size_t len)
{
	uint64_t header[3];
	enum status status;

	memcpy(header, magic, 8);
	header[1] = len;
	header[2] = XXH64(bytes, len, 0);
	if (d->os.truncate(d->os.arg, fd, 0) != 0)
		return logstore_io_error(d, "truncate", "temporary file");
	status = logstore_write_at(
	    d, fd, (const uint8_t *)header, LOGSTORE_FILE_HEADER_BYTES, 0);
	if (status == STATUS_OK)
		status = logstore_write_at(
		    d, fd, bytes, len, LOGSTORE_FILE_HEADER_BYTES);
	if (status == STATUS_OK && d->os.sync(d->os.arg, fd) != 0)
		status = logstore_io_error(d, "sync", "temporary file");
	return status;
}

/// Replaces a file atomically: writes and syncs a temporary file, renames it
/// and syncs the folder. The bytes follow a header with the magic, their length
/// and their checksum. A failure is recorded with logstore_mark_failed().
enum status
logstore_write_checked(struct logstore *d, const char *name, const char *magic,
    const uint8_t *bytes, size_t len)
{
	char *path = logstore_path(d, name);
	char *temporary = g_strconcat(path, ".tmp", NULL);
	const int fd = d->os.open(d->os.arg, temporary, true);
	enum status status;

	if (fd < 0) {
		status = logstore_io_error(d, "open temporary file of", name);
	} else {
		status = write_and_sync(d, fd, magic, bytes, len);
		(void)d->os.close(d->os.arg, fd);
	}
	if (status == STATUS_OK &&
	    d->os.rename(d->os.arg, temporary, path) != 0)
		status = logstore_io_error(d, "rename", name);
	if (status == STATUS_OK && d->os.sync_folder(d->os.arg, d->folder) != 0)
		status = logstore_io_error(d, "sync folder of", name);
	g_free(temporary);
	g_free(path);
	return status == STATUS_OK ? STATUS_OK
				   : logstore_mark_failed(d, status);
}
