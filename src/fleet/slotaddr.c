#include "fleet/slotaddr.h"

#include <stdio.h>

/// Bits of a slot for the second and the third number; the last has eight.
#define SECOND_BITS 6
#define THIRD_BITS 2
#define LAST_BITS 8
#define MASK(bits) ((1U << (bits)) - 1)

static int
split(const char *host, unsigned n[4])
{
	char end;

	return sscanf(host, "%3u.%3u.%3u.%3u%c", &n[0], &n[1], &n[2], &n[3],
		   &end) == 4;
}

/// Slot of an IPv4 address.
uint32_t
slotaddr_from_host(const char *host)
{
	unsigned n[4];

	if (!split(host, n) || n[1] > MASK(SECOND_BITS) ||
	    n[2] > MASK(THIRD_BITS) || n[3] > MASK(LAST_BITS))
		return 0;
	return n[1] << (THIRD_BITS + LAST_BITS) | n[2] << LAST_BITS | n[3];
}

/// Address of a slot.
void
slotaddr_to_host(const char *own, uint32_t slot, char *out, size_t size)
{
	unsigned n[4] = { 0 };

	(void)split(own, n);
	(void)snprintf(out, size, "%u.%u.%u.%u", n[0],
	    slot >> (THIRD_BITS + LAST_BITS) & MASK(SECOND_BITS),
	    slot >> LAST_BITS & MASK(THIRD_BITS), slot & MASK(LAST_BITS));
}
