#ifndef CLI_OPT_H
#define CLI_OPT_H

#include <stdbool.h>
#include <stddef.h>

#include "cli/client.h"

/// Parsed command line of a subcommand that sends requests to control.
struct opt {
	bool json;
	char action[SPEC_NAME_BYTES];      ///< first operand: what to do
	char operand[SETTINGS_PATH_BYTES]; ///< second operand; "": none
	struct client client;
};

/// Name, help text and operands of a subcommand.
struct opt_spec {
	const char *name;
	const char *summary;
	const char *actions; ///< "A|B", values of the first operand; NULL: none
	const char *operand; ///< name of the second operand in the help
};

int opt_parse(const struct opt_spec *spec, int argc, char **argv,
    struct opt *out, bool *proceed);

#endif
