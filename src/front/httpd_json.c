#include "front/httpd_json.h"

#include <stdlib.h>
#include <string.h>

#define HTTPD_JSON_TYPE "application/json"

/// Answers with a JSON value.
///
/// @param o  released here
void
httpd_reply_json(struct httpd *f, handle_t handle, int status, json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT | JSON_PRESERVE_ORDER);

	httpd_reply(
	    f, handle, status, NULL, HTTPD_JSON_TYPE, text, strlen(text));
	free(text);
	json_decref(o);
}
