#ifndef LOAD_LOADGEN_H
#define LOAD_LOADGEN_H

/// Subcommand `load`: sends callers' requests to entries and measures the
/// responses.
///
/// @return exit code: 0, 1 when a response was wrong or truncated, 64 for a
///         bad command line
int loadgen_main(int argc, char **argv);

#endif
