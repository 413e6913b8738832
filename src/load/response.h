#ifndef LOAD_RESPONSE_H
#define LOAD_RESPONSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "load/trace.h"

/// Reads one response and compares it with what the request should get.

#define LOADGEN_FIELD_BYTES 128

struct loadgen_response {
	const struct loadgen_request *request;
	bool verify_text; ///< The exact text of a stand-in is expected.
	uint32_t tokens;  ///< Received so far, resumes included.
	bool finished;    ///< The chunk with finish_reason was received.
	bool done;        ///< The end marker was received.
	bool mismatch;    ///< The response isn't the expected one.
	bool error;       ///< An error was received, in a body or a stream.
	char reason[LOADGEN_FIELD_BYTES]; ///< Of the mismatch or error.
	char id[LOADGEN_FIELD_BYTES];     ///< Request ID; "": not known yet.
	char verdict[LOADGEN_FIELD_BYTES];
	char resume_token[LOADGEN_FIELD_BYTES * 2];
};

void loadgen_response_chunk(
    struct loadgen_response *r, const char *data, size_t len);
void loadgen_response_body(
    struct loadgen_response *r, const char *body, size_t len);
void loadgen_response_error(
    struct loadgen_response *r, const char *body, size_t len);

#endif
