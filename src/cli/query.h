#ifndef CLI_QUERY_H
#define CLI_QUERY_H

#include "cli/opt.h"

struct json_t;

/// Prints the response of a control process as text.
///
/// @param body  the response as received
/// @param json  the same, parsed
typedef void (*query_print)(
    const struct opt *o, const char *body, const struct json_t *json);

int query_run(const struct opt_spec *spec, const char *path, query_print print,
    int argc, char **argv);

#endif
