#include "route/prefix_index.h"

#include <assert.h>
#include <glib.h>
#include <stdbool.h>
#include <string.h>

#define NO_NODE UINT32_MAX
#define MAX_PROBES 48 ///< Depths of a prompt looked up at most.
#define MAX_SLOTS 65536

/// Percentage of the probed depths that a server must have for a match.
#define MIN_HIT_PERCENT 75

/// Blocks probed beyond one that no server is known to have.
#define HOLE_BLOCKS 2

/// One entry: a server has a block in its cache.
struct node {
	uint64_t block; ///< 0: unused.
	uint32_t next;  ///< Next node of the same block.
	uint16_t slot;
	uint16_t generation; ///< Of the slot when the entry was added.
	float stamp;
};

/// Hash bucket of a block, with the list of its nodes.
struct bucket {
	uint64_t block; ///< 0: empty.
	uint32_t head;
};

/// Count of one server's entries. A new generation invalidates them all.
struct server_slot {
	uint16_t generation;
	uint64_t count;
};

struct prefix_index {
	struct bucket *buckets; ///< Open addressing, linear probing.
	size_t mask;
	struct node *nodes; ///< A ring: the oldest is overwritten.
	uint32_t n_nodes;
	uint32_t cursor;
	struct server_slot *slots;
};

/// Makes an empty index.
///
/// @param max_entries  most pairs of server and block
/// @return to be freed with prefix_index_free()
struct prefix_index *
prefix_index_new(uint32_t max_entries)
{
	struct prefix_index *c = g_new0(struct prefix_index, 1);
	size_t size = 16;

	assert(max_entries > 0);
	while (size < (size_t)max_entries * 2)
		size *= 2;
	c->buckets = g_new0(struct bucket, size);
	c->mask = size - 1;
	c->nodes = g_new0(struct node, max_entries);
	c->n_nodes = max_entries;
	c->slots = g_new0(struct server_slot, MAX_SLOTS);
	return c;
}

/// Frees an index; NULL is allowed.
void
prefix_index_free(struct prefix_index *c)
{
	if (c == NULL)
		return;
	g_free(c->buckets);
	g_free(c->nodes);
	g_free(c->slots);
	g_free(c);
}

static uint64_t
key_of(uint64_t block)
{
	return block == 0 ? 1 : block;
}

/// Bucket of a block, or the empty bucket where it would go.
static size_t
bucket_of(const struct prefix_index *c, uint64_t block)
{
	size_t i = block & c->mask;

	while (c->buckets[i].block != 0 && c->buckets[i].block != block)
		i = (i + 1) & c->mask;
	return i;
}

/// Empties a bucket and moves later ones up, so that no lookup ends early.
static void
remove_bucket(struct prefix_index *c, size_t hole)
{
	size_t i = hole;

	for (;;) {
		size_t home;

		i = (i + 1) & c->mask;
		if (c->buckets[i].block == 0)
			break;
		home = c->buckets[i].block & c->mask;
		if (((i - home) & c->mask) < ((i - hole) & c->mask))
			continue;
		c->buckets[hole] = c->buckets[i];
		hole = i;
	}
	c->buckets[hole].block = 0;
}

/// Whether an entry was added since its server was last removed.
static bool
is_current(const struct prefix_index *c, const struct node *n)
{
	return n->generation == c->slots[n->slot].generation;
}

/// Removes a node from its block's list and marks it unused.
static void
unlink_node(struct prefix_index *c, uint32_t at)
{
	struct node *n = &c->nodes[at];
	const size_t bucket = bucket_of(c, n->block);
	uint32_t *link = &c->buckets[bucket].head;

	while (*link != at)
		link = &c->nodes[*link].next;
	*link = n->next;
	if (c->buckets[bucket].head == NO_NODE)
		remove_bucket(c, bucket);
	if (is_current(c, n))
		c->slots[n->slot].count--;
	n->block = 0;
}

/// Node of the entry that a server has a block.
///
/// @return its index in c->nodes; NO_NODE when there is none
static uint32_t
find_node(const struct prefix_index *c, uint32_t slot, uint64_t block)
{
	const struct bucket *e = &c->buckets[bucket_of(c, block)];

	if (e->block == 0)
		return NO_NODE;
	for (uint32_t i = e->head; i != NO_NODE; i = c->nodes[i].next) {
		if (c->nodes[i].slot == slot && is_current(c, &c->nodes[i]))
			return i;
	}
	return NO_NODE;
}

/// Adds the entry that a server has a block, or renews its stamp.
///
/// @param stamp  the server's staleness now, see balancer__staleness()
void
prefix_index_add(
    struct prefix_index *c, uint32_t slot, uint64_t block, float stamp)
{
	const uint64_t key = key_of(block);
	uint32_t at;
	struct node *n;
	struct bucket *e;

	assert(slot < MAX_SLOTS);
	at = find_node(c, slot, key);
	if (at != NO_NODE) {
		c->nodes[at].stamp = stamp;
		return;
	}
	at = c->cursor;
	c->cursor = (c->cursor + 1) % c->n_nodes;
	n = &c->nodes[at];
	if (n->block != 0)
		unlink_node(c, at);
	e = &c->buckets[bucket_of(c, key)];
	*n = (struct node){
		.block = key,
		.next = e->block == 0 ? NO_NODE : e->head,
		.slot = (uint16_t)slot,
		.generation = c->slots[slot].generation,
		.stamp = stamp,
	};
	e->block = key;
	e->head = at;
	c->slots[slot].count++;
}

/// Removes the entry that a server has a block, if there is one.
void
prefix_index_remove(struct prefix_index *c, uint32_t slot, uint64_t block)
{
	const uint32_t at = find_node(c, slot, key_of(block));

	if (at != NO_NODE)
		unlink_node(c, at);
}

/// Removes all entries of a server.
void
prefix_index_remove_server(struct prefix_index *c, uint32_t slot)
{
	assert(slot < MAX_SLOTS);
	c->slots[slot].generation++;
	c->slots[slot].count = 0;
	if (c->slots[slot].generation != 0)
		return;
	/* The generation wrapped: remove old entries of the same number. */
	for (uint32_t i = 0; i < c->n_nodes; i++) {
		if (c->nodes[i].block != 0 && c->nodes[i].slot == slot)
			unlink_node(c, i);
	}
	c->slots[slot].count = 0;
}

/// Number of blocks that a server has by the index.
uint64_t
prefix_index_count(const struct prefix_index *c, uint32_t slot)
{
	assert(slot < MAX_SLOTS);
	return c->slots[slot].count;
}

/// Whether any server has a block.
static bool
is_known(const struct prefix_index *c, uint64_t block)
{
	const uint64_t key = key_of(block);
	const struct bucket *e = &c->buckets[bucket_of(c, key)];

	if (e->block == 0)
		return false;
	for (uint32_t i = e->head; i != NO_NODE; i = c->nodes[i].next) {
		if (is_current(c, &c->nodes[i]))
			return true;
	}
	return false;
}

/// Whether some server has a prefix: its last block, or one of the next
/// HOLE_BLOCKS, whose hash covers the prefix too. Events get lost, so a block
/// within a cached prefix may be unknown.
static bool
is_prefix_known(const struct prefix_index *c, const uint64_t *blocks, size_t n,
    size_t prefix)
{
	const size_t end = prefix + HOLE_BLOCKS < n ? prefix + HOLE_BLOCKS : n;

	for (size_t i = prefix; i <= end; i++) {
		if (is_known(c, blocks[i - 1]))
			return true;
	}
	return false;
}

/// Number of leading blocks that some server has. A block's hash covers all
/// blocks before it, so a binary search suffices.
static size_t
known_depth(const struct prefix_index *c, const uint64_t *blocks, size_t n)
{
	size_t known = 0;
	size_t unknown = 1;

	while (unknown <= n && is_prefix_known(c, blocks, n, unknown)) {
		known = unknown;
		unknown *= 2;
	}
	if (unknown > n)
		unknown = n + 1;
	while (unknown - known > 1) {
		const size_t middle = known + (unknown - known) / 2;

		if (is_prefix_known(c, blocks, n, middle))
			known = middle;
		else
			unknown = middle;
	}
	return known;
}

/// Adds the servers that have the last block of a prefix of `depth` blocks to
/// the matches. Such a server once had all blocks before it, and caches evict
/// the end of a chain first; a few blocks may be unknown since events get lost.
///
/// @param probe  number of depths probed so far, this one included
static void
match_at(const struct prefix_index *c, uint64_t block, size_t probe,
    uint32_t depth, struct prefix_match *matches, size_t n_slots)
{
	const struct bucket *e = &c->buckets[bucket_of(c, key_of(block))];

	if (e->block == 0)
		return;
	for (uint32_t i = e->head; i != NO_NODE; i = c->nodes[i].next) {
		const struct node *n = &c->nodes[i];
		struct prefix_match *m;

		if (n->slot >= n_slots || !is_current(c, n))
			continue;
		m = &matches[n->slot];
		if (m->hits++ == 0 || n->stamp < m->oldest_stamp)
			m->oldest_stamp = n->stamp;
		if ((size_t)m->hits * 100 >= probe * MIN_HIT_PERCENT)
			m->blocks = depth;
	}
}

/// Looks up how much of a prompt each server has. For long prompts only
/// MAX_PROBES depths are probed, so a match may be short by 1/MAX_PROBES.
///
/// @param matches  one for each slot; overwritten
/// @return number of leading blocks that some server has
size_t
prefix_index_match(const struct prefix_index *c, const uint64_t *blocks,
    size_t n, struct prefix_match *matches, size_t n_slots)
{
	const size_t depth = known_depth(c, blocks, n);
	const size_t probes = depth < MAX_PROBES ? depth : MAX_PROBES;

	memset(matches, 0, n_slots * sizeof(*matches));
	for (size_t i = 1; i <= probes; i++) {
		const size_t at = i * depth / probes;

		match_at(c, blocks[at - 1], i, (uint32_t)at, matches, n_slots);
	}
	return depth;
}
