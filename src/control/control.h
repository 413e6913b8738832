#ifndef CONTROL_CONTROL_H
#define CONTROL_CONTROL_H

#include "base/status.h"
#include "conf/settings.h"

/// A control process: replicated groups (configuration, request journals),
/// the spread of the configuration to entries, decisions of the leader, and
/// the operators' HTTP interface.

struct loop;
struct control;

enum status control_start(
    struct loop *loop, const struct settings *settings, struct control **out);
void control_stop(struct control *c);
void control_reload(struct control *c, const struct settings *settings);
void control_free(struct control *c);

#endif
