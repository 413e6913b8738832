#include "fleet/slotaddr.h"

#include <stdio.h>

/// Bits of a slot for the second, third and last byte of the address.
#define SECOND_BITS 6
#define THIRD_BITS 2
#define LAST_BITS 8
#define MASK(bits) ((1U << (bits)) - 1)

/// Parses an IPv4 address into its four bytes.
///
/// @return nonzero when `host` is one
static int
parse_ipv4(const char *host, unsigned n[4])
{
	char end;

	return sscanf(host, "%3u.%3u.%3u.%3u%c", &n[0], &n[1], &n[2], &n[3],
		   &end) == 4;
}

/// Slot of an IPv4 address; 0 when it is no address or has bytes too large for
/// a slot.
uint32_t
slotaddr_from_host(const char *host)
{
	unsigned n[4];

	if (!parse_ipv4(host, n) || n[1] > MASK(SECOND_BITS) ||
	    n[2] > MASK(THIRD_BITS) || n[3] > MASK(LAST_BITS))
		return 0;
	return n[1] << (THIRD_BITS + LAST_BITS) | n[2] << LAST_BITS | n[3];
}

/// Address of a slot.
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
