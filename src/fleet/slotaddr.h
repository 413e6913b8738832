#ifndef FLEET_SLOTADDR_H
#define FLEET_SLOTADDR_H

#include <stddef.h>
#include <stdint.h>

/// Slots of control processes. A slot is made from the process's own address
/// and leads back to it, so that whoever knows a member can reach it: all
/// listen at the same port, and their addresses share the first number.

/// Slot of an address, or 0 when the address has none.
uint32_t slotaddr_from_host(const char *host);
/// Address of a slot.
///
/// @param own  an address of the deployment
void slotaddr_to_host(const char *own, uint32_t slot, char *out, size_t size);

#endif
