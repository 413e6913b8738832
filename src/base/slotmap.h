#ifndef BASE_SLOTMAP_H
#define BASE_SLOTMAP_H

#include <stddef.h>
#include <stdint.h>

/// Reference to an item of a slot map: slot number and generation. A handle
/// whose item was removed stays invalid when the slot is reused, so that late
/// events for the old item can be recognized.
typedef uint64_t handle_t;

#define HANDLE_NONE ((handle_t)0)

/// Slot map: table of items of one size, addressed by handles.
struct slotmap;

struct slotmap *slotmap_new(size_t item_bytes);
void slotmap_free(struct slotmap *map);
handle_t slotmap_add(struct slotmap *map, void **item);
void *slotmap_get(const struct slotmap *map, handle_t h);
void slotmap_remove(struct slotmap *map, handle_t h);
size_t slotmap_count(const struct slotmap *map);
handle_t slotmap_next(const struct slotmap *map, handle_t after);

#endif
