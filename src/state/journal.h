#ifndef STATE_JOURNAL_H
#define STATE_JOURNAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "base/verdict.h"
#include "conf/spec.h"

/// Request journal of one group (groups 1 and up): a state machine without
/// I/O. Requests of a route whose calls are accepted for later or may not
/// be repeated are recorded before they are accepted; the permission to
/// send and the outcome are records too.
///
/// Promises, checked by the journal itself: a request that is not
/// idempotent has at most one permission that its holder didn't give back
/// unused; "not run" is recorded only when there is none; an outcome never
/// changes; a request without an outcome is never dropped.

/// Journal groups of a deployment; ids and keys are spread over them, so that
/// entries and control must count alike.
#define JOURNAL_GROUP_COUNT 2
#define JOURNAL_ID_BYTES 48
#define JOURNAL_KEY_BYTES 128
#define JOURNAL_CONTENT_TYPE_BYTES 64
/// Bodies of requests without outcome that one group holds at most.
#define JOURNAL_MAX_OPEN_BYTES (64UL * 1024 * 1024)

/// A start of an entry process.
struct journal_node {
	char name[SPEC_NAME_BYTES];
	uint64_t incarnation;
};

enum journal_phase {
	JOURNAL_PHASE_ACCEPTED,     ///< No permission given.
	JOURNAL_PHASE_RUNNING,      ///< A permission was given, no outcome yet.
	JOURNAL_PHASE_ANSWERED,     ///< Final: it ran, the answer is kept.
	JOURNAL_PHASE_NOT_RUN,      ///< Final: nobody has sent or can send it.
	JOURNAL_PHASE_MAY_HAVE_RUN, ///< Final: its outcome stays unknown.
};

/// One request. Pointers are valid until the next change of the journal.
struct journal_record {
	char id[JOURNAL_ID_BYTES];
	char key[JOURNAL_KEY_BYTES]; ///< Idempotency key, "" for none.
	char customer[SPEC_NAME_BYTES];
	char route[SPEC_PATH_BYTES];
	char content_type[JOURNAL_CONTENT_TYPE_BYTES];
	bool idempotent;
	uint64_t body_hash;
	const uint8_t *body; ///< NULL once it has an outcome.
	size_t len;
	uint64_t accepted_us;
	uint64_t deadline_us; ///< 0: none
	struct journal_node owner;
	enum journal_phase phase;
	uint32_t n_permits;
	uint32_t attempt; ///< Last permission: its attempt, holder, target.
	struct journal_node holder;
	char server[SPEC_NAME_BYTES];
	uint64_t ended_us; ///< 0: no outcome yet
	int http_status;
	char answer_type[JOURNAL_CONTENT_TYPE_BYTES];
	const uint8_t *answer;
	size_t answer_len;
};

enum journal_command_kind {
	/// Refused when its time is not after that of every acceptance that
	/// was dropped, so that a late copy can't begin anew, or when
	/// JOURNAL_MAX_OPEN_BYTES would be exceeded.
	JOURNAL_CMD_ACCEPT,
	JOURNAL_CMD_PERMIT,  ///< The single permission to send an attempt.
	JOURNAL_CMD_OUTCOME, ///< What became of an attempt; the first one
			     ///< counts.
	JOURNAL_CMD_RETURN_PERMIT, ///< The last permission comes back unused.
	JOURNAL_CMD_WITHDRAW, ///< "Not run": while no permission was given.
	JOURNAL_CMD_REASSIGN, ///< Another entry takes the request over.
	JOURNAL_CMD_EXPIRE,   ///< Drop old answers.
};

struct journal_command {
	enum journal_command_kind kind;
	uint64_t now_us;           ///< since 1970, of the proposer
	char id[JOURNAL_ID_BYTES]; ///< all but JOURNAL_CMD_EXPIRE
	union {
		struct {
			char key[JOURNAL_KEY_BYTES];
			char customer[SPEC_NAME_BYTES];
			char route[SPEC_PATH_BYTES];
			char content_type[JOURNAL_CONTENT_TYPE_BYTES];
			bool idempotent;
			uint64_t body_hash;
			const uint8_t *body;
			size_t len;
			uint64_t deadline_us;
			struct journal_node owner;
		} accept;
		/// Only the owner gets it. The same permission asked again
		/// (lost answer) gives JOURNAL_DUPLICATE.
		struct {
			uint32_t attempt; ///< above the last one, 1 and up
			struct journal_node holder;
			char server[SPEC_NAME_BYTES];
		} permit;
		/// VERDICT_NOT_RUN: only from the holder of the last
		/// permission, which gives it back before any byte left.
		struct {
			uint32_t attempt;
			struct journal_node by;
			enum verdict verdict;
			int http_status;
			char answer_type[JOURNAL_CONTENT_TYPE_BYTES];
			const uint8_t *answer;
			size_t len;
		} outcome;
		/// Only from the holder, which has sent no byte under it and
		/// never will. Another permission may be given then.
		struct {
			uint32_t attempt;
			struct journal_node by;
		} give_back;
		struct {
			struct journal_node from; ///< the owner as known
			struct journal_node to;
		} reassign;
		struct {
			uint64_t keep_us;
			uint64_t
			    keep_bytes; ///< journal_response_bytes(); 0: none
		} expire;
	};
};

enum journal_status {
	JOURNAL_APPLIED,   ///< Recorded now.
	JOURNAL_DUPLICATE, ///< Recorded before: see the record.
	JOURNAL_REFUSED,   ///< Breaks a promise or comes late; see the message.
	JOURNAL_KEY_REUSED, ///< The key was used for another body.
	JOURNAL_NOT_FOUND,  ///< No such request.
};

struct journal_result {
	enum journal_status outcome;
	const char *message; ///< static text for JOURNAL_REFUSED
	/// The record after the command, or NULL; for JOURNAL_CMD_ACCEPT with a
	/// key that was used before, the earlier record.
	const struct journal_record *record;
	size_t n_dropped; ///< JOURNAL_CMD_EXPIRE
};

struct journal;

struct journal *journal_new(void);
void journal_free(struct journal *j);

/// Group of a request, 1 .. n_groups: by customer and idempotency key so
/// that a resend at any entry finds it.
uint32_t journal_group_of(
    const char *customer, const char *key, uint32_t n_groups);
/// A request id that names its group, and the group of an id (0: none).
void journal_make_id(uint64_t random, uint64_t unique, uint32_t group,
    char out[JOURNAL_ID_BYTES]);
uint32_t journal_group_of_id(const char *id);
uint64_t journal_body_hash(const uint8_t *body, size_t len);

/// Bytes are released with free().
void journal_encode(
    const struct journal_command *c, uint8_t **bytes, size_t *len);
void journal_apply(struct journal *j, const uint8_t *bytes, size_t len,
    struct journal_result *out);

const struct journal_record *journal_by_id(
    const struct journal *j, const char *id);
const struct journal_record *journal_by_key(
    const struct journal *j, const char *customer, const char *key);

/// Visits requests without outcome in order of acceptance, until it gives
/// false. It must not change the journal.
typedef bool (*journal_visit_cb)(
    void *arg, const struct journal_record *record);
/// @param owner  NULL for all, else only those of this entry
void journal_foreach_open(const struct journal *j,
    const struct journal_node *owner, journal_visit_cb visit, void *arg);

size_t journal_count(const struct journal *j);
size_t journal_open_count(const struct journal *j);
uint64_t journal_response_bytes(const struct journal *j);

void journal_snapshot(const struct journal *j, uint8_t **bytes, size_t *len);
enum status journal_restore(
    const uint8_t *bytes, size_t len, struct journal **out);

/// State as named to callers: "accepted", "running", "answered", "not run",
/// "may have run".
const char *journal_phase_name(enum journal_phase phase);

#endif
