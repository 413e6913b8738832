#ifndef FLEET_SLOTADDR_H
#define FLEET_SLOTADDR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Slots of control processes, by their IPv4 addresses. All control processes
/// listen on the same port.
///
/// The slots of some addresses imply them, among processes whose addresses have
/// the same first byte: those with a second byte below 64 and a third one below
/// 4. Others are told beside the slot (hosttable.h).

uint32_t slotaddr_from_host(const char *host);
void slotaddr_to_host(const char *own, uint32_t slot, char *out, size_t size);
bool slotaddr_is_implied(const char *own, const char *host);

#endif
