#include "state/namemap.h"

#include <assert.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define NAMEMAP_INITIAL_CAPACITY 8

/// Item by number.
void *
namemap_at(const struct namemap *t, size_t i)
{
	assert(i < t->n);
	return t->items + i * t->item_bytes;
}

/// Place of a name: of its item, or where it would be put.
static size_t
place(const struct namemap *t, const char *name, bool *found)
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

/// Item by name, or NULL.
void *
namemap_find(const struct namemap *t, const char *name)
{
	bool found;
	const size_t i = place(t, name, &found);

	return found ? namemap_at(t, i) : NULL;
}

static void
grow(struct namemap *t)
{
	t->room = t->room == 0 ? NAMEMAP_INITIAL_CAPACITY : t->room * 2;
	t->items = realloc(t->items, t->room * t->item_bytes);
	if (t->items == NULL)
		abort();
}

/// Adds an item, or replaces the one of its name.
///
/// @return the item in the table; valid until the next namemap_put()
void *
namemap_put(struct namemap *t, const void *item)
{
	bool found;
	const size_t i = place(t, item, &found);
	char *at;

	if (!found) {
		if (t->n == t->room)
			grow(t);
		at = t->items + i * t->item_bytes;
		memmove(at + t->item_bytes, at, (t->n - i) * t->item_bytes);
		t->n++;
	}
	at = namemap_at(t, i);
	memcpy(at, item, t->item_bytes);
	return at;
}

/// Removes the item of a name, if there is one.
void
namemap_remove(struct namemap *t, const char *name)
{
	bool found;
	const size_t i = place(t, name, &found);
	char *at;

	if (!found)
		return;
	at = namemap_at(t, i);
	memmove(at, at + t->item_bytes, (t->n - i - 1) * t->item_bytes);
	t->n--;
}

/// Makes a table with the same items.
///
/// @param to  receives it; what it held is not released
void
namemap_copy(struct namemap *to, const struct namemap *from)
{
	*to = (struct namemap){ .item_bytes = from->item_bytes };
	if (from->n == 0)
		return;
	to->n = from->n;
	to->room = from->n;
	to->items = malloc(to->room * to->item_bytes);
	if (to->items == NULL)
		abort();
	memcpy(to->items, from->items, to->n * to->item_bytes);
}

/// Releases the items of a table.
void
namemap_free(struct namemap *t)
{
	free(t->items);
	*t = (struct namemap){ .item_bytes = t->item_bytes };
}
