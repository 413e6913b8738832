#ifndef REQUEST_ASSEMBLER_H
#define REQUEST_ASSEMBLER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Assembles the response of one request from the event streams of its
/// attempts, without I/O. Each chunk of a runner states the request, the
/// attempt and the offset of its token. A chunk of another request or attempt,
/// or with a token that was delivered before, is dropped. The response is
/// complete only when the end marker came and the runner's token count matches.

/// A longer line of the event stream is a protocol error.
#define ASSEMBLER_MAX_LINE_BYTES (1U << 20)

struct assembler;

enum assembler_event_kind {
	ASSEMBLER_TOKEN,    ///< The next token of the response.
	ASSEMBLER_COMPLETE, ///< The response is complete; no event follows.
	ASSEMBLER_PROTOCOL_ERROR, ///< The stream violates the protocol; no
				  ///< event of this attempt follows.
	ASSEMBLER_DROPPED,        ///< A chunk was dropped; the attempt goes on.
};

/// An event. Its pointers are valid during the callback only.
struct assembler_event {
	enum assembler_event_kind kind;
	union {
		struct {
			uint32_t offset;  ///< Tokens before it in the response.
			const char *text; ///< `len` bytes, not terminated.
			size_t len;
		} token;
		struct {
			/// In the response, over all attempts.
			uint32_t tokens;
			/// As the last attempt's runner reported them.
			uint32_t prompt_tokens;
			uint32_t cached_tokens;
			uint32_t recomputed_tokens;
			const char *finish_reason;
		} complete;
		/// Static text; ASSEMBLER_PROTOCOL_ERROR, ASSEMBLER_DROPPED.
		const char *reason;
	};
};

typedef void (*assembler_event_cb)(
    void *arg, const struct assembler_event *event);

struct assembler *assembler_new(const char *request_id);
void assembler_free(struct assembler *s);
void assembler_resume(struct assembler *s, uint32_t delivered);
uint32_t assembler_begin_attempt(struct assembler *s, uint32_t attempt);
void assembler_feed(struct assembler *s, uint32_t attempt, const uint8_t *bytes,
    size_t len, assembler_event_cb sink, void *arg);
bool assembler_end_attempt(struct assembler *s, uint32_t attempt);
uint32_t assembler_delivered_tokens(const struct assembler *s);

#endif
