#include "conf/linemap.h"
#include "conf/spec.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

/// Number of the item of a name in a list of a note, -1 for none.
static int
find_item(const json_t *list, const char *name)
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
		if (g_strcmp0(json_string_value(key), name) == 0)
			return (int)i;
	}
	return -1;
}

/// Splits "$.section.list[name]rest".
///
/// @return the four parts between the marks, or NULL for another form
static gchar **
split_path(const char *path)
{
	GRegex *form = g_regex_new(
	    "^\\$\\.([a-z_]+)\\.([a-z]+)\\[([^]]+)\\](.*)$", 0, 0, NULL);
	GMatchInfo *match;
	gchar **parts = NULL;

	if (g_regex_match(form, path, 0, &match))
		parts = g_match_info_fetch_all(match);
	g_match_info_free(match);
	g_regex_unref(form);
	return parts;
}

/// Finds the place in a note of a mistake that names an item instead of its
/// number, and gives it path and line.
///
/// @param json     the note as it was sent
/// @param problem  left as it is when the place isn't found
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
