#ifndef FRONT_FJ_H
#define FRONT_FJ_H

#include <jansson.h>

#include "front/fr.h"

/// Answers in JSON.

void fj_reply(struct fr *f, handle_t handle, int status, json_t *o);

#endif
