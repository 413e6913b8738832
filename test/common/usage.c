#include "common/usage.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/// Reads processor time and resident memory of a process from /proc; zeros when
/// it doesn't exist.
struct usage
usage_read(pid_t pid)
{
	struct usage u = { 0 };
	unsigned long user = 0;
	unsigned long sys = 0;
	long rss = 0;
	char path[64];
	FILE *f;

	(void)snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
	f = fopen(path, "r");
	if (f == NULL)
		return u;
	if (fscanf(f,
		"%*d %*s %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu "
		"%*d %*d %*d %*d %*d %*d %*u %*u %ld",
		&user, &sys, &rss) == 3) {
		u.cpu_s = (double)(user + sys) / (double)sysconf(_SC_CLK_TCK);
		u.rss_bytes = (uint64_t)rss * (uint64_t)sysconf(_SC_PAGESIZE);
	}
	(void)fclose(f);
	return u;
}

/// Value of a counter or gauge without labels in the text of /metrics; -1 when
/// it is missing.
double
usage_metric(const char *metrics, const char *name)
{
	char head[128];
	const char *at;

	(void)snprintf(head, sizeof(head), "%s{} ", name);
	at = strstr(metrics, head);
	return at == NULL ? -1 : strtod(at + strlen(head), NULL);
}

/// Quantile of a histogram without labels, as the upper bound of its bucket.
///
/// @param metrics  text of /metrics
/// @param q        0 to 1
/// @return         -1 when the histogram is missing
double
usage_quantile(const char *metrics, const char *name, double q)
{
	char head[128];
	double bound = -1;
	double total;
	const char *at = metrics;

	(void)snprintf(head, sizeof(head), "%s_count", name);
	total = usage_metric(metrics, head);
	(void)snprintf(head, sizeof(head), "%s_bucket{le=\"", name);
	while ((at = strstr(at, head)) != NULL) {
		const char *end = strchr(at, '}');

		bound = strtod(at + strlen(head), NULL);
		if (end == NULL || strtod(end + 1, NULL) >= q * total)
			break;
		at = end;
	}
	return bound;
}
