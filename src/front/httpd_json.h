#ifndef FRONT_HTTPD_JSON_H
#define FRONT_HTTPD_JSON_H

#include <jansson.h>

#include "front/httpd.h"

/// JSON responses.

void httpd_reply_json(
    struct httpd *f, handle_t handle, int status, json_t *value);

#endif
