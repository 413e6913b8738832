#ifndef BASE_HOSTPORT_H
#define BASE_HOSTPORT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

bool hostport_split(const char *text, char *host, size_t size, uint16_t *port);

#endif
