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
line_end(struct loadgen_sse *s)
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
	const char *at = (const char *)bytes;
	const char *const end = at + len;

	while (at < end) {
		const char *nl = memchr(at, '\n', (size_t)(end - at));

		if (nl == NULL) {
			g_string_append_len(s->line, at, end - at);
			return;
		}
		g_string_append_len(s->line, at, nl - at);
		line_end(s);
		at = nl + 1;
	}
}
