#ifndef CLI_CLIENT_H
#define CLI_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "conf/settings.h"

/// Control processes that a subcommand sends requests to.
struct client {
	uint32_t n_endpoints;
	struct settings_addr endpoints[SETTINGS_MAX_PEERS];
	char token[SPEC_NAME_BYTES];       ///< "": none is sent
	char ca_file[SETTINGS_PATH_BYTES]; ///< PEM; "": plain HTTP
	uint32_t retry_timeout_ms;         ///< how long to retry
};

/// Response of a control process.
struct client_response {
	int http_status;
	char *body; ///< JSON text, to be released with free()
};

enum status client_from_settings(struct client *c, const char *file);
enum status client_add_endpoint(struct client *c, const char *address);
enum status client_read_token(struct client *c, const char *file);
enum status client_request(const struct client *c, const char *method,
    const char *path, const char *body, struct client_response *out);

#endif
