#include "conf/linemap.h"
#include "conf/spec.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

/// Returns the index of the item with a key (name or path) in a list of a
/// release note, or -1. An item that is a string is itself the key.
static int
find_item(const json_t *list, const char *wanted)
{
	size_t i;
	const json_t *item;

	json_array_foreach(list, i, item)
	{
		const json_t *key = json_object_get(item, "name");

		if (key == NULL)
			key = json_object_get(item, "path");
		if (key == NULL)
			key = item;
		if (g_strcmp0(json_string_value(key), wanted) == 0)
			return (int)i;
	}
	return -1;
}

/// Splits a path of the form "$.section.list[key]rest".
///
/// @return the whole match and then the four parts, to be released with
///         g_strfreev(); NULL if the path has another form
static gchar **
split_path(const char *path)
{
	GRegex *pattern = g_regex_new(
	    "^\\$\\.([a-z_]+)\\.([a-z]+)\\[([^]]+)\\](.*)$", 0, 0, NULL);
	GMatchInfo *match;
	gchar **parts = NULL;

	if (g_regex_match(pattern, path, 0, &match))
		parts = g_match_info_fetch_all(match);
	g_match_info_free(match);
	g_regex_unref(pattern);
	return parts;
}

/// Locates a problem in the text of a release note. A path that has an item's
/// key instead of its index, as "$.routes.add[/a].pool", is changed to have the
/// index; the line is set when it is unknown.
///
/// @param json     text of the release note
/// @param problem  changed in place; its path stays when the item isn't found
void
spec_find_line(const char *json, size_t len, struct spec_problem *problem)
{
	json_t *root = json_loadb(json, len, 0, NULL);
	gchar **parts = split_path(problem->path);
	struct linemap *lines;
	const json_t *list;
	int i;

	if (root != NULL && parts != NULL) {
		list =
		    json_object_get(json_object_get(root, parts[1]), parts[2]);
		i = find_item(list, parts[3]);
		if (i >= 0)
			(void)g_snprintf(problem->path, sizeof(problem->path),
			    "$.%s.%s[%d]%s", parts[1], parts[2], i, parts[4]);
	}
	if (root != NULL && problem->line == 0) {
		lines = linemap_new(json, len);
		problem->line = linemap_line(lines, problem->path);
		linemap_free(lines);
	}
	g_strfreev(parts);
	json_decref(root);
}
