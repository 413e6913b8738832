#ifndef ROLLOUT_ROLLOUT_CODEC_H
#define ROLLOUT_ROLLOUT_CODEC_H

#include "base/status.h"
#include "rollout/rollout.h"

/// Encoding of the rollout stats message from an entry to control: a report and
/// the versions that the entry has stopped by itself.

struct rollout_message {
	struct rollout_report report;
	uint32_t n_stopped;
	uint64_t stopped[ROLLOUT_MAX_VERSIONS];
};

void rollout_report_encode(const struct rollout_report *report,
    const uint64_t *stopped, size_t n_stopped, uint8_t **bytes, size_t *len);
enum status rollout_report_decode(
    const uint8_t *bytes, size_t len, struct rollout_message *out);

#endif
