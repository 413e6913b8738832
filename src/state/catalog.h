#ifndef STATE_CATALOG_H
#define STATE_CATALOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "conf/spec.h"

/// Replicated configuration (group 0): a state machine without I/O. Control
/// applies committed commands with catalog_apply(); an entry follows with
/// catalog_apply_changes() and catalog_restore(). Equal commands give equal
/// bytes of catalog_snapshot().
///
/// `revision` counts accepted notes, `sequence` every change that entries
/// follow. A change of sequence n is kept as its command's bytes.

#define CATALOG_REASON_BYTES 128
#define CATALOG_MESSAGE_BYTES 256
#define CATALOG_FULL_SHARE_PERMILLE 1000

/// State of the move to a version.
enum catalog_phase {
	CATALOG_PHASE_WAITING,     ///< Nothing has moved yet.
	CATALOG_PHASE_ROLLING_OUT, ///< It has a share of its pool.
	CATALOG_PHASE_DONE, ///< It is, or was, the version in force of its
			    ///< pool.
	CATALOG_PHASE_ROLLED_BACK, ///< Final: its share went back.
	CATALOG_PHASE_WITHDRAWN,   ///< Final: a note withdrew it when it had no
				   ///< share.
};

/// Who said that a backend server leaves.
enum catalog_source {
	CATALOG_SOURCE_NOTICE,  ///< Reclaim notice of the cloud.
	CATALOG_SOURCE_VM_LIST, ///< VM list.
	CATALOG_SOURCE_SERVER,  ///< Its own word.
	CATALOG_SOURCE_NOTE,    ///< A release note.
};

enum catalog_member_role {
	CATALOG_ROLE_ENTRY,
	CATALOG_ROLE_CONTROL,
};

struct catalog_server {
	struct spec_server conf;
	/// Sequence at which this incarnation was added or came back. It only
	/// grows, also over a withdrawal and a new addition of the name.
	uint64_t incarnation;
	bool draining;              ///< It gets no new work.
	enum catalog_source source; ///< Who said so first.
	uint64_t
	    drain_deadline_ms;   ///< Earliest stated end since 1970; 0: none.
	uint64_t drain_sequence; ///< Sequence of the first word.
};

struct catalog_version {
	struct spec_version conf;
	enum catalog_phase phase;
	uint32_t share_permille;
	bool in_force; ///< Shares of others come from, and go back to, it.
	char previous[SPEC_NAME_BYTES]; ///< In force before it; "" for none.
	char reason[CATALOG_REASON_BYTES];
	uint64_t revision;         ///< Of the note that added it.
	uint64_t changed_sequence; ///< Sequence of the last change of phase or
				   ///< share.
};

struct catalog_member {
	char name[SPEC_NAME_BYTES];
	enum catalog_member_role role;
	char data_centre[SPEC_NAME_BYTES];
	char host[SPEC_HOST_BYTES];
	uint16_t port;
	uint64_t incarnation; ///< Of its disk (control) or start (entry).
};

/// What became of the move to a version that a note added.
struct catalog_rollout {
	uint64_t revision;
	char version[SPEC_NAME_BYTES];
	char pool[SPEC_NAME_BYTES];
	enum catalog_phase phase;
	uint32_t share_permille;
	char reason[CATALOG_REASON_BYTES];
	uint64_t changed_sequence;
};

/// An accepted note. The text of old ones is dropped before their names are.
struct catalog_note {
	char name[SPEC_NAME_BYTES];
	uint64_t content_hash;
	uint64_t revision;
	uint64_t sequence;
	const char *text; ///< Canonical JSON; NULL when dropped.
};

enum catalog_command_kind {
	CATALOG_CMD_NOTE,          ///< A release note.
	CATALOG_CMD_VERSION_SHARE, ///< A decision about a version's share.
	CATALOG_CMD_DRAINING, ///< A backend server, or a whole data centre,
			      ///< leaves.
	CATALOG_CMD_RETURNED, ///< A backend server came back as a new
			      ///< incarnation.
	CATALOG_CMD_FENCE, ///< Take the next fencing number; not followed by
			   ///< entries.
	CATALOG_CMD_MEMBER_SET, ///< A process of the system joined or changed.
	CATALOG_CMD_MEMBER_REMOVE, ///< A process of the system is gone for
				   ///< good.
};

struct catalog_command {
	enum catalog_command_kind kind;
	union {
		struct {
			const char *text; ///< JSON, best canonical
			size_t len;
		} note;
		/// CATALOG_PHASE_DONE takes the whole share of the version in
		/// force; CATALOG_PHASE_ROLLED_BACK gives the share back. Stale
		/// when the expected phase or share isn't the current one.
		struct {
			char version[SPEC_NAME_BYTES];
			enum catalog_phase phase;
			uint32_t
			    share_permille; ///< for CATALOG_PHASE_ROLLING_OUT
			enum catalog_phase expect_phase;
			uint32_t expect_share_permille;
			char reason[CATALOG_REASON_BYTES];
		} version;
		struct {
			char name[SPEC_NAME_BYTES];
			bool data_centre;     ///< else a backend server
			uint64_t incarnation; ///< of the backend server
			enum catalog_source source;
			uint64_t at_ms; ///< end since 1970, 0: not stated
			/// Number of the cloud's notice, 0: none. A notice is
			/// taken in once; it may name what isn't known.
			uint64_t notice;
		} draining;
		struct {
			char server[SPEC_NAME_BYTES];
			uint64_t incarnation; ///< the one that had left
		} returned;
		struct {
			uint64_t term;
		} fence;
		struct catalog_member member;
		struct {
			char name[SPEC_NAME_BYTES];
			uint64_t incarnation;
		} gone;
	};
};

enum catalog_status {
	CATALOG_ACCEPTED,
	CATALOG_UNCHANGED, ///< Already so: same note resent, server already
			   ///< leaving.
	CATALOG_CONFLICT,  ///< Another command won; `winner` names a note.
	CATALOG_INVALID, ///< Breaks a rule; `problems` or `message` say which.
};

/// Answer to a command. `revision` and `sequence` are those of the first
/// answer when a note is resent, else the current ones.
struct catalog_result {
	enum catalog_status outcome;
	uint64_t revision;
	uint64_t sequence;
	uint64_t fence; ///< CATALOG_CMD_FENCE accepted: the number
	char winner[SPEC_NAME_BYTES]; ///< CATALOG_CONFLICT over a note
	char message[CATALOG_MESSAGE_BYTES];
	struct spec_problems problems;
};

struct catalog;

struct catalog *catalog_new(void);
void catalog_free(struct catalog *s);

/// Bytes are released with free().
void catalog_encode(
    const struct catalog_command *c, uint8_t **bytes, size_t *len);
void catalog_apply(struct catalog *s, const uint8_t *bytes, size_t len,
    struct catalog_result *out);
void catalog_result_clear(struct catalog_result *r);
/// What CATALOG_CMD_NOTE would answer now, without doing it; lines are not
/// known.
void catalog_dry_run_note(const struct catalog *s, const struct spec_note *note,
    struct catalog_result *out);

/// Whole state as bytes, and back. The kept changes are not part of it.
void catalog_snapshot(const struct catalog *s, uint8_t **bytes, size_t *len);
enum status catalog_restore(
    const uint8_t *bytes, size_t len, struct catalog **out);

/// Changes after a sequence, at least one when there is one, at most about
/// max_bytes. STATUS_NOT_FOUND: older than what is kept, send
/// catalog_snapshot().
///
/// @param to  receives the sequence that the follower will have reached
enum status catalog_changes(const struct catalog *s, uint64_t after,
    size_t max_bytes, uint8_t **bytes, size_t *len, uint64_t *to);
/// Applies what catalog_changes() gave. Changes already applied are skipped; a
/// gap gives STATUS_CONFLICT and changes nothing; damage gives STATUS_CORRUPT.
enum status catalog_apply_changes(
    struct catalog *s, const uint8_t *bytes, size_t len);

uint64_t catalog_revision(const struct catalog *s);
uint64_t catalog_sequence(const struct catalog *s);
uint64_t catalog_fence(const struct catalog *s);
uint64_t catalog_notice(const struct catalog *s);

/// Items sorted by name (routes by path); valid until the next change.
const struct catalog_server *catalog_servers(
    const struct catalog *s, size_t *n);
const struct catalog_version *catalog_versions(
    const struct catalog *s, size_t *n);
const struct spec_route *catalog_routes(const struct catalog *s, size_t *n);
const struct spec_customer *catalog_customers(
    const struct catalog *s, size_t *n);
const struct spec_data_centre *catalog_data_centres(
    const struct catalog *s, size_t *n);
const struct spec_pool *catalog_pools(const struct catalog *s, size_t *n);
const struct spec_vm_class *catalog_vm_classes(
    const struct catalog *s, size_t *n);
const struct spec_adapter *catalog_adapters(const struct catalog *s, size_t *n);
const struct catalog_member *catalog_members(
    const struct catalog *s, size_t *n);

/// Lookups; NULL when there is none.
const struct catalog_server *catalog_server(
    const struct catalog *s, const char *name);
const struct catalog_version *catalog_version(
    const struct catalog *s, const char *name);
const struct catalog_version *catalog_version_in_force(
    const struct catalog *s, const char *pool);
const struct spec_route *catalog_route(
    const struct catalog *s, const char *path);
const struct spec_customer *catalog_customer(
    const struct catalog *s, const char *name);
const struct spec_data_centre *catalog_data_centre(
    const struct catalog *s, const char *name);
const struct spec_pool *catalog_pool(const struct catalog *s, const char *name);
const struct spec_vm_class *catalog_vm_class(
    const struct catalog *s, const char *name);
const struct catalog_member *catalog_member(
    const struct catalog *s, const char *name);

/// Notes in order of revision: the kept ones are 0 .. catalog_note_count() - 1.
size_t catalog_note_count(const struct catalog *s);
bool catalog_note_at(
    const struct catalog *s, size_t i, struct catalog_note *out);
bool catalog_note(
    const struct catalog *s, const char *name, struct catalog_note *out);
/// Moves of the note of a revision, in order of the version's name.
///
/// @return how many there are, of which at most `room` were copied
size_t catalog_rollouts(const struct catalog *s, uint64_t revision,
    struct catalog_rollout *out, size_t room);

const char *catalog_phase_name(enum catalog_phase phase);
const char *catalog_source_name(enum catalog_source source);

#endif
