#include "request/assembler.h"

#include "request/chunk.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#define ASSEMBLER_DATA "data: "
#define ASSEMBLER_DONE "[DONE]"

struct assembler {
	char *id;
	uint32_t attempt;   ///< The one whose chunks count.
	uint32_t delivered; ///< Tokens handed out, over all attempts.
	bool finish_seen;   ///< The last chunk of this attempt came.
	bool whole;
	bool broken;
	uint32_t stated_tokens;
	uint32_t prompt_tokens;
	uint32_t cached_tokens;
	uint32_t recomputed_tokens;
	char finish_reason[32];
	GString *line;
};

static void
emit(assembler_event_cb sink, void *arg, enum assembler_event_kind kind,
    const char *reason)
{
	const struct assembler_event ev = { .kind = kind, .reason = reason };

	sink(arg, &ev);
}

static void
break_off(
    struct assembler *s, assembler_event_cb sink, void *arg, const char *reason)
{
	s->broken = true;
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
take_usage(struct assembler *s, const json_t *chunk)
{
	const json_t *usage = json_object_get(chunk, "usage");

	if (!get_u32(usage, "completion_tokens", &s->stated_tokens))
		s->stated_tokens = UINT32_MAX;
	(void)get_u32(usage, "prompt_tokens", &s->prompt_tokens);
	(void)get_u32(usage, "cached_tokens", &s->cached_tokens);
	(void)get_u32(usage, "recomputed_tokens", &s->recomputed_tokens);
}

static void
take_finish(struct assembler *s, const json_t *chunk, const char *reason)
{
	s->finish_seen = true;
	(void)g_strlcpy(s->finish_reason, reason, sizeof(s->finish_reason));
	take_usage(s, chunk);
}

/// Hands out a token, unless it is repeated or one is missing before it.
///
/// @return whether it was handed out
static bool
take_token(struct assembler *s, uint32_t offset, const char *text, size_t len,
    assembler_event_cb sink, void *arg)
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
		break_off(s, sink, arg, "token missing");
		return false;
	}
	s->delivered++;
	sink(arg, &ev);
	return true;
}

/// Text of a chunk: a chat's delta, or a plain completion's text.
static const json_t *
content_of(const json_t *choice)
{
	const json_t *delta = json_object_get(choice, "delta");

	if (delta != NULL)
		return json_object_get(delta, "content");
	return json_object_get(choice, "text");
}

static void
take_chunk(struct assembler *s, const json_t *chunk, assembler_event_cb sink,
    void *arg)
{
	const char *id = json_string_value(json_object_get(chunk, "id"));
	const json_t *choices = json_object_get(chunk, "choices");
	const json_t *choice = json_array_get(choices, 0);
	const char *finish =
	    json_string_value(json_object_get(choice, "finish_reason"));
	const json_t *content = content_of(choice);
	uint32_t attempt;
	uint32_t offset;

	if (id == NULL || strcmp(id, s->id) != 0) {
		emit(sink, arg, ASSEMBLER_DROPPED, "other request");
		return;
	}
	if (!get_u32(chunk, "attempt", &attempt) || attempt != s->attempt) {
		emit(sink, arg, ASSEMBLER_DROPPED, "other attempt");
		return;
	}
	if (json_is_string(content) && json_string_length(content) > 0) {
		if (!get_u32(chunk, "offset", &offset)) {
			break_off(s, sink, arg, "chunk without offset");
			return;
		}
		if (!take_token(s, offset, json_string_value(content),
			json_string_length(content), sink, arg))
			return;
	}
	if (finish != NULL)
		take_finish(s, chunk, finish);
}

/// A plain chunk of one token, as nearly all are.
static void
take_plain(struct assembler *s, const struct chunk_token *c,
    assembler_event_cb sink, void *arg)
{
	if (c->id_len != strlen(s->id) ||
	    memcmp(c->id, s->id, c->id_len) != 0) {
		emit(sink, arg, ASSEMBLER_DROPPED, "other request");
		return;
	}
	if (c->attempt != s->attempt) {
		emit(sink, arg, ASSEMBLER_DROPPED, "other attempt");
		return;
	}
	(void)take_token(s, c->offset, c->text, c->text_len, sink, arg);
}

static void
take_done(struct assembler *s, assembler_event_cb sink, void *arg)
{
	struct assembler_event ev = { .kind = ASSEMBLER_COMPLETE };

	if (!s->finish_seen) {
		break_off(s, sink, arg, "end marker before the last chunk");
		return;
	}
	if (s->stated_tokens != s->delivered) {
		break_off(s, sink, arg, "count disagrees");
		return;
	}
	s->whole = true;
	ev.whole.tokens = s->delivered;
	ev.whole.prompt_tokens = s->prompt_tokens;
	ev.whole.cached_tokens = s->cached_tokens;
	ev.whole.recomputed_tokens = s->recomputed_tokens;
	ev.whole.finish_reason = s->finish_reason;
	sink(arg, &ev);
}

static void
take_line(struct assembler *s, const char *line, size_t len,
    assembler_event_cb sink, void *arg)
{
	const size_t head = sizeof(ASSEMBLER_DATA) - 1;
	struct chunk_token plain;
	json_t *chunk;

	if (len > 0 && line[len - 1] == '\r')
		len--;
	if (len < head || memcmp(line, ASSEMBLER_DATA, head) != 0)
		return;
	line += head;
	len -= head;
	if (len == sizeof(ASSEMBLER_DONE) - 1 &&
	    memcmp(line, ASSEMBLER_DONE, len) == 0) {
		take_done(s, sink, arg);
		return;
	}
	if (chunk_parse(line, len, &plain)) {
		take_plain(s, &plain, sink, arg);
		return;
	}
	chunk = json_loadb(line, len, JSON_REJECT_DUPLICATES, NULL);
	if (!json_is_object(chunk)) {
		json_decref(chunk);
		break_off(s, sink, arg, "chunk is not a JSON object");
		return;
	}
	if (json_object_get(chunk, "error") != NULL)
		break_off(s, sink, arg, "backend server reported an error");
	else
		take_chunk(s, chunk, sink, arg);
	json_decref(chunk);
}

/// Starts the answer of a request.
struct assembler *
assembler_new(const char *request_id)
{
	struct assembler *s = g_new0(struct assembler, 1);

	s->id = g_strdup(request_id);
	s->line = g_string_new(NULL);
	return s;
}

/// Releases an answer; NULL is allowed.
void
assembler_free(struct assembler *s)
{
	if (s == NULL)
		return;
	g_free(s->id);
	(void)g_string_free(s->line, TRUE);
	g_free(s);
}

/// Says that the caller has tokens from another entry already. Called before
/// the first attempt.
void
assembler_resume(struct assembler *s, uint32_t delivered)
{
	s->delivered = delivered;
}

/// Starts an attempt; chunks of earlier ones no longer count.
///
/// @return tokens that the caller has: the attempt resumes from there
uint32_t
assembler_begin_attempt(struct assembler *s, uint32_t attempt)
{
	s->attempt = attempt;
	s->finish_seen = false;
	s->broken = false;
	s->stated_tokens = UINT32_MAX;
	(void)g_string_truncate(s->line, 0);
	return s->delivered;
}

/// Takes bytes of an attempt's event stream.
///
/// @param sink  called for each token, drop, break and the end
void
assembler_feed(struct assembler *s, uint32_t attempt, const uint8_t *bytes,
    size_t len, assembler_event_cb sink, void *arg)
{
	size_t at = 0;

	if (attempt != s->attempt || s->whole || s->broken)
		return;
	while (at < len && !s->whole && !s->broken) {
		const uint8_t *end = memchr(bytes + at, '\n', len - at);
		const size_t n =
		    end == NULL ? len - at : (size_t)(end - bytes) - at;

		g_string_append_len(
		    s->line, (const char *)bytes + at, (gssize)n);
		at += n + (end != NULL);
		if (s->line->len > ASSEMBLER_MAX_LINE_BYTES) {
			break_off(s, sink, arg, "line too long");
			return;
		}
		if (end == NULL)
			return;
		take_line(s, s->line->str, s->line->len, sink, arg);
		(void)g_string_truncate(s->line, 0);
	}
}

/// The attempt's stream ended.
///
/// @return whether the answer is whole; if not, the attempt counts as cut
bool
assembler_end_attempt(struct assembler *s, uint32_t attempt)
{
	(void)attempt;
	return s->whole;
}

/// Tokens handed out so far.
uint32_t
assembler_delivered_tokens(const struct assembler *s)
{
	return s->delivered;
}
