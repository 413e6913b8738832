#ifndef ROUTE_PREFIX_INDEX_H
#define ROUTE_PREFIX_INDEX_H

#include <stddef.h>
#include <stdint.h>

/// What is believed to be in the servers' prefix caches: which server (by
/// slot) holds which block, and as of when. Of bounded size; the belief that
/// was added first makes room.

struct prefix_index;

/// A match of a prompt in one server's cache.
struct prefix_match {
	uint32_t blocks; ///< Leading blocks held.
	uint32_t hits;   ///< Depths looked at that are held.
	float stamp;     ///< The lowest stamp among those looked at.
};

struct prefix_index *prefix_index_new(uint32_t max_beliefs);
void prefix_index_free(struct prefix_index *c);
void prefix_index_add(
    struct prefix_index *c, uint32_t slot, uint64_t block, float stamp);
void prefix_index_remove(struct prefix_index *c, uint32_t slot, uint64_t block);
void prefix_index_remove_server(struct prefix_index *c, uint32_t slot);
uint64_t prefix_index_count(const struct prefix_index *c, uint32_t slot);
size_t prefix_index_match(const struct prefix_index *c, const uint64_t *blocks,
    size_t n, struct prefix_match *matches, size_t n_slots);

#endif
