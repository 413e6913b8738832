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
/// Bytes of lines in a second. Lines of requests that went well may use half
/// of it, so that those of failed ones are kept.
#define LOGGER_BUDGET_BYTES 262144
#define LOGGER_ORDINARY_BYTES (LOGGER_BUDGET_BYTES / 2)

static char node_name[LOGGER_NODE_BYTES] = "-";
static enum logger_level max_level = LOGGER_INFO;

/// What was written and dropped in the second under way.
static struct {
	time_t second;
	size_t bytes;
	size_t ordinary;
	unsigned long dropped;
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
level_word(GLogLevelFlags flags)
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
	    utc.tm_min, utc.tm_sec, now.tv_nsec / 1000000, level_word(flags),
	    node_name, text);
	if (len <= 0)
		return;
	if ((size_t)len >= sizeof(line)) {
		len = sizeof(line) - 1;
		line[len - 1] = '\n';
	}
	// A reader that stopped must not stop the process: the line is lost.
	if (write(STDOUT_FILENO, line, (size_t)len) < 0)
		budget.dropped++;
	else
		budget.bytes += (size_t)len;
}

/// Makes writes to a pipe fail rather than wait for its reader.
static void
never_block(void)
{
	struct stat sb;
	int flags;

	if (fstat(STDOUT_FILENO, &sb) != 0 || !S_ISFIFO(sb.st_mode))
		return;
	flags = fcntl(STDOUT_FILENO, F_GETFL);
	if (flags >= 0)
		(void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

/// Starts a new second of the budget, and tells what the last one dropped.
static void
next_second(void)
{
	struct timespec now;
	unsigned long dropped;

	(void)clock_gettime(CLOCK_MONOTONIC, &now);
	if (now.tv_sec == budget.second)
		return;
	dropped = budget.dropped;
	budget.second = now.tv_sec;
	budget.bytes = 0;
	budget.ordinary = 0;
	budget.dropped = 0;
	if (dropped > 0)
		g_log(G_LOG_DOMAIN, G_LOG_LEVEL_WARNING,
		    "event=log.dropped lines=%lu", dropped);
}

/// Whether the budget has room for a line.
static bool
has_room(const char *event, size_t len)
{
	const bool ordinary = strcmp(event, "request.done") == 0 ||
	    strcmp(event, "attempt.sent") == 0;

	next_second();
	if (budget.bytes + len > LOGGER_BUDGET_BYTES)
		return false;
	if (!ordinary)
		return true;
	if (budget.ordinary + len > LOGGER_ORDINARY_BYTES)
		return false;
	budget.ordinary += len;
	return true;
}

/// Starts logging to standard output, one key=value line per event.
///
/// @param node   name of this node, put on every line
/// @param level  events above this level are dropped
void
logger_init(const char *node, enum logger_level level)
{
	(void)g_strlcpy(node_name, node, sizeof(node_name));
	max_level = level;
	never_block();
	(void)g_log_set_default_handler(write_line, NULL);
}

/// Changes the level at run time.
void
logger_set_level(enum logger_level level)
{
	max_level = level;
}

/// Reads a level's name.
///
/// @return 0, or -1 when there is no such level
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

/// Logs one event.
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
	if (!has_room(event, strlen(pairs))) {
		budget.dropped++;
		return;
	}
	g_log(G_LOG_DOMAIN, glib_level(level), "event=%s %s", event, pairs);
}

/// Quotes free text so that it stays one value of a log line.
///
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
