#ifndef CLI_EXIT_CODE_H
#define CLI_EXIT_CODE_H

/// Exit codes of every subcommand.
enum cli_exit {
	CLI_OK = 0,
	CLI_REFUSED = 1,  ///< Declined; nothing was changed.
	CLI_CONFLICT = 2, ///< Another note won.
	CLI_UNKNOWN = 3,  ///< Outcome unknown; safe to send again.
	CLI_USAGE = 64,   ///< Bad command line, settings or note.
};

#endif
