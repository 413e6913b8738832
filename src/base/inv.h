#ifndef BASE_INV_H
#define BASE_INV_H

#include <stdbool.h>

/// Called with the name and the key=value pairs of a violated invariant before
/// the process is aborted.
typedef void (*inv_hook)(const char *name, const char *pairs);

void inv_set_hook(inv_hook hook);
void inv_check(bool holds, const char *name, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

#endif
