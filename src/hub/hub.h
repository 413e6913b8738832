#ifndef HUB_HUB_H
#define HUB_HUB_H

#include "conf/bootstrap.h"
#include "loop/loop.h"

/// A process of control in a deployment that finds itself by seeds: it keeps
/// the replicated state, tells gateways what is in force, and its leader does
/// the duties.
struct hub;

enum status hub_start(struct loop *loop,
    const struct bootstrap_settings *settings, struct hub **out);
void hub_stop(struct hub *h);
void hub_reload(struct hub *h, const struct bootstrap_settings *settings);
void hub_free(struct hub *h);

#endif
