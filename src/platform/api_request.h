#ifndef PLATFORM_API_REQUEST_H
#define PLATFORM_API_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "back/httpc.h"
#include "front/httpd.h"
#include "platform/api_signals.h"

/// Headers of callers' requests and of backend servers' responses: parsing, and
/// the lists of headers that are forwarded.

#define API_ID_BYTES 128
#define API_HOST_BYTES 256
#define API_EVENT_ID_BYTES 32
#define API_MAX_PROMPT_PARTS 16
/// A larger number of tokens is read as this many: no server has as much
/// memory.
#define API_MAX_TOKENS (1U << 24)
/// A larger figure is taken for an error.
#define API_MAX_PACE_PERCENT 10000

/// A part of a prompt. Prompts that begin with the same parts can share the KV
/// cache of these.
struct api_prompt_part {
	uint64_t id;
	uint32_t tokens;
};

/// Headers of a caller's request.
struct api_request {
	char id[API_ID_BYTES];     ///< "": the caller gave none
	char host[API_HOST_BYTES]; ///< lower case, without a port
	const char *key; ///< bearer token, the customer's API key, within the
			 ///< header; NULL: none
	bool has_deadline;
	uint32_t deadline_ms; ///< how long the caller waits
	bool has_tokens;
	uint64_t quota_tokens;  ///< of prompt and output, as the caller says
	uint32_t prompt_tokens; ///< at least those of its parts
	uint32_t output_tokens; ///< most that may be generated
	uint32_t length_hint;   ///< estimate of output tokens; 0: none
	bool resumes;           ///< resumes a stream after last_event
	uint64_t last_event;    ///< id of the last event received
	uint32_t n_parts;
	struct api_prompt_part parts[API_MAX_PROMPT_PARTS];
	bool bad; ///< a header is malformed
};

/// Headers of a backend server's response.
struct api_response {
	char id[API_ID_BYTES];       ///< of the request; "": not given
	char instance[API_ID_BYTES]; ///< the server's own id; "": not given
	bool stamped;                ///< the backend server itself produced it
	bool not_run;  ///< the backend server didn't run the request
	bool encoded;  ///< has a content encoding; a backend server uses none
	bool has_load; ///< the next three are set
	uint32_t running; ///< requests
	uint32_t waiting; ///< requests
	uint32_t slots;
	bool has_cold;    ///< the next one is set
	uint32_t cold_ms; ///< time for which it is still cold
	/// Time that work takes there now, in percent of the usual; 0: not
	/// given.
	uint32_t pace_percent;
	struct api_signals signals;
};

/// List of headers to forward; owns copies of their names and values.
struct api_headers;

void api_request_settle_tokens(struct api_request *request);
void api_request_read(
    struct httpd *f, handle_t handle, struct api_request *out);
void api_response_read(
    struct httpc *c, handle_t handle, struct api_response *out);

struct api_headers *api_headers_from_request(
    struct httpd *f, handle_t handle, bool drop_key);
struct api_headers *api_headers_from_relay(struct httpd *f, handle_t handle);
struct api_headers *api_headers_from_response(struct httpc *c, handle_t handle);
void api_headers_add(
    struct api_headers *h, const char *name, const char *value);
void api_headers_addf(struct api_headers *h, const char *name, const char *fmt,
    ...) __attribute__((format(printf, 3, 4)));
void api_headers_truncate(struct api_headers *h, size_t n);
size_t api_headers_count(const struct api_headers *h);
const struct httpc_header *api_headers_array(const struct api_headers *h);
const char *api_headers_find(const struct api_headers *h, const char *name);
void api_headers_free(struct api_headers *h);

#endif
