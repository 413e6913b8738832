#ifndef REQUEST_ASSEMBLER_H
#define REQUEST_ASSEMBLER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Answer of one request put together from the streams of its attempts: a
/// core without I/O. Each chunk of a runner names the request, the attempt
/// and the offset of its token. What is late, crossed or repeated is
/// dropped; the answer is whole only when the end marker came and the count
/// agrees.

#define ASSEMBLER_MAX_LINE_BYTES (1U << 20)

struct assembler;

enum assembler_event_kind {
	ASSEMBLER_TOKEN,    ///< The next token of the answer.
	ASSEMBLER_COMPLETE, ///< End marker seen, count agrees. Nothing follows.
	ASSEMBLER_PROTOCOL_ERROR, ///< The stream breaks the protocol: leave
				  ///< this attempt.
	ASSEMBLER_DROPPED, ///< A chunk was late, crossed or repeated; go on.
};

struct assembler_event {
	enum assembler_event_kind kind;
	union {
		struct {
			uint32_t offset;
			const char *text;
			size_t len;
		} token;
		struct {
			uint32_t tokens; ///< in the whole answer
			uint32_t prompt_tokens;
			uint32_t cached_tokens;
			uint32_t recomputed_tokens;
			const char *finish_reason;
		} whole;
		const char
		    *reason; ///< ASSEMBLER_PROTOCOL_ERROR, ASSEMBLER_DROPPED
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
