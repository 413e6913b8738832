#ifndef ROLLOUT_ROLLOUT_H
#define ROLLOUT_ROLLOUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Moving traffic between versions: cores without I/O.
///
/// An entry (struct rollout_entry) chooses the version of each request, keeps
/// evidence on its answers, stops a bad version by itself and sends what it
/// has seen to control. The leading control process (struct rollout_control)
/// raises the share of a version in steps or takes it back.
///
/// Versions, pools and routes are named by rollout_key() of their name. Times
/// of the control side are microseconds since 1970, as deadlines are.

#define ROLLOUT_MAX_VERSIONS 8
#define ROLLOUT_MAX_REPORT_COUNTS 512
#define ROLLOUT_NO_DEADLINE 0
#define ROLLOUT_FULL_PERMILLE 1000

uint64_t rollout_key(const char *name);
uint64_t rollout_version_key(const char *pool, const char *version);

/// Share of one version of a pool.
struct rollout_share {
	uint64_t version;
	uint32_t permille;
};

/// Shares of a pool's versions as configured at one sequence. They sum to
/// ROLLOUT_FULL_PERMILLE. base is the incumbent that the others are compared
/// with; what a version stopped by an entry would get goes to it. While a
/// complete move is watched, base is the old version, with a share of 0.
struct rollout_split {
	uint64_t pool;
	uint64_t sequence;
	uint64_t base;
	uint32_t n;
	struct rollout_share shares[ROLLOUT_MAX_VERSIONS];
};

uint64_t rollout_pick_version(
    const struct rollout_split *table, uint64_t request_hash);

/// What an answer counts towards.
enum rollout_metric {
	ROLLOUT_METRIC_FAILED,      ///< bucket 0: answered, 1: failed
	ROLLOUT_METRIC_TTFT,        ///< bucket of the time to the first token
	ROLLOUT_METRIC_INTER_TOKEN, ///< bucket of the time between tokens
	ROLLOUT_N_METRICS,
};

/// One answer of a backend server, or its failure. A failure that the server
/// is not to blame for (refused "not run", server leaving, caller gone) is
/// not an answer and isn't given.
struct rollout_response {
	uint64_t pool;
	uint64_t version;
	uint64_t route;
	bool failed;
	uint64_t first_token_us; ///< 0: none
	uint64_t inter_token_us; ///< Mean over the answer; 0: none
	uint32_t load_permille;  ///< Load of its server when it was sent there.
};

/// A count of evidence. Counts of one cell and bucket add up.
struct rollout_count {
	uint64_t pool;
	uint64_t version;
	uint64_t route;
	uint8_t load; ///< bucket of the server's load
	uint8_t metric;
	uint8_t bucket;
	uint32_t n;
};

/// What an entry tells control. It is sent again, unchanged, until it is
/// acknowledged; control counts each number once.
struct rollout_report {
	uint64_t entry;       ///< rollout_key() of the entry's name
	uint64_t incarnation; ///< of the entry's process
	uint64_t number;      ///< 1 and up
	uint32_t n;
	struct rollout_count counts[ROLLOUT_MAX_REPORT_COUNTS];
};

struct rollout_entry;

struct rollout_entry_settings {
	uint64_t entry;
	uint64_t incarnation;
	double stop_evalue; ///< e-value at which the entry stops; 0: default
};

struct rollout_entry *rollout_entry_new(
    const struct rollout_entry_settings *settings);
void rollout_entry_free(struct rollout_entry *e);
void rollout_entry_set_split(
    struct rollout_entry *e, const struct rollout_split *table);
uint64_t rollout_entry_pick(
    const struct rollout_entry *e, uint64_t pool, uint64_t request_hash);
uint64_t rollout_entry_baseline(const struct rollout_entry *e, uint64_t pool);
bool rollout_entry_record(
    struct rollout_entry *e, const struct rollout_response *a);
size_t rollout_entry_stopped(
    const struct rollout_entry *e, uint64_t *versions, size_t max);
const struct rollout_report *rollout_entry_report(struct rollout_entry *e);
void rollout_entry_acked(struct rollout_entry *e, uint64_t number);
void rollout_entry_resend_all(struct rollout_entry *e);

/// Where a move stands.
enum rollout_state {
	ROLLOUT_PENDING, ///< Weights not loaded, or another move goes first.
	ROLLOUT_PROGRESSING, ///< It has a share.
	ROLLOUT_MONITORING,  ///< Complete; the old version is kept loaded.
	ROLLOUT_DONE,        ///< Complete and no longer watched.
	ROLLOUT_ROLLED_BACK, ///< Shown bad: final.
	ROLLOUT_WITHDRAWN,   ///< Withdrawn by a note: final.
};

enum rollout_reason {
	ROLLOUT_REASON_NONE,
	ROLLOUT_REASON_FAILED,
	ROLLOUT_REASON_TTFT,
	ROLLOUT_REASON_INTER_TOKEN,
	ROLLOUT_REASON_ENTRY_STOPPED, ///< An entry stopped it on its own
				      ///< evidence.
	ROLLOUT_REASON_NOTE,
};

bool rollout_is_final(enum rollout_state state);
const char *rollout_state_name(enum rollout_state state);
const char *rollout_reason_name(enum rollout_reason reason);

/// A move of a pool from one version to another: all that the leader must
/// find again after a change of leader.
struct rollout_record {
	uint64_t pool;
	uint64_t version;
	uint64_t replaces;
	uint64_t deadline_us; ///< ROLLOUT_NO_DEADLINE: as soon as is safe
	uint64_t added_us;
	uint64_t step_us; ///< when its share was last set
	uint64_t done_us; ///< when it was complete
	uint32_t share_permille;
	enum rollout_state state;
	enum rollout_reason reason;
};

enum rollout_effect_kind {
	ROLLOUT_SET_SHARE, ///< Commit and spread rollout_control_split() of the
			   ///< pool.
	ROLLOUT_COMPLETE,  ///< As ROLLOUT_SET_SHARE; the move is complete,
			   ///< watching.
	ROLLOUT_ROLL_BACK, ///< As ROLLOUT_SET_SHARE; spread it before all else.
	ROLLOUT_FINISHED,  ///< As ROLLOUT_SET_SHARE; the old version may be
			   ///< unloaded.
};

/// move is the state to be committed with the effect.
struct rollout_effect {
	enum rollout_effect_kind kind;
	struct rollout_record move;
};

struct rollout_control;

/// A zero takes the default.
struct rollout_control_settings {
	uint32_t canary_permille;
	uint64_t step_us;   ///< shortest time at one share
	uint64_t settle_us; ///< time for a share to be in force and seen
	uint64_t watch_us;  ///< watching after a move is complete
	uint32_t responses_per_step; ///< wanted before the share is raised
	double hold_evalue;          ///< e-value that holds the share
	double rollback_evalue;      ///< e-value that takes a version back
	/// A version keeps its first share until so long before its deadline
	/// and then gets all: what a bad one is given stays small however late
	/// it shows. 0: in steps.
	uint64_t full_before_us;
};

typedef void (*rollout_effect_cb)(
    void *arg, const struct rollout_effect *effect);

struct rollout_control *rollout_control_new(
    const struct rollout_control_settings *settings);
void rollout_control_free(struct rollout_control *c);
void rollout_control_set_pool(
    struct rollout_control *c, uint64_t pool, uint64_t base);
void rollout_control_clear(struct rollout_control *c);
void rollout_control_add(
    struct rollout_control *c, const struct rollout_record *move);
void rollout_control_withdraw(struct rollout_control *c, uint64_t version);
void rollout_control_set_capacity(
    struct rollout_control *c, uint64_t version, uint32_t capacity_permille);
bool rollout_control_report(
    struct rollout_control *c, const struct rollout_report *report);
void rollout_control_entry_stopped(struct rollout_control *c, uint64_t version);
void rollout_control_tick(struct rollout_control *c, uint64_t now_us,
    rollout_effect_cb cb, void *arg);
bool rollout_control_split(
    const struct rollout_control *c, uint64_t pool, struct rollout_split *out);
bool rollout_control_get(const struct rollout_control *c, uint64_t version,
    struct rollout_record *out);

#endif
