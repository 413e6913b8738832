#ifndef FRONT_REQHEAD_H
#define FRONT_REQHEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// The head of a caller's request: checked, and rewritten for the HTTP library,
/// which neither bounds what it reads nor parses all that is valid.

/// A longer field is kept apart, as the library refuses it.
#define REQHEAD_MAX_LIBRARY_FIELD_BYTES 4096
#define REQHEAD_MAX_TARGET_BYTES 4096

struct reqhead_field {
	char *name;
	char *value;
};

struct reqhead {
	char *target;    ///< as the caller sent it
	int refusal;     ///< HTTP status to refuse the request with; 0: none
	const char *why; ///< it is refused, a static string
	bool is_chunked;
	uint64_t length; ///< of the body if it isn't in chunks, in bytes
	bool expects_continue;
	size_t n_fields;
	/// The head without its framing and without the empty line that ends
	/// it.
	struct _GString *text;
	struct _GArray *kept_fields; ///< struct reqhead_field
};

void reqhead_init(struct reqhead *h);
void reqhead_clear(struct reqhead *h);
void reqhead_parse(struct reqhead *h, const char *text, size_t len);

#endif
