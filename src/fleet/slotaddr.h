#ifndef FLEET_SLOTADDR_H
#define FLEET_SLOTADDR_H

#include <stddef.h>
#include <stdint.h>

/// Converts between IPv4 addresses and the slots of control processes. The slot
/// encodes the address, so that a member can be reached by its slot alone: all
/// control processes listen on the same port, and their addresses have the same
/// first byte.

uint32_t slotaddr_from_host(const char *host);
void slotaddr_to_host(const char *own, uint32_t slot, char *out, size_t size);

#endif
