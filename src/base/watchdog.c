#include "base/watchdog.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

static volatile sig_atomic_t overdue_exit_code;

/// Only what is safe in a signal handler: the process may be anywhere.
static void
on_overdue(int signo)
{
	static const char line[] =
	    "event=process.release_overdue action=exit\n";

	(void)signo;
	(void)!write(STDERR_FILENO, line, sizeof(line) - 1);
	_exit(overdue_exit_code);
}

/// Ends the process after a time, unless watchdog_stop() is called before.
///
/// @param exit_code  of the process then
void
watchdog_start(unsigned int seconds, int exit_code)
{
	struct sigaction action;

	memset(&action, 0, sizeof(action));
	action.sa_handler = on_overdue;
	overdue_exit_code = exit_code;
	(void)sigaction(SIGALRM, &action, NULL);
	(void)alarm(seconds);
}

/// Lets the process live on.
void
watchdog_stop(void)
{
	(void)alarm(0);
}
