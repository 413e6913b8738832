// Preloaded into each process of the soak test. It offsets the wall clock,
// delays fdatasync and makes pwrite fail with ENOSPC, as the file $SOAK_FAULTS
// says: "CLOCK_MS SYNC_MS FULL".
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define READ_EVERY_US 20000
#define US_PER_S 1000000
#define NS_PER_S 1000000000L
#define NS_PER_MS 1000000L

static int clock_ms;
static int sync_ms;
static int full;

static int (*real_clock)(clockid_t, struct timespec *);
static ssize_t (*real_pwrite)(int, const void *, size_t, off_t);
static int (*real_fdatasync)(int);

/// Finds the real functions at the first call, and reads the file of faults
/// again every READ_EVERY_US.
static void
refresh_faults(void)
{
	static int64_t read_us = -READ_EVERY_US;
	const char *file = getenv("SOAK_FAULTS");
	struct timespec now;
	int64_t now_us;
	char text[64];
	ssize_t n;
	int fd;

	if (real_clock == NULL) {
		*(void **)&real_clock = dlsym(RTLD_NEXT, "clock_gettime");
		*(void **)&real_pwrite = dlsym(RTLD_NEXT, "pwrite");
		*(void **)&real_fdatasync = dlsym(RTLD_NEXT, "fdatasync");
	}
	(void)real_clock(CLOCK_MONOTONIC, &now);
	now_us = (int64_t)now.tv_sec * US_PER_S + now.tv_nsec / 1000;
	if (file == NULL || now_us < read_us + READ_EVERY_US)
		return;
	read_us = now_us;
	fd = open(file, O_RDONLY | O_CLOEXEC);
	if (fd < 0)
		return;
	n = read(fd, text, sizeof(text) - 1);
	(void)close(fd);
	if (n <= 0)
		return;
	text[n] = '\0';
	(void)sscanf(text, "%d %d %d", &clock_ms, &sync_ms, &full);
}

int
clock_gettime(clockid_t id, struct timespec *out)
{
	int status;

	refresh_faults();
	status = real_clock(id, out);
	if (status != 0 || id != CLOCK_REALTIME)
		return status;
	out->tv_sec += clock_ms / 1000;
	out->tv_nsec += clock_ms % 1000 * NS_PER_MS;
	if (out->tv_nsec < 0) {
		out->tv_nsec += NS_PER_S;
		out->tv_sec--;
	} else if (out->tv_nsec >= NS_PER_S) {
		out->tv_nsec -= NS_PER_S;
		out->tv_sec++;
	}
	return 0;
}

int
gettimeofday(struct timeval *restrict out, void *restrict zone)
{
	struct timespec t;

	(void)zone;
	(void)clock_gettime(CLOCK_REALTIME, &t);
	out->tv_sec = t.tv_sec;
	out->tv_usec = t.tv_nsec / 1000;
	return 0;
}

ssize_t
pwrite(int fd, const void *bytes, size_t len, off_t at)
{
	refresh_faults();
	if (full) {
		errno = ENOSPC;
		return -1;
	}
	return real_pwrite(fd, bytes, len, at);
}

int
fdatasync(int fd)
{
	refresh_faults();
	if (sync_ms > 0)
		(void)usleep((useconds_t)sync_ms * 1000);
	return real_fdatasync(fd);
}
