#ifndef STATE_NAMEMAP_H
#define STATE_NAMEMAP_H

#include <stddef.h>

/// Sorted array of items of one size. Each item begins with its name, a
/// NUL-terminated string, by which the array is sorted.
struct namemap {
	size_t item_bytes; ///< Size of an item; set by the user.
	size_t n;          ///< Items in use.
	size_t capacity;   ///< Items allocated.
	char *items;
};

void *namemap_at(const struct namemap *t, size_t i);
void *namemap_find(const struct namemap *t, const char *name);
void *namemap_put(struct namemap *t, const void *item);
void namemap_remove(struct namemap *t, const char *name);
void namemap_copy(struct namemap *to, const struct namemap *from);
void namemap_free(struct namemap *t);

#endif
