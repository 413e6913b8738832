#include "base/inv.h"
#include "base/logger.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#define INV_PAIRS_BYTES 1024

static inv_hook breach_hook;

/// Sets a function to run once before a breach ends the process; it may
/// not return to go on with the run (a test may exit from it).
void
inv_set_hook(inv_hook hook)
{
	breach_hook = hook;
}

/// Checks an invariant. A breach is logged as one line and ends the process:
/// one that has broken a promise must not go on.
///
/// @param holds  whether the invariant holds
/// @param name   dotted lower-case name of the invariant
/// @param fmt    printf format of key=value pairs with the key values
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
	if (breach_hook != NULL)
		breach_hook(name, pairs);
	abort();
}
