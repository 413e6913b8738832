#ifndef STATE_JOURNAL_INTERNAL_H
#define STATE_JOURNAL_INTERNAL_H

#include <glib.h>

#include "state/journal.h"

/// Internals of the request journal, for its own files.

/// A record and its position in one of the journal's queues.
struct journal_item {
	struct journal_record record;
	GList *link; ///< In `open`, or in `finished` once it has an outcome.
};

struct journal {
	uint64_t now_us;            ///< Latest time of a command, since 1970.
	uint64_t newest_dropped_us; ///< Latest accepted_us of a dropped record.
	GQueue open;     ///< struct journal_item without outcome, by acceptance
	GQueue finished; ///< struct journal_item with an outcome, by its time
	GHashTable *by_id;       ///< id -> struct journal_item
	GHashTable *by_key;      ///< "customer\nkey" -> struct journal_item
	uint64_t response_bytes; ///< Sum over `finished`, for `keep_bytes`.
	uint64_t open_bytes;     ///< Sum over `open`; JOURNAL_MAX_OPEN_BYTES.
};

struct codec;

char *journal_key_string(const char *customer, const char *key);
struct journal_item *journal_item_new(const uint8_t *body, size_t body_len,
    const uint8_t *response, size_t response_len);
void journal_item_free(struct journal_item *item);
void journal_insert(struct journal *j, struct journal_item *item);
bool journal_decode(
    struct journal_command *c, const uint8_t *bytes, size_t len);

#endif
