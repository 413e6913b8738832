#include "load/sse.h"

#include <glib.h>
#include <string.h>

#define PREFIX "data: "
#define PREFIX_BYTES 6

struct loadgen_sse {
	loadgen_sse_cb cb;
	void *arg;
	GString *line;
};

/// Creates a splitter that calls `cb` with `arg`.
struct loadgen_sse *
loadgen_sse_new(loadgen_sse_cb cb, void *arg)
{
	struct loadgen_sse *s = g_new0(struct loadgen_sse, 1);

	s->cb = cb;
	s->arg = arg;
	s->line = g_string_new(NULL);
	return s;
}

/// Frees a splitter; NULL is allowed.
void
loadgen_sse_free(struct loadgen_sse *s)
{
	if (s == NULL)
		return;
	g_string_free(s->line, TRUE);
	g_free(s);
}

static void
finish_line(struct loadgen_sse *s)
{
	GString *l = s->line;

	if (l->len > 0 && l->str[l->len - 1] == '\r')
		g_string_truncate(l, l->len - 1);
	if (l->len >= PREFIX_BYTES && memcmp(l->str, PREFIX, PREFIX_BYTES) == 0)
		s->cb(s->arg, l->str + PREFIX_BYTES, l->len - PREFIX_BYTES);
	g_string_truncate(l, 0);
}

/// Feeds the next bytes of the stream; calls back for each complete line that
/// begins with "data: ".
void
loadgen_sse_feed(struct loadgen_sse *s, const uint8_t *bytes, size_t len)
{
	const char *pos = (const char *)bytes;
	const char *const end = pos + len;

	while (pos < end) {
		const char *nl = memchr(pos, '\n', (size_t)(end - pos));

		if (nl == NULL) {
			g_string_append_len(s->line, pos, end - pos);
			return;
		}
		g_string_append_len(s->line, pos, nl - pos);
		finish_line(s);
		pos = nl + 1;
	}
}
