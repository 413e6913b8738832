#ifndef FLEET_ES_H
#define FLEET_ES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Splits an event stream into whole events and keeps their order: an event
/// is given out once, in the order of its id, and never in part.

struct es;

enum es_status {
	ES_GOOD,
	ES_BROKEN, ///< not an event stream, or its order is broken
};

typedef void (*es_cb)(void *arg, const char *text, size_t len);

struct es *es_new(void);
void es_free(struct es *s);
/// Starts to read another answer to the same request; what it repeats is
/// dropped.
///
/// @param after  id of the last event that the reader has
void es_begin(struct es *s, uint64_t after);
enum es_status es_feed(
    struct es *s, const uint8_t *bytes, size_t len, es_cb cb, void *arg);
/// Whether bytes of an event that isn't whole are left.
bool es_partial(const struct es *s);
uint64_t es_last(const struct es *s);
uint32_t es_count(const struct es *s);

#endif
