#ifndef STATE_JW_H
#define STATE_JW_H

#include "state/jr.h"

/// Results and records of the journal as bytes, for messages between an
/// entry and the leader of a journal group.

/// What jw_decode() gives; pointers lead into the decoded bytes.
struct jw_view {
	enum jr_outcome outcome;
	char message[128];
	bool has_record;
	struct jr_record record;
};

void jw_encode(const struct jr_result *result, uint8_t **bytes, size_t *len);
enum status jw_decode(const uint8_t *bytes, size_t len, struct jw_view *out);

#endif
