#ifndef GATEWAY_GW_H
#define GATEWAY_GW_H

#include "conf/bootstrap.h"
#include "loop/loop.h"

/// A gateway: takes callers' requests as they are, and passes them on to
/// backend servers that the platform's list names.
struct gw;

enum status gw_start(struct loop *loop,
    const struct bootstrap_settings *settings, struct gw **out);
void gw_stop(struct gw *g);
void gw_reload(struct gw *g, const struct bootstrap_settings *settings);
void gw_free(struct gw *g);

#endif
