#ifndef LOAD_RESPONSE_H
#define LOAD_RESPONSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "load/trace.h"

/// Reading of one answer against what the request should get.

#define LOADGEN_FIELD_BYTES 128

struct loadgen_response {
	const struct loadgen_request *item;
	bool check;      ///< The exact text is expected.
	uint32_t tokens; ///< Seen so far, over resumes.
	bool finished;   ///< The chunk with finish_reason came.
	bool done;       ///< The end marker came.
	bool wrong;
	bool error;
	char why[LOADGEN_FIELD_BYTES]; ///< Of a wrong answer or an error.
	char id[LOADGEN_FIELD_BYTES];
	char verdict[LOADGEN_FIELD_BYTES];
	char resume_token[LOADGEN_FIELD_BYTES * 2];
};

void loadgen_response_chunk(
    struct loadgen_response *a, const char *data, size_t len);
void loadgen_response_body(
    struct loadgen_response *a, const char *body, size_t len);
void loadgen_response_error(
    struct loadgen_response *a, const char *body, size_t len);

#endif
