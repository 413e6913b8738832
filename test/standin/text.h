#ifndef STANDIN_TEXT_H
#define STANDIN_TEXT_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#define TEXT_TOKEN_BYTES 5
#define TEXT_BYTES_PER_PROMPT_TOKEN 4
#define TEXT_DEFAULT_MAX_TOKENS 64

char *text_prompt(const json_t *body);
uint64_t text_hash(const char *prompt, size_t len);
uint32_t text_prompt_tokens(size_t prompt_bytes);
uint32_t text_response_tokens(uint64_t prompt_hash, uint32_t max_tokens);
void text_token(
    uint64_t prompt_hash, uint32_t i, char out[TEXT_TOKEN_BYTES + 1]);

#endif
