#include "back/jsonlist.h"

#include <stdbool.h>
#include <string.h>

/// Text that is being read.
struct cursor {
	const char *at;
	const char *end;
};

static void
skip_space(struct cursor *c)
{
	while (c->at < c->end && strchr(" \t\r\n", *c->at) != NULL &&
	    *c->at != '\0')
		c->at++;
}

/// Skips white space and one character.
///
/// @return false when another character follows
static bool
skip_char(struct cursor *c, char wanted)
{
	skip_space(c);
	if (c->at == c->end || *c->at != wanted)
		return false;
	c->at++;
	return true;
}

/// Skips a string whose opening quote is at the cursor.
///
/// @return false when it has no end
static bool
skip_string(struct cursor *c)
{
	for (c->at++; c->at < c->end; c->at++) {
		if (*c->at == '\\')
			c->at++;
		else if (*c->at == '"') {
			c->at++;
			return true;
		}
	}
	c->at = c->end;
	return false;
}

/// Skips an array or object, of any depth.
///
/// @return false when it has no end
static bool
skip_container(struct cursor *c)
{
	size_t depth = 0;

	while (c->at < c->end) {
		const char ch = *c->at;

		if (ch == '"') {
			if (!skip_string(c))
				return false;
			continue;
		}
		c->at++;
		if (ch == '[' || ch == '{')
			depth++;
		if ((ch == ']' || ch == '}') && --depth == 0)
			return true;
	}
	return false;
}

/// Skips a value.
///
/// @param value  receives its text
/// @return false when there is none, or it has no end
static bool
skip_value(struct cursor *c, struct cursor *value)
{
	skip_space(c);
	value->at = c->at;
	if (c->at == c->end)
		return false;
	if (*c->at == '"') {
		if (!skip_string(c))
			return false;
	} else if (*c->at == '[' || *c->at == '{') {
		if (!skip_container(c))
			return false;
	} else {
		while (c->at < c->end && strchr(",]}", *c->at) == NULL)
			c->at++;
	}
	value->end = c->at;
	return value->end > value->at;
}

/// Parses a value by itself.
///
/// @return NULL when it is invalid, which is counted
static json_t *
parse(const struct cursor *value, size_t *n_invalid)
{
	json_t *o = json_loadb(
	    value->at, (size_t)(value->end - value->at), JSON_DECODE_ANY, NULL);

	if (o == NULL)
		(*n_invalid)++;
	return o;
}

/// Parses the elements of an array one by one.
///
/// @return the valid ones; NULL when the array itself is malformed
static json_t *
parse_array(struct cursor text, size_t *n_invalid)
{
	json_t *array = json_array();
	struct cursor value;

	text.at++;
	if (skip_char(&text, ']'))
		return array;
	do {
		json_t *element;

		if (!skip_value(&text, &value)) {
			json_decref(array);
			return NULL;
		}
		element = parse(&value, n_invalid);
		if (element != NULL)
			(void)json_array_append_new(array, element);
	} while (skip_char(&text, ','));
	return array;
}

static bool
read_member(struct cursor *c, json_t *object, size_t *n_invalid)
{
	struct cursor key;
	struct cursor value;
	json_t *name;
	json_t *o;

	if (!skip_value(c, &key) || !skip_char(c, ':') ||
	    !skip_value(c, &value))
		return false;
	name = parse(&key, n_invalid);
	o = *value.at == '[' ? parse_array(value, n_invalid)
			     : parse(&value, n_invalid);
	if (json_is_string(name) && o != NULL)
		(void)json_object_set(object, json_string_value(name), o);
	json_decref(o);
	json_decref(name);
	return true;
}

/// Parses an object, each of its members by itself and each element of those
/// that are arrays. Whatever is invalid, such as a number out of range or a
/// value that is nested too deeply, is left out.
///
/// @param n_invalid  receives the number of values that were left out
/// @return to be released with json_decref(); NULL when the text isn't an
///         object or has no end
json_t *
jsonlist_load(const char *text, size_t len, size_t *n_invalid)
{
	struct cursor c = { .at = text, .end = text + len };
	json_t *object = json_object();
	bool whole;

	*n_invalid = 0;
	whole = len > 0 && skip_char(&c, '{');
	if (whole && !skip_char(&c, '}')) {
		do {
			whole = read_member(&c, object, n_invalid);
		} while (whole && skip_char(&c, ','));
		whole = whole && skip_char(&c, '}');
	}
	skip_space(&c);
	if (whole && c.at == c.end)
		return object;
	json_decref(object);
	return NULL;
}
