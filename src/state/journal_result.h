#ifndef STATE_JOURNAL_RESULT_H
#define STATE_JOURNAL_RESULT_H

#include "state/journal.h"

/// Results and records of the journal as bytes, for messages between an
/// entry and the leader of a journal group.

/// What journal_result_decode() gives; pointers lead into the decoded bytes.
struct journal_result_view {
	enum journal_status outcome;
	char message[128];
	bool has_record;
	struct journal_record record;
};

void journal_result_encode(
    const struct journal_result *result, uint8_t **bytes, size_t *len);
enum status journal_result_decode(
    const uint8_t *bytes, size_t len, struct journal_result_view *out);

#endif
