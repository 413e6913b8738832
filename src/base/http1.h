#ifndef BASE_HTTP1_H
#define BASE_HTTP1_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Parts of HTTP/1.1 messages that requests and responses share (RFC 9112).
/// Nothing here holds more than a line's start.

#define HTTP1_LINE_BYTES 256
/// Size line of a chunk, its extensions included.
#define HTTP1_MAX_CHUNK_LINE_BYTES 1024

enum http1_status {
	HTTP1_MORE, ///< more bytes are needed
	HTTP1_DONE,
	HTTP1_TOO_LONG,
	HTTP1_INVALID,
};

/// A line that arrives in parts.
struct http1_line {
	char text[HTTP1_LINE_BYTES]; ///< its start, without the line's end
	size_t len;                  ///< in bytes, also beyond `text`
	size_t left;                 ///< bytes until it is too long
};

/// A body in chunks.
struct http1_chunks {
	enum {
		HTTP1_CHUNK_SIZE,
		HTTP1_CHUNK_DATA,
		HTTP1_CHUNK_END,
		HTTP1_CHUNK_TRAILERS,
	} state;
	struct http1_line line;
	size_t max_trailer_bytes;
	uint64_t left;      ///< of the chunk, in bytes
	uint64_t body_left; ///< bytes until the body is too long
};

bool http1_is_text(uint8_t c);
size_t http1_name_length(const char *line);
const char *http1_field_value(char *line, size_t name_len, const char *name);
bool http1_read_length(const char *value, uint64_t *length);

enum http1_status http1_line_feed(
    struct http1_line *l, const uint8_t *bytes, size_t len, size_t *used);

void http1_chunks_begin(
    struct http1_chunks *c, uint64_t max_body, size_t max_trailer_bytes);
enum http1_status http1_chunks_feed(struct http1_chunks *c,
    const uint8_t *bytes, size_t len, size_t *used, size_t *data);

#endif
