#include "app/cmd.h"
#include "app/serve.h"
#include "cli/cli.h"
#include "load/loadgen.h"

#include <stdio.h>
#include <string.h>

struct cmd {
	const char *name;
	const char *summary;
	int (*run)(int argc, char **argv);
};

/// Subcommands, in the order of the help text.
static const struct cmd commands[] = {
	{ .name = "entry",
	    .summary = "run an entry process",
	    .run = serve_entry },
	{ .name = "control",
	    .summary = "run a control process",
	    .run = serve_control },
	{ .name = "gateway",
	    .summary = "run an entry process that finds control by seeds",
	    .run = serve_gateway },
	{ .name = "hub",
	    .summary = "run a control process that finds the others by seeds",
	    .run = serve_hub },
	{ .name = "check",
	    .summary = "check settings or a release note",
	    .run = cli_check },
	{ .name = "explain",
	    .summary = "show what happened to one request, from logs",
	    .run = cli_explain },
	{ .name = "note",
	    .summary = "submit release notes and follow them",
	    .run = cli_note },
	{ .name = "status",
	    .summary =
		"show leader, revision in force, versions, draining servers",
	    .run = cli_status },
	{ .name = "report",
	    .summary = "show how fast the error budget is spent, and where",
	    .run = cli_report },
	{ .name = "load",
	    .summary = "send requests as callers do and measure the responses",
	    .run = loadgen_main },
	{ .name = NULL },
};

static void
print_help(FILE *out)
{
	(void)fprintf(out,
	    "usage: acaciahinge SUBCOMMAND [OPTIONS]\n"
	    "       acaciahinge --version\n\n"
	    "Each subcommand explains itself with --help.\n\n");
	for (const struct cmd *c = commands; c->name != NULL; c++)
		(void)fprintf(out, "  %-8s %s\n", c->name, c->summary);
}

static int
print_version(void)
{
	(void)printf("acaciahinge %s\n", AC_VERSION);
	return CLI_OK;
}

/// Runs the subcommand that the command line names.
///
/// @return an exit code (enum cli_exit)
int
cmd_main(int argc, char **argv)
{
	if (argc < 2) {
		print_help(stderr);
		return CLI_USAGE;
	}
	if (strcmp(argv[1], "--help") == 0) {
		print_help(stdout);
		return CLI_OK;
	}
	if (strcmp(argv[1], "--version") == 0)
		return print_version();
	for (const struct cmd *c = commands; c->name != NULL; c++) {
		if (strcmp(argv[1], c->name) != 0)
			continue;
		if (argc == 3 && strcmp(argv[2], "--version") == 0)
			return print_version();
		return c->run(argc - 1, argv + 1);
	}
	(void)fprintf(
	    stderr, "acaciahinge: no subcommand '%s'; see --help\n", argv[1]);
	return CLI_USAGE;
}
