#ifndef FLEET_EVSTREAM_H
#define FLEET_EVSTREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Splits an event stream into whole events and keeps their order: an event
/// is given out once, in the order of its id, and never in part.

struct evstream;

enum evstream_status {
	EVSTREAM_OK,
	EVSTREAM_INVALID, ///< not an event stream, or its order is broken
};

typedef void (*evstream_cb)(void *arg, const char *text, size_t len);

struct evstream *evstream_new(void);
void evstream_free(struct evstream *s);
/// Starts to read another answer to the same request; what it repeats is
/// dropped.
///
/// @param after  id of the last event that the reader has
void evstream_restart(struct evstream *s, uint64_t after);
enum evstream_status evstream_feed(struct evstream *s, const uint8_t *bytes,
    size_t len, evstream_cb cb, void *arg);
/// Whether bytes of an event that isn't whole are left.
bool evstream_has_partial(const struct evstream *s);
uint64_t evstream_last_id(const struct evstream *s);
uint32_t evstream_n_events(const struct evstream *s);

#endif
