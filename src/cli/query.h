#ifndef CLI_QUERY_H
#define CLI_QUERY_H

#include "cli/opt.h"

struct json_t;

/// Prints what a control process answered, for a person.
typedef void (*query_print)(
    const struct opt *o, const char *body, const struct json_t *answer);

int query_run(const struct opt_spec *spec, const char *path, query_print print,
    int argc, char **argv);

#endif
