#ifndef FLEET_SLOTADDR_H
#define FLEET_SLOTADDR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Slots of control processes. A process takes one of several that its IPv4
/// address gives it, and keeps it on its disk: another address may give the
/// same one. All control processes listen on the same port.
///
/// The first slots of some addresses imply them, among processes whose
/// addresses have the same first byte: those with a second byte below 64 and a
/// third one below 4. Others are told beside the slot (hosttable.h).

/// Slots that an address gives. That other processes have all of them is next
/// to impossible in a group of any size.
#define SLOTADDR_CHOICES 8

uint32_t slotaddr_from_host(const char *host);
uint32_t slotaddr_choice(const char *host, uint32_t i);
bool slotaddr_is_choice(const char *host, uint32_t slot);
void slotaddr_to_host(const char *own, uint32_t slot, char *out, size_t size);
bool slotaddr_implies(const char *own, uint32_t slot, const char *host);

/// Packed addresses: whole IPv4 addresses whose low 16 bits are the slots that
/// imply them, if any do. Gateways are known by them. Those of versions before
/// sent the slot alone, and take a packed address for one.

uint32_t slotaddr_pack(const char *host);
void slotaddr_unpack(const char *own, uint32_t packed, char *out, size_t size);
bool slotaddr_is_slot(uint32_t packed);
bool slotaddr_fits_slot(uint32_t packed);

#endif
