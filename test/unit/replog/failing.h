#ifndef TEST_UNIT_REPLOG_FAILING_H
#define TEST_UNIT_REPLOG_FAILING_H

extern "C" {
#include "replog/logstore_os.h"
}

#include <cerrno>

/// System calls of which the n-th that may fail does. Nothing is really
/// synced: these tests end processes, not machines.
struct Failing {
	struct logstore_os os = *logstore_os_system();
	int left = -1;
	bool failed = false;
	int code = EIO;
	bool short_write = false;

	static bool now(void *arg)
	{
		auto *f = static_cast<Failing *>(arg);

		if (f->left < 0 || f->left-- > 0)
			return false;
		f->failed = true;
		errno = f->code;
		return true;
	}

	static const struct logstore_os *real()
	{
		return logstore_os_system();
	}

	Failing()
	{
		os.arg = this;
		os.open = [](void *a, const char *p, bool create) {
			return now(a) ? -1 : real()->open(nullptr, p, create);
		};
		os.pwrite = [](void *a, int fd, const void *b, size_t n,
				uint64_t at) -> int64_t {
			auto *f = static_cast<Failing *>(a);

			if (!now(a))
				return real()->pwrite(nullptr, fd, b, n, at);
			if (!f->short_write || n < 2)
				return -1;
			f->left = 0;
			return real()->pwrite(nullptr, fd, b, n / 2, at);
		};
		os.sync = [](void *a, int) { return now(a) ? -1 : 0; };
		os.sync_folder = [](void *a, const char *) {
			return now(a) ? -1 : 0;
		};
		os.rename = [](void *a, const char *x, const char *y) {
			return now(a) ? -1 : real()->rename(nullptr, x, y);
		};
		os.truncate = [](void *a, int fd, uint64_t n) {
			return now(a) ? -1 : real()->truncate(nullptr, fd, n);
		};
		os.unlink = [](void *a, const char *p) {
			return now(a) ? -1 : real()->unlink(nullptr, p);
		};
	}
};

#endif
