#include "back/respscan.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/// We ask for no other protocol.
#define STATUS_SWITCHING_PROTOCOLS 101
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304
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
		.line.left = RESPSCAN_MAX_HEAD_BYTES,
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

static void
take_length(struct respscan *s, const char *value)
{
	uint64_t length;

	if (!http1_read_length(value, &length)) {
		fail(s, "the length isn't a number");
		return;
	}
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
	const size_t name_len = http1_name_length(s->line.text);
	const char *value;

	if (name_len == 0) {
		fail(s, "a header line has no name");
		return;
	}
	value = http1_field_value(s->line.text, name_len, "Content-Length");
	if (value != NULL) {
		take_length(s, value);
		return;
	}
	value = http1_field_value(s->line.text, name_len, "Transfer-Encoding");
	if (value == NULL)
		return;
	if (s->is_chunked || strcasecmp(value, "chunked") != 0)
		fail(s, "a transfer encoding other than chunked");
	s->is_chunked = true;
}

static void
take_status_line(struct respscan *s)
{
	if (!is_status_line(s->line.text)) {
		fail(s, "the status line isn't one");
		return;
	}
	s->status = atoi(strchr(s->line.text, ' '));
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
	else if (s->is_chunked) {
		s->state = RESPSCAN_CHUNKS;
		http1_chunks_begin(
		    &s->chunks, s->body_left, RESPSCAN_MAX_HEAD_BYTES);
	} else if (!s->has_length)
		s->state = RESPSCAN_UNTIL_CLOSE;
	else {
		s->state = s->left > 0 ? RESPSCAN_LENGTH : RESPSCAN_COMPLETE;
		count_body(s, s->left);
	}
}

/// Adds bytes to the head.
///
/// @return number of bytes taken
static size_t
feed_head(struct respscan *s, const uint8_t *bytes, size_t len)
{
	size_t used = 0;

	switch (http1_line_feed(&s->line, bytes, len, &used)) {
	case HTTP1_MORE:
		break;
	case HTTP1_TOO_LONG:
		fail(s, "the head is too long");
		break;
	case HTTP1_INVALID:
		fail(s, "a control character in the head");
		break;
	case HTTP1_DONE:
		if (s->state == RESPSCAN_STATUS_LINE)
			take_status_line(s);
		else if (s->line.text[0] == '\0')
			end_head(s);
		else
			take_field(s);
		s->line.len = 0;
		break;
	}
	return used;
}

/// Skips bytes of a body in chunks.
///
/// @return number of bytes taken
static size_t
feed_chunks(struct respscan *s, const uint8_t *bytes, size_t len)
{
	size_t used = 0;
	size_t data;

	switch (http1_chunks_feed(&s->chunks, bytes, len, &used, &data)) {
	case HTTP1_MORE:
		break;
	case HTTP1_DONE:
		s->state = RESPSCAN_COMPLETE;
		break;
	case HTTP1_TOO_LONG:
		fail(s, "the chunks are too long");
		break;
	case HTTP1_INVALID:
		fail(s, "the chunks can't be read");
		break;
	}
	return used;
}

/// Skips bytes of a body of known length.
///
/// @return number of bytes taken
static size_t
feed_data(struct respscan *s, size_t len)
{
	const size_t n = len < s->left ? len : (size_t)s->left;

	s->left -= n;
	if (s->left == 0)
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
			used = feed_head(s, bytes, len);
			break;
		case RESPSCAN_CHUNKS:
			used = feed_chunks(s, bytes, len);
			break;
		case RESPSCAN_LENGTH:
			used = feed_data(s, len);
			break;
		case RESPSCAN_UNTIL_CLOSE:
			count_body(s, len);
			break;
		case RESPSCAN_COMPLETE:
			s->is_surplus = true;
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
