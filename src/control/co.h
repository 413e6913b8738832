#ifndef CONTROL_CO_H
#define CONTROL_CO_H

#include "base/status.h"
#include "conf/settings.h"

/// A control process: replicated groups (configuration, request journals),
/// the spread of the configuration to entries, decisions of the leader, and
/// the operators' HTTP interface.

struct loop;
struct co;

enum status co_start(
    struct loop *loop, const struct settings *settings, struct co **out);
void co_stop(struct co *c);
void co_reload(struct co *c, const struct settings *settings);
void co_free(struct co *c);

#endif
