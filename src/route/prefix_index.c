#include "route/prefix_index.h"

#include <assert.h>
#include <glib.h>
#include <stdbool.h>
#include <string.h>

#define NO_NODE UINT32_MAX
#define MAX_PROBES 48
#define MAX_SLOTS 65536

/// Share of the depths looked at that a server must hold.
#define MIN_HIT_PERCENT 75

/// Blocks looked at beyond one that nobody is known to hold.
#define HOLE_BLOCKS 2

/// One belief: a server holds a block.
struct node {
	uint64_t block; ///< 0: unused.
	uint32_t next;  ///< Of the same block.
	uint16_t slot;
	uint16_t generation; ///< Of the slot when the belief was added.
	float stamp;
};

/// Place of a block in the index.
struct sim_entry {
	uint64_t block; ///< 0: empty.
	uint32_t head;
};

struct slot {
	uint16_t generation;
	uint64_t count;
};

struct prefix_index {
	struct sim_entry *index; ///< Open addressing, linear probing.
	size_t mask;
	struct node *nodes; ///< A ring: the oldest is overwritten.
	uint32_t n_nodes;
	uint32_t cursor;
	struct slot *slots;
};

/// Makes an empty set of beliefs.
///
/// @param max_beliefs  pairs of server and block held at most
struct prefix_index *
prefix_index_new(uint32_t max_beliefs)
{
	struct prefix_index *c = g_new0(struct prefix_index, 1);
	size_t size = 16;

	assert(max_beliefs > 0);
	while (size < (size_t)max_beliefs * 2)
		size *= 2;
	c->index = g_new0(struct sim_entry, size);
	c->mask = size - 1;
	c->nodes = g_new0(struct node, max_beliefs);
	c->n_nodes = max_beliefs;
	c->slots = g_new0(struct slot, MAX_SLOTS);
	return c;
}

/// Releases a set of beliefs; NULL is allowed.
void
prefix_index_free(struct prefix_index *c)
{
	if (c == NULL)
		return;
	g_free(c->index);
	g_free(c->nodes);
	g_free(c->slots);
	g_free(c);
}

static uint64_t
key_of(uint64_t block)
{
	return block == 0 ? 1 : block;
}

/// Place of a block, or the empty place where it would go.
static size_t
place_of(const struct prefix_index *c, uint64_t block)
{
	size_t i = block & c->mask;

	while (c->index[i].block != 0 && c->index[i].block != block)
		i = (i + 1) & c->mask;
	return i;
}

/// Empties a place and moves later ones up, so that no search ends early.
static void
remove_place(struct prefix_index *c, size_t hole)
{
	size_t i = hole;

	for (;;) {
		size_t home;

		i = (i + 1) & c->mask;
		if (c->index[i].block == 0)
			break;
		home = c->index[i].block & c->mask;
		if (((i - home) & c->mask) < ((i - hole) & c->mask))
			continue;
		c->index[hole] = c->index[i];
		hole = i;
	}
	c->index[hole].block = 0;
}

static bool
is_current(const struct prefix_index *c, const struct node *n)
{
	return n->generation == c->slots[n->slot].generation;
}

/// Takes a belief out of its block's list and frees its node.
static void
unlink_node(struct prefix_index *c, uint32_t at)
{
	struct node *n = &c->nodes[at];
	const size_t place = place_of(c, n->block);
	uint32_t *link = &c->index[place].head;

	while (*link != at)
		link = &c->nodes[*link].next;
	*link = n->next;
	if (c->index[place].head == NO_NODE)
		remove_place(c, place);
	if (is_current(c, n))
		c->slots[n->slot].count--;
	n->block = 0;
}

static uint32_t
find_node(const struct prefix_index *c, uint32_t slot, uint64_t block)
{
	const struct sim_entry *e = &c->index[place_of(c, block)];

	if (e->block == 0)
		return NO_NODE;
	for (uint32_t i = e->head; i != NO_NODE; i = c->nodes[i].next) {
		if (c->nodes[i].slot == slot && is_current(c, &c->nodes[i]))
			return i;
	}
	return NO_NODE;
}

/// Adds the belief that a server holds a block, or renews its stamp.
///
/// @param stamp  grows with the server's loss of beliefs, see prefix_match
void
prefix_index_add(
    struct prefix_index *c, uint32_t slot, uint64_t block, float stamp)
{
	const uint64_t key = key_of(block);
	uint32_t at;
	struct node *n;
	struct sim_entry *e;

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
	e = &c->index[place_of(c, key)];
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

/// Drops the belief that a server holds a block.
void
prefix_index_remove(struct prefix_index *c, uint32_t slot, uint64_t block)
{
	const uint32_t at = find_node(c, slot, key_of(block));

	if (at != NO_NODE)
		unlink_node(c, at);
}

/// Drops all beliefs about a server.
void
prefix_index_remove_server(struct prefix_index *c, uint32_t slot)
{
	assert(slot < MAX_SLOTS);
	c->slots[slot].generation++;
	c->slots[slot].count = 0;
	if (c->slots[slot].generation != 0)
		return;
	/* The generation wrapped: beliefs of its last life go for good. */
	for (uint32_t i = 0; i < c->n_nodes; i++) {
		if (c->nodes[i].block != 0 && c->nodes[i].slot == slot)
			unlink_node(c, i);
	}
	c->slots[slot].count = 0;
}

/// Number of blocks that a server is believed to hold.
uint64_t
prefix_index_count(const struct prefix_index *c, uint32_t slot)
{
	assert(slot < MAX_SLOTS);
	return c->slots[slot].count;
}

static bool
is_known(const struct prefix_index *c, uint64_t block)
{
	const uint64_t key = key_of(block);
	const struct sim_entry *e = &c->index[place_of(c, key)];

	if (e->block == 0)
		return false;
	for (uint32_t i = e->head; i != NO_NODE; i = c->nodes[i].next) {
		if (is_current(c, &c->nodes[i]))
			return true;
	}
	return false;
}

/// Whether some server holds a prefix: its last block, or one soon after,
/// which covers it too, since events get lost.
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

/// Leading blocks that some server holds. A block's hash covers all before
/// it, so a search by halves does.
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

/// Takes the holders of the block that ends a prefix of `depth` blocks into
/// account. Who holds it held all before it once, and a chain loses its end
/// first; a few blocks may be unknown since events get lost.
///
/// @param probe  number of depths looked at, with this one
static void
match_at(const struct prefix_index *c, uint64_t block, size_t probe,
    uint32_t depth, struct prefix_match *matches, size_t n_slots)
{
	const struct sim_entry *e = &c->index[place_of(c, key_of(block))];

	if (e->block == 0)
		return;
	for (uint32_t i = e->head; i != NO_NODE; i = c->nodes[i].next) {
		const struct node *n = &c->nodes[i];
		struct prefix_match *m;

		if (n->slot >= n_slots || !is_current(c, n))
			continue;
		m = &matches[n->slot];
		if (m->hits++ == 0 || n->stamp < m->stamp)
			m->stamp = n->stamp;
		if ((size_t)m->hits * 100 >= probe * MIN_HIT_PERCENT)
			m->blocks = depth;
	}
}

/// Looks up how much of a prompt each server holds. For long prompts only
/// some depths are looked at, so a match may fall short by 1/MAX_PROBES.
///
/// @param matches  one for each slot; overwritten
/// @return leading blocks that some server holds
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
