#ifndef BASE_IP_H
#define BASE_IP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Addresses as texts.

bool ip_split(const char *text, char *host, size_t size, uint16_t *port);

#endif
