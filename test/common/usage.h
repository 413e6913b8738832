#ifndef COMMON_USAGE_H
#define COMMON_USAGE_H

#include <stdint.h>
#include <sys/types.h>

/// Resources that a process has used, as reported by the kernel.
struct usage {
	double cpu_s;
	uint64_t rss_bytes;
};

struct usage usage_read(pid_t pid);
double usage_quantile(const char *metrics, const char *name, double q);
double usage_metric(const char *metrics, const char *name);

#endif
