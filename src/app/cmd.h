#ifndef APP_CMD_H
#define APP_CMD_H

/// Runs the subcommand that the command line names.
///
/// @return an exit code, see enum cli_exit
int cmd_main(int argc, char **argv);

#endif
