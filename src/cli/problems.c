#include "cli/problems.h"

#include <jansson.h>

/// Prints the problems of a file, one a line; if there are none, status_last().
void
problems_print(
    FILE *out, const char *file, const struct spec_problems *problems)
{
	for (size_t i = 0; i < problems->n; i++) {
		const struct spec_problem *p = &problems->items[i];

		(void)fprintf(
		    out, "%s:%d: %s: %s\n", file, p->line, p->path, p->message);
	}
	if (problems->n == 0)
		(void)fprintf(out, "%s: %s\n", file, status_last());
}

/// Problems as a JSON array, to be released with json_decref().
json_t *
problems_json(const struct spec_problems *problems)
{
	json_t *list = json_array();

	for (size_t i = 0; i < problems->n; i++) {
		const struct spec_problem *p = &problems->items[i];
		json_t *item = json_object();

		json_object_set_new(item, "path", json_string(p->path));
		json_object_set_new(item, "line", json_integer(p->line));
		json_object_set_new(item, "message", json_string(p->message));
		json_array_append_new(list, item);
	}
	return list;
}
