#ifndef COMMON_RUNNER_H
#define COMMON_RUNNER_H

#include <stdint.h>
#include <stdio.h>

/// One named run. It prints its results as one line of key=value pairs and
/// returns 0 when its checks hold, else 1.
struct run {
	const char *name;
	const char *summary;
	int (*run)(uint64_t seed);
};

/// Runs of the program, terminated by a NULL name; defined in its list.c.
extern const struct run runs[];

#endif
