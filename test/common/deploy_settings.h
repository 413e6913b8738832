#ifndef COMMON_DEPLOY_SETTINGS_H
#define COMMON_DEPLOY_SETTINGS_H

#include <stddef.h>

#include "common/deploy.h"

/// Internals of a deployment, shared by deploy.c and deploy_settings.c.

#define MAX_PROCESSES 64
#define DEPLOY_PATH_BYTES 512

/// One process.
struct process {
	pid_t pid;
	uint16_t port; ///< for callers or of the stand-in; control: for peers
	uint16_t operators;
};

struct dp {
	struct dp_shape shape;
	char folder[DEPLOY_PATH_BYTES];
	char bin[DEPLOY_PATH_BYTES]; ///< build folder
	struct process processes[DP_KINDS][MAX_PROCESSES];
	struct relay *relay;
	struct relay_link *links; ///< by (kind, from, to), see deploy_link
};

extern const char *const deploy_kind_names[DP_KINDS];

size_t deploy_link(
    const struct dp *d, enum dp_kind kind, uint32_t from, uint32_t to);
char *deploy_settings_file(const struct dp *d, enum dp_kind kind, uint32_t i);
void deploy_write_settings(const struct dp *d, enum dp_kind kind, uint32_t i);

#endif
