#ifndef ROUTE_PREFIX_INDEX_H
#define ROUTE_PREFIX_INDEX_H

#include <stddef.h>
#include <stdint.h>

/// Prefix index: which server (by slot) has which prompt block in its prefix
/// cache. Each entry has a stamp: the server's staleness when the entry was
/// last added. The more the staleness has grown since, the less certain the
/// entry is: it may be outdated, since cache events get lost. The size is
/// bounded: the oldest entry is overwritten.

struct prefix_index;

/// A match of a prompt in one server's cache.
struct prefix_match {
	uint32_t blocks;    ///< Leading blocks cached.
	uint32_t hits;      ///< Probed depths that are cached.
	float oldest_stamp; ///< Lowest stamp among the hits.
};

struct prefix_index *prefix_index_new(uint32_t max_entries);
void prefix_index_free(struct prefix_index *c);
void prefix_index_add(
    struct prefix_index *c, uint32_t slot, uint64_t block, float stamp);
void prefix_index_remove(struct prefix_index *c, uint32_t slot, uint64_t block);
void prefix_index_remove_server(struct prefix_index *c, uint32_t slot);
uint64_t prefix_index_count(const struct prefix_index *c, uint32_t slot);
size_t prefix_index_match(const struct prefix_index *c, const uint64_t *blocks,
    size_t n, struct prefix_match *matches, size_t n_slots);

#endif
