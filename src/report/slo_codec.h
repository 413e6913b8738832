#ifndef REPORT_SLO_CODEC_H
#define REPORT_SLO_CODEC_H

#include "report/slo.h"

/// Snapshots of counters as JSON text, for the message from an entry to
/// control.

char *slo_snapshot_encode(const struct slo_snapshot *snapshot);
enum status slo_merge_encoded(
    struct slo_history *h, uint64_t now_us, const char *text, size_t len);

#endif
