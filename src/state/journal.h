#ifndef STATE_JOURNAL_H
#define STATE_JOURNAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "base/verdict.h"
#include "conf/spec.h"

/// Request journal of one group (groups 1 and up): a replicated state machine
/// without I/O. A request of an asynchronous or non-idempotent route is
/// recorded before the caller gets an acknowledgement; the permit to dispatch
/// an attempt and the outcome are recorded too.
///
/// Invariants, checked by the journal itself: a request that is not
/// idempotent has at most one dispatch permit that its holder didn't return
/// unused; "not run" is recorded only when there is no such permit; an outcome
/// never changes; a request without an outcome is never dropped.

/// Number of journal groups of a deployment. Requests are spread over the
/// groups by id and key, so entries and control processes must use the same
/// number.
#define JOURNAL_GROUP_COUNT 2
/// Sizes of text fields, with the terminating NUL.
#define JOURNAL_ID_BYTES 48
#define JOURNAL_KEY_BYTES 128
#define JOURNAL_CONTENT_TYPE_BYTES 64
/// Limit for the requests without outcome of one group: their bodies and a
/// fixed amount for each record.
#define JOURNAL_MAX_OPEN_BYTES (64UL * 1024 * 1024)

/// One run of an entry process: a restart gives another incarnation.
struct journal_node {
	char name[SPEC_NAME_BYTES];
	uint64_t incarnation;
};

enum journal_phase {
	JOURNAL_PHASE_ACCEPTED,     ///< No dispatch permit is outstanding.
	JOURNAL_PHASE_RUNNING,      ///< A permit was given; no outcome yet.
	JOURNAL_PHASE_ANSWERED,     ///< Final: it ran, the response is kept.
	JOURNAL_PHASE_NOT_RUN,      ///< Final: not sent and never will be.
	JOURNAL_PHASE_MAY_HAVE_RUN, ///< Final: whether it ran is unknown.
};

/// One request. `body` and `response` are owned by the journal and valid until
/// its next change.
struct journal_record {
	char id[JOURNAL_ID_BYTES];
	char key[JOURNAL_KEY_BYTES]; ///< Idempotency key, "" for none.
	char customer[SPEC_NAME_BYTES];
	char route[SPEC_PATH_BYTES];
	char content_type[JOURNAL_CONTENT_TYPE_BYTES];
	bool idempotent;
	uint64_t body_hash;        ///< Of journal_body_hash().
	const uint8_t *body;       ///< NULL once the request has an outcome.
	size_t body_len;           ///< Bytes of `body`.
	uint64_t accepted_us;      ///< Time of acceptance since 1970.
	uint64_t deadline_us;      ///< Since 1970; 0: none.
	struct journal_node owner; ///< Only this entry may get a permit.
	enum journal_phase phase;
	uint32_t n_permits; ///< Dispatch permits given and not returned.
	uint32_t attempt;   ///< Attempt of the last permit, 0: none yet.
	struct journal_node holder;   ///< Entry that got the last permit.
	char server[SPEC_NAME_BYTES]; ///< Backend server of the last permit.
	uint64_t outcome_us; ///< Time of the outcome since 1970; 0: none yet.
	int http_status;     ///< Of the response.
	char response_type[JOURNAL_CONTENT_TYPE_BYTES]; ///< Its content type.
	const uint8_t *response; ///< Body of the response.
	size_t response_len;     ///< Bytes of `response`.
};

enum journal_command_kind {
	/// Records a new request. Refused unless its time is after the
	/// acceptance of every request dropped so far, since it could be a
	/// late copy of one of them; refused too when JOURNAL_MAX_OPEN_BYTES
	/// would be exceeded.
	JOURNAL_CMD_ACCEPT,
	JOURNAL_CMD_PERMIT,  ///< Permits one entry to dispatch an attempt.
	JOURNAL_CMD_OUTCOME, ///< Records the outcome; later ones are refused.
	JOURNAL_CMD_RETURN_PERMIT, ///< Returns the last permit unused.
	JOURNAL_CMD_WITHDRAW,      ///< Records "not run" if no permit is given.
	JOURNAL_CMD_REASSIGN,      ///< Makes another entry the owner.
	JOURNAL_CMD_EXPIRE,        ///< Drops old requests that have an outcome.
};

/// A command of the group's replicated log. Pointers in it are not owned.
struct journal_command {
	enum journal_command_kind kind;
	uint64_t now_us;           ///< Clock of the proposer, since 1970.
	char id[JOURNAL_ID_BYTES]; ///< Unused in JOURNAL_CMD_EXPIRE.
	union {
		struct {
			char key[JOURNAL_KEY_BYTES];
			char customer[SPEC_NAME_BYTES];
			char route[SPEC_PATH_BYTES];
			char content_type[JOURNAL_CONTENT_TYPE_BYTES];
			bool idempotent;
			uint64_t body_hash; ///< Of journal_body_hash().
			const uint8_t *body;
			size_t len;           ///< Bytes of `body`.
			uint64_t deadline_us; ///< Since 1970; 0: none.
			struct journal_node owner;
		} accept;
		/// Refused unless `holder` is the owner. A repetition of the
		/// last permit (its result was lost) gives JOURNAL_DUPLICATE.
		struct {
			uint32_t attempt; ///< From 1; above the last one.
			struct journal_node holder;
			char server[SPEC_NAME_BYTES];
		} permit;
		/// VERDICT_NOT_RUN is taken only from the holder of the last
		/// permit, which must not have sent any byte.
		struct {
			uint32_t attempt;
			struct journal_node by; ///< Entry that reports it.
			enum verdict verdict;
			int http_status;
			char answer_type[JOURNAL_CONTENT_TYPE_BYTES];
			const uint8_t *answer;
			size_t len; ///< Bytes of `answer`.
		} outcome;
		/// Taken only from the holder, which has not sent and will not
		/// send any byte under this permit. Another permit may be given
		/// afterwards.
		struct {
			uint32_t attempt;
			struct journal_node by;
		} return_permit;
		/// Refused unless `from` is the owner.
		struct {
			struct journal_node from;
			struct journal_node to;
		} reassign;
		/// Drops requests whose outcome is older than keep_us, and the
		/// ones with the oldest outcomes above keep_bytes.
		struct {
			uint64_t keep_us;
			/// Limit of journal_response_bytes(); 0: none.
			uint64_t keep_bytes;
		} expire;
	};
};

enum journal_status {
	JOURNAL_APPLIED,    ///< The command was recorded.
	JOURNAL_DUPLICATE,  ///< Already recorded; `record` has the request.
	JOURNAL_REFUSED,    ///< Not allowed, or too late; see `message`.
	JOURNAL_KEY_REUSED, ///< The id or key was used with another body.
	JOURNAL_NOT_FOUND,  ///< No request has this id.
};

/// Result of a command.
struct journal_result {
	enum journal_status status;
	const char *message; ///< Static text; set for JOURNAL_REFUSED.
	/// The record after the command, or NULL; for JOURNAL_CMD_ACCEPT with a
	/// known id or key, the earlier record. Owned by the journal, valid
	/// until its next change.
	const struct journal_record *record;
	size_t n_dropped; ///< Requests that JOURNAL_CMD_EXPIRE dropped.
};

struct journal;

struct journal *journal_new(void);
void journal_free(struct journal *j);

/// Group of a request, 1 .. n_groups. It depends only on customer and
/// idempotency key, so that a resend through any entry finds the record.
uint32_t journal_group_of(
    const char *customer, const char *key, uint32_t n_groups);
/// Writes a request id that contains the number of its group.
///
/// @param unique  must differ between the ids that one process makes
void journal_make_id(uint64_t random, uint64_t unique, uint32_t group,
    char out[JOURNAL_ID_BYTES]);
/// Group named in a request id.
///
/// @return 1 and up, or 0 when the id names no group
uint32_t journal_group_of_id(const char *id);
uint64_t journal_body_hash(const uint8_t *body, size_t len);

/// Encodes a command for journal_apply().
///
/// @param bytes  receives the bytes; release with free()
void journal_encode(
    const struct journal_command *c, uint8_t **bytes, size_t *len);
void journal_apply(struct journal *j, const uint8_t *bytes, size_t len,
    struct journal_result *out);

const struct journal_record *journal_by_id(
    const struct journal *j, const char *id);
const struct journal_record *journal_by_key(
    const struct journal *j, const char *customer, const char *key);

/// Called for a request without outcome; must not change the journal.
///
/// @return false to stop
typedef bool (*journal_visit_cb)(
    void *arg, const struct journal_record *record);
/// Visits requests without outcome in order of acceptance.
///
/// @param owner  NULL for all, else only those of this entry
void journal_foreach_open(const struct journal *j,
    const struct journal_node *owner, journal_visit_cb visit, void *arg);

size_t journal_count(const struct journal *j);
size_t journal_open_count(const struct journal *j);
uint64_t journal_response_bytes(const struct journal *j);

void journal_snapshot(const struct journal *j, uint8_t **bytes, size_t *len);
enum status journal_restore(
    const uint8_t *bytes, size_t len, struct journal **out);

/// Name of a phase as callers see it: "accepted", "running", "answered",
/// "not run", "may have run".
const char *journal_phase_name(enum journal_phase phase);

#endif
