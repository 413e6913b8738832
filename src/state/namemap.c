#include "state/namemap.h"

#include <assert.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define NAMEMAP_INITIAL_CAPACITY 8

/// Item by index, which must be below `n`; valid until the next namemap_put()
/// or namemap_remove().
void *
namemap_at(const struct namemap *t, size_t i)
{
	assert(i < t->n);
	return t->items + i * t->item_bytes;
}

/// Index of the item of a name, or the index at which it would be inserted.
static size_t
find_slot(const struct namemap *t, const char *name, bool *found)
{
	size_t low = 0;
	size_t high = t->n;

	*found = false;
	while (low < high) {
		const size_t middle = low + (high - low) / 2;
		const int order = strcmp(namemap_at(t, middle), name);

		if (order == 0) {
			*found = true;
			return middle;
		}
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/// Item by name, or NULL; valid until the next namemap_put() or
/// namemap_remove().
void *
namemap_find(const struct namemap *t, const char *name)
{
	bool found;
	const size_t i = find_slot(t, name, &found);

	return found ? namemap_at(t, i) : NULL;
}

static void
grow(struct namemap *t)
{
	t->capacity =
	    t->capacity == 0 ? NAMEMAP_INITIAL_CAPACITY : t->capacity * 2;
	t->items = realloc(t->items, t->capacity * t->item_bytes);
	if (t->items == NULL)
		abort();
}

/// Inserts a copy of an item, or replaces the item of the same name.
///
/// @param item  `item_bytes` bytes that begin with the name
/// @return the item in the table; valid until the next namemap_put() or
///         namemap_remove()
void *
namemap_put(struct namemap *t, const void *item)
{
	bool found;
	const size_t i = find_slot(t, item, &found);
	char *slot;

	if (!found) {
		if (t->n == t->capacity)
			grow(t);
		slot = t->items + i * t->item_bytes;
		memmove(slot + t->item_bytes, slot, (t->n - i) * t->item_bytes);
		t->n++;
	}
	slot = namemap_at(t, i);
	memcpy(slot, item, t->item_bytes);
	return slot;
}

/// Removes the item of a name, if there is one.
void
namemap_remove(struct namemap *t, const char *name)
{
	bool found;
	const size_t i = find_slot(t, name, &found);
	char *slot;

	if (!found)
		return;
	slot = namemap_at(t, i);
	memmove(slot, slot + t->item_bytes, (t->n - i - 1) * t->item_bytes);
	t->n--;
}

/// Copies a table.
///
/// @param to  receives the copy; items that it had are not released
void
namemap_copy(struct namemap *to, const struct namemap *from)
{
	*to = (struct namemap){ .item_bytes = from->item_bytes };
	if (from->n == 0)
		return;
	to->n = from->n;
	to->capacity = from->n;
	to->items = malloc(to->capacity * to->item_bytes);
	if (to->items == NULL)
		abort();
	memcpy(to->items, from->items, to->n * to->item_bytes);
}

/// Releases the items of a table, which is empty afterwards.
void
namemap_free(struct namemap *t)
{
	free(t->items);
	*t = (struct namemap){ .item_bytes = t->item_bytes };
}
