#include "fleet/evstream.h"

#include <glib.h>
#include <string.h>

#define MAX_EVENT_BYTES (1U << 20)

struct evstream {
	GString *rest; ///< of an event that isn't whole yet
	uint64_t last; ///< id of the newest event given out
	uint64_t seen; ///< id of the newest event of this answer
	uint32_t count;
};

/// Makes a reader of one request's stream.
struct evstream *
evstream_new(void)
{
	struct evstream *s = g_new0(struct evstream, 1);

	s->rest = g_string_new(NULL);
	return s;
}

/// Releases a reader; NULL is allowed.
void
evstream_free(struct evstream *s)
{
	if (s == NULL)
		return;
	(void)g_string_free(s->rest, TRUE);
	g_free(s);
}

/// Starts to read another answer to the same request.
void
evstream_restart(struct evstream *s, uint64_t after)
{
	(void)g_string_truncate(s->rest, 0);
	s->last = MAX(s->last, after);
	s->seen = 0;
}

/// Length of the first whole event, 0 when there is none: it ends with an
/// empty line.
static size_t
event_length(const char *text, size_t len)
{
	size_t line = 0;

	for (size_t i = 0; i < len; i++) {
		if (text[i] != '\n')
			continue;
		if (i == line || (i == line + 1 && text[line] == '\r'))
			return i + 1;
		line = i + 1;
	}
	return 0;
}

/// Id of an event.
///
/// @return false when it has none
static bool
read_id(const char *text, size_t len, uint64_t *id)
{
	static const char field[] = "id:";
	const char *end = text + len;

	while (text < end) {
		const char *eol = memchr(text, '\n', (size_t)(end - text));
		const char *stop = eol != NULL ? eol : end;

		if ((size_t)(stop - text) > strlen(field) &&
		    strncmp(text, field, strlen(field)) == 0) {
			const char *at = text + strlen(field);

			while (at < stop && *at == ' ')
				at++;
			*id = 0;
			if (at == stop || !g_ascii_isdigit(*at))
				return false;
			for (; at < stop && g_ascii_isdigit(*at); at++)
				*id = *id * 10 + (uint64_t)(*at - '0');
			return true;
		}
		text = stop + 1;
	}
	return false;
}

static enum evstream_status
take_event(
    struct evstream *s, const char *text, size_t len, evstream_cb cb, void *arg)
{
	uint64_t id;

	if (!read_id(text, len, &id)) {
		// A comment or a field without an id says nothing of the order.
		cb(arg, text, len);
		return EVSTREAM_OK;
	}
	if (s->seen != 0 && id <= s->seen)
		return EVSTREAM_INVALID;
	s->seen = id;
	if (id <= s->last)
		return EVSTREAM_OK;
	if (s->last != 0 && id != s->last + 1)
		return EVSTREAM_INVALID;
	s->last = id;
	s->count++;
	cb(arg, text, len);
	return EVSTREAM_OK;
}

/// Takes bytes of the answer and gives out the events that are whole now.
enum evstream_status
evstream_feed(struct evstream *s, const uint8_t *bytes, size_t len,
    evstream_cb cb, void *arg)
{
	size_t at = 0;

	(void)g_string_append_len(s->rest, (const char *)bytes, (gssize)len);
	for (;;) {
		const char *text = s->rest->str + at;
		const size_t n = event_length(text, s->rest->len - at);

		if (n == 0)
			break;
		if (take_event(s, text, n, cb, arg) != EVSTREAM_OK)
			return EVSTREAM_INVALID;
		at += n;
	}
	(void)g_string_erase(s->rest, 0, (gssize)at);
	return s->rest->len > MAX_EVENT_BYTES ? EVSTREAM_INVALID : EVSTREAM_OK;
}

/// Whether bytes of an event that isn't whole are left.
bool
evstream_has_partial(const struct evstream *s)
{
	return s->rest->len > 0;
}

/// Id of the newest event given out; 0: none.
uint64_t
evstream_last_id(const struct evstream *s)
{
	return s->last;
}

/// Number of events with an id given out.
uint32_t
evstream_n_events(const struct evstream *s)
{
	return s->count;
}
