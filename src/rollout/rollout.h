#ifndef ROLLOUT_ROLLOUT_H
#define ROLLOUT_ROLLOUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Rollout of a pool from one version to another: cores without I/O.
///
/// An entry (struct rollout_entry) chooses the version of each request, keeps
/// statistics of the responses, stops a bad version by itself and reports the
/// statistics to control. The leading control process (struct rollout_control)
/// raises the share of a version in steps or rolls it back.
///
/// Pools and routes are identified by rollout_key() of their names, versions by
/// that or by rollout_version_key().
/// Times of the control side, deadlines included, are microseconds since 1970.

#define ROLLOUT_MAX_VERSIONS 8
#define ROLLOUT_MAX_REPORT_COUNTS 512
#define ROLLOUT_NO_DEADLINE 0
#define ROLLOUT_FULL_PERMILLE 1000 ///< All requests of a pool.

uint64_t rollout_key(const char *name);
uint64_t rollout_version_key(const char *pool, const char *version);

/// Share of a pool's requests that one version gets.
struct rollout_share {
	uint64_t version;
	uint32_t permille;
};

/// Traffic split of a pool: the shares of its versions, which sum to
/// ROLLOUT_FULL_PERMILLE.
struct rollout_split {
	uint64_t pool;
	uint64_t sequence; ///< A split replaces those of lower sequence.
	/// Baseline: the version that the others are compared with, and that
	/// gets the requests of a version stopped by an entry. While a complete
	/// rollout is monitored, it is the old version, with a share of 0.
	uint64_t baseline;
	uint32_t n;
	struct rollout_share shares[ROLLOUT_MAX_VERSIONS];
};

uint64_t rollout_pick_version(
    const struct rollout_split *split, uint64_t request_hash);

/// What is counted of a response, and what its buckets mean.
enum rollout_metric {
	ROLLOUT_METRIC_FAILED,      ///< bucket 0: response, 1: failure
	ROLLOUT_METRIC_TTFT,        ///< bucket of the time to first token
	ROLLOUT_METRIC_INTER_TOKEN, ///< bucket of the inter-token latency
	ROLLOUT_N_METRICS,
};

/// One response of a backend server, or its failure. Failures that say nothing
/// about the version (refused "not run", server draining, caller gone) must not
/// be recorded.
struct rollout_response {
	uint64_t pool;
	uint64_t version;
	uint64_t route; ///< Key of its path (entry) or its name (gateway).
	bool failed;
	uint64_t first_token_us; ///< 0: none
	uint64_t inter_token_us; ///< Mean over the response; 0: none
	uint32_t load_permille;  ///< Load of its server at dispatch.
};

/// A count of responses in one bucket of a cell of the rollout stats. Counts of
/// the same cell and bucket add up.
struct rollout_count {
	uint64_t pool;
	uint64_t version;
	uint64_t route;
	uint8_t load; ///< bucket of the server's load
	uint8_t metric;
	uint8_t bucket;
	uint32_t n;
};

/// Report of an entry to control. It is sent again unchanged until it is
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
    struct rollout_entry *e, const struct rollout_split *split);
uint64_t rollout_entry_pick(
    const struct rollout_entry *e, uint64_t pool, uint64_t request_hash);
uint64_t rollout_entry_baseline(const struct rollout_entry *e, uint64_t pool);
bool rollout_entry_record(
    struct rollout_entry *e, const struct rollout_response *response);
size_t rollout_entry_stopped(
    const struct rollout_entry *e, uint64_t *versions, size_t max);
const struct rollout_report *rollout_entry_report(struct rollout_entry *e);
void rollout_entry_acked(struct rollout_entry *e, uint64_t number);
void rollout_entry_resend_all(struct rollout_entry *e);

/// State of a rollout.
enum rollout_state {
	ROLLOUT_PENDING, ///< Weights not loaded, or another rollout of the pool
			 ///< goes first.
	ROLLOUT_PROGRESSING, ///< The version has a share, not yet all.
	ROLLOUT_MONITORING,  ///< Complete; the old version is kept loaded.
	ROLLOUT_DONE,        ///< Complete, no longer monitored; final.
	ROLLOUT_ROLLED_BACK, ///< The version was found bad; final.
	ROLLOUT_WITHDRAWN,   ///< Withdrawn by a release note; final.
};

/// Why a rollout was rolled back or withdrawn.
enum rollout_reason {
	ROLLOUT_REASON_NONE,
	ROLLOUT_REASON_FAILED,
	ROLLOUT_REASON_TTFT,
	ROLLOUT_REASON_INTER_TOKEN,
	ROLLOUT_REASON_ENTRY_STOPPED, ///< An entry stopped it on its own
				      ///< statistics.
	ROLLOUT_REASON_NOTE,
};

bool rollout_is_final(enum rollout_state state);
const char *rollout_state_name(enum rollout_state state);
const char *rollout_reason_name(enum rollout_reason reason);

/// A rollout of a pool from one version to another: the state that a new leader
/// needs to continue it.
struct rollout_record {
	uint64_t pool;
	uint64_t version;     ///< the new version
	uint64_t replaces;    ///< the old version
	uint64_t deadline_us; ///< ROLLOUT_NO_DEADLINE: as soon as is safe
	uint64_t added_us;    ///< when it was ordered
	uint64_t step_us;     ///< when its share was last set
	uint64_t done_us;     ///< when it was complete
	uint32_t share_permille;
	enum rollout_state state;
	enum rollout_reason reason;
};

enum rollout_effect_kind {
	ROLLOUT_SET_SHARE, ///< Commit rollout_control_split() of the pool and
			   ///< sync it to the entries.
	ROLLOUT_COMPLETE,  ///< As ROLLOUT_SET_SHARE; the rollout is complete
			   ///< and now monitored.
	ROLLOUT_ROLL_BACK, ///< As ROLLOUT_SET_SHARE; sync it before all else.
	ROLLOUT_FINISHED,  ///< As ROLLOUT_SET_SHARE; the old version may be
			   ///< unloaded.
};

/// A decision that the caller of rollout_control_tick() must carry out.
struct rollout_effect {
	enum rollout_effect_kind kind;
	struct rollout_record record; ///< State to be committed with it.
};

struct rollout_control;

/// Settings of the control side; a zero takes the default.
struct rollout_control_settings {
	uint32_t canary_permille; ///< first share of a version
	uint64_t step_us;         ///< shortest time at one share
	/// Time until entries apply a share and its responses are reported.
	uint64_t settle_us;
	uint64_t monitor_us;         ///< monitoring after a rollout is complete
	uint32_t responses_per_step; ///< needed before the share is raised
	double hold_evalue;     ///< e-value at which the share isn't raised
	double rollback_evalue; ///< e-value at which a version is rolled back
	/// With a deadline, a version keeps its first share until this long
	/// before it and then gets all. A bad version thus gets few requests,
	/// however late its fault shows. 0: the share is raised in steps.
	uint64_t full_before_us;
};

typedef void (*rollout_effect_cb)(
    void *arg, const struct rollout_effect *effect);

struct rollout_control *rollout_control_new(
    const struct rollout_control_settings *settings);
void rollout_control_free(struct rollout_control *c);
void rollout_control_set_pool(
    struct rollout_control *c, uint64_t pool, uint64_t version);
void rollout_control_clear(struct rollout_control *c);
void rollout_control_add(
    struct rollout_control *c, const struct rollout_record *record);
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
