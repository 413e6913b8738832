#ifndef STATE_JR_STATE_H
#define STATE_JR_STATE_H

#include <glib.h>

#include "state/jr.h"

/// Inner side of the request journal, for its own files.

/// A record with its place in the journal's order.
struct jr_item {
	struct jr_record record;
	GList *at; ///< in `open`, or in `ended` once it has an outcome
};

struct jr {
	uint64_t now_us;       ///< Latest time that a command named.
	uint64_t dropped_us;   ///< Latest acceptance that was dropped.
	GQueue open;           ///< struct jr_item without outcome, as accepted
	GQueue ended;          ///< struct jr_item with an outcome, as ended
	GHashTable *by_id;     ///< id -> struct jr_item
	GHashTable *by_key;    ///< "customer\nkey" -> struct jr_item
	uint64_t answer_bytes; ///< of `ended`
	uint64_t open_bytes;   ///< of `open`
};

struct codec;

char *jr_key_text(const char *customer, const char *key);
struct jr_item *jr_item_new(
    const uint8_t *body, size_t len, const uint8_t *answer, size_t n);
void jr_item_free(struct jr_item *item);
void jr_put(struct jr *j, struct jr_item *item);
bool jr_decode(struct jr_command *c, const uint8_t *bytes, size_t len);

#endif
