#ifndef CLI_RESPONSE_H
#define CLI_RESPONSE_H

#include "cli/client.h"

struct json_t;

int response_fetch(const struct client *c, const char *method, const char *path,
    const char *body, struct client_response *response, struct json_t **json);
void response_free(struct client_response *response, struct json_t *json);
const char *response_string(const struct json_t *object, const char *key);
long long response_integer(const struct json_t *object, const char *key);

#endif
