#ifndef LOAD_LOADGEN_H
#define LOAD_LOADGEN_H

/// Subcommand `load`: sends the work of callers and measures the answers.
int loadgen_main(int argc, char **argv);

#endif
