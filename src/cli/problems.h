#ifndef CLI_PROBLEMS_H
#define CLI_PROBLEMS_H

#include <stdio.h>

#include "conf/spec.h"

struct json_t;

void problems_print(
    FILE *out, const char *file, const struct spec_problems *problems);
struct json_t *problems_json(const struct spec_problems *problems);

#endif
