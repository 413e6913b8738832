#ifndef BASE_SLOTMAP_H
#define BASE_SLOTMAP_H

#include <stddef.h>
#include <stdint.h>

/// A handle: slot number and generation. A handle whose item was removed is
/// never valid again, so late events can be told from current ones.
typedef uint64_t handle_t;

#define HANDLE_NONE ((handle_t)0)

/// Table of items of one size, addressed by handle.
struct slotmap;

struct slotmap *slotmap_new(size_t item_bytes);
void slotmap_free(struct slotmap *t);
handle_t slotmap_add(struct slotmap *t, void **item);
void *slotmap_get(const struct slotmap *t, handle_t h);
void slotmap_remove(struct slotmap *t, handle_t h);
size_t slotmap_count(const struct slotmap *t);
handle_t slotmap_next(const struct slotmap *t, handle_t after);

#endif
