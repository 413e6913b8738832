#ifndef CONTROL_CO_H
#define CONTROL_CO_H

#include "base/status.h"
#include "conf/cf.h"

/// A control process: replicated groups (configuration, request journals),
/// the spread of the configuration to entries, decisions of the leader, and
/// the operators' HTTP interface.

struct lp;
struct co;

enum status co_start(
    struct lp *loop, const struct cf_settings *settings, struct co **out);
void co_stop(struct co *c);
void co_reload(struct co *c, const struct cf_settings *settings);
void co_free(struct co *c);

#endif
