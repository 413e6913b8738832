#ifndef BASE_WATCHDOG_H
#define BASE_WATCHDOG_H

/// Ends the process if its release takes too long: what is released then is of
/// no use to anyone, and whoever stopped the process waits for its end.

void watchdog_start(unsigned int seconds, int exit_code);
void watchdog_stop(void);

#endif
