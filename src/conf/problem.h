#ifndef CONF_PROBLEM_H
#define CONF_PROBLEM_H

#include "conf/spec.h"

void problem_add(struct spec_problems *p, const char *path, int line,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

#endif
