#include "conf/problem.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

/// Adds a mistake to a list.
///
/// @param path  JSON path, cut when too long
/// @param line  1-based, 0 when unknown
/// @param fmt   printf format of what is wrong and what is allowed
void
problem_add(
    struct spec_problems *p, const char *path, int line, const char *fmt, ...)
{
	struct spec_problem *item;
	va_list ap;

	p->items = realloc(p->items, (p->n + 1) * sizeof(*p->items));
	if (p->items == NULL)
		abort();
	item = &p->items[p->n++];
	(void)snprintf(item->path, sizeof(item->path), "%s", path);
	item->line = line;
	va_start(ap, fmt);
	(void)vsnprintf(item->message, sizeof(item->message), fmt, ap);
	va_end(ap);
}

/// Releases the items of a list and empties it.
void
spec_problems_free(struct spec_problems *problems)
{
	free(problems->items);
	*problems = (struct spec_problems){ 0 };
}
