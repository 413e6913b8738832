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

struct deploy {
	struct deploy_shape shape;
	char folder[DEPLOY_PATH_BYTES];
	char bin[DEPLOY_PATH_BYTES]; ///< build folder
	struct process processes[DEPLOY_KINDS][MAX_PROCESSES];
	struct relay *relay;
	struct relay_link
	    *links; ///< by (kind, from, to), see deploy_link_index
};

extern const char *const deploy_kind_names[DEPLOY_KINDS];

size_t deploy_link_index(
    const struct deploy *d, enum deploy_kind kind, uint32_t from, uint32_t to);
char *deploy_settings_file(
    const struct deploy *d, enum deploy_kind kind, uint32_t i);
void deploy_write_settings(
    const struct deploy *d, enum deploy_kind kind, uint32_t i);

#endif
