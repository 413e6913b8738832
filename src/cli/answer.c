#include "cli/answer.h"
#include "cli/exit.h"

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
		return CMD_DONE;
	if (http_status == HTTP_CONFLICT)
		return CMD_CONFLICT;
	if (http_status == HTTP_BAD)
		return CMD_USAGE;
	return CMD_REFUSED;
}

/// Asks control and reads its JSON.
///
/// @param answer  receives the JSON, or NULL when there is none, which is
///                then said on standard error
/// @return exit code
int
answer_ask(const struct tg *t, const char *method, const char *path,
    const char *body, struct tg_answer *a, json_t **answer)
{
	const enum status st = tg_ask(t, method, path, body, a);

	*answer = NULL;
	if (st == STATUS_UNAVAILABLE) {
		(void)fprintf(
		    stderr, "refused: nothing was done: %s\n", status_last());
		return CMD_REFUSED;
	}
	if (st != STATUS_OK) {
		(void)fprintf(stderr,
		    "unknown: it is safe to send the same again: %s\n",
		    status_last());
		return CMD_UNKNOWN;
	}
	*answer = json_loads(a->body, 0, NULL);
	if (*answer == NULL) {
		(void)fprintf(
		    stderr, "answer %d is not JSON\n", a->http_status);
		return CMD_UNKNOWN;
	}
	return code_of(a->http_status);
}

/// Releases an answer.
void
answer_release(struct tg_answer *a, json_t *answer)
{
	json_decref(answer);
	free(a->body);
	*a = (struct tg_answer){ 0 };
}

/// Text of a key, "" when there is none.
const char *
answer_text(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text == NULL ? "" : text;
}

/// Number of a key, 0 when there is none.
long long
answer_number(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}
