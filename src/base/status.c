#include "base/status.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>

#define STATUS_MESSAGE_BYTES 512

static _Thread_local char last_message[STATUS_MESSAGE_BYTES];

/// Records the message of a failure for status_last().
///
/// @param code  status to return, not STATUS_OK
/// @param fmt   printf format of the message, without a final newline
/// @return code
enum status
status_fail(enum status code, const char *fmt, ...)
{
	va_list ap;

	assert(code != STATUS_OK);
	va_start(ap, fmt);
	(void)vsnprintf(last_message, sizeof(last_message), fmt, ap);
	va_end(ap);
	return code;
}

/// Returns the message of the last failure in this thread; "" if there was
/// none. The next status_fail() overwrites it.
const char *
status_last(void)
{
	return last_message;
}

/// Returns the lower-case name of a status, for logs and responses.
const char *
status_name(enum status code)
{
	switch (code) {
	case STATUS_OK:
		return "ok";
	case STATUS_INVALID:
		return "invalid";
	case STATUS_CONFLICT:
		return "conflict";
	case STATUS_NOT_FOUND:
		return "not_found";
	case STATUS_IO:
		return "io";
	case STATUS_CORRUPT:
		return "corrupt";
	case STATUS_FULL:
		return "full";
	case STATUS_TIMEOUT:
		return "timeout";
	case STATUS_UNAVAILABLE:
		return "unavailable";
	case STATUS_REFUSED:
		return "refused";
	case STATUS_INTERNAL:
		return "internal";
	}
	return "unknown";
}
