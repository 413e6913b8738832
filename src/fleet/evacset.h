#ifndef FLEET_EVACSET_H
#define FLEET_EVACSET_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/fleetcfg.h"

/// The evacuated data centres: their backend servers get no requests. A plain
/// value without I/O; see docs/design/evacuation.md.

#define EVACSET_MAX 32

struct codec;

struct evacset_entry {
	char zone[FLEETCFG_NAME_BYTES];
	uint64_t since_us; ///< since 1970
};

struct evacset {
	uint64_t revision; ///< log index of the last change; 0: none so far
	uint32_t n;
	struct evacset_entry entries[EVACSET_MAX]; ///< in the order added
};

/// What a gateway does with a set that the leader sent.
enum evacset_news {
	EVACSET_SAME,
	EVACSET_NEWER, ///< it replaces the set in force
	EVACSET_OLDER, ///< sent before the set in force: not a current state
};

bool evacset_covers(const struct evacset *s, const char *zone);
bool evacset_is_full(const struct evacset *s);
bool evacset_add(
    struct evacset *s, uint64_t revision, const char *zone, uint64_t since_us);
bool evacset_remove(struct evacset *s, uint64_t revision, const char *zone);
enum evacset_news evacset_compare(
    const struct evacset *in_force, const struct evacset *received);
void evacset_code(struct codec *m, struct evacset *s);
char *evacset_names(const struct evacset *s);

#endif
