#ifndef STATE_SM_H
#define STATE_SM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "conf/nt.h"

/// Replicated configuration (group 0): a state machine without I/O. Control
/// applies committed commands with sm_apply(); an entry follows with
/// sm_follow() and sm_load(). Equal commands give equal bytes of sm_save().
///
/// `revision` counts accepted notes, `sequence` every change that entries
/// follow. A change of sequence n is kept as its command's bytes.

#define SM_REASON_BYTES 128
#define SM_MESSAGE_BYTES 256
#define SM_SHARE_WHOLE_PERMILLE 1000

/// State of the move to a version.
enum sm_phase {
	SM_WAITING,    ///< Nothing has moved yet.
	SM_MOVING,     ///< It has a share of its pool.
	SM_DONE,       ///< It is, or was, the version in force of its pool.
	SM_TAKEN_BACK, ///< Final: its share went back.
	SM_WITHDRAWN,  ///< Final: a note withdrew it when it had no share.
};

/// Who said that a backend server leaves.
enum sm_source {
	SM_BY_NOTICE, ///< Reclaim notice of the cloud.
	SM_BY_LIST,   ///< VM list.
	SM_BY_SERVER, ///< Its own word.
	SM_BY_NOTE,   ///< A release note.
};

enum sm_member_role {
	SM_ENTRY,
	SM_CONTROL,
};

struct sm_server {
	struct nt_server conf;
	/// Sequence at which this incarnation was added or came back. It only
	/// grows, also over a withdrawal and a new addition of the name.
	uint64_t incarnation;
	bool leaving;           ///< It gets no new work.
	enum sm_source source;  ///< Who said so first.
	uint64_t leaving_at_ms; ///< Earliest stated end since 1970; 0: none.
	uint64_t leaving_as_of; ///< Sequence of the first word.
};

struct sm_version {
	struct nt_version conf;
	enum sm_phase phase;
	uint32_t share_permille;
	bool in_force; ///< Shares of others come from, and go back to, it.
	char previous[NT_NAME_BYTES]; ///< In force before it; "" for none.
	char reason[SM_REASON_BYTES];
	uint64_t revision; ///< Of the note that added it.
	uint64_t as_of;    ///< Sequence of the last change of phase or share.
};

struct sm_member {
	char name[NT_NAME_BYTES];
	enum sm_member_role role;
	char data_centre[NT_NAME_BYTES];
	char host[NT_HOST_BYTES];
	uint16_t port;
	uint64_t incarnation; ///< Of its disk (control) or start (entry).
};

/// What became of the move to a version that a note added.
struct sm_move {
	uint64_t revision;
	char version[NT_NAME_BYTES];
	char pool[NT_NAME_BYTES];
	enum sm_phase phase;
	uint32_t share_permille;
	char reason[SM_REASON_BYTES];
	uint64_t as_of;
};

/// An accepted note. The text of old ones is dropped before their names are.
struct sm_note {
	char name[NT_NAME_BYTES];
	uint64_t content_hash;
	uint64_t revision;
	uint64_t sequence;
	const char *text; ///< Canonical JSON; NULL when dropped.
};

enum sm_command_kind {
	SM_NOTE,     ///< A release note.
	SM_VERSION,  ///< A decision about a version's share.
	SM_LEAVING,  ///< A backend server, or a whole data centre, leaves.
	SM_RETURNED, ///< A backend server came back as a new incarnation.
	SM_FENCE,    ///< Take the next fencing number; not followed by entries.
	SM_MEMBER,   ///< A process of the system joined or changed.
	SM_GONE,     ///< A process of the system is gone for good.
};

struct sm_command {
	enum sm_command_kind kind;
	union {
		struct {
			const char *text; ///< JSON, best canonical
			size_t len;
		} note;
		/// SM_DONE takes the whole share of the version in force;
		/// SM_TAKEN_BACK gives the share back. Stale when the
		/// expected phase or share isn't the current one.
		struct {
			char version[NT_NAME_BYTES];
			enum sm_phase phase;
			uint32_t share_permille; ///< for SM_MOVING
			enum sm_phase expect_phase;
			uint32_t expect_share_permille;
			char reason[SM_REASON_BYTES];
		} version;
		struct {
			char name[NT_NAME_BYTES];
			bool data_centre;     ///< else a backend server
			uint64_t incarnation; ///< of the backend server
			enum sm_source source;
			uint64_t at_ms; ///< end since 1970, 0: not stated
			/// Number of the cloud's notice, 0: none. A notice is
			/// taken in once; it may name what isn't known.
			uint64_t notice;
		} leaving;
		struct {
			char server[NT_NAME_BYTES];
			uint64_t incarnation; ///< the one that had left
		} returned;
		struct {
			uint64_t term;
		} fence;
		struct sm_member member;
		struct {
			char name[NT_NAME_BYTES];
			uint64_t incarnation;
		} gone;
	};
};

enum sm_outcome {
	SM_ACCEPTED,
	SM_SAME,     ///< Already so: same note resent, server already leaving.
	SM_CONFLICT, ///< Another command won; `winner` names a note.
	SM_INVALID,  ///< Breaks a rule; `problems` or `message` say which.
};

/// Answer to a command. `revision` and `sequence` are those of the first
/// answer when a note is resent, else the current ones.
struct sm_result {
	enum sm_outcome outcome;
	uint64_t revision;
	uint64_t sequence;
	uint64_t fence;             ///< SM_FENCE accepted: the number
	char winner[NT_NAME_BYTES]; ///< SM_CONFLICT over a note
	char message[SM_MESSAGE_BYTES];
	struct nt_problems problems;
};

struct sm;

struct sm *sm_new(void);
void sm_free(struct sm *s);

/// Bytes are released with free().
void sm_encode(const struct sm_command *c, uint8_t **bytes, size_t *len);
void sm_apply(
    struct sm *s, const uint8_t *bytes, size_t len, struct sm_result *out);
void sm_result_clear(struct sm_result *r);
/// What SM_NOTE would answer now, without doing it; lines are not known.
void sm_try_note(
    const struct sm *s, const struct nt_note *note, struct sm_result *out);

/// Whole state as bytes, and back. The kept changes are not part of it.
void sm_save(const struct sm *s, uint8_t **bytes, size_t *len);
enum status sm_load(const uint8_t *bytes, size_t len, struct sm **out);

/// Changes after a sequence, at least one when there is one, at most about
/// max_bytes. STATUS_NOT_FOUND: older than what is kept, send sm_save().
///
/// @param to  receives the sequence that the follower will have reached
enum status sm_changes(const struct sm *s, uint64_t after, size_t max_bytes,
    uint8_t **bytes, size_t *len, uint64_t *to);
/// Applies what sm_changes() gave. Changes already applied are skipped; a
/// gap gives STATUS_CONFLICT and changes nothing; damage gives STATUS_CORRUPT.
enum status sm_follow(struct sm *s, const uint8_t *bytes, size_t len);

uint64_t sm_revision(const struct sm *s);
uint64_t sm_sequence(const struct sm *s);
uint64_t sm_fence(const struct sm *s);
uint64_t sm_notice(const struct sm *s);

/// Items sorted by name (routes by path); valid until the next change.
const struct sm_server *sm_servers(const struct sm *s, size_t *n);
const struct sm_version *sm_versions(const struct sm *s, size_t *n);
const struct nt_route *sm_routes(const struct sm *s, size_t *n);
const struct nt_customer *sm_customers(const struct sm *s, size_t *n);
const struct nt_data_centre *sm_data_centres(const struct sm *s, size_t *n);
const struct nt_pool *sm_pools(const struct sm *s, size_t *n);
const struct nt_vm_class *sm_vm_classes(const struct sm *s, size_t *n);
const struct nt_adapter *sm_adapters(const struct sm *s, size_t *n);
const struct sm_member *sm_members(const struct sm *s, size_t *n);

/// Lookups; NULL when there is none.
const struct sm_server *sm_server(const struct sm *s, const char *name);
const struct sm_version *sm_version(const struct sm *s, const char *name);
const struct sm_version *sm_in_force(const struct sm *s, const char *pool);
const struct nt_route *sm_route(const struct sm *s, const char *path);
const struct nt_customer *sm_customer(const struct sm *s, const char *name);
const struct nt_data_centre *sm_data_centre(
    const struct sm *s, const char *name);
const struct nt_pool *sm_pool(const struct sm *s, const char *name);
const struct nt_vm_class *sm_vm_class(const struct sm *s, const char *name);
const struct sm_member *sm_member(const struct sm *s, const char *name);

/// Notes in order of revision: the kept ones are 0 .. sm_n_notes() - 1.
size_t sm_n_notes(const struct sm *s);
bool sm_note_at(const struct sm *s, size_t i, struct sm_note *out);
bool sm_note(const struct sm *s, const char *name, struct sm_note *out);
/// Moves of the note of a revision, in order of the version's name.
///
/// @return how many there are, of which at most `room` were copied
size_t sm_moves(
    const struct sm *s, uint64_t revision, struct sm_move *out, size_t room);

const char *sm_phase_name(enum sm_phase phase);
const char *sm_source_name(enum sm_source source);

#endif
