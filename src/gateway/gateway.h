#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include "conf/bootstrap.h"
#include "loop/loop.h"

/// A gateway: forwards callers' HTTP requests to the backend servers of the
/// platform's list, and the responses to the callers. It retries failed
/// attempts as the route allows. Configuration and quotas come from control.
struct gateway;

enum status gateway_start(struct loop *loop,
    const struct bootstrap_settings *settings, struct gateway **out);
void gateway_stop(struct gateway *g);
void gateway_reload(
    struct gateway *g, const struct bootstrap_settings *settings);
void gateway_free(struct gateway *g);

#endif
