#include "request/chunk.h"

#include <string.h>

/// So many digits always fit into 32 bits.
#define MAX_DIGITS 9
#define FIRST_PRINTABLE 0x20
#define LAST_PRINTABLE 0x7e

/// Flags of the members that were read. A second member of the same name is
/// left to the full parser, which refuses it.
enum member_flag {
	SEEN_ID = 1 << 0,
	SEEN_ATTEMPT = 1 << 1,
	SEEN_OFFSET = 1 << 2,
	SEEN_CHOICES = 1 << 3,
	SEEN_OBJECT = 1 << 4,
	SEEN_MODEL = 1 << 5,
	SEEN_INDEX = 1 << 6,
	SEEN_DELTA = 1 << 7,
	SEEN_TEXT = 1 << 8,
	SEEN_FINISH = 1 << 9,
};

#define SEEN_REQUIRED \
	(SEEN_ID | SEEN_ATTEMPT | SEEN_OFFSET | SEEN_CHOICES | SEEN_TEXT)

/// Position in the chunk's bytes, and what was read so far.
struct cursor {
	const char *at;
	const char *end;
	unsigned seen; ///< Set of enum member_flag.
	struct chunk_token *out;
};

/// Part of the chunk's bytes, not terminated.
struct text {
	const char *at;
	size_t len;
};

/// Parses the value of an object's member.
///
/// @return false when it doesn't have the usual form
typedef bool (*member_fn)(struct cursor *c, const struct text *key);

/// Skips spaces only; other white space is left to the full parser.
static void
skip_spaces(struct cursor *c)
{
	while (c->at < c->end && *c->at == ' ')
		c->at++;
}

static bool
parse_char(struct cursor *c, char expected)
{
	skip_spaces(c);
	if (c->at >= c->end || *c->at != expected)
		return false;
	c->at++;
	return true;
}

/// Parses a string of printable ASCII without escapes.
static bool
parse_string(struct cursor *c, struct text *out)
{
	if (!parse_char(c, '"'))
		return false;
	out->at = c->at;
	while (c->at < c->end && *c->at != '"') {
		if (*c->at < FIRST_PRINTABLE || *c->at > LAST_PRINTABLE ||
		    *c->at == '\\')
			return false;
		c->at++;
	}
	out->len = (size_t)(c->at - out->at);
	return parse_char(c, '"');
}

static bool
parse_number(struct cursor *c, uint32_t *out)
{
	const char *first;
	uint32_t n = 0;

	skip_spaces(c);
	first = c->at;
	while (c->at < c->end && *c->at >= '0' && *c->at <= '9' &&
	    c->at - first < MAX_DIGITS)
		n = n * 10 + (uint32_t)(*c->at++ - '0');
	if (c->at == first || (*first == '0' && c->at - first > 1))
		return false;
	*out = n;
	return true;
}

static bool
parse_null(struct cursor *c)
{
	static const char word[] = { 'n', 'u', 'l', 'l' };

	skip_spaces(c);
	if ((size_t)(c->end - c->at) < sizeof(word) ||
	    memcmp(c->at, word, sizeof(word)) != 0)
		return false;
	c->at += sizeof(word);
	return true;
}

static bool
key_is(const struct text *key, const char *name)
{
	return key->len == strlen(name) && memcmp(key->at, name, key->len) == 0;
}

/// Marks a member as read.
///
/// @return false when it was read before
static bool
mark_seen(struct cursor *c, enum member_flag flag)
{
	if ((c->seen & flag) != 0)
		return false;
	c->seen |= flag;
	return true;
}

static bool
parse_object(struct cursor *c, member_fn member)
{
	struct text key;

	if (!parse_char(c, '{'))
		return false;
	do {
		if (!parse_string(c, &key) || !parse_char(c, ':') ||
		    !member(c, &key))
			return false;
	} while (parse_char(c, ','));
	return parse_char(c, '}');
}

static bool
parse_token_text(struct cursor *c)
{
	struct text t;

	if (!mark_seen(c, SEEN_TEXT) || !parse_string(c, &t))
		return false;
	c->out->text = t.at;
	c->out->text_len = t.len;
	return t.len > 0;
}

static bool
parse_delta_member(struct cursor *c, const struct text *key)
{
	return key_is(key, "content") && parse_token_text(c);
}

static bool
parse_choice_member(struct cursor *c, const struct text *key)
{
	uint32_t index;

	if (key_is(key, "index"))
		return mark_seen(c, SEEN_INDEX) && parse_number(c, &index);
	if (key_is(key, "delta"))
		return mark_seen(c, SEEN_DELTA) &&
		    parse_object(c, parse_delta_member);
	if (key_is(key, "text"))
		return parse_token_text(c);
	if (key_is(key, "finish_reason"))
		return mark_seen(c, SEEN_FINISH) && parse_null(c);
	return false;
}

static bool
parse_id(struct cursor *c)
{
	struct text t;

	if (!mark_seen(c, SEEN_ID) || !parse_string(c, &t))
		return false;
	c->out->id = t.at;
	c->out->id_len = t.len;
	return true;
}

static bool
parse_chunk_member(struct cursor *c, const struct text *key)
{
	struct text ignored;

	if (key_is(key, "id"))
		return parse_id(c);
	if (key_is(key, "attempt"))
		return mark_seen(c, SEEN_ATTEMPT) &&
		    parse_number(c, &c->out->attempt);
	if (key_is(key, "offset"))
		return mark_seen(c, SEEN_OFFSET) &&
		    parse_number(c, &c->out->offset);
	if (key_is(key, "choices"))
		return mark_seen(c, SEEN_CHOICES) && parse_char(c, '[') &&
		    parse_object(c, parse_choice_member) && parse_char(c, ']');
	if (key_is(key, "object"))
		return mark_seen(c, SEEN_OBJECT) && parse_string(c, &ignored);
	if (key_is(key, "model"))
		return mark_seen(c, SEEN_MODEL) && parse_string(c, &ignored);
	return false;
}

/// Parses a chunk of the usual form, with one token.
///
/// @param out  receives the token, valid as long as `json`; may be partly set
///             when false is returned
/// @return false when the full parser must parse the chunk and decide whether
///         it is valid
bool
chunk_parse(const char *json, size_t len, struct chunk_token *out)
{
	struct cursor c = { .at = json, .end = json + len, .out = out };

	if (!parse_object(&c, parse_chunk_member))
		return false;
	skip_spaces(&c);
	return c.at == c.end && (c.seen & SEEN_REQUIRED) == SEEN_REQUIRED;
}
