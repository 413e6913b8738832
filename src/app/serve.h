#ifndef APP_SERVE_H
#define APP_SERVE_H

/// Subcommands that run a server process until it is stopped. argv[0] is the
/// subcommand's name; each returns an exit code (enum cli_exit).

int serve_entry(int argc, char **argv);
int serve_control(int argc, char **argv);
int serve_gateway(int argc, char **argv);
int serve_hub(int argc, char **argv);

#endif
