#ifndef CLI_TG_H
#define CLI_TG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "conf/settings.h"

/// Control processes that a subcommand talks to.
struct tg {
	uint32_t n;
	struct settings_addr at[SETTINGS_MAX_PEERS];
	char token[SPEC_NAME_BYTES];
	char authority[SETTINGS_PATH_BYTES]; ///< "": plain
	uint32_t wait_ms;                    ///< how long to go on trying
};

/// What a control process answered.
struct tg_answer {
	int http_status;
	char *body; ///< JSON text, to be released with free()
};

enum status tg_from_settings(struct tg *t, const char *file);
enum status tg_add(struct tg *t, const char *address);
enum status tg_token_file(struct tg *t, const char *file);
enum status tg_ask(const struct tg *t, const char *method, const char *path,
    const char *body, struct tg_answer *out);

#endif
