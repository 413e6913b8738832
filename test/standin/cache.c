#include "cache.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define KEPT_EVENTS 4096

struct event_item {
	uint64_t sequence;
	uint64_t at_us; ///< When it happened.
	uint64_t block;
	bool store; ///< Block stored; false: evicted.
	bool lost;  ///< Not published, which shows as a gap.
};

struct cache {
	struct standin_env *env;
	GHashTable *blocks; ///< hash -> link in `lru`
	GQueue *lru;        ///< hashes, most recent first
	GQueue *events;
	uint64_t sequence;
	size_t capacity;      ///< blocks
	uint64_t lag_us;      ///< Delay before an event is published.
	int64_t gap_permille; ///< Odds that an event is lost.
};

/// Creates an empty cache; it lives until the process ends.
struct cache *
cache_new(struct standin_env *env)
{
	struct cache *c = g_new0(struct cache, 1);

	c->env = env;
	c->blocks = g_hash_table_new(g_int64_hash, g_int64_equal);
	c->lru = g_queue_new();
	c->events = g_queue_new();
	return c;
}

/// Reads capacity, event lag and odds of lost events from the settings.
void
cache_configure(struct cache *c, const json_t *settings)
{
	c->capacity = (size_t)standin_get_int(settings, "cache_blocks", 4096);
	c->lag_us =
	    (uint64_t)standin_get_int(settings, "event_lag_ms", 50) * 1000;
	c->gap_permille = standin_get_int(settings, "event_gap_permille", 0);
}

static uint64_t
next_hash(uint64_t before, const char *block)
{
	return XXH64(block, CACHE_BLOCK_BYTES, before);
}

static void
publish_event(struct cache *c, bool store, uint64_t block)
{
	struct event_item *e = g_new0(struct event_item, 1);

	*e = (struct event_item){
		.sequence = ++c->sequence,
		.at_us = standin_now_us(),
		.block = block,
		.store = store,
		.lost = standin_chance(c->env, c->gap_permille),
	};
	g_queue_push_tail(c->events, e);
	if (c->events->length > KEPT_EVENTS)
		g_free(g_queue_pop_head(c->events));
}

static void
evict(struct cache *c)
{
	uint64_t *oldest;

	while (c->lru->length > c->capacity) {
		oldest = g_queue_pop_tail(c->lru);
		(void)g_hash_table_remove(c->blocks, oldest);
		publish_event(c, false, *oldest);
		g_free(oldest);
	}
}

static void
use_block(struct cache *c, uint64_t hash)
{
	GList *link = g_hash_table_lookup(c->blocks, &hash);
	uint64_t *kept;

	if (link != NULL) {
		g_queue_unlink(c->lru, link);
		g_queue_push_head_link(c->lru, link);
		return;
	}
	kept = g_new(uint64_t, 1);
	*kept = hash;
	g_queue_push_head(c->lru, kept);
	(void)g_hash_table_insert(c->blocks, kept, c->lru->head);
	publish_event(c, true, hash);
}

/// Finds the longest cached prefix of a text.
///
/// @return its length in bytes, a multiple of CACHE_BLOCK_BYTES
size_t
cache_match(struct cache *c, const char *text, size_t len)
{
	uint64_t hash = 0;
	size_t at = 0;

	while (at + CACHE_BLOCK_BYTES <= len) {
		hash = next_hash(hash, text + at);
		if (!g_hash_table_contains(c->blocks, &hash))
			break;
		at += CACHE_BLOCK_BYTES;
	}
	return at;
}

/// Stores all complete blocks of a text. Its first block becomes the most
/// recently used one, so that eviction takes a prefix from its end.
void
cache_store(struct cache *c, const char *text, size_t len)
{
	const size_t n = len / CACHE_BLOCK_BYTES;
	uint64_t *hashes = g_new(uint64_t, n + 1);
	uint64_t hash = 0;

	for (size_t i = 0; i < n; i++) {
		hash = next_hash(hash, text + i * CACHE_BLOCK_BYTES);
		hashes[i] = hash;
	}
	for (size_t i = n; i > 0; i--)
		use_block(c, hashes[i - 1]);
	evict(c);
	g_free(hashes);
}

/// Stores blocks that another engine exported.
///
/// @param blocks JSON list of hashes in hex, in the order of the text
void
cache_store_blocks(struct cache *c, const json_t *blocks)
{
	for (size_t i = json_array_size(blocks); i > 0; i--) {
		const char *hex =
		    json_string_value(json_array_get(blocks, i - 1));

		if (hex != NULL)
			use_block(c, g_ascii_strtoull(hex, NULL, 16));
	}
	evict(c);
}

static json_t *
hash_to_json(uint64_t hash)
{
	char text[17];

	(void)g_snprintf(
	    text, sizeof(text), "%016llx", (unsigned long long)hash);
	return json_string(text);
}

/// Hashes of the complete blocks of a text.
///
/// @return new JSON list of hashes in hex, owned by the caller
json_t *
cache_blocks(const char *text, size_t len)
{
	json_t *list = json_array();
	uint64_t hash = 0;

	for (size_t at = 0; at + CACHE_BLOCK_BYTES <= len;
	     at += CACHE_BLOCK_BYTES) {
		hash = next_hash(hash, text + at);
		(void)json_array_append_new(list, hash_to_json(hash));
	}
	return list;
}

/// Builds the response body of GET /cache_events.
///
/// @param after  sequence number of the last event that the caller has
/// @return       new JSON object, owned by the caller: the events older than
///               the lag, and whether some are missing
json_t *
cache_events(struct cache *c, uint64_t after)
{
	const uint64_t now = standin_now_us();
	const struct event_item *first = g_queue_peek_head(c->events);
	json_t *list = json_array();
	uint64_t last = after;
	bool gap = first != NULL && after + 1 < first->sequence;

	for (const GList *l = c->events->head; l != NULL; l = l->next) {
		const struct event_item *e = l->data;

		if (e->sequence <= after)
			continue;
		if (e->at_us + c->lag_us > now)
			break;
		last = e->sequence;
		gap = gap || e->lost;
		if (e->lost)
			continue;
		(void)json_array_append_new(list,
		    json_pack("{s:I,s:s,s:o}", "sequence",
			(json_int_t)e->sequence, "op",
			e->store ? "store" : "evict", "block",
			hash_to_json(e->block)));
	}
	return json_pack("{s:I,s:b,s:o}", "sequence", (json_int_t)last, "gap",
	    gap, "events", list);
}

/// Evicts all blocks.
void
cache_clear(struct cache *c)
{
	const size_t capacity = c->capacity;

	c->capacity = 0;
	evict(c);
	c->capacity = capacity;
}

/// Number of cached blocks.
size_t
cache_count(const struct cache *c)
{
	return c->lru->length;
}
