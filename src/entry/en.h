#ifndef ENTRY_EN_H
#define ENTRY_EN_H

#include "base/status.h"
#include "conf/settings.h"

/// An entry process: takes callers' requests, follows the configuration,
/// and answers each request whole through backend servers.

struct loop;
struct en;

enum status en_start(
    struct loop *loop, const struct settings *settings, struct en **out);
void en_stop(struct en *e);
void en_reload(struct en *e, const struct settings *settings);
void en_free(struct en *e);

#endif
