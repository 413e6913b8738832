#include "load/response.h"

#include "load/expect.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#define DONE "[DONE]"

static void __attribute__((format(printf, 2, 3)))
record_mismatch(struct loadgen_response *r, const char *fmt, ...)
{
	va_list ap;

	if (r->mismatch)
		return;
	r->mismatch = true;
	va_start(ap, fmt);
	(void)g_vsnprintf(r->reason, sizeof(r->reason), fmt, ap);
	va_end(ap);
}

static const char *
string_member(const json_t *o, const char *key)
{
	const char *s = json_string_value(json_object_get(o, key));

	return s != NULL ? s : "";
}

/// Checks that a chunk or body has the request ID of the response's head, or
/// of the first chunk when the head had none.
static void
check_id(struct loadgen_response *r, const char *id)
{
	if (r->id[0] == '\0')
		(void)g_strlcpy(r->id, id, sizeof(r->id));
	else if (strcmp(r->id, id) != 0)
		record_mismatch(r, "id %s in the answer to %s", id, r->id);
}

/// Compares the tokens in `text` with the next ones expected. Without
/// verify_text, a text that isn't empty counts as one token.
static void
check_text(struct loadgen_response *r, const char *text)
{
	char token[LOADGEN_TOKEN_BYTES + 1];

	while (*text != '\0') {
		loadgen_token(r->request->prompt_hash, r->tokens, token);
		if (r->verify_text &&
		    strncmp(text, token, LOADGEN_TOKEN_BYTES) != 0) {
			record_mismatch(r, "token %u is '%.5s', not '%s'",
			    r->tokens, text, token);
			return;
		}
		if (!r->verify_text) {
			r->tokens++;
			return;
		}
		r->tokens++;
		text += LOADGEN_TOKEN_BYTES;
	}
}

/// Compares the number of received tokens with the usage in the response and
/// with the expected number.
static void
check_token_count(struct loadgen_response *r, const json_t *usage)
{
	const json_int_t n =
	    json_integer_value(json_object_get(usage, "completion_tokens"));

	if (!r->verify_text)
		return;
	if (n != (json_int_t)r->tokens)
		record_mismatch(
		    r, "usage says %d tokens, %u came", (int)n, r->tokens);
	if (r->tokens != r->request->n_tokens)
		record_mismatch(r, "%u tokens, %u expected", r->tokens,
		    r->request->n_tokens);
}

static void
read_error(struct loadgen_response *r, const json_t *error)
{
	r->error = true;
	(void)g_strlcpy(
	    r->verdict, string_member(error, "verdict"), sizeof(r->verdict));
	(void)g_strlcpy(r->resume_token, string_member(error, "resume_token"),
	    sizeof(r->resume_token));
	if (!r->mismatch)
		(void)g_strlcpy(r->reason, string_member(error, "message"),
		    sizeof(r->reason));
}

static void
read_choice(struct loadgen_response *r, const json_t *root)
{
	const json_t *choice =
	    json_array_get(json_object_get(root, "choices"), 0);
	const json_t *delta = json_object_get(choice, "delta");

	if (r->finished)
		record_mismatch(r, "a chunk came after the last one");
	check_text(r, string_member(delta, "content"));
	check_text(r, string_member(choice, "text"));
	if (!json_is_string(json_object_get(choice, "finish_reason")))
		return;
	r->finished = true;
	check_token_count(r, json_object_get(root, "usage"));
}

/// Reads the data of one server-sent event of a streamed response.
void
loadgen_response_chunk(struct loadgen_response *r, const char *data, size_t len)
{
	json_t *root;

	if (len == strlen(DONE) && memcmp(data, DONE, len) == 0) {
		if (r->done || !r->finished)
			record_mismatch(r, "end marker out of place");
		r->done = true;
		return;
	}
	root = json_loadb(data, len, 0, NULL);
	if (root == NULL) {
		record_mismatch(r, "a chunk is not JSON");
		return;
	}
	if (json_object_get(root, "error") != NULL) {
		read_error(r, json_object_get(root, "error"));
	} else {
		check_id(r, string_member(root, "id"));
		read_choice(r, root);
	}
	json_decref(root);
}

static void
check_completion_body(struct loadgen_response *r, const json_t *root)
{
	const json_t *choice =
	    json_array_get(json_object_get(root, "choices"), 0);

	check_id(r, string_member(root, "id"));
	check_text(
	    r, string_member(json_object_get(choice, "message"), "content"));
	check_text(r, string_member(choice, "text"));
	check_token_count(r, json_object_get(root, "usage"));
}

static void
check_service_body(struct loadgen_response *r, const json_t *root)
{
	if (!r->verify_text)
		return;
	check_id(r, string_member(root, "request_id"));
	if (strcmp(string_member(root, "path"), r->request->path) != 0)
		record_mismatch(
		    r, "answer for path '%s'", string_member(root, "path"));
}

/// Reads the complete body of a response that was not streamed.
void
loadgen_response_body(struct loadgen_response *r, const char *body, size_t len)
{
	json_t *root = json_loadb(body, len, 0, NULL);

	r->done = true;
	r->finished = true;
	if (root == NULL)
		record_mismatch(r, "the answer is not JSON");
	else if (r->request->completion)
		check_completion_body(r, root);
	else
		check_service_body(r, root);
	json_decref(root);
}

/// Reads the body of an error response.
void
loadgen_response_error(struct loadgen_response *r, const char *body, size_t len)
{
	json_t *root = json_loadb(body, len, 0, NULL);

	read_error(r, json_object_get(root, "error"));
	json_decref(root);
}
