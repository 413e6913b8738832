#ifndef ROLLOUT_VO_CODEC_H
#define ROLLOUT_VO_CODEC_H

#include "base/status.h"
#include "rollout/vo.h"

/// Evidence as bytes, for the message from an entry to control. Versions
/// that the entry has stopped by itself travel with it.

struct vo_message {
	struct vo_report report;
	uint32_t n_stopped;
	uint64_t stopped[VO_MAX_VERSIONS];
};

void vo_encode(const struct vo_report *report, const uint64_t *stopped,
    size_t n_stopped, uint8_t **bytes, size_t *len);
enum status vo_decode(const uint8_t *bytes, size_t len, struct vo_message *out);

#endif
