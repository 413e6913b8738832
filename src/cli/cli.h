#ifndef CLI_CLI_H
#define CLI_CLI_H

#include "cli/exit_code.h"

/// Subcommands of operators. argv[0] is the subcommand's name; each returns an
/// exit code (enum cli_exit).

int cli_check(int argc, char **argv);
int cli_explain(int argc, char **argv);
int cli_note(int argc, char **argv);
int cli_status(int argc, char **argv);
int cli_report(int argc, char **argv);

#endif
