#define G_LOG_DOMAIN "acaciahinge"
#include "base/logger.h"

#include <fcntl.h>
#include <glib.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#define LOGGER_LINE_BYTES 2048
#define LOGGER_NODE_BYTES 64
/// Bytes that may be logged per second. The routine lines of requests that
/// succeed may use half of it, so that lines about failed ones are still
/// written.
#define LOGGER_BYTES_PER_S 262144
#define LOGGER_ROUTINE_BYTES_PER_S (LOGGER_BYTES_PER_S / 2)

static char node_name[LOGGER_NODE_BYTES] = "-";
static enum logger_level max_level = LOGGER_INFO;

/// Use of the log budget in the current second.
static struct {
	time_t second; ///< of the monotonic clock
	size_t bytes;
	size_t routine_bytes;
	unsigned long dropped; ///< lines
} budget;

static GLogLevelFlags
glib_level(enum logger_level level)
{
	switch (level) {
	case LOGGER_ERROR:
		return G_LOG_LEVEL_CRITICAL;
	case LOGGER_WARN:
		return G_LOG_LEVEL_WARNING;
	case LOGGER_INFO:
		return G_LOG_LEVEL_INFO;
	case LOGGER_DEBUG:
		return G_LOG_LEVEL_DEBUG;
	}
	return G_LOG_LEVEL_CRITICAL;
}

static const char *
level_name(GLogLevelFlags flags)
{
	if (flags & G_LOG_LEVEL_CRITICAL)
		return "error";
	if (flags & G_LOG_LEVEL_WARNING)
		return "warn";
	if (flags & G_LOG_LEVEL_INFO)
		return "info";
	if (flags & G_LOG_LEVEL_DEBUG)
		return "debug";
	return "error";
}

static void
write_line(
    const gchar *domain, GLogLevelFlags flags, const gchar *text, gpointer arg)
{
	char line[LOGGER_LINE_BYTES + 256];
	struct timespec now;
	struct tm utc;
	int len;

	(void)domain;
	(void)arg;
	(void)clock_gettime(CLOCK_REALTIME, &now);
	(void)gmtime_r(&now.tv_sec, &utc);
	len = snprintf(line, sizeof(line),
	    "t=%04d-%02d-%02dT%02d:%02d:%02d.%03ldZ level=%s node=%s %s\n",
	    utc.tm_year + 1900, utc.tm_mon + 1, utc.tm_mday, utc.tm_hour,
	    utc.tm_min, utc.tm_sec, now.tv_nsec / 1000000, level_name(flags),
	    node_name, text);
	if (len <= 0)
		return;
	if ((size_t)len >= sizeof(line)) {
		len = sizeof(line) - 1;
		line[len - 1] = '\n';
	}
	// A reader that has stopped reading must not block the process, so the
	// line is dropped.
	if (write(STDOUT_FILENO, line, (size_t)len) < 0)
		budget.dropped++;
	else
		budget.bytes += (size_t)len;
}

/// Makes standard output non-blocking if it is a pipe, so that a write to a
/// full pipe fails instead of waiting for the reader.
static void
set_pipe_nonblocking(void)
{
	struct stat sb;
	int flags;

	if (fstat(STDOUT_FILENO, &sb) != 0 || !S_ISFIFO(sb.st_mode))
		return;
	flags = fcntl(STDOUT_FILENO, F_GETFL);
	if (flags >= 0)
		(void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

/// Resets the budget when a new second has begun, and logs how many lines were
/// dropped before.
static void
update_budget(void)
{
	struct timespec now;
	unsigned long dropped;

	(void)clock_gettime(CLOCK_MONOTONIC, &now);
	if (now.tv_sec == budget.second)
		return;
	dropped = budget.dropped;
	budget.second = now.tv_sec;
	budget.bytes = 0;
	budget.routine_bytes = 0;
	budget.dropped = 0;
	if (dropped > 0)
		g_log(G_LOG_DOMAIN, G_LOG_LEVEL_WARNING,
		    "event=log.dropped lines=%lu", dropped);
}

/// Whether a line fits into the budget of the current second, and counts it
/// against the smaller budget of routine lines if it is one of them.
///
/// @param len  bytes of the line's key=value pairs
static bool
fits_budget(const char *event, size_t len)
{
	const bool routine = strcmp(event, "request.done") == 0 ||
	    strcmp(event, "attempt.sent") == 0;

	update_budget();
	if (budget.bytes + len > LOGGER_BYTES_PER_S)
		return false;
	if (!routine)
		return true;
	if (budget.routine_bytes + len > LOGGER_ROUTINE_BYTES_PER_S)
		return false;
	budget.routine_bytes += len;
	return true;
}

/// Starts logging to standard output, one line of key=value pairs per event.
///
/// @param node   name of this node, copied and included in every line
/// @param level  events less severe than this level are not logged
void
logger_init(const char *node, enum logger_level level)
{
	(void)g_strlcpy(node_name, node, sizeof(node_name));
	max_level = level;
	set_pipe_nonblocking();
	(void)g_log_set_default_handler(write_line, NULL);
}

/// Changes the level at run time; see logger_init().
void
logger_set_level(enum logger_level level)
{
	max_level = level;
}

/// Parses the name of a level: error, warn, info or debug.
///
/// @return 0, or -1 when there is no such level; `out` is unchanged then
int
logger_level_parse(const char *name, enum logger_level *out)
{
	static const char *const names[] = { "error", "warn", "info", "debug" };

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strcmp(name, names[i]) == 0) {
			*out = (enum logger_level)i;
			return 0;
		}
	}
	return -1;
}

/// Logs one event. The line is dropped, and counted, when it would exceed the
/// budget of the current second.
///
/// @param event  dotted lower-case name of the event
/// @param fmt    printf format of key=value pairs; quote free text with
///               logger_quote()
void
logger_event(enum logger_level level, const char *event, const char *fmt, ...)
{
	char pairs[LOGGER_LINE_BYTES];
	va_list ap;

	if (level > max_level)
		return;
	va_start(ap, fmt);
	(void)vsnprintf(pairs, sizeof(pairs), fmt, ap);
	va_end(ap);
	if (!fits_budget(event, strlen(pairs))) {
		budget.dropped++;
		return;
	}
	g_log(G_LOG_DOMAIN, glib_level(level), "event=%s %s", event, pairs);
}

/// Encloses free text in double quotes so that it is one value of a log line.
/// Escapes quotes and backslashes, and replaces control characters by spaces.
/// Text that doesn't fit is truncated.
///
/// @param size  bytes of `buf`, at least 3
/// @return buf
const char *
logger_quote(char *buf, size_t size, const char *text)
{
	size_t n = 0;

	g_assert(size >= 3);
	buf[n++] = '"';
	for (; *text != '\0' && n + 3 < size; text++) {
		const unsigned char c = (unsigned char)*text;

		if (c == '"' || c == '\\')
			buf[n++] = '\\';
		buf[n++] = (char)(c < ' ' ? ' ' : c);
	}
	buf[n++] = '"';
	buf[n] = '\0';
	return buf;
}
