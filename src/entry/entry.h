#ifndef ENTRY_ENTRY_H
#define ENTRY_ENTRY_H

#include "base/status.h"
#include "conf/settings.h"

/// An entry process: takes callers' requests, follows the configuration,
/// and answers each request whole through backend servers.

struct loop;
struct entry;

enum status entry_start(
    struct loop *loop, const struct settings *settings, struct entry **out);
void entry_stop(struct entry *e);
void entry_reload(struct entry *e, const struct settings *settings);
void entry_free(struct entry *e);

#endif
