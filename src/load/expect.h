#ifndef LOAD_EXPECT_H
#define LOAD_EXPECT_H

#include <stddef.h>
#include <stdint.h>

/// The response of a stand-in runner to a prompt. Each token depends only on
/// the prompt and the token's index, so a caller can verify the exact text.

#define LOADGEN_TOKEN_BYTES 5 ///< Four hex digits and a space.
#define LOADGEN_BYTES_PER_PROMPT_TOKEN 4

uint64_t loadgen_prompt_hash(const char *prompt, size_t len);
uint32_t loadgen_expected_tokens(uint64_t prompt_hash, uint32_t max_tokens);
void loadgen_token(
    uint64_t prompt_hash, uint32_t i, char out[LOADGEN_TOKEN_BYTES + 1]);
char *loadgen_expected_text(uint64_t prompt_hash, uint32_t max_tokens);

#endif
