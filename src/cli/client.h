#ifndef CLI_CLIENT_H
#define CLI_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "conf/settings.h"

/// Control processes that a subcommand talks to.
struct client {
	uint32_t n;
	struct settings_addr at[SETTINGS_MAX_PEERS];
	char token[SPEC_NAME_BYTES];
	char authority[SETTINGS_PATH_BYTES]; ///< "": plain
	uint32_t wait_ms;                    ///< how long to go on trying
};

/// What a control process answered.
struct client_response {
	int http_status;
	char *body; ///< JSON text, to be released with free()
};

enum status client_from_settings(struct client *t, const char *file);
enum status client_add_endpoint(struct client *t, const char *address);
enum status client_read_token(struct client *t, const char *file);
enum status client_request(const struct client *t, const char *method,
    const char *path, const char *body, struct client_response *out);

#endif
