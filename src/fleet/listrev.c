#include "fleet/listrev.h"

#include <string.h>
#include <xxhash.h>

#define DIGEST_BITS 32
/// Keeps revisions below the largest numbers, some of which have a meaning.
#define NUMBER_MASK UINT64_C(0x7fffffff)

static uint64_t
hash_text(const char *text, uint64_t seed)
{
	return XXH64(text, strlen(text), seed);
}

/// Digest of a server: of all properties that listrev_same() compares.
uint32_t
listrev_digest_of(const struct instance *server)
{
	uint64_t h = hash_text(server->id, 0);

	h = hash_text(server->service, h);
	h = hash_text(server->zone, h);
	h = hash_text(server->version, h);
	h = hash_text(server->host, h);
	h ^= (uint64_t)server->port << 40 ^ (uint64_t)server->slots << 2 ^
	    (uint64_t)server->draining << 1 ^ (uint64_t)server->spot;
	if (server->cold_until_ms != 0)
		h = XXH64(
		    &server->cold_until_ms, sizeof(server->cold_until_ms), h);
	if (server->pace_percent != 0)
		h = XXH64(
		    &server->pace_percent, sizeof(server->pace_percent), h);
	return (uint32_t)XXH64(&h, sizeof(h), 0);
}

/// Whether two entries of the list show the same state of a server.
bool
listrev_same(const struct instance *a, const struct instance *b)
{
	return strcmp(a->id, b->id) == 0 &&
	    strcmp(a->service, b->service) == 0 &&
	    strcmp(a->zone, b->zone) == 0 &&
	    strcmp(a->version, b->version) == 0 &&
	    strcmp(a->host, b->host) == 0 && a->port == b->port &&
	    a->slots == b->slots && a->draining == b->draining &&
	    a->spot == b->spot && a->cold_until_ms == b->cold_until_ms &&
	    a->pace_percent == b->pace_percent;
}

/// The revision of a list.
///
/// @param number  not 0
/// @return not 0
uint64_t
listrev_make(uint64_t number, uint32_t digest)
{
	return (number & NUMBER_MASK) << DIGEST_BITS | digest;
}

uint32_t
listrev_digest(uint64_t revision)
{
	return (uint32_t)revision;
}

uint64_t
listrev_number(uint64_t revision)
{
	return revision >> DIGEST_BITS & NUMBER_MASK;
}
