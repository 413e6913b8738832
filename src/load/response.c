#include "load/response.h"

#include "load/expect.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#define DONE "[DONE]"

static void __attribute__((format(printf, 2, 3)))
wrong(struct loadgen_response *a, const char *fmt, ...)
{
	va_list ap;

	if (a->wrong)
		return;
	a->wrong = true;
	va_start(ap, fmt);
	(void)g_vsnprintf(a->why, sizeof(a->why), fmt, ap);
	va_end(ap);
}

static const char *
text_at(const json_t *o, const char *key)
{
	const char *s = json_string_value(json_object_get(o, key));

	return s != NULL ? s : "";
}

/// All chunks must carry the id that the head gave.
static void
check_id(struct loadgen_response *a, const char *id)
{
	if (a->id[0] == '\0')
		(void)g_strlcpy(a->id, id, sizeof(a->id));
	else if (strcmp(a->id, id) != 0)
		wrong(a, "id %s in the answer to %s", id, a->id);
}

static void
check_text(struct loadgen_response *a, const char *text)
{
	char token[LOADGEN_TOKEN_BYTES + 1];

	while (*text != '\0') {
		loadgen_token(a->item->prompt_hash, a->tokens, token);
		if (a->check &&
		    strncmp(text, token, LOADGEN_TOKEN_BYTES) != 0) {
			wrong(a, "token %u is '%.5s', not '%s'", a->tokens,
			    text, token);
			return;
		}
		if (!a->check) {
			a->tokens++;
			return;
		}
		a->tokens++;
		text += LOADGEN_TOKEN_BYTES;
	}
}

static void
check_length(struct loadgen_response *a, const json_t *usage)
{
	const json_int_t n =
	    json_integer_value(json_object_get(usage, "completion_tokens"));

	if (!a->check)
		return;
	if (n != (json_int_t)a->tokens)
		wrong(a, "usage says %d tokens, %u came", (int)n, a->tokens);
	if (a->tokens != a->item->n_tokens)
		wrong(
		    a, "%u tokens, %u expected", a->tokens, a->item->n_tokens);
}

static void
take_error(struct loadgen_response *a, const json_t *error)
{
	a->error = true;
	(void)g_strlcpy(
	    a->verdict, text_at(error, "verdict"), sizeof(a->verdict));
	(void)g_strlcpy(a->resume_token, text_at(error, "resume_token"),
	    sizeof(a->resume_token));
	if (!a->wrong)
		(void)g_strlcpy(
		    a->why, text_at(error, "message"), sizeof(a->why));
}

static void
take_choice(struct loadgen_response *a, const json_t *root)
{
	const json_t *choice =
	    json_array_get(json_object_get(root, "choices"), 0);
	const json_t *delta = json_object_get(choice, "delta");

	if (a->finished)
		wrong(a, "a chunk came after the last one");
	check_text(a, text_at(delta, "content"));
	check_text(a, text_at(choice, "text"));
	if (!json_is_string(json_object_get(choice, "finish_reason")))
		return;
	a->finished = true;
	check_length(a, json_object_get(root, "usage"));
}

/// Takes the data of one server-sent event.
void
loadgen_response_chunk(struct loadgen_response *a, const char *data, size_t len)
{
	json_t *root;

	if (len == strlen(DONE) && memcmp(data, DONE, len) == 0) {
		if (a->done || !a->finished)
			wrong(a, "end marker out of place");
		a->done = true;
		return;
	}
	root = json_loadb(data, len, 0, NULL);
	if (root == NULL) {
		wrong(a, "a chunk is not JSON");
		return;
	}
	if (json_object_get(root, "error") != NULL) {
		take_error(a, json_object_get(root, "error"));
	} else {
		check_id(a, text_at(root, "id"));
		take_choice(a, root);
	}
	json_decref(root);
}

static void
completion_body(struct loadgen_response *a, const json_t *root)
{
	const json_t *choice =
	    json_array_get(json_object_get(root, "choices"), 0);

	check_id(a, text_at(root, "id"));
	check_text(a, text_at(json_object_get(choice, "message"), "content"));
	check_text(a, text_at(choice, "text"));
	check_length(a, json_object_get(root, "usage"));
}

static void
plain_body(struct loadgen_response *a, const json_t *root)
{
	if (!a->check)
		return;
	check_id(a, text_at(root, "request_id"));
	if (strcmp(text_at(root, "path"), a->item->path) != 0)
		wrong(a, "answer for path '%s'", text_at(root, "path"));
}

/// Takes the whole body of an answer that was not streamed.
void
loadgen_response_body(struct loadgen_response *a, const char *body, size_t len)
{
	json_t *root = json_loadb(body, len, 0, NULL);

	a->done = true;
	a->finished = true;
	if (root == NULL)
		wrong(a, "the answer is not JSON");
	else if (a->item->completion)
		completion_body(a, root);
	else
		plain_body(a, root);
	json_decref(root);
}

/// Takes the body of an error.
void
loadgen_response_error(struct loadgen_response *a, const char *body, size_t len)
{
	json_t *root = json_loadb(body, len, 0, NULL);

	take_error(a, json_object_get(root, "error"));
	json_decref(root);
}
