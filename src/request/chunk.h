#ifndef REQUEST_CHUNK_H
#define REQUEST_CHUNK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Reader of the chunk that a runner sends for each token, without
/// allocation. It knows only the plain form; all else is left to the full
/// JSON parser.

struct chunk_token {
	const char *id;
	size_t id_len;
	uint32_t attempt;
	uint32_t offset;
	const char *text; ///< In the chunk's own bytes; no escapes in it.
	size_t text_len;
};

bool chunk_parse(const char *json, size_t len, struct chunk_token *out);

#endif
