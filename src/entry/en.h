#ifndef ENTRY_EN_H
#define ENTRY_EN_H

#include "base/status.h"
#include "conf/cf.h"

/// An entry process: takes callers' requests, follows the configuration,
/// and answers each request whole through backend servers.

struct lp;
struct en;

enum status en_start(
    struct lp *loop, const struct cf_settings *settings, struct en **out);
void en_stop(struct en *e);
void en_reload(struct en *e, const struct cf_settings *settings);
void en_free(struct en *e);

#endif
