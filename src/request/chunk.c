#include "request/chunk.h"

#include <string.h>

#define MAX_DIGITS 9
#define FIRST_PRINTABLE 0x20
#define LAST_PRINTABLE 0x7e

/// Members that were read; a second one of a name is left to the parser,
/// which refuses it.
enum seen {
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

#define SEEN_NEEDED \
	(SEEN_ID | SEEN_ATTEMPT | SEEN_OFFSET | SEEN_CHOICES | SEEN_TEXT)

struct cursor {
	const char *at;
	const char *end;
	unsigned seen;
	struct chunk_token *out;
};

struct text {
	const char *at;
	size_t len;
};

typedef bool (*member_fn)(struct cursor *c, const struct text *key);

static void
skip_space(struct cursor *c)
{
	while (c->at < c->end && *c->at == ' ')
		c->at++;
}

static bool
take(struct cursor *c, char wanted)
{
	skip_space(c);
	if (c->at >= c->end || *c->at != wanted)
		return false;
	c->at++;
	return true;
}

/// A string of printable ASCII without escapes.
static bool
take_string(struct cursor *c, struct text *out)
{
	if (!take(c, '"'))
		return false;
	out->at = c->at;
	while (c->at < c->end && *c->at != '"') {
		if (*c->at < FIRST_PRINTABLE || *c->at > LAST_PRINTABLE ||
		    *c->at == '\\')
			return false;
		c->at++;
	}
	out->len = (size_t)(c->at - out->at);
	return take(c, '"');
}

static bool
take_number(struct cursor *c, uint32_t *out)
{
	const char *first;
	uint32_t n = 0;

	skip_space(c);
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
take_null(struct cursor *c)
{
	static const char word[] = { 'n', 'u', 'l', 'l' };

	skip_space(c);
	if ((size_t)(c->end - c->at) < sizeof(word) ||
	    memcmp(c->at, word, sizeof(word)) != 0)
		return false;
	c->at += sizeof(word);
	return true;
}

static bool
is(const struct text *key, const char *name)
{
	return key->len == strlen(name) && memcmp(key->at, name, key->len) == 0;
}

static bool
first_time(struct cursor *c, enum seen which)
{
	if ((c->seen & which) != 0)
		return false;
	c->seen |= which;
	return true;
}

static bool
take_object(struct cursor *c, member_fn member)
{
	struct text key;

	if (!take(c, '{'))
		return false;
	do {
		if (!take_string(c, &key) || !take(c, ':') || !member(c, &key))
			return false;
	} while (take(c, ','));
	return take(c, '}');
}

static bool
take_text(struct cursor *c)
{
	struct text t;

	if (!first_time(c, SEEN_TEXT) || !take_string(c, &t))
		return false;
	c->out->text = t.at;
	c->out->text_len = t.len;
	return t.len > 0;
}

static bool
delta_member(struct cursor *c, const struct text *key)
{
	return is(key, "content") && take_text(c);
}

static bool
choice_member(struct cursor *c, const struct text *key)
{
	uint32_t index;

	if (is(key, "index"))
		return first_time(c, SEEN_INDEX) && take_number(c, &index);
	if (is(key, "delta"))
		return first_time(c, SEEN_DELTA) &&
		    take_object(c, delta_member);
	if (is(key, "text"))
		return take_text(c);
	if (is(key, "finish_reason"))
		return first_time(c, SEEN_FINISH) && take_null(c);
	return false;
}

static bool
take_id(struct cursor *c)
{
	struct text t;

	if (!first_time(c, SEEN_ID) || !take_string(c, &t))
		return false;
	c->out->id = t.at;
	c->out->id_len = t.len;
	return true;
}

static bool
chunk_member(struct cursor *c, const struct text *key)
{
	struct text ignored;

	if (is(key, "id"))
		return take_id(c);
	if (is(key, "attempt"))
		return first_time(c, SEEN_ATTEMPT) &&
		    take_number(c, &c->out->attempt);
	if (is(key, "offset"))
		return first_time(c, SEEN_OFFSET) &&
		    take_number(c, &c->out->offset);
	if (is(key, "choices"))
		return first_time(c, SEEN_CHOICES) && take(c, '[') &&
		    take_object(c, choice_member) && take(c, ']');
	if (is(key, "object"))
		return first_time(c, SEEN_OBJECT) && take_string(c, &ignored);
	if (is(key, "model"))
		return first_time(c, SEEN_MODEL) && take_string(c, &ignored);
	return false;
}

/// Reads a chunk that carries one token and nothing unusual.
///
/// @return false when the chunk must be given to the full parser, which
///         then decides whether it is right
bool
chunk_parse(const char *json, size_t len, struct chunk_token *out)
{
	struct cursor c = { .at = json, .end = json + len, .out = out };

	if (!take_object(&c, chunk_member))
		return false;
	skip_space(&c);
	return c.at == c.end && (c.seen & SEEN_NEEDED) == SEEN_NEEDED;
}
