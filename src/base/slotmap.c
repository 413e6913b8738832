#include "base/slotmap.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define SLOTMAP_INITIAL_SLOTS 16
#define SLOTMAP_NO_SLOT UINT32_MAX

struct slotmap_slot {
	void *item;
	uint32_t generation; ///< increased whenever the item is removed
	uint32_t next_free;  ///< next slot of the free list
	bool used;
};

struct slotmap {
	struct slotmap_slot *slots;
	size_t item_bytes;
	uint32_t n_slots;
	uint32_t first_free;
	size_t count;
};

static handle_t
make_handle(uint32_t slot, uint32_t generation)
{
	return ((handle_t)generation << 32) | slot;
}

static void
grow(struct slotmap *map)
{
	const uint32_t old_slots = map->n_slots;
	const uint32_t new_slots =
	    old_slots == 0 ? SLOTMAP_INITIAL_SLOTS : old_slots * 2;

	map->slots = realloc(map->slots, new_slots * sizeof(*map->slots));
	if (map->slots == NULL)
		abort();
	memset(map->slots + old_slots, 0,
	    (new_slots - old_slots) * sizeof(*map->slots));
	for (uint32_t i = old_slots; i < new_slots; i++) {
		map->slots[i].generation = 1;
		map->slots[i].next_free =
		    i + 1 < new_slots ? i + 1 : SLOTMAP_NO_SLOT;
	}
	map->first_free = old_slots;
	map->n_slots = new_slots;
}

/// Creates an empty slot map.
///
/// @param item_bytes  size of an item; an item keeps its address until it is
///                    removed
/// @return slot map, to be released with slotmap_free()
struct slotmap *
slotmap_new(size_t item_bytes)
{
	struct slotmap *map = calloc(1, sizeof(*map));

	if (map == NULL)
		abort();
	map->item_bytes = item_bytes;
	map->first_free = SLOTMAP_NO_SLOT;
	return map;
}

/// Releases a slot map and its items; NULL is allowed.
void
slotmap_free(struct slotmap *map)
{
	if (map == NULL)
		return;
	for (uint32_t i = 0; i < map->n_slots; i++)
		free(map->slots[i].item);
	free(map->slots);
	free(map);
}

/// Adds an item, filled with zeroes.
///
/// @param item  receives its address, owned by the slot map
/// @return its handle
handle_t
slotmap_add(struct slotmap *map, void **item)
{
	struct slotmap_slot *slot;
	uint32_t i;

	if (map->first_free == SLOTMAP_NO_SLOT)
		grow(map);
	i = map->first_free;
	slot = &map->slots[i];
	map->first_free = slot->next_free;
	slot->item = calloc(1, map->item_bytes);
	if (slot->item == NULL)
		abort();
	slot->used = true;
	map->count++;
	*item = slot->item;
	return make_handle(i, slot->generation);
}

/// Returns the item of a handle, or NULL when it was removed or the handle was
/// never returned by slotmap_add().
void *
slotmap_get(const struct slotmap *map, handle_t h)
{
	const uint32_t i = (uint32_t)h;

	if (i >= map->n_slots || !map->slots[i].used)
		return NULL;
	if (map->slots[i].generation != (uint32_t)(h >> 32))
		return NULL;
	return map->slots[i].item;
}

/// Removes and releases an item; an invalid handle is ignored.
void
slotmap_remove(struct slotmap *map, handle_t h)
{
	const uint32_t i = (uint32_t)h;
	struct slotmap_slot *slot;

	if (slotmap_get(map, h) == NULL)
		return;
	slot = &map->slots[i];
	free(slot->item);
	slot->item = NULL;
	slot->used = false;
	slot->generation++;
	slot->next_free = map->first_free;
	map->first_free = i;
	map->count--;
}

/// Number of items.
size_t
slotmap_count(const struct slotmap *map)
{
	return map->count;
}

/// Iterates over the items in slot order.
///
/// @param after  HANDLE_NONE to begin, else the handle returned before, which
///               may have been removed meanwhile
/// @return the next handle, or HANDLE_NONE at the end
handle_t
slotmap_next(const struct slotmap *map, handle_t after)
{
	uint32_t i = after == HANDLE_NONE ? 0 : (uint32_t)after + 1;

	for (; i < map->n_slots; i++) {
		if (map->slots[i].used)
			return make_handle(i, map->slots[i].generation);
	}
	return HANDLE_NONE;
}
