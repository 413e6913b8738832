#include "text.h"

#include "standin.h"

#include <glib.h>
#include <xxhash.h>

/// Builds the prompt text of a completion request: "prompt" as it is, or the
/// messages as lines of "role: content". The caller frees it.
char *
text_prompt(const json_t *body)
{
	const json_t *messages = json_object_get(body, "messages");
	const json_t *m;
	GString *s;
	size_t i;

	if (!json_is_array(messages))
		return g_strdup(standin_get_str(body, "prompt", ""));
	s = g_string_new(NULL);
	json_array_foreach(messages, i, m)
	{
		g_string_append_printf(s, "%s: %s\n",
		    standin_get_str(m, "role", ""),
		    standin_get_str(m, "content", ""));
	}
	return g_string_free(s, FALSE);
}

/// Hash of a prompt, which determines the whole response: every attempt
/// generates the same tokens.
uint64_t
text_hash(const char *prompt, size_t len)
{
	return XXH64(prompt, len, 0);
}

/// Number of tokens of a prompt.
uint32_t
text_prompt_tokens(size_t prompt_bytes)
{
	return (uint32_t)((prompt_bytes + TEXT_BYTES_PER_PROMPT_TOKEN - 1) /
	    TEXT_BYTES_PER_PROMPT_TOKEN);
}

/// Length in tokens of the response to a prompt: from half of `max_tokens` up
/// to `max_tokens`.
uint32_t
text_response_tokens(uint64_t prompt_hash, uint32_t max_tokens)
{
	const uint32_t half = max_tokens / 2;

	if (max_tokens < 2)
		return 1;
	return half + (uint32_t)(prompt_hash % (max_tokens - half + 1));
}

/// Token `i` of the response to a prompt.
void
text_token(uint64_t prompt_hash, uint32_t i, char out[TEXT_TOKEN_BYTES + 1])
{
	const uint64_t h = XXH64(&i, sizeof(i), prompt_hash);

	(void)g_snprintf(
	    out, TEXT_TOKEN_BYTES + 1, "%04x ", (unsigned)(h & 0xffff));
}
