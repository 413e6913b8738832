#include "fleet/evstream.h"

#include <glib.h>
#include <string.h>

#define MAX_EVENT_BYTES (1U << 20)

struct evstream {
	GString *partial;     ///< bytes of an incomplete event
	size_t scanned;       ///< of these: up to the last line's start
	uint64_t last_id;     ///< of the newest event delivered; 0: none
	uint64_t response_id; ///< newest id in the current response; 0: none
	uint32_t n_events;    ///< delivered, with an id
	const char *error;    ///< why a response is invalid; NULL: none was
};

/// Makes a reader of one request's stream; to be released with evstream_free().
struct evstream *
evstream_new(void)
{
	struct evstream *s = g_new0(struct evstream, 1);

	s->partial = g_string_new(NULL);
	return s;
}

/// Releases a reader; NULL is allowed.
void
evstream_free(struct evstream *s)
{
	if (s == NULL)
		return;
	(void)g_string_free(s->partial, TRUE);
	g_free(s);
}

/// Starts to read another response to the same request; events that it repeats
/// are dropped.
///
/// @param after  id of the last event that the caller has; 0: none
void
evstream_restart(struct evstream *s, uint64_t after)
{
	(void)g_string_truncate(s->partial, 0);
	s->scanned = 0;
	s->last_id = MAX(s->last_id, after);
	s->response_id = 0;
}

/// Length of the first complete event with the empty line that ends it; 0 when
/// there is none.
///
/// @param line  start of the first line to look at; gets that of the last line,
///              so that bytes without an end aren't read again each time
static size_t
event_length(const char *text, size_t len, size_t *line)
{
	for (;;) {
		const char *end = memchr(text + *line, '\n', len - *line);
		size_t at;

		if (end == NULL)
			return 0;
		at = (size_t)(end - text);
		if (at == *line || (at == *line + 1 && text[*line] == '\r'))
			return at + 1;
		*line = at + 1;
	}
}

/// Whether a status line, to its status, begins at a text.
static bool
is_status_line(const char *text, size_t len)
{
	static const char version[] = "HTTP/1.";

	return len > strlen(version) + 1 &&
	    strncmp(text, version, strlen(version)) == 0 &&
	    g_ascii_isdigit(text[strlen(version)]) &&
	    text[strlen(version) + 1] == ' ';
}

/// Whether a status line is within a line, behind a part of an event.
static bool
has_status_line(const char *line, size_t len)
{
	const char *end = line + len;

	for (const char *at = line;
	     (at = memchr(at, 'H', (size_t)(end - at))) != NULL; at++) {
		if (is_status_line(at, (size_t)(end - at)))
			return true;
	}
	return false;
}

/// Whether a line is a field of a header rather than one of an event, a comment
/// or empty.
static bool
is_header_field(const char *line, size_t len)
{
	static const char *const event_fields[] = { "", "data", "event", "id",
		"retry" };
	const char *colon = memchr(line, ':', len);

	if (colon == NULL)
		return false;
	for (size_t i = 0; i < G_N_ELEMENTS(event_fields); i++) {
		if (strlen(event_fields[i]) == (size_t)(colon - line) &&
		    strncmp(line, event_fields[i], (size_t)(colon - line)) == 0)
			return false;
	}
	return true;
}

/// Reads the id from a line of an event; one beyond 64 bits is UINT64_MAX.
///
/// @return false if the line isn't a numeric id
static bool
read_id(const char *line, size_t len, uint64_t *id)
{
	static const char field[] = "id:";
	const char *at = line + strlen(field);
	const char *end = line + len;

	if (len <= strlen(field) || strncmp(line, field, strlen(field)) != 0)
		return false;
	while (at < end && *at == ' ')
		at++;
	if (at == end || !g_ascii_isdigit(*at))
		return false;
	for (*id = 0; at < end && g_ascii_isdigit(*at); at++) {
		const uint64_t digit = (uint64_t)(*at - '0');

		*id = *id > (UINT64_MAX - digit) / 10 ? UINT64_MAX
						      : *id * 10 + digit;
	}
	return true;
}

/// What the lines of an event say.
struct event_lines {
	bool has_id;
	uint64_t id;         ///< that of the first line with one
	bool has_other_head; ///< the head of another response is among them
};

static struct event_lines
read_lines(const char *text, size_t len)
{
	const char *end = text + len;
	struct event_lines out = { .has_id = false };
	bool after_status = false;

	while (text < end) {
		const char *eol = memchr(text, '\n', (size_t)(end - text));
		const size_t n = (size_t)((eol != NULL ? eol : end) - text);

		if (!out.has_id)
			out.has_id = read_id(text, n, &out.id);
		out.has_other_head |= is_status_line(text, n) ||
		    (after_status && is_header_field(text, n));
		after_status = has_status_line(text, n);
		text += n + 1;
	}
	return out;
}

static enum evstream_status
refuse(struct evstream *s, const char *why)
{
	s->error = why;
	return EVSTREAM_INVALID;
}

/// Delivers a complete event unless an earlier response had it already.
static enum evstream_status
deliver_event(
    struct evstream *s, const char *text, size_t len, evstream_cb cb, void *arg)
{
	const struct event_lines lines = read_lines(text, len);
	const uint64_t id = lines.id;

	if (lines.has_other_head)
		return refuse(s, "another response follows");
	if (!lines.has_id) {
		// Comments and events without an id have no place in the order.
		cb(arg, text, len);
		return EVSTREAM_OK;
	}
	if (s->response_id != 0 && id <= s->response_id)
		return refuse(s, "an event comes twice");
	s->response_id = id;
	if (id <= s->last_id)
		return EVSTREAM_OK;
	if (s->last_id != 0 && id != s->last_id + 1)
		return refuse(s, "an event is missing");
	s->last_id = id;
	s->n_events++;
	cb(arg, text, len);
	return EVSTREAM_OK;
}

/// Takes bytes of the response and delivers the events that are complete now.
///
/// @return EVSTREAM_INVALID when the response must not be used any further
enum evstream_status
evstream_feed(struct evstream *s, const uint8_t *bytes, size_t len,
    evstream_cb cb, void *arg)
{
	size_t at = 0;

	(void)g_string_append_len(s->partial, (const char *)bytes, (gssize)len);
	for (;;) {
		const char *text = s->partial->str + at;
		const size_t n =
		    event_length(text, s->partial->len - at, &s->scanned);

		if (n == 0)
			break;
		s->scanned = 0;
		if (deliver_event(s, text, n, cb, arg) != EVSTREAM_OK)
			return EVSTREAM_INVALID;
		at += n;
	}
	(void)g_string_erase(s->partial, 0, (gssize)at);
	return s->partial->len > MAX_EVENT_BYTES
	    ? refuse(s, "an event is too long")
	    : EVSTREAM_OK;
}

/// Why a response was invalid, a static string; NULL if none was.
const char *
evstream_error(const struct evstream *s)
{
	return s->error;
}

/// Whether bytes of an incomplete event are left.
bool
evstream_has_partial(const struct evstream *s)
{
	return s->partial->len > 0;
}

/// Number of bytes of an incomplete event.
size_t
evstream_partial_bytes(const struct evstream *s)
{
	return s->partial->len;
}

/// Id of the newest event delivered; 0: none.
uint64_t
evstream_last_id(const struct evstream *s)
{
	return s->last_id;
}

/// Number of delivered events that have an id.
uint32_t
evstream_n_events(const struct evstream *s)
{
	return s->n_events;
}

/// Whether the current response has events, and none as new as the newest one
/// delivered: if it ends here, its run is shorter than the one before.
bool
evstream_is_behind(const struct evstream *s)
{
	return s->response_id != 0 && s->response_id < s->last_id;
}

/// Whether the current response has had no event with an id, a repeated one
/// included.
bool
evstream_is_empty(const struct evstream *s)
{
	return s->response_id == 0;
}
