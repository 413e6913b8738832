#ifndef STATE_JR_H
#define STATE_JR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "base/verdict.h"
#include "conf/nt.h"

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
#define JR_GROUPS 2
#define JR_ID_BYTES 48
#define JR_KEY_BYTES 128
#define JR_TYPE_BYTES 64
/// Bodies of requests without outcome that one group holds at most.
#define JR_MAX_OPEN_BYTES (64UL * 1024 * 1024)

/// A start of an entry process.
struct jr_entry {
	char name[NT_NAME_BYTES];
	uint64_t incarnation;
};

enum jr_phase {
	JR_ACCEPTED,     ///< No permission given.
	JR_RUNNING,      ///< A permission was given, no outcome yet.
	JR_ANSWERED,     ///< Final: it ran, the answer is kept.
	JR_NOT_RUN,      ///< Final: nobody has sent or can send it.
	JR_MAY_HAVE_RUN, ///< Final: its outcome stays unknown.
};

/// One request. Pointers are valid until the next change of the journal.
struct jr_record {
	char id[JR_ID_BYTES];
	char key[JR_KEY_BYTES]; ///< Idempotency key, "" for none.
	char customer[NT_NAME_BYTES];
	char route[NT_PATH_BYTES];
	char content_type[JR_TYPE_BYTES];
	bool idempotent;
	uint64_t body_hash;
	const uint8_t *body; ///< NULL once it has an outcome.
	size_t len;
	uint64_t accepted_us;
	uint64_t deadline_us; ///< 0: none
	struct jr_entry owner;
	enum jr_phase phase;
	uint32_t n_permits;
	uint32_t attempt; ///< Last permission: its attempt, holder, target.
	struct jr_entry holder;
	char server[NT_NAME_BYTES];
	uint64_t ended_us; ///< 0: no outcome yet
	int http_status;
	char answer_type[JR_TYPE_BYTES];
	const uint8_t *answer;
	size_t answer_len;
};

enum jr_command_kind {
	/// Refused when its time is not after that of every acceptance that
	/// was dropped, so that a late copy can't begin anew, or when
	/// JR_MAX_OPEN_BYTES would be exceeded.
	JR_ACCEPT,
	JR_PERMIT,   ///< The single permission to send an attempt.
	JR_OUTCOME,  ///< What became of an attempt; the first one counts.
	JR_RETURN,   ///< The last permission comes back unused.
	JR_WITHDRAW, ///< "Not run": while no permission was given.
	JR_REASSIGN, ///< Another entry takes the request over.
	JR_EXPIRE,   ///< Drop old answers.
};

struct jr_command {
	enum jr_command_kind kind;
	uint64_t now_us;      ///< since 1970, of the proposer
	char id[JR_ID_BYTES]; ///< all but JR_EXPIRE
	union {
		struct {
			char key[JR_KEY_BYTES];
			char customer[NT_NAME_BYTES];
			char route[NT_PATH_BYTES];
			char content_type[JR_TYPE_BYTES];
			bool idempotent;
			uint64_t body_hash;
			const uint8_t *body;
			size_t len;
			uint64_t deadline_us;
			struct jr_entry owner;
		} accept;
		/// Only the owner gets it. The same permission asked again
		/// (lost answer) gives JR_SAME.
		struct {
			uint32_t attempt; ///< above the last one, 1 and up
			struct jr_entry holder;
			char server[NT_NAME_BYTES];
		} permit;
		/// VERDICT_NOT_RUN: only from the holder of the last
		/// permission, which gives it back before any byte left.
		struct {
			uint32_t attempt;
			struct jr_entry by;
			enum verdict verdict;
			int http_status;
			char answer_type[JR_TYPE_BYTES];
			const uint8_t *answer;
			size_t len;
		} outcome;
		/// Only from the holder, which has sent no byte under it and
		/// never will. Another permission may be given then.
		struct {
			uint32_t attempt;
			struct jr_entry by;
		} give_back;
		struct {
			struct jr_entry from; ///< the owner as known
			struct jr_entry to;
		} reassign;
		struct {
			uint64_t keep_us;
			uint64_t keep_bytes; ///< jr_answer_bytes(); 0: none
		} expire;
	};
};

enum jr_outcome {
	JR_DONE,       ///< Recorded now.
	JR_SAME,       ///< Recorded before: see the record.
	JR_REFUSED,    ///< Breaks a promise or comes late; see the message.
	JR_OTHER_BODY, ///< The key was used for another body.
	JR_UNKNOWN,    ///< No such request.
};

struct jr_result {
	enum jr_outcome outcome;
	const char *message; ///< static text for JR_REFUSED
	/// The record after the command, or NULL; for JR_ACCEPT with a key
	/// that was used before, the earlier record.
	const struct jr_record *record;
	size_t n_dropped; ///< JR_EXPIRE
};

struct jr;

struct jr *jr_new(void);
void jr_free(struct jr *j);

/// Group of a request, 1 .. n_groups: by customer and idempotency key so
/// that a resend at any entry finds it.
uint32_t jr_group_of(const char *customer, const char *key, uint32_t n_groups);
/// A request id that names its group, and the group of an id (0: none).
void jr_make_id(
    uint64_t random, uint64_t unique, uint32_t group, char out[JR_ID_BYTES]);
uint32_t jr_group_of_id(const char *id);
uint64_t jr_body_hash(const uint8_t *body, size_t len);

/// Bytes are released with free().
void jr_encode(const struct jr_command *c, uint8_t **bytes, size_t *len);
void jr_apply(
    struct jr *j, const uint8_t *bytes, size_t len, struct jr_result *out);

const struct jr_record *jr_by_id(const struct jr *j, const char *id);
const struct jr_record *jr_by_key(
    const struct jr *j, const char *customer, const char *key);

/// Visits requests without outcome in order of acceptance, until it gives
/// false. It must not change the journal.
typedef bool (*jr_visit)(void *arg, const struct jr_record *record);
/// @param owner  NULL for all, else only those of this entry
void jr_unfinished(const struct jr *j, const struct jr_entry *owner,
    jr_visit visit, void *arg);

size_t jr_count(const struct jr *j);
size_t jr_unfinished_count(const struct jr *j);
uint64_t jr_answer_bytes(const struct jr *j);

void jr_save(const struct jr *j, uint8_t **bytes, size_t *len);
enum status jr_load(const uint8_t *bytes, size_t len, struct jr **out);

/// State as named to callers: "accepted", "running", "answered", "not run",
/// "may have run".
const char *jr_phase_name(enum jr_phase phase);

#endif
