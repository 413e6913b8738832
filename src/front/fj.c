#include "front/fj.h"

#include <stdlib.h>
#include <string.h>

#define FJ_TYPE "application/json"

/// Answers with a JSON value.
///
/// @param o  released here
void
fj_reply(struct fr *f, handle_t handle, int status, json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT | JSON_PRESERVE_ORDER);

	fr_reply(f, handle, status, NULL, FJ_TYPE, text, strlen(text));
	free(text);
	json_decref(o);
}
