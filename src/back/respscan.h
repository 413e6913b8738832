#ifndef BACK_RESPSCAN_H
#define BACK_RESPSCAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Checks the bytes of an HTTP/1.1 response as they arrive. The HTTP library
/// that parses the same bytes accepts what no proxy may forward: a status of
/// any length, control characters, two lengths.

#define RESPSCAN_LINE_BYTES 256
/// All heads of a response, interim ones included; also its trailers.
#define RESPSCAN_MAX_HEAD_BYTES ((size_t)64 * 1024)
#define RESPSCAN_MAX_CHUNK_LINE_BYTES 1024

enum respscan_state {
	RESPSCAN_STATUS_LINE,
	RESPSCAN_FIELDS,
	RESPSCAN_LENGTH,      ///< in a body of known length
	RESPSCAN_CHUNK_SIZE,  ///< in the line before a chunk
	RESPSCAN_CHUNK,       ///< in a chunk's data
	RESPSCAN_CHUNK_END,   ///< in the line end after it
	RESPSCAN_TRAILERS,    ///< in the fields after the last chunk
	RESPSCAN_UNTIL_CLOSE, ///< in a body that ends with the connection
	RESPSCAN_COMPLETE,
	RESPSCAN_INVALID,
};

struct respscan {
	enum respscan_state state;
	const char *error; ///< why it is invalid, a static string; NULL: valid
	char line[RESPSCAN_LINE_BYTES]; ///< start of the current line
	size_t line_len;                ///< in bytes, also beyond `line`
	int status;     ///< of the head whose status line came last
	bool head_only; ///< the response to a HEAD request
	bool has_length;
	bool is_chunked;
	bool is_surplus;     ///< bytes have followed a complete response
	uint64_t left;       ///< of the body or chunk, in bytes
	uint64_t body_left;  ///< until the body is too long, in bytes
	size_t section_left; ///< until the head, chunk line or trailers are
};

/// Whether a status is that of an interim response, which another one follows
/// (RFC 9110, 15.2).
static inline bool
respscan_is_interim(int status)
{
	return status >= 100 && status < 200;
}

void respscan_begin(struct respscan *s, bool head_only, uint64_t max_body);
void respscan_feed(struct respscan *s, const uint8_t *bytes, size_t len);
bool respscan_may_end(const struct respscan *s);

#endif
