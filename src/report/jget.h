#ifndef REPORT_JGET_H
#define REPORT_JGET_H

#include <jansson.h>

/// Members of a JSON object; 0 or "" where one is missing or of another type.

double jget_number(const json_t *o, const char *key);
long long jget_integer(const json_t *o, const char *key);
const char *jget_string(const json_t *o, const char *key);

#endif
