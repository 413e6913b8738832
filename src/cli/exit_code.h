#ifndef CLI_EXIT_CODE_H
#define CLI_EXIT_CODE_H

/// Exit codes of every subcommand.
enum cli_exit {
	CLI_OK = 0,
	CLI_REFUSED = 1,  ///< rejected; nothing was changed
	CLI_CONFLICT = 2, ///< a conflicting note was accepted before
	CLI_UNKNOWN = 3,  ///< outcome unknown; safe to send again
	CLI_USAGE = 64,   ///< invalid command line, settings or note
};

#endif
