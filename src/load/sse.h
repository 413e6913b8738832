#ifndef LOAD_SSE_H
#define LOAD_SSE_H

#include <stddef.h>
#include <stdint.h>

/// Splits a stream of server-sent events into the texts after "data: ".
/// Other fields of an event are ignored.
struct loadgen_sse;

/// Receives one line of data, without its line end; valid during the call.
typedef void (*loadgen_sse_cb)(void *arg, const char *data, size_t len);

struct loadgen_sse *loadgen_sse_new(loadgen_sse_cb cb, void *arg);
void loadgen_sse_free(struct loadgen_sse *s);
void loadgen_sse_feed(struct loadgen_sse *s, const uint8_t *bytes, size_t len);

#endif
