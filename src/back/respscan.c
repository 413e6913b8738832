#include "back/respscan.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/// Characters of a field's name besides letters and digits (RFC 9110, 5.6.2).
static const char name_punctuation[] = "!#$%&'*+-.^_`|~";

/// We ask for no other protocol.
#define STATUS_SWITCHING_PROTOCOLS 101
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304
/// Digits of a length that a uint64_t holds.
#define MAX_DECIMAL_DIGITS 18
#define MAX_HEX_DIGITS 15
#define HEX_BASE 16
#define DECIMAL_BASE 10

static void
fail(struct respscan *s, const char *why)
{
	s->state = RESPSCAN_INVALID;
	s->error = why;
}

/// Prepares for the response to a new request.
///
/// @param head_only  the request's method is HEAD
/// @param max_body   bytes that the body may have
void
respscan_begin(struct respscan *s, bool head_only, uint64_t max_body)
{
	*s = (struct respscan){
		.state = RESPSCAN_STATUS_LINE,
		.head_only = head_only,
		.body_left = max_body,
		.section_left = RESPSCAN_MAX_HEAD_BYTES,
	};
}

/// Counts bytes of the body that have come or are announced.
static void
count_body(struct respscan *s, uint64_t n)
{
	if (n > s->body_left)
		fail(s, "the body is too long");
	else
		s->body_left -= n;
}

static void
begin_section(struct respscan *s, enum respscan_state state, size_t max_bytes)
{
	s->state = state;
	s->section_left = max_bytes;
}

/// Whether a line is "HTTP/1.x NNN" or "HTTP/1.x NNN REASON", with a status
/// from 100 to 599.
static bool
is_status_line(const char *line)
{
	static const char version[] = "HTTP/1.";
	const char *at = line + strlen(version);

	return strncmp(line, version, strlen(version)) == 0 &&
	    isdigit((unsigned char)at[0]) && at[1] == ' ' && at[2] >= '1' &&
	    at[2] <= '5' && isdigit((unsigned char)at[3]) &&
	    isdigit((unsigned char)at[4]) && (at[5] == '\0' || at[5] == ' ');
}

/// Length of the field name that a line begins with.
///
/// @return 0 when no name and colon come first
static size_t
name_length(const char *line)
{
	const char *at = line;

	while (isalnum((unsigned char)*at) ||
	    (*at != '\0' && strchr(name_punctuation, *at) != NULL))
		at++;
	return *at == ':' ? (size_t)(at - line) : 0;
}

/// Value of a field line with this name, without the spaces around it.
///
/// @return NULL when it is another field
static char *
field_value(char *line, size_t name_len, const char *name)
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

static void
take_length(struct respscan *s, const char *value)
{
	const size_t digits = strspn(value, "0123456789");
	uint64_t length;

	if (digits == 0 || digits > MAX_DECIMAL_DIGITS ||
	    value[digits] != '\0') {
		fail(s, "the length isn't a number");
		return;
	}
	length = strtoull(value, NULL, DECIMAL_BASE);
	if (s->has_length && length != s->left) {
		fail(s, "two lengths that differ");
		return;
	}
	s->has_length = true;
	s->left = length;
}

static void
take_field(struct respscan *s)
{
	const size_t name_len = name_length(s->line);
	const char *value;

	if (name_len == 0) {
		fail(s, "a header line has no name");
		return;
	}
	value = field_value(s->line, name_len, "Content-Length");
	if (value != NULL) {
		take_length(s, value);
		return;
	}
	value = field_value(s->line, name_len, "Transfer-Encoding");
	if (value == NULL)
		return;
	if (s->is_chunked || strcasecmp(value, "chunked") != 0)
		fail(s, "a transfer encoding other than chunked");
	s->is_chunked = true;
}

static void
take_status_line(struct respscan *s)
{
	if (!is_status_line(s->line)) {
		fail(s, "the status line isn't one");
		return;
	}
	s->status = atoi(strchr(s->line, ' '));
	s->has_length = false;
	s->is_chunked = false;
	if (s->status == STATUS_SWITCHING_PROTOCOLS)
		fail(s, "the server switches protocols");
	else
		s->state = RESPSCAN_FIELDS;
}

static bool
has_no_body(const struct respscan *s)
{
	return s->head_only || s->status == STATUS_NO_CONTENT ||
	    s->status == STATUS_NOT_MODIFIED;
}

/// The empty line after a head has come: decides how the body is framed (RFC
/// 9112, 6.3).
static void
end_head(struct respscan *s)
{
	if (respscan_is_interim(s->status))
		s->state = RESPSCAN_STATUS_LINE;
	else if (s->has_length && s->is_chunked)
		fail(s, "a length beside chunks");
	else if (has_no_body(s))
		s->state = RESPSCAN_COMPLETE;
	else if (s->is_chunked)
		begin_section(
		    s, RESPSCAN_CHUNK_SIZE, RESPSCAN_MAX_CHUNK_LINE_BYTES);
	else if (!s->has_length)
		s->state = RESPSCAN_UNTIL_CLOSE;
	else {
		s->state = s->left > 0 ? RESPSCAN_LENGTH : RESPSCAN_COMPLETE;
		count_body(s, s->left);
	}
}

static void
take_chunk_size(struct respscan *s)
{
	const size_t digits = strspn(s->line, "0123456789abcdefABCDEF");
	const char *rest = s->line + digits + strspn(s->line + digits, " \t");

	if (digits == 0 || digits > MAX_HEX_DIGITS ||
	    (*rest != '\0' && *rest != ';')) {
		fail(s, "a chunk's size isn't a number");
		return;
	}
	s->left = strtoull(s->line, NULL, HEX_BASE);
	if (s->left == 0) {
		begin_section(s, RESPSCAN_TRAILERS, RESPSCAN_MAX_HEAD_BYTES);
		return;
	}
	s->state = RESPSCAN_CHUNK;
	count_body(s, s->left);
}

/// Handles a complete line.
static void
take_line(struct respscan *s)
{
	switch (s->state) {
	case RESPSCAN_STATUS_LINE:
		take_status_line(s);
		break;
	case RESPSCAN_FIELDS:
		if (s->line[0] == '\0')
			end_head(s);
		else
			take_field(s);
		break;
	case RESPSCAN_CHUNK_SIZE:
		take_chunk_size(s);
		break;
	case RESPSCAN_CHUNK_END:
		if (s->line[0] != '\0')
			fail(s, "a chunk is longer than its size");
		else
			begin_section(s, RESPSCAN_CHUNK_SIZE,
			    RESPSCAN_MAX_CHUNK_LINE_BYTES);
		break;
	case RESPSCAN_TRAILERS:
		if (s->line[0] == '\0')
			s->state = RESPSCAN_COMPLETE;
		else if (name_length(s->line) == 0)
			fail(s, "a trailer line has no name");
		break;
	case RESPSCAN_LENGTH:
	case RESPSCAN_CHUNK:
	case RESPSCAN_UNTIL_CLOSE:
	case RESPSCAN_COMPLETE:
	case RESPSCAN_INVALID:
		break;
	}
}

/// Adds bytes to the current line, whose end may be among them.
///
/// @return number of bytes taken
static size_t
feed_line(struct respscan *s, const uint8_t *bytes, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		const char c = (char)bytes[i];

		if (s->section_left == 0) {
			fail(s, "a head or a chunk's line is too long");
			return len;
		}
		s->section_left--;
		if (c == '\n') {
			const size_t n = s->line_len < sizeof(s->line)
			    ? s->line_len
			    : sizeof(s->line) - 1;

			s->line[n] = '\0';
			if (n > 0 && s->line[n - 1] == '\r')
				s->line[n - 1] = '\0';
			s->line_len = 0;
			take_line(s);
			return i + 1;
		}
		if ((c >= 0 && c < ' ' && c != '\t' && c != '\r') ||
		    c == '\x7f') {
			fail(s, "a control character between its data");
			return len;
		}
		if (s->line_len < sizeof(s->line) - 1)
			s->line[s->line_len] = c;
		s->line_len++;
	}
	return len;
}

/// Skips bytes of a body or chunk of known length.
///
/// @return number of bytes taken
static size_t
feed_data(struct respscan *s, size_t len)
{
	const size_t n = len < s->left ? len : (size_t)s->left;

	s->left -= n;
	if (s->left > 0)
		return n;
	if (s->state == RESPSCAN_CHUNK)
		begin_section(
		    s, RESPSCAN_CHUNK_END, RESPSCAN_MAX_CHUNK_LINE_BYTES);
	else
		s->state = RESPSCAN_COMPLETE;
	return n;
}

/// Takes the next bytes of the response.
void
respscan_feed(struct respscan *s, const uint8_t *bytes, size_t len)
{
	while (len > 0) {
		size_t used = len;

		switch (s->state) {
		case RESPSCAN_STATUS_LINE:
		case RESPSCAN_FIELDS:
		case RESPSCAN_CHUNK_SIZE:
		case RESPSCAN_CHUNK_END:
		case RESPSCAN_TRAILERS:
			used = feed_line(s, bytes, len);
			break;
		case RESPSCAN_LENGTH:
		case RESPSCAN_CHUNK:
			used = feed_data(s, len);
			break;
		case RESPSCAN_COMPLETE:
			s->is_surplus = true;
			break;
		case RESPSCAN_UNTIL_CLOSE:
			count_body(s, len);
			break;
		case RESPSCAN_INVALID:
			break;
		}
		bytes += used;
		len -= used;
	}
}

/// Whether the response is complete, or becomes so by the end of the
/// connection.
bool
respscan_may_end(const struct respscan *s)
{
	return s->state == RESPSCAN_COMPLETE ||
	    s->state == RESPSCAN_UNTIL_CLOSE;
}
