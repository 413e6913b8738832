#include "front/httpd_json.h"

#include <stdlib.h>
#include <string.h>

#define HTTPD_JSON_TYPE "application/json"

/// Sends a complete response with a JSON body.
///
/// @param value  the value; its reference is taken over
void
httpd_reply_json(struct httpd *f, handle_t handle, int status, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT | JSON_PRESERVE_ORDER);

	httpd_reply(
	    f, handle, status, NULL, HTTPD_JSON_TYPE, text, strlen(text));
	free(text);
	json_decref(value);
}
