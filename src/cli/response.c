#include "cli/response.h"
#include "cli/exit_code.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#define HTTP_OK 200
#define HTTP_BAD 400
#define HTTP_CONFLICT 409

static int
code_of(int http_status)
{
	if (http_status == HTTP_OK)
		return CLI_OK;
	if (http_status == HTTP_CONFLICT)
		return CLI_CONFLICT;
	if (http_status == HTTP_BAD)
		return CLI_USAGE;
	return CLI_REFUSED;
}

/// Asks control and reads its JSON.
///
/// @param answer  receives the JSON, or NULL when there is none, which is
///                then said on standard error
/// @return exit code
int
response_fetch(const struct client *t, const char *method, const char *path,
    const char *body, struct client_response *a, json_t **answer)
{
	const enum status st = client_request(t, method, path, body, a);

	*answer = NULL;
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
	*answer = json_loads(a->body, 0, NULL);
	if (*answer == NULL) {
		(void)fprintf(
		    stderr, "answer %d is not JSON\n", a->http_status);
		return CLI_UNKNOWN;
	}
	return code_of(a->http_status);
}

/// Releases an answer.
void
response_free(struct client_response *a, json_t *answer)
{
	json_decref(answer);
	free(a->body);
	*a = (struct client_response){ 0 };
}

/// Text of a key, "" when there is none.
const char *
response_string(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text == NULL ? "" : text;
}

/// Number of a key, 0 when there is none.
long long
response_integer(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}
