#ifndef ENTRY_ENTRY_H
#define ENTRY_ENTRY_H

#include "base/status.h"
#include "conf/settings.h"

/// An entry process: it receives callers' requests, applies the configuration
/// that control syncs to it, and serves each request through backend servers
/// until it has a complete response.

struct loop;
struct entry;

enum status entry_start(
    struct loop *loop, const struct settings *settings, struct entry **out);
void entry_stop(struct entry *e);
void entry_reload(struct entry *e, const struct settings *settings);
void entry_free(struct entry *e);

#endif
