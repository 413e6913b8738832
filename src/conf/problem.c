#include "conf/problem.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

/// Appends a problem to a list.
///
/// @param p     the list, to be released with spec_problems_free()
/// @param path  JSON path, truncated to SPEC_PATH_BYTES
/// @param line  line from 1; 0 when unknown
/// @param fmt   printf format of what is wrong and what is allowed; the message
///              is truncated to SPEC_MESSAGE_BYTES
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

/// Releases the items of a list, which is then empty and may be used again.
void
spec_problems_free(struct spec_problems *problems)
{
	free(problems->items);
	*problems = (struct spec_problems){ 0 };
}
