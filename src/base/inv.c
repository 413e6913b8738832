#include "base/inv.h"
#include "base/logger.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#define INV_PAIRS_BYTES 1024

static inv_hook violation_hook;

/// Sets a function that is called before a violated invariant aborts the
/// process. The process is aborted even if the hook returns; a test may end the
/// process from it.
///
/// @param hook  NULL for none
void
inv_set_hook(inv_hook hook)
{
	violation_hook = hook;
}

/// Checks an invariant. A violation is logged as one line and aborts the
/// process, which must not continue in an invalid state.
///
/// @param holds  whether the invariant holds
/// @param name   dotted lower-case name of the invariant
/// @param fmt    printf format of key=value pairs with the values involved
void
inv_check(bool holds, const char *name, const char *fmt, ...)
{
	char pairs[INV_PAIRS_BYTES];
	va_list ap;

	if (holds)
		return;
	va_start(ap, fmt);
	(void)vsnprintf(pairs, sizeof(pairs), fmt, ap);
	va_end(ap);
	logger_event(
	    LOGGER_ERROR, "invariant.breached", "invariant=%s %s", name, pairs);
	if (violation_hook != NULL)
		violation_hook(name, pairs);
	abort();
}
