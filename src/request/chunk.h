#ifndef REQUEST_CHUNK_H
#define REQUEST_CHUNK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Fast parser, without allocation, for the chunk that a runner sends for each
/// token. It accepts only the usual form; any other chunk needs the full JSON
/// parser.

/// A chunk with one token. `id` and `text` point into the bytes that were
/// parsed and are not terminated.
struct chunk_token {
	const char *id; ///< Id of the request.
	size_t id_len;
	uint32_t attempt;
	uint32_t offset;  ///< Tokens before it in the response.
	const char *text; ///< Printable ASCII without escapes, not empty.
	size_t text_len;
};

bool chunk_parse(const char *json, size_t len, struct chunk_token *out);

#endif
