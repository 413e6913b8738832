#ifndef CLI_OPT_H
#define CLI_OPT_H

#include <stdbool.h>
#include <stddef.h>

#include "cli/client.h"

/// Command line of a subcommand that talks to control.
struct opt {
	bool json;
	char word[SPEC_NAME_BYTES];        ///< first operand: what to do
	char operand[SETTINGS_PATH_BYTES]; ///< second operand
	struct client targets;
};

/// What a subcommand takes.
struct opt_spec {
	const char *name;
	const char *summary;
	const char *words;   ///< choices of the first operand, NULL: none
	const char *operand; ///< name of the second one
};

int opt_parse(const struct opt_spec *spec, int argc, char **argv,
    struct opt *out, bool *go_on);

#endif
