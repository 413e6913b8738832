#include "base/http1.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/// Characters of a field's name besides letters and digits (RFC 9110, 5.6.2).
static const char name_punctuation[] = "!#$%&'*+-.^_`|~";

/// Digits of a length that a uint64_t holds.
#define MAX_DECIMAL_DIGITS 18
#define MAX_HEX_DIGITS 15
#define HEX_BASE 16
#define DECIMAL_BASE 10

/// Whether a character may be in a head: no control character but the tab.
bool
http1_is_text(uint8_t c)
{
	return (c >= ' ' || c == '\t') && c != 0x7f;
}

/// Length of the field name that a line begins with.
///
/// @return 0 when no name and colon come first
size_t
http1_name_length(const char *line)
{
	const char *at = line;

	while (isalnum((unsigned char)*at) ||
	    (*at != '\0' && strchr(name_punctuation, *at) != NULL))
		at++;
	return *at == ':' ? (size_t)(at - line) : 0;
}

/// Value of a field line, without the spaces around it.
///
/// @param line      spaces at its end are cut off
/// @param name_len  as of http1_name_length()
/// @return NULL when the field has another name
const char *
http1_field_value(char *line, size_t name_len, const char *name)
{
	char *value = line + name_len + 1;
	size_t len;

	if (strlen(name) != name_len || strncasecmp(line, name, name_len) != 0)
		return NULL;
	value += strspn(value, " \t");
	len = strlen(value);
	while (len > 0 && (value[len - 1] == ' ' || value[len - 1] == '\t'))
		value[--len] = '\0';
	return value;
}

/// Reads the value of a Content-Length field.
///
/// @return false when it is no number of bytes
bool
http1_read_length(const char *value, uint64_t *length)
{
	const size_t digits = strspn(value, "0123456789");

	if (digits == 0 || digits > MAX_DECIMAL_DIGITS || value[digits] != '\0')
		return false;
	*length = strtoull(value, NULL, DECIMAL_BASE);
	return true;
}

/// Adds bytes to a line, whose end may be among them. For the next line, `len`
/// is to be set to 0.
///
/// @param used  receives the number of bytes taken
/// @return HTTP1_DONE when the line is complete; HTTP1_INVALID for a control
///         character
enum http1_status
http1_line_feed(
    struct http1_line *l, const uint8_t *bytes, size_t len, size_t *used)
{
	for (size_t i = 0; i < len; i++) {
		const uint8_t c = bytes[i];

		*used = i + 1;
		if (l->left == 0)
			return HTTP1_TOO_LONG;
		l->left--;
		if (c == '\n') {
			const size_t n = l->len < sizeof(l->text)
			    ? l->len
			    : sizeof(l->text) - 1;

			l->text[n] = '\0';
			if (n > 0 && l->text[n - 1] == '\r')
				l->text[n - 1] = '\0';
			return HTTP1_DONE;
		}
		if (!http1_is_text(c) && c != '\r')
			return HTTP1_INVALID;
		if (l->len < sizeof(l->text) - 1)
			l->text[l->len] = (char)c;
		l->len++;
	}
	*used = len;
	return HTTP1_MORE;
}

static void
begin_line(struct http1_chunks *c, int state, size_t max_bytes)
{
	c->state = state;
	c->line.len = 0;
	c->line.left = max_bytes;
}

/// Begins to read a body in chunks.
///
/// @param max_body  bytes of data that it may have
void
http1_chunks_begin(
    struct http1_chunks *c, uint64_t max_body, size_t max_trailer_bytes)
{
	c->body_left = max_body;
	c->max_trailer_bytes = max_trailer_bytes;
	begin_line(c, HTTP1_CHUNK_SIZE, HTTP1_MAX_CHUNK_LINE_BYTES);
}

static enum http1_status
take_size(struct http1_chunks *c)
{
	const char *line = c->line.text;
	const size_t digits = strspn(line, "0123456789abcdefABCDEF");
	const char *rest = line + digits + strspn(line + digits, " \t");

	if (digits == 0 || digits > MAX_HEX_DIGITS ||
	    (*rest != '\0' && *rest != ';'))
		return HTTP1_INVALID;
	c->left = strtoull(line, NULL, HEX_BASE);
	if (c->left > c->body_left)
		return HTTP1_TOO_LONG;
	c->body_left -= c->left;
	if (c->left == 0)
		begin_line(c, HTTP1_CHUNK_TRAILERS, c->max_trailer_bytes);
	else
		c->state = HTTP1_CHUNK_DATA;
	return HTTP1_MORE;
}

/// Handles a complete line between the data.
static enum http1_status
take_line(struct http1_chunks *c)
{
	switch (c->state) {
	case HTTP1_CHUNK_SIZE:
		return take_size(c);
	case HTTP1_CHUNK_END:
		if (c->line.text[0] != '\0')
			return HTTP1_INVALID;
		begin_line(c, HTTP1_CHUNK_SIZE, HTTP1_MAX_CHUNK_LINE_BYTES);
		return HTTP1_MORE;
	case HTTP1_CHUNK_TRAILERS:
		if (c->line.text[0] == '\0')
			return HTTP1_DONE;
		c->line.len = 0;
		return http1_name_length(c->line.text) > 0 ? HTTP1_MORE
							   : HTTP1_INVALID;
	case HTTP1_CHUNK_DATA:
		break;
	}
	return HTTP1_INVALID;
}

/// Takes a part of a body in chunks: data, or up to a line's end.
///
/// @param used  receives the number of bytes taken
/// @param data  receives how many of these are data; they all are, or none
/// @return HTTP1_DONE when the body and its trailers are complete
enum http1_status
http1_chunks_feed(struct http1_chunks *c, const uint8_t *bytes, size_t len,
    size_t *used, size_t *data)
{
	enum http1_status st;

	*data = 0;
	if (c->state == HTTP1_CHUNK_DATA) {
		*used = len < c->left ? len : (size_t)c->left;
		*data = *used;
		c->left -= *used;
		if (c->left == 0)
			begin_line(
			    c, HTTP1_CHUNK_END, HTTP1_MAX_CHUNK_LINE_BYTES);
		return HTTP1_MORE;
	}
	st = http1_line_feed(&c->line, bytes, len, used);
	return st == HTTP1_DONE ? take_line(c) : st;
}
