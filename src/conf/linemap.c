#include "conf/linemap.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

struct linemap {
	GHashTable *lines; ///< path -> line number from 1
};

/// State of a scan over a JSON text. The JSON library has already accepted the
/// text, so only the characters that delimit values are looked at.
struct scan {
	const char *at;
	const char *end;
	int line;
	GString *path;
	GHashTable *lines;
};

static void scan_value(struct scan *s);

/// Skips blanks, commas and colons, and counts lines.
static void
skip_separators(struct scan *s)
{
	while (s->at < s->end && strchr(" \t\r\n,:", *s->at) != NULL) {
		if (*s->at == '\n')
			s->line++;
		s->at++;
	}
}

/// Skips a string; with `to_path` its text, without the escaping backslashes,
/// is appended to the path.
static void
scan_string(struct scan *s, bool to_path)
{
	s->at++;
	while (s->at < s->end && *s->at != '"') {
		if (*s->at == '\\' && s->at + 1 < s->end)
			s->at++;
		if (to_path)
			g_string_append_c(s->path, *s->at);
		s->at++;
	}
	s->at++;
}

static void
scan_object(struct scan *s)
{
	const gsize parent_len = s->path->len;

	s->at++;
	for (skip_separators(s); s->at < s->end && *s->at == '"';
	     skip_separators(s)) {
		g_string_append_c(s->path, '.');
		scan_string(s, true);
		scan_value(s);
		g_string_truncate(s->path, parent_len);
	}
	s->at++;
}

static void
scan_array(struct scan *s)
{
	const gsize parent_len = s->path->len;
	int i = 0;

	s->at++;
	for (skip_separators(s); s->at < s->end && *s->at != ']';
	     skip_separators(s)) {
		g_string_append_printf(s->path, "[%d]", i++);
		scan_value(s);
		g_string_truncate(s->path, parent_len);
	}
	s->at++;
}

static void
scan_value(struct scan *s)
{
	skip_separators(s);
	if (s->at >= s->end)
		return;
	g_hash_table_insert(
	    s->lines, g_strdup(s->path->str), GINT_TO_POINTER(s->line));
	if (*s->at == '{') {
		scan_object(s);
	} else if (*s->at == '[') {
		scan_array(s);
	} else if (*s->at == '"') {
		scan_string(s, false);
	} else {
		while (s->at < s->end && strchr(" \t\r\n,:]}", *s->at) == NULL)
			s->at++;
	}
}

/// Maps the path of each value of a JSON text to its line.
///
/// @param json  text that the JSON library has accepted
/// @return the map, to be released with linemap_free()
struct linemap *
linemap_new(const char *json, size_t len)
{
	struct linemap *m = g_new0(struct linemap, 1);
	struct scan s = {
		.at = json,
		.end = json + len,
		.line = 1,
		.path = g_string_new("$"),
	};

	m->lines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s.lines = m->lines;
	scan_value(&s);
	g_string_free(s.path, TRUE);
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

/// Returns the line of the value at a path, or else of the nearest
/// object that contains it.
///
/// @return line from 1; 0 when not even the root is in the map
int
linemap_line(const struct linemap *m, const char *path)
{
	char *prefix = g_strdup(path);
	int line = 0;
	char *dot;

	for (;;) {
		line = GPOINTER_TO_INT(g_hash_table_lookup(m->lines, prefix));
		dot = strrchr(prefix, '.');
		if (line != 0 || dot == NULL)
			break;
		*dot = '\0';
	}
	g_free(prefix);
	return line;
}
