#include "cli/response.h"
#include "cli/exit_code.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#define HTTP_OK 200
#define HTTP_BAD 400
#define HTTP_CONFLICT 409

static int
to_exit_code(int http_status)
{
	if (http_status == HTTP_OK)
		return CLI_OK;
	if (http_status == HTTP_CONFLICT)
		return CLI_CONFLICT;
	if (http_status == HTTP_BAD)
		return CLI_USAGE;
	return CLI_REFUSED;
}

/// Sends a request to control and parses the JSON of the response.
///
/// @param response  receives the response
/// @param json      receives its JSON, or NULL when there is none, which is
///                  then reported on standard error; both are to be released
///                  with response_free()
/// @return exit code (enum cli_exit)
int
response_fetch(const struct client *c, const char *method, const char *path,
    const char *body, struct client_response *response, json_t **json)
{
	const enum status st = client_request(c, method, path, body, response);

	*json = NULL;
	if (st == STATUS_UNAVAILABLE) {
		(void)fprintf(
		    stderr, "refused: nothing was done: %s\n", status_last());
		return CLI_REFUSED;
	}
	if (st != STATUS_OK) {
		(void)fprintf(stderr,
		    "unknown: it is safe to send the same again: %s\n",
		    status_last());
		return CLI_UNKNOWN;
	}
	*json = json_loads(response->body, 0, NULL);
	if (*json == NULL) {
		(void)fprintf(stderr, "response with status %d is not JSON\n",
		    response->http_status);
		return CLI_UNKNOWN;
	}
	return to_exit_code(response->http_status);
}

/// Releases a response and its JSON, which may be NULL.
void
response_free(struct client_response *response, json_t *json)
{
	json_decref(json);
	free(response->body);
	*response = (struct client_response){ 0 };
}

/// String value of a key, "" when there is none; owned by the object.
const char *
response_string(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text == NULL ? "" : text;
}

/// Integer value of a key, 0 when there is none.
long long
response_integer(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}
