#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include "conf/bootstrap.h"
#include "loop/loop.h"

/// A gateway: takes callers' requests as they are, and passes them on to
/// backend servers that the platform's list names.
struct gateway;

enum status gateway_start(struct loop *loop,
    const struct bootstrap_settings *settings, struct gateway **out);
void gateway_stop(struct gateway *g);
void gateway_reload(
    struct gateway *g, const struct bootstrap_settings *settings);
void gateway_free(struct gateway *g);

#endif
