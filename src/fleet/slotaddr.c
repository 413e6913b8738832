#include "fleet/slotaddr.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "fleet/instance.h"

/// Bits of a slot for the second, third and last byte of the address.
#define SECOND_BITS 6
#define THIRD_BITS 2
#define LAST_BITS 8
#define SLOT_BITS (SECOND_BITS + THIRD_BITS + LAST_BITS)
#define MASK(bits) ((1U << (bits)) - 1)

/// Parses an IPv4 address into its four bytes.
///
/// @return nonzero when `host` is one
static int
parse_ipv4(const char *host, unsigned n[4])
{
	char end;

	return sscanf(host, "%3u.%3u.%3u.%3u%c", &n[0], &n[1], &n[2], &n[3],
		   &end) == 4 &&
	    n[0] <= MASK(8) && n[1] <= MASK(8) && n[2] <= MASK(8) &&
	    n[3] <= MASK(8);
}

/// Slot of an address that isn't derived from its bytes alone. Two addresses
/// may have the same one, but rarely do.
///
/// @param seed  gives the same address another slot
static uint32_t
hashed_slot(const unsigned n[4], uint32_t seed)
{
	const uint8_t bytes[] = { (uint8_t)n[0], (uint8_t)n[1], (uint8_t)n[2],
		(uint8_t)n[3] };
	const uint32_t slot =
	    (uint32_t)XXH64(bytes, sizeof(bytes), seed) & MASK(SLOT_BITS);

	return slot != 0 ? slot : 1;
}

/// A slot that an IPv4 address gives.
///
/// @param i  below SLOTADDR_CHOICES; 0: the one that a process takes unless
///           another one has it
/// @return 0 when `host` isn't an IPv4 address
uint32_t
slotaddr_choice(const char *host, uint32_t i)
{
	unsigned n[4];

	if (!parse_ipv4(host, n))
		return 0;
	if (i > 0 || n[1] > MASK(SECOND_BITS) || n[2] > MASK(THIRD_BITS))
		return hashed_slot(n, i);
	return n[1] << (THIRD_BITS + LAST_BITS) | n[2] << LAST_BITS | n[3];
}

/// Usual slot of an IPv4 address; 0 when it is none.
uint32_t
slotaddr_from_host(const char *host)
{
	return slotaddr_choice(host, 0);
}

/// Whether a slot is one of those that an address gives.
bool
slotaddr_is_choice(const char *host, uint32_t slot)
{
	for (uint32_t i = 0; i < SLOTADDR_CHOICES; i++) {
		if (slot != 0 && slotaddr_choice(host, i) == slot)
			return true;
	}
	return false;
}

/// Address that a slot implies.
///
/// @param own   any address of the deployment; gives the first byte
/// @param size  of `out` in bytes
void
slotaddr_to_host(const char *own, uint32_t slot, char *out, size_t size)
{
	unsigned n[4] = { 0 };

	(void)parse_ipv4(own, n);
	(void)snprintf(out, size, "%u.%u.%u.%u", n[0],
	    slot >> (THIRD_BITS + LAST_BITS) & MASK(SECOND_BITS),
	    slot >> LAST_BITS & MASK(THIRD_BITS), slot & MASK(LAST_BITS));
}

/// Whether a process at `own` derives `host` from the slot.
bool
slotaddr_implies(const char *own, uint32_t slot, const char *host)
{
	char implied[INSTANCE_HOST_BYTES];

	slotaddr_to_host(own, slot, implied, sizeof(implied));
	return strcmp(implied, host) == 0;
}

/// Packs an IPv4 address: the bits that its slot has no room for go above it.
///
/// @return 0 when `host` isn't an IPv4 address
uint32_t
slotaddr_pack(const char *host)
{
	unsigned n[4];
	uint32_t high;

	if (!parse_ipv4(host, n))
		return 0;
	high = n[0] << 8 | n[1] >> SECOND_BITS << (8 - THIRD_BITS) |
	    n[2] >> THIRD_BITS;
	return high << SLOT_BITS |
	    (n[1] & MASK(SECOND_BITS)) << (THIRD_BITS + LAST_BITS) |
	    (n[2] & MASK(THIRD_BITS)) << LAST_BITS | n[3];
}

/// Whether what a gateway sent is a slot, as an older version sends.
bool
slotaddr_is_slot(uint32_t packed)
{
	return packed >> SLOT_BITS == 0;
}

/// Unpacks an address. What an older version sent is a slot, and is taken for
/// one of the owner's network.
///
/// @param own   any address of the deployment
/// @param size  of `out` in bytes
void
slotaddr_unpack(const char *own, uint32_t packed, char *out, size_t size)
{
	const uint32_t high = packed >> SLOT_BITS;
	const uint32_t second =
	    high >> (8 - THIRD_BITS) & MASK(8 - SECOND_BITS);

	if (slotaddr_is_slot(packed)) {
		slotaddr_to_host(own, packed, out, size);
		return;
	}
	(void)snprintf(out, size, "%u.%u.%u.%u", high >> 8,
	    second << SECOND_BITS |
		(packed >> (THIRD_BITS + LAST_BITS) & MASK(SECOND_BITS)),
	    (high & MASK(8 - THIRD_BITS)) << THIRD_BITS |
		(packed >> LAST_BITS & MASK(THIRD_BITS)),
	    packed & MASK(LAST_BITS));
}

/// Whether a version that takes a packed address for a slot derives the same
/// address from it, if the first byte is its own.
bool
slotaddr_fits_slot(uint32_t packed)
{
	return (packed >> SLOT_BITS & MASK(8)) == 0;
}
