#include "base/slotmap.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define SLOTMAP_FIRST_SLOTS 16
#define SLOTMAP_NO_SLOT UINT32_MAX

struct slotmap_slot {
	void *item;
	uint32_t generation;
	uint32_t next_free;
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
grow(struct slotmap *t)
{
	const uint32_t old = t->n_slots;
	const uint32_t n = old == 0 ? SLOTMAP_FIRST_SLOTS : old * 2;

	t->slots = realloc(t->slots, n * sizeof(*t->slots));
	if (t->slots == NULL)
		abort();
	memset(t->slots + old, 0, (n - old) * sizeof(*t->slots));
	for (uint32_t i = old; i < n; i++) {
		t->slots[i].generation = 1;
		t->slots[i].next_free = i + 1 < n ? i + 1 : SLOTMAP_NO_SLOT;
	}
	t->first_free = old;
	t->n_slots = n;
}

/// Makes an empty table.
///
/// @param item_bytes  size of an item; items keep their address
struct slotmap *
slotmap_new(size_t item_bytes)
{
	struct slotmap *t = calloc(1, sizeof(*t));

	if (t == NULL)
		abort();
	t->item_bytes = item_bytes;
	t->first_free = SLOTMAP_NO_SLOT;
	return t;
}

/// Releases a table and its items; NULL is allowed.
void
slotmap_free(struct slotmap *t)
{
	if (t == NULL)
		return;
	for (uint32_t i = 0; i < t->n_slots; i++)
		free(t->slots[i].item);
	free(t->slots);
	free(t);
}

/// Adds a zeroed item.
///
/// @param item  receives its address
/// @return its handle
handle_t
slotmap_add(struct slotmap *t, void **item)
{
	struct slotmap_slot *s;
	uint32_t i;

	if (t->first_free == SLOTMAP_NO_SLOT)
		grow(t);
	i = t->first_free;
	s = &t->slots[i];
	t->first_free = s->next_free;
	s->item = calloc(1, t->item_bytes);
	if (s->item == NULL)
		abort();
	s->used = true;
	t->count++;
	*item = s->item;
	return make_handle(i, s->generation);
}

/// Item of a handle, or NULL when it was removed or never made.
void *
slotmap_get(const struct slotmap *t, handle_t h)
{
	const uint32_t i = (uint32_t)h;

	if (i >= t->n_slots || !t->slots[i].used)
		return NULL;
	if (t->slots[i].generation != (uint32_t)(h >> 32))
		return NULL;
	return t->slots[i].item;
}

/// Removes an item; a stale handle does nothing.
void
slotmap_remove(struct slotmap *t, handle_t h)
{
	const uint32_t i = (uint32_t)h;
	struct slotmap_slot *s;

	if (slotmap_get(t, h) == NULL)
		return;
	s = &t->slots[i];
	free(s->item);
	s->item = NULL;
	s->used = false;
	s->generation++;
	s->next_free = t->first_free;
	t->first_free = i;
	t->count--;
}

/// Number of items.
size_t
slotmap_count(const struct slotmap *t)
{
	return t->count;
}

/// Walks the table.
///
/// @param after  HANDLE_NONE to begin, else the handle returned before
/// @return the next handle, or HANDLE_NONE at the end
handle_t
slotmap_next(const struct slotmap *t, handle_t after)
{
	uint32_t i = after == HANDLE_NONE ? 0 : (uint32_t)after + 1;

	for (; i < t->n_slots; i++) {
		if (t->slots[i].used)
			return make_handle(i, t->slots[i].generation);
	}
	return HANDLE_NONE;
}
