#ifndef REPORT_SL_WIRE_H
#define REPORT_SL_WIRE_H

#include "report/sl.h"

/// Snapshots of counters as text, for the message from an entry to control.

char *sl_snapshot_text(const struct sl_snapshot *snapshot);
enum status sl_merge_text(
    struct sl_history *h, uint64_t now_us, const char *text, size_t len);

#endif
