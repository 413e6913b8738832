#include "load/expect.h"

#include <glib.h>
#include <xxhash.h>

/// Hash of a prompt's text: that of the member "prompt", or for a chat a line
/// "role: content" for each message.
uint64_t
loadgen_prompt_hash(const char *prompt, size_t len)
{
	return XXH64(prompt, len, 0);
}

/// Number of tokens of the response: from half of `max_tokens` to all of them.
uint32_t
loadgen_expected_tokens(uint64_t prompt_hash, uint32_t max_tokens)
{
	const uint32_t half = max_tokens / 2;

	if (max_tokens < 2)
		return 1;
	return half + (uint32_t)(prompt_hash % (max_tokens - half + 1));
}

/// Writes token `i` of the response, NUL-terminated.
void
loadgen_token(
    uint64_t prompt_hash, uint32_t i, char out[LOADGEN_TOKEN_BYTES + 1])
{
	const uint64_t h = XXH64(&i, sizeof(i), prompt_hash);

	(void)g_snprintf(
	    out, LOADGEN_TOKEN_BYTES + 1, "%04x ", (unsigned)(h & 0xffff));
}

/// Returns the complete text of the response; the caller frees it with
/// g_free().
char *
loadgen_expected_text(uint64_t prompt_hash, uint32_t max_tokens)
{
	const uint32_t n = loadgen_expected_tokens(prompt_hash, max_tokens);
	GString *s = g_string_sized_new((gsize)n * LOADGEN_TOKEN_BYTES + 1);
	char token[LOADGEN_TOKEN_BYTES + 1];

	for (uint32_t i = 0; i < n; i++) {
		loadgen_token(prompt_hash, i, token);
		g_string_append(s, token);
	}
	return g_string_free(s, FALSE);
}
