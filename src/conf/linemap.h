#ifndef CONF_LINEMAP_H
#define CONF_LINEMAP_H

#include <stddef.h>

/// Line numbers of the values of a JSON text, by JSON path as
/// "$.routes.add[0]".
struct linemap;

struct linemap *linemap_new(const char *json, size_t len);
void linemap_free(struct linemap *m);
int linemap_line(const struct linemap *m, const char *path);

#endif
