#ifndef BACK_RESPSCAN_H
#define BACK_RESPSCAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/http1.h"

/// Checks the bytes of an HTTP/1.1 response as they arrive. The HTTP library
/// that parses the same bytes accepts what no proxy may forward: a status of
/// any length, control characters, two lengths.

/// All heads of a response, interim ones included; also its trailers.
#define RESPSCAN_MAX_HEAD_BYTES ((size_t)64 * 1024)

enum respscan_state {
	RESPSCAN_STATUS_LINE,
	RESPSCAN_FIELDS,
	RESPSCAN_LENGTH,      ///< in a body of known length
	RESPSCAN_CHUNKS,      ///< in a body in chunks, or its trailers
	RESPSCAN_UNTIL_CLOSE, ///< in a body that ends with the connection
	RESPSCAN_COMPLETE,
	RESPSCAN_INVALID,
};

struct respscan {
	enum respscan_state state;
	const char *error; ///< why it is invalid, a static string; NULL: valid
	struct http1_line line; ///< of the head
	int status;             ///< of the head whose status line came last
	bool head_only;         ///< the response to a HEAD request
	bool has_length;
	bool is_chunked;
	bool is_surplus;    ///< bytes have followed a complete response
	uint64_t left;      ///< of the body, in bytes
	uint64_t body_left; ///< until the body is too long, in bytes
	struct http1_chunks chunks;
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
