#include "back/respscan.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

/// Characters of a field's name besides letters and digits (RFC 9110, 5.6.2).
static const char name_punctuation[] = "!#$%&'*+-.^_`|~";

/// We ask for no other protocol.
#define STATUS_SWITCHING_PROTOCOLS 101

static void
fail(struct respscan *s, const char *why)
{
	s->state = RESPSCAN_INVALID;
	s->error = why;
}

/// Prepares for the response to a new request.
void
respscan_begin(struct respscan *s)
{
	*s = (struct respscan){ .state = RESPSCAN_STATUS_LINE };
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

/// Whether a line begins with a field's name and a colon.
static bool
is_field_line(const char *line)
{
	const char *at = line;

	while (isalnum((unsigned char)*at) ||
	    (*at != '\0' && strchr(name_punctuation, *at) != NULL))
		at++;
	return at > line && *at == ':';
}

static void
take_status_line(struct respscan *s)
{
	if (!is_status_line(s->line)) {
		fail(s, "the status line isn't one");
		return;
	}
	s->status = atoi(strchr(s->line, ' '));
	if (s->status == STATUS_SWITCHING_PROTOCOLS)
		fail(s, "the server switches protocols");
	else
		s->state = RESPSCAN_FIELDS;
}

/// The empty line after a head has come.
static void
end_head(struct respscan *s)
{
	s->state = respscan_is_interim(s->status) ? RESPSCAN_STATUS_LINE
						  : RESPSCAN_BODY;
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
		else if (!is_field_line(s->line))
			fail(s, "a header line has no name");
		break;
	case RESPSCAN_BODY:
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

		if (c == '\n') {
			const size_t n = s->line_len < sizeof(s->line)
			    ? s->line_len
			    : sizeof(s->line) - 1;

			s->line[n] = '\0';
			if (n > 0 && s->line[n - 1] == '\r')
				s->line[n - 1] = '\0';
			take_line(s);
			s->line_len = 0;
			return i + 1;
		}
		if ((c >= 0 && c < ' ' && c != '\t' && c != '\r') ||
		    c == '\x7f') {
			fail(s, "a control character in the head");
			return len;
		}
		if (s->line_len < sizeof(s->line) - 1)
			s->line[s->line_len] = c;
		s->line_len++;
	}
	return len;
}

/// Takes the next bytes of the response; those after its head are ignored.
void
respscan_feed(struct respscan *s, const uint8_t *bytes, size_t len)
{
	while (len > 0 &&
	    (s->state == RESPSCAN_STATUS_LINE || s->state == RESPSCAN_FIELDS)) {
		const size_t used = feed_line(s, bytes, len);

		bytes += used;
		len -= used;
	}
}
