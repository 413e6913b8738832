#ifndef COMMON_HTTP_H
#define COMMON_HTTP_H

#include <stdint.h>

#include "back/httpc.h"

/// Blocking HTTP requests for tests, to 127.0.0.1.

#define HTTP_FIELD_BYTES 128

/// A response.
struct http_response {
	enum status status;
	int http_status; ///< 0 when no response came.
	char request_id[HTTP_FIELD_BYTES];
	char verdict[HTTP_FIELD_BYTES];
	char *body; ///< NUL-terminated, never NULL; see http_response_free.
};

/// A request.
struct http_request {
	uint16_t port;
	const char *method; ///< NULL: POST with a body, GET without
	const char *path;
	const char *body;
	const char *key;        ///< Idempotency-Key, or NULL
	const char *request_id; ///< X-Request-Id, or NULL
	const char *customer;   ///< X-Customer, or NULL
	const char *resume;     ///< X-Resume-Token, or NULL
	uint32_t timeout_ms;    ///< 0: 5 s
};

void http_request(const struct http_request *ask, struct http_response *out);
void http_response_free(struct http_response *answer);
int http_status(uint16_t port, const char *path);
char *http_get(uint16_t port, const char *path);
int64_t http_get_number(uint16_t port, const char *path, const char *key);
int http_post_settings(uint16_t port, const char *json);

#endif
