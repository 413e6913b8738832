#ifndef STATE_CATALOG_INTERNAL_H
#define STATE_CATALOG_INTERNAL_H

#include <glib.h>

#include "state/catalog.h"
#include "state/namemap.h"

/// Internals of the catalog, for its own files.

/// Limits of what is kept; the oldest is dropped first.
#define CATALOG_MAX_NOTES 16384
#define CATALOG_MAX_NOTE_TEXT_BYTES ((size_t)8 * 1024 * 1024)
#define CATALOG_MAX_ROLLOUTS 4096
#define CATALOG_MAX_CHANGES 4096
#define CATALOG_MAX_CHANGE_BYTES ((size_t)8 * 1024 * 1024)

/// An accepted command that entries follow.
struct catalog_change {
	uint64_t sequence;
	size_t len;
	uint8_t *bytes; ///< Of catalog_encode(); owned.
};

/// Array of pointers that is appended to and drops items from its front.
struct catalog_list {
	void **items;
	size_t n;
	size_t capacity;
};

struct catalog {
	uint64_t revision;
	uint64_t sequence;
	uint64_t fence;      ///< Last fencing number given.
	uint64_t fence_term; ///< Term of the leader that took it.
	uint64_t notice;     ///< Number of the last reclaim notice applied.
	struct namemap tables[SPEC_KIND_COUNT]; ///< By enum spec_kind.
	struct namemap members;                 ///< Of struct catalog_member.
	struct catalog_list notes; ///< Of struct catalog_note, by revision.
	GHashTable *notes_by_name; ///< name -> struct catalog_note in `notes`
	/// Of struct catalog_rollout, by revision and version name.
	struct catalog_list rollouts;
	struct catalog_list changes; ///< Of struct catalog_change, by sequence.
	size_t text_bytes;           ///< Sum over the texts in `notes`.
	size_t change_bytes;         ///< Sum over `changes`.
	size_t n_texts_dropped; ///< Notes at the front of `notes` without text.
};

void catalog_list_append(struct catalog_list *l, void *item);
void catalog_list_drop_front(
    struct catalog_list *l, size_t n, void (*release)(void *));

void catalog_set_message(struct catalog_result *out,
    enum catalog_status outcome, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
bool catalog_decode(
    struct catalog_command *c, const uint8_t *bytes, size_t len);
void catalog_apply_note(struct catalog *s, const char *text, size_t len,
    struct catalog_result *out);
void catalog_apply_version(struct catalog *s, const struct catalog_command *c,
    struct catalog_result *out);
void catalog_note_free(void *note);
void catalog_store_note(struct catalog *s, struct catalog_note *note);
void catalog_store_rollout(
    struct catalog *s, const struct catalog_rollout *rollout);
void catalog_record_rollout(struct catalog *s, const struct catalog_version *v);
struct catalog_version *catalog_find_in_force(
    const struct namemap *versions, const char *pool);
const char *catalog_find_violation(const struct catalog *s, const char **where);
void catalog_check_invariants(const struct catalog *s);

#endif
