#ifndef STATE_CATALOG_H
#define STATE_CATALOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "conf/spec.h"

/// The catalog is the replicated configuration (group 0): a state machine
/// without I/O. Control processes apply committed commands with
/// catalog_apply(); entries follow with catalog_apply_changes() and
/// catalog_restore(). The same commands always give the same bytes of
/// catalog_snapshot().
///
/// `revision` counts the accepted release notes, `sequence` all changes that
/// entries follow. The change with sequence n is kept as the bytes of its
/// command.

/// Sizes of text fields, with the terminating NUL.
#define CATALOG_REASON_BYTES 128
#define CATALOG_MESSAGE_BYTES 256
/// Sum of the shares of a pool's versions.
#define CATALOG_FULL_SHARE_PERMILLE 1000

/// State of the rollout of a version.
enum catalog_phase {
	CATALOG_PHASE_WAITING,     ///< It has had no share yet.
	CATALOG_PHASE_ROLLING_OUT, ///< It has a share of its pool.
	CATALOG_PHASE_DONE, ///< It is, or was, the version in force of its
			    ///< pool.
	CATALOG_PHASE_ROLLED_BACK, ///< Final: rolled back, or withdrawn by a
				   ///< note before its rollout was done.
	CATALOG_PHASE_WITHDRAWN,   ///< Final: a note withdrew it after its
				   ///< rollout was done.
};

/// What reported first that a backend server is draining.
enum catalog_source {
	CATALOG_SOURCE_NOTICE,  ///< Reclaim notice of the platform.
	CATALOG_SOURCE_VM_LIST, ///< The platform's VM list.
	CATALOG_SOURCE_SERVER,  ///< The backend server itself.
	CATALOG_SOURCE_NOTE,    ///< A release note.
};

enum catalog_member_role {
	CATALOG_ROLE_ENTRY,
	CATALOG_ROLE_CONTROL,
};

/// A backend server: what its note says, and its current state.
struct catalog_server {
	struct spec_server spec;
	/// Sequence at which this incarnation was added or returned. For one
	/// name it only increases, also when the name is withdrawn and added
	/// again.
	uint64_t incarnation;
	bool draining;              ///< It gets no new requests.
	enum catalog_source source; ///< First report that it is draining.
	/// Earliest reported end of the server since 1970; 0: none.
	uint64_t drain_deadline_ms;
	uint64_t drain_sequence; ///< Sequence of the first report.
};

/// A version in a pool: what its note says, and its current state.
struct catalog_version {
	struct spec_version spec;
	enum catalog_phase phase;
	uint32_t share_permille; ///< Of its pool's requests.
	/// Whether it is the baseline of its pool: other versions get their
	/// share from it and return it to it.
	bool in_force;
	char previous[SPEC_NAME_BYTES];    ///< In force before it; "" for none.
	char reason[CATALOG_REASON_BYTES]; ///< Of the last change.
	uint64_t revision;                 ///< Of the note that added it.
	uint64_t changed_sequence; ///< Sequence of the last change of phase or
				   ///< share.
};

/// A process of the system.
struct catalog_member {
	char name[SPEC_NAME_BYTES];
	enum catalog_member_role role;
	char data_centre[SPEC_NAME_BYTES];
	char host[SPEC_HOST_BYTES];
	uint16_t port;
	uint64_t incarnation; ///< Of its disk (control) or its run (entry).
};

/// Progress of the rollout of a version that a note added. It is kept after
/// the version was withdrawn.
struct catalog_rollout {
	uint64_t revision; ///< Of the note.
	char version[SPEC_NAME_BYTES];
	char pool[SPEC_NAME_BYTES];
	enum catalog_phase phase;
	uint32_t share_permille;
	char reason[CATALOG_REASON_BYTES];
	uint64_t changed_sequence;
};

/// An accepted note. Of old notes the text is dropped first, and the rest
/// later.
struct catalog_note {
	char name[SPEC_NAME_BYTES];
	uint64_t content_hash;
	uint64_t revision;
	uint64_t sequence;
	const char *text; ///< Canonical JSON; owned by the catalog, valid
			  ///< until its next change. NULL when dropped.
};

enum catalog_command_kind {
	CATALOG_CMD_NOTE,          ///< Applies a release note.
	CATALOG_CMD_VERSION_SHARE, ///< Changes a version's phase or share.
	/// Marks a backend server as draining, or a data centre as being
	/// reclaimed with all its servers draining.
	CATALOG_CMD_DRAINING,
	/// Marks a draining backend server as live again, as a new incarnation.
	CATALOG_CMD_RETURNED,
	/// Takes the next fencing number. It has no sequence and entries don't
	/// follow it.
	CATALOG_CMD_FENCE,
	CATALOG_CMD_MEMBER_SET,    ///< Adds or changes a process of the system.
	CATALOG_CMD_MEMBER_REMOVE, ///< Removes a process of the system.
};

/// A command of the replicated log of group 0. Pointers in it are not owned.
struct catalog_command {
	enum catalog_command_kind kind;
	union {
		struct {
			const char *text; ///< JSON, need not be canonical.
			size_t len;
		} note;
		/// CATALOG_PHASE_DONE makes the version the one in force, with
		/// the share of both; CATALOG_PHASE_ROLLED_BACK returns its
		/// share. A stale decision, whose expected phase or share isn't
		/// the current one, gives CATALOG_CONFLICT.
		struct {
			char version[SPEC_NAME_BYTES];
			enum catalog_phase phase;
			/// Used with CATALOG_PHASE_ROLLING_OUT.
			uint32_t share_permille;
			enum catalog_phase expect_phase;
			uint32_t expect_share_permille;
			char reason[CATALOG_REASON_BYTES];
		} version_share;
		struct {
			char name[SPEC_NAME_BYTES];
			bool data_centre;     ///< Else a backend server.
			uint64_t incarnation; ///< Of the backend server.
			enum catalog_source source;
			uint64_t deadline_ms; ///< Deadline since 1970; 0: not
					      ///< stated.
			/// Number of the platform's reclaim notice, 0: none. A
			/// notice is applied once. It is accepted also when the
			/// name it states is unknown.
			uint64_t notice;
		} draining;
		struct {
			char server[SPEC_NAME_BYTES];
			uint64_t incarnation; ///< The one that was draining.
		} returned;
		struct {
			uint64_t term; ///< Of the leader that takes it.
		} fence;
		struct catalog_member member;
		struct {
			char name[SPEC_NAME_BYTES];
			uint64_t incarnation;
		} member_remove;
	};
};

enum catalog_status {
	CATALOG_ACCEPTED,
	CATALOG_UNCHANGED, ///< Already applied: the same note was resent, or
			   ///< the server is already draining.
	CATALOG_CONFLICT,  ///< An earlier command contradicts it; for a note,
			   ///< `winner` names the earlier note.
	CATALOG_INVALID, ///< Against a rule that `problems` or `message` name.
};

/// Result of a command. For a resent note `revision` and `sequence` are those
/// of its first acceptance, else the current ones. Release with
/// catalog_result_clear().
struct catalog_result {
	enum catalog_status status;
	uint64_t revision;
	uint64_t sequence;
	uint64_t fencing_number; ///< Fencing number given by CATALOG_CMD_FENCE.
	char winner[SPEC_NAME_BYTES]; ///< CATALOG_CONFLICT: note that was
				      ///< accepted earlier.
	char message[CATALOG_MESSAGE_BYTES];
	struct spec_problems problems;
};

struct catalog;

struct catalog *catalog_new(void);
void catalog_free(struct catalog *s);

/// Encodes a command for catalog_apply().
///
/// @param bytes  receives the bytes; release with free()
void catalog_encode(
    const struct catalog_command *c, uint8_t **bytes, size_t *len);
void catalog_apply(struct catalog *s, const uint8_t *bytes, size_t len,
    struct catalog_result *out);
void catalog_result_clear(struct catalog_result *r);
/// Gives the result that CATALOG_CMD_NOTE would have now, and changes nothing.
/// The problems have no line numbers.
///
/// @param out  receives the result; release with catalog_result_clear()
void catalog_dry_run_note(const struct catalog *s, const struct spec_note *note,
    struct catalog_result *out);

/// Encodes the whole catalog, except for the changes that are kept for
/// followers.
///
/// @param bytes  receives the bytes; release with free()
void catalog_snapshot(const struct catalog *s, uint8_t **bytes, size_t *len);
/// Makes a catalog from the bytes of catalog_snapshot().
///
/// @param out  receives the catalog, to be released with catalog_free(); NULL
///             on error
/// @return STATUS_OK, or STATUS_CORRUPT when the bytes are damaged or violate
///         an invariant
enum status catalog_restore(
    const uint8_t *bytes, size_t len, struct catalog **out);

/// Encodes the changes after a sequence: about max_bytes of them, but at least
/// one if there is any.
///
/// @param bytes  receives the bytes; release with free()
/// @param to     receives the sequence of the follower after these changes
/// @return STATUS_OK; STATUS_NOT_FOUND when some changes are no longer kept and
///         the follower needs catalog_snapshot(); STATUS_INVALID when the
///         sequence is ahead of the catalog
enum status catalog_changes(const struct catalog *s, uint64_t after,
    size_t max_bytes, uint8_t **bytes, size_t *len, uint64_t *to);
/// Applies the bytes of catalog_changes(). Changes already applied are skipped.
///
/// @return STATUS_OK; STATUS_CONFLICT, with nothing applied, when changes are
///         missing before the first one; STATUS_CORRUPT when the bytes are
///         damaged or a change does not apply
enum status catalog_apply_changes(
    struct catalog *s, const uint8_t *bytes, size_t len);

uint64_t catalog_revision(const struct catalog *s);
uint64_t catalog_sequence(const struct catalog *s);
uint64_t catalog_fence(const struct catalog *s);
uint64_t catalog_notice(const struct catalog *s);

/// Arrays of `n` items sorted by name (routes by path); owned by the catalog,
/// valid until its next change.
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

/// Lookups by name; NULL when there is none. The result is owned by the
/// catalog, valid until its next change.
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

/// Number of notes that are kept.
size_t catalog_note_count(const struct catalog *s);
/// Copies a kept note.
///
/// @param i  0 .. catalog_note_count() - 1, in order of revision
/// @return false when there is no such note
bool catalog_note_at(
    const struct catalog *s, size_t i, struct catalog_note *out);
/// Copies the kept note of a name.
///
/// @return false when there is no such note
bool catalog_note(
    const struct catalog *s, const char *name, struct catalog_note *out);
/// Copies the rollouts that the note of a revision started, in order of the
/// version's name.
///
/// @return how many there are, of which at most `max_out` were copied
size_t catalog_rollouts(const struct catalog *s, uint64_t revision,
    struct catalog_rollout *out, size_t max_out);

const char *catalog_phase_name(enum catalog_phase phase);
const char *catalog_source_name(enum catalog_source source);

#endif
