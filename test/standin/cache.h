#ifndef STANDIN_CACHE_H
#define STANDIN_CACHE_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "standin.h"

#define CACHE_BLOCK_BYTES 64

/// Prefix cache of an engine, which evicts the least recently used block
/// first, and the events that it publishes late and with gaps.
struct cache;

struct cache *cache_new(struct standin_env *env);
void cache_configure(struct cache *c, const json_t *settings);
size_t cache_match(struct cache *c, const char *text, size_t len);
void cache_store(struct cache *c, const char *text, size_t len);
void cache_store_blocks(struct cache *c, const json_t *blocks);
json_t *cache_blocks(const char *text, size_t len);
json_t *cache_events(struct cache *c, uint64_t after);
void cache_clear(struct cache *c);
size_t cache_count(const struct cache *c);

#endif
