#ifndef CONTROL_CONTROL_H
#define CONTROL_CONTROL_H

#include "base/status.h"
#include "conf/settings.h"

/// A control process. It is a member of the replicated groups (the
/// configuration and the request journals), syncs the configuration to the
/// entries and serves the operators' HTTP interface. The leader of the
/// configuration group also decides about rollouts, draining and weight
/// loads.

struct loop;
struct control;

enum status control_start(
    struct loop *loop, const struct settings *settings, struct control **out);
void control_stop(struct control *c);
void control_reload(struct control *c, const struct settings *settings);
void control_free(struct control *c);

#endif
