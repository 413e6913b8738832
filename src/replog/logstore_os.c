#include "replog/logstore_os.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#define FOLDER_MODE 0700
#define FILE_MODE 0600
#define SEGMENT_BYTES (1U << 20)

static int
os_mkdir(void *arg, const char *path)
{
	(void)arg;
	if (mkdir(path, FOLDER_MODE) == 0 || errno == EEXIST)
		return 0;
	return -1;
}

static int
os_open(void *arg, const char *path, bool create)
{
	(void)arg;
	return open(
	    path, O_RDWR | O_CLOEXEC | (create ? O_CREAT : 0), FILE_MODE);
}

static int
os_close(void *arg, int fd)
{
	(void)arg;
	return close(fd);
}

static int64_t
os_pread(void *arg, int fd, void *buf, size_t len, uint64_t offset)
{
	(void)arg;
	return pread(fd, buf, len, (off_t)offset);
}

static int64_t
os_pwrite(void *arg, int fd, const void *buf, size_t len, uint64_t offset)
{
	(void)arg;
	return pwrite(fd, buf, len, (off_t)offset);
}

static int
os_truncate(void *arg, int fd, uint64_t len)
{
	(void)arg;
	return ftruncate(fd, (off_t)len);
}

static int64_t
os_size(void *arg, int fd)
{
	struct stat sb;

	(void)arg;
	if (fstat(fd, &sb) != 0)
		return -1;
	return sb.st_size;
}

static int
os_sync(void *arg, int fd)
{
	(void)arg;
	return fdatasync(fd);
}

static int
os_sync_folder(void *arg, const char *path)
{
	const int fd = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	int rc;

	(void)arg;
	if (fd < 0)
		return -1;
	rc = fsync(fd);
	(void)close(fd);
	return rc;
}

static int
os_rename(void *arg, const char *from, const char *to)
{
	(void)arg;
	return rename(from, to);
}

static int
os_unlink(void *arg, const char *path)
{
	(void)arg;
	return unlink(path);
}

static char *
os_list(void *arg, const char *folder)
{
	DIR *dir = opendir(folder);
	GByteArray *names;
	const struct dirent *de;

	(void)arg;
	if (dir == NULL)
		return NULL;
	names = g_byte_array_new();
	while ((de = readdir(dir)) != NULL) {
		if (de->d_name[0] == '.')
			continue;
		g_byte_array_append(names, (const guint8 *)de->d_name,
		    (guint)strlen(de->d_name) + 1);
	}
	g_byte_array_append(names, (const guint8 *)"", 1);
	(void)closedir(dir);
	return (char *)g_byte_array_free(names, FALSE);
}

/// Locks without waiting; 0, or -1 with errno set.
static int
os_lock(void *arg, int fd)
{
	(void)arg;
	return flock(fd, LOCK_EX | LOCK_NB);
}

/// The operating system's calls.
///
/// @return a static table
const struct logstore_os *
logstore_os_system(void)
{
	static const struct logstore_os os = {
		.segment_bytes = SEGMENT_BYTES,
		.mkdir = os_mkdir,
		.open = os_open,
		.close = os_close,
		.pread = os_pread,
		.pwrite = os_pwrite,
		.truncate = os_truncate,
		.size = os_size,
		.sync = os_sync,
		.sync_folder = os_sync_folder,
		.rename = os_rename,
		.unlink = os_unlink,
		.list = os_list,
		.lock = os_lock,
	};

	return &os;
}
