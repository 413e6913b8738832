#ifndef STATE_NAMEMAP_H
#define STATE_NAMEMAP_H

#include <stddef.h>

/// Table of items of one size, sorted by the text that each begins with.
struct namemap {
	size_t item_bytes;
	size_t n;
	size_t room;
	char *items;
};

void *namemap_at(const struct namemap *t, size_t i);
void *namemap_find(const struct namemap *t, const char *name);
void *namemap_put(struct namemap *t, const void *item);
void namemap_remove(struct namemap *t, const char *name);
void namemap_copy(struct namemap *to, const struct namemap *from);
void namemap_free(struct namemap *t);

#endif
