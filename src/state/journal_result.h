#ifndef STATE_JOURNAL_RESULT_H
#define STATE_JOURNAL_RESULT_H

#include "state/journal.h"

/// Encoding of journal results for messages between an entry and the leader of
/// a journal group.

/// A decoded result. Body and response of `record` point into the bytes that
/// were decoded.
struct journal_result_view {
	enum journal_status status;
	char message[128];
	bool has_record; ///< Whether `record` is set.
	struct journal_record record;
};

void journal_result_encode(
    const struct journal_result *result, uint8_t **bytes, size_t *len);
enum status journal_result_decode(
    const uint8_t *bytes, size_t len, struct journal_result_view *out);

#endif
