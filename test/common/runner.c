#include "common/runner.h"

#include "base/logger.h"

#include <stdlib.h>
#include <string.h>

static int
list_runs(void)
{
	for (const struct run *r = runs; r->name != NULL; r++)
		(void)printf("%-24s %s\n", r->name, r->summary);
	return 0;
}

static int
usage(void)
{
	(void)fprintf(stderr, "usage: --list | --run NAME --seed N\n");
	return 64;
}

/// Lists the runs, or carries out one of them.
int
main(int argc, char **argv)
{
	uint64_t seed;

	logger_init("runner", LOGGER_WARN);
	if (argc == 2 && strcmp(argv[1], "--list") == 0)
		return list_runs();
	if (argc != 5 || strcmp(argv[1], "--run") != 0 ||
	    strcmp(argv[3], "--seed") != 0)
		return usage();
	seed = strtoull(argv[4], NULL, 10);
	for (const struct run *r = runs; r->name != NULL; r++) {
		if (strcmp(argv[2], r->name) == 0)
			return r->run(seed);
	}
	(void)fprintf(stderr, "no run '%s'; see --list\n", argv[2]);
	return 64;
}
