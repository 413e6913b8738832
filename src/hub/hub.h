#ifndef HUB_HUB_H
#define HUB_HUB_H

#include "conf/bootstrap.h"
#include "loop/loop.h"

/// A control process of a deployment whose processes find each other through
/// seed addresses. Each keeps a replica of the state (hub/hubstate.h) and has
/// links to the gateways. The leader alone sends them the configuration in
/// force and carries out the duties: calls to the cloud that only one process
/// may make.
struct hub;

enum status hub_start(struct loop *loop,
    const struct bootstrap_settings *settings, struct hub **out);
void hub_stop(struct hub *h);
void hub_reload(struct hub *h, const struct bootstrap_settings *settings);
void hub_free(struct hub *h);

#endif
