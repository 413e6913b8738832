#ifndef FLEET_EVSTREAM_H
#define FLEET_EVSTREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Splits an event stream (server-sent events) into complete events. Each event
/// is delivered once, complete and in the order of the ids, also when the
/// request is sent again and another response repeats events.

struct evstream;

enum evstream_status {
	EVSTREAM_OK,
	EVSTREAM_INVALID, ///< an id is skipped or repeated, or an event too
			  ///< long
};

/// Receives one event with its empty line; `text` is valid during the call
/// only.
typedef void (*evstream_cb)(void *arg, const char *text, size_t len);

struct evstream *evstream_new(void);
void evstream_free(struct evstream *s);
void evstream_restart(struct evstream *s, uint64_t after);
enum evstream_status evstream_feed(struct evstream *s, const uint8_t *bytes,
    size_t len, evstream_cb cb, void *arg);
bool evstream_has_partial(const struct evstream *s);
size_t evstream_partial_bytes(const struct evstream *s);
uint64_t evstream_last_id(const struct evstream *s);
const char *evstream_error(const struct evstream *s);
bool evstream_is_behind(const struct evstream *s);
bool evstream_is_empty(const struct evstream *s);
uint32_t evstream_n_events(const struct evstream *s);

#endif
