#ifndef STATE_JOURNAL_INTERNAL_H
#define STATE_JOURNAL_INTERNAL_H

#include <glib.h>

#include "state/journal.h"

/// Inner side of the request journal, for its own files.

/// A record with its place in the journal's order.
struct journal_item {
	struct journal_record record;
	GList *at; ///< in `open`, or in `ended` once it has an outcome
};

struct journal {
	uint64_t now_us;            ///< Latest time that a command named.
	uint64_t newest_dropped_us; ///< Latest acceptance that was dropped.
	GQueue open;       ///< struct journal_item without outcome, as accepted
	GQueue ended;      ///< struct journal_item with an outcome, as ended
	GHashTable *by_id; ///< id -> struct journal_item
	GHashTable *by_key;    ///< "customer\nkey" -> struct journal_item
	uint64_t answer_bytes; ///< of `ended`
	uint64_t open_bytes;   ///< of `open`
};

struct codec;

char *journal_key_string(const char *customer, const char *key);
struct journal_item *journal_item_new(
    const uint8_t *body, size_t len, const uint8_t *answer, size_t n);
void journal_item_free(struct journal_item *item);
void journal_insert(struct journal *j, struct journal_item *item);
bool journal_decode(
    struct journal_command *c, const uint8_t *bytes, size_t len);

#endif
