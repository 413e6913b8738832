#include "request/assembler.h"

#include "request/chunk.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#define EVENT_DATA_PREFIX "data: "
#define EVENT_END_MARKER "[DONE]"

struct assembler {
	char *id;
	uint32_t attempt; ///< Current attempt; chunks of others are dropped.
	/// Tokens that the caller has: those of assembler_resume() and those
	/// passed to the sink, over all attempts.
	uint32_t delivered;
	bool finish_seen; ///< The last chunk of this attempt came.
	bool complete;
	bool failed; ///< This attempt's stream had a protocol error.
	/// Completion tokens that the runner counted; UINT32_MAX: none stated.
	uint32_t reported_tokens;
	uint32_t prompt_tokens;
	uint32_t cached_tokens;
	uint32_t recomputed_tokens;
	char finish_reason[32];
	GString *line; ///< Incomplete last line of the stream.
};

static void
emit(assembler_event_cb sink, void *arg, enum assembler_event_kind kind,
    const char *reason)
{
	const struct assembler_event ev = { .kind = kind, .reason = reason };

	sink(arg, &ev);
}

static void
fail_attempt(
    struct assembler *s, assembler_event_cb sink, void *arg, const char *reason)
{
	s->failed = true;
	emit(sink, arg, ASSEMBLER_PROTOCOL_ERROR, reason);
}

static bool
get_u32(const json_t *o, const char *key, uint32_t *out)
{
	const json_t *v = json_object_get(o, key);

	if (!json_is_integer(v) || json_integer_value(v) < 0 ||
	    json_integer_value(v) > UINT32_MAX)
		return false;
	*out = (uint32_t)json_integer_value(v);
	return true;
}

static void
read_usage(struct assembler *s, const json_t *chunk)
{
	const json_t *usage = json_object_get(chunk, "usage");

	if (!get_u32(usage, "completion_tokens", &s->reported_tokens))
		s->reported_tokens = UINT32_MAX;
	(void)get_u32(usage, "prompt_tokens", &s->prompt_tokens);
	(void)get_u32(usage, "cached_tokens", &s->cached_tokens);
	(void)get_u32(usage, "recomputed_tokens", &s->recomputed_tokens);
}

static void
read_finish(struct assembler *s, const json_t *chunk, const char *reason)
{
	s->finish_seen = true;
	(void)g_strlcpy(s->finish_reason, reason, sizeof(s->finish_reason));
	read_usage(s, chunk);
}

/// Passes a token to the sink, unless it was delivered before or is not the
/// next one.
///
/// @return whether it was passed on
static bool
deliver_token(struct assembler *s, uint32_t offset, const char *text,
    size_t len, assembler_event_cb sink, void *arg)
{
	const struct assembler_event ev = {
		.kind = ASSEMBLER_TOKEN,
		.token = { .offset = offset, .text = text, .len = len },
	};

	if (offset < s->delivered) {
		emit(sink, arg, ASSEMBLER_DROPPED, "repeated token");
		return false;
	}
	if (offset > s->delivered || s->finish_seen) {
		fail_attempt(
		    s, sink, arg, "token is not the next one of the response");
		return false;
	}
	s->delivered++;
	sink(arg, &ev);
	return true;
}

/// Text of a choice: the content of a chat's delta, or the text of a plain
/// completion; NULL when there is none.
static const json_t *
choice_content(const json_t *choice)
{
	const json_t *delta = json_object_get(choice, "delta");

	if (delta != NULL)
		return json_object_get(delta, "content");
	return json_object_get(choice, "text");
}

/// Handles a chunk that needed the full JSON parser.
static void
handle_chunk(struct assembler *s, const json_t *chunk, assembler_event_cb sink,
    void *arg)
{
	const char *id = json_string_value(json_object_get(chunk, "id"));
	const json_t *choices = json_object_get(chunk, "choices");
	const json_t *choice = json_array_get(choices, 0);
	const char *finish =
	    json_string_value(json_object_get(choice, "finish_reason"));
	const json_t *content = choice_content(choice);
	uint32_t attempt;
	uint32_t offset;

	if (id == NULL || strcmp(id, s->id) != 0) {
		emit(sink, arg, ASSEMBLER_DROPPED, "chunk of another request");
		return;
	}
	if (!get_u32(chunk, "attempt", &attempt) || attempt != s->attempt) {
		emit(sink, arg, ASSEMBLER_DROPPED, "chunk of another attempt");
		return;
	}
	if (json_is_string(content) && json_string_length(content) > 0) {
		if (!get_u32(chunk, "offset", &offset)) {
			fail_attempt(
			    s, sink, arg, "chunk has a token but no offset");
			return;
		}
		if (!deliver_token(s, offset, json_string_value(content),
			json_string_length(content), sink, arg))
			return;
	}
	if (finish != NULL)
		read_finish(s, chunk, finish);
}

/// Handles a chunk that chunk_parse() read, as nearly all are.
static void
handle_plain_chunk(struct assembler *s, const struct chunk_token *c,
    assembler_event_cb sink, void *arg)
{
	if (c->id_len != strlen(s->id) ||
	    memcmp(c->id, s->id, c->id_len) != 0) {
		emit(sink, arg, ASSEMBLER_DROPPED, "chunk of another request");
		return;
	}
	if (c->attempt != s->attempt) {
		emit(sink, arg, ASSEMBLER_DROPPED, "chunk of another attempt");
		return;
	}
	(void)deliver_token(s, c->offset, c->text, c->text_len, sink, arg);
}

static void
handle_end_marker(struct assembler *s, assembler_event_cb sink, void *arg)
{
	struct assembler_event ev = { .kind = ASSEMBLER_COMPLETE };

	if (!s->finish_seen) {
		fail_attempt(s, sink, arg, "end marker before the last chunk");
		return;
	}
	if (s->reported_tokens != s->delivered) {
		fail_attempt(s, sink, arg,
		    "runner's token count differs from the tokens delivered");
		return;
	}
	s->complete = true;
	ev.complete.tokens = s->delivered;
	ev.complete.prompt_tokens = s->prompt_tokens;
	ev.complete.cached_tokens = s->cached_tokens;
	ev.complete.recomputed_tokens = s->recomputed_tokens;
	ev.complete.finish_reason = s->finish_reason;
	sink(arg, &ev);
}

static void
handle_line(struct assembler *s, const char *line, size_t len,
    assembler_event_cb sink, void *arg)
{
	const size_t prefix_len = sizeof(EVENT_DATA_PREFIX) - 1;
	struct chunk_token plain;
	json_t *chunk;

	if (len > 0 && line[len - 1] == '\r')
		len--;
	if (len < prefix_len ||
	    memcmp(line, EVENT_DATA_PREFIX, prefix_len) != 0)
		return;
	line += prefix_len;
	len -= prefix_len;
	if (len == sizeof(EVENT_END_MARKER) - 1 &&
	    memcmp(line, EVENT_END_MARKER, len) == 0) {
		handle_end_marker(s, sink, arg);
		return;
	}
	if (chunk_parse(line, len, &plain)) {
		handle_plain_chunk(s, &plain, sink, arg);
		return;
	}
	chunk = json_loadb(line, len, JSON_REJECT_DUPLICATES, NULL);
	if (!json_is_object(chunk)) {
		json_decref(chunk);
		fail_attempt(s, sink, arg, "chunk is not a JSON object");
		return;
	}
	if (json_object_get(chunk, "error") != NULL)
		fail_attempt(s, sink, arg, "backend server reported an error");
	else
		handle_chunk(s, chunk, sink, arg);
	json_decref(chunk);
}

/// Makes an assembler for the response of a request; release with
/// assembler_free().
struct assembler *
assembler_new(const char *request_id)
{
	struct assembler *s = g_new0(struct assembler, 1);

	s->id = g_strdup(request_id);
	s->line = g_string_new(NULL);
	return s;
}

/// Releases an assembler; NULL is allowed.
void
assembler_free(struct assembler *s)
{
	if (s == NULL)
		return;
	g_free(s->id);
	(void)g_string_free(s->line, TRUE);
	g_free(s);
}

/// Sets the number of tokens that the caller already has from another entry.
/// Must be called before the first attempt.
void
assembler_resume(struct assembler *s, uint32_t delivered)
{
	s->delivered = delivered;
}

/// Starts an attempt; chunks of earlier ones are dropped from now on.
///
/// @return as assembler_delivered_tokens(); the attempt resumes after them
uint32_t
assembler_begin_attempt(struct assembler *s, uint32_t attempt)
{
	s->attempt = attempt;
	s->finish_seen = false;
	s->failed = false;
	s->reported_tokens = UINT32_MAX;
	(void)g_string_truncate(s->line, 0);
	return s->delivered;
}

/// Processes bytes of an attempt's event stream. Ignored unless this is the
/// current attempt, and once the response is complete or the attempt failed.
///
/// @param sink  called for each event
void
assembler_feed(struct assembler *s, uint32_t attempt, const uint8_t *bytes,
    size_t len, assembler_event_cb sink, void *arg)
{
	size_t pos = 0;

	if (attempt != s->attempt || s->complete || s->failed)
		return;
	while (pos < len && !s->complete && !s->failed) {
		const uint8_t *end = memchr(bytes + pos, '\n', len - pos);
		const size_t n =
		    end == NULL ? len - pos : (size_t)(end - bytes) - pos;

		g_string_append_len(
		    s->line, (const char *)bytes + pos, (gssize)n);
		pos += n + (end != NULL);
		if (s->line->len > ASSEMBLER_MAX_LINE_BYTES) {
			fail_attempt(s, sink, arg,
			    "line of the event stream is too long");
			return;
		}
		if (end == NULL)
			return;
		handle_line(s, s->line->str, s->line->len, sink, arg);
		(void)g_string_truncate(s->line, 0);
	}
}

/// Ends an attempt whose stream ended.
///
/// @return whether the response is complete; if not, the stream was cut off
bool
assembler_end_attempt(struct assembler *s, uint32_t attempt)
{
	(void)attempt;
	return s->complete;
}

/// Number of tokens that the caller has so far: those of assembler_resume() and
/// those delivered since, over all attempts.
uint32_t
assembler_delivered_tokens(const struct assembler *s)
{
	return s->delivered;
}
