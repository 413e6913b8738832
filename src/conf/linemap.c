#include "conf/linemap.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

struct linemap {
	GHashTable *lines; ///< path -> line
};

/// A walk over text that the JSON library has accepted, so that only the
/// characters that delimit values need a look.
struct walk {
	const char *at;
	const char *end;
	int line;
	GString *path;
	GHashTable *lines;
};

static void walk_value(struct walk *w);

static void
skip_blanks(struct walk *w)
{
	while (w->at < w->end && strchr(" \t\r\n,:", *w->at) != NULL) {
		if (*w->at == '\n')
			w->line++;
		w->at++;
	}
}

/// Steps over a string and adds its raw text to the path when asked.
static void
walk_string(struct walk *w, bool to_path)
{
	w->at++;
	while (w->at < w->end && *w->at != '"') {
		if (*w->at == '\\' && w->at + 1 < w->end)
			w->at++;
		if (to_path)
			g_string_append_c(w->path, *w->at);
		w->at++;
	}
	w->at++;
}

static void
walk_object(struct walk *w)
{
	const gsize mark = w->path->len;

	w->at++;
	for (skip_blanks(w); w->at < w->end && *w->at == '"'; skip_blanks(w)) {
		g_string_append_c(w->path, '.');
		walk_string(w, true);
		walk_value(w);
		g_string_truncate(w->path, mark);
	}
	w->at++;
}

static void
walk_array(struct walk *w)
{
	const gsize mark = w->path->len;
	int i = 0;

	w->at++;
	for (skip_blanks(w); w->at < w->end && *w->at != ']'; skip_blanks(w)) {
		g_string_append_printf(w->path, "[%d]", i++);
		walk_value(w);
		g_string_truncate(w->path, mark);
	}
	w->at++;
}

static void
walk_value(struct walk *w)
{
	skip_blanks(w);
	if (w->at >= w->end)
		return;
	g_hash_table_insert(
	    w->lines, g_strdup(w->path->str), GINT_TO_POINTER(w->line));
	if (*w->at == '{') {
		walk_object(w);
	} else if (*w->at == '[') {
		walk_array(w);
	} else if (*w->at == '"') {
		walk_string(w, false);
	} else {
		while (w->at < w->end && strchr(" \t\r\n,:]}", *w->at) == NULL)
			w->at++;
	}
}

/// Maps the values of a text to lines.
///
/// @param json  text that the JSON library has accepted
struct linemap *
linemap_new(const char *json, size_t len)
{
	struct linemap *m = g_new0(struct linemap, 1);
	struct walk w = {
		.at = json,
		.end = json + len,
		.line = 1,
		.path = g_string_new("$"),
	};

	m->lines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w.lines = m->lines;
	walk_value(&w);
	g_string_free(w.path, TRUE);
	return m;
}

/// Releases a map; NULL is allowed.
void
linemap_free(struct linemap *m)
{
	if (m == NULL)
		return;
	g_hash_table_destroy(m->lines);
	g_free(m);
}

/// Line of the value at a path, or else of the nearest value around it.
///
/// @return 1-based line; 0 when not even the path's beginning is there
int
linemap_line(const struct linemap *m, const char *path)
{
	char *at = g_strdup(path);
	int line = 0;
	char *dot;

	for (;;) {
		line = GPOINTER_TO_INT(g_hash_table_lookup(m->lines, at));
		dot = strrchr(at, '.');
		if (line != 0 || dot == NULL)
			break;
		*dot = '\0';
	}
	g_free(at);
	return line;
}
