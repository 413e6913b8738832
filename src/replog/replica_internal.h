#ifndef REPLOG_REPLICA_INTERNAL_H
#define REPLOG_REPLICA_INTERNAL_H

#include "replog/replica.h"
#include "replog/replica_hello.h"

#include <glib.h>

/// A process that asked to join.
struct replica_joiner {
	uint32_t id;
	uint64_t last_hello_us;
};

/// Internals of a replica, shared by its files.
struct replica {
	struct replica_config config;
	uint32_t self; ///< Member id of this disk.
	struct logstore_identity identity;
	struct timerq_timer
	    *join_timer; ///< Sends hellos while no leader is known.
	/// Last hello of each initial voter.
	struct replica_hello hellos[RAFT_MAX_MEMBERS];
	struct replica_joiner joiners[RAFT_MAX_MEMBERS];
	bool
	    change_pending; ///< A member change by replica_join.c is under way.
	bool warned;        ///< replog.start_blocked was logged.
	struct raft_core *core; ///< NULL until the disk has an origin.
	struct logstore *disk;
	struct raft_effects fx;
	struct timerq_timer *core_timer; ///< Timer of the core.
	struct timerq_timer
	    *run_timer; ///< Runs once per loop iteration that has work.
	struct timerq_timer *resume_timer; ///< See replica_suspend.c.
	GQueue inputs;       ///< struct replica_input, for the next run.
	GHashTable *waiters; ///< Tag to struct replica_waiter.
	uint64_t last_tag;
	GArray *need_snapshot; ///< uint32_t, ids of members that need one.
	uint8_t *result;       ///< Of the entry applied last.
	size_t result_len;
	uint64_t applied;           ///< Index of the entry applied last.
	uint64_t snapshot;          ///< Index of the newest snapshot.
	uint64_t bytes_at_snapshot; ///< Size of the log when it was saved.
	uint64_t installed_term;    ///< Of a snapshot just installed, else 0.
	uint64_t sync_seq;          ///< Newest sync that the core requested.
	uint64_t synced_seq;        ///< Newest one that is done.
	bool busy;      ///< A step of the core is being carried out.
	bool failed;    ///< Takes no part in the group; for good, or suspended.
	bool suspended; ///< The disk is full.
	uint64_t suspended_at_us;
	bool was_ready; ///< Last result of replica_is_ready() reported.
};

void replica_fail(struct replica *g, enum status status);
enum status replica_open_disk(struct replica *g);
enum status replica_start_core(
    struct replica *g, const struct logstore_loaded *loaded);
bool replica_joiner_is_recent(
    const struct replica *g, const struct replica_joiner *j);

/* replica_suspend.c */
void replica_suspend(struct replica *g);
void replica_on_resume_timer(void *arg, uint64_t now_us);

/* replica_join.c */
bool replica_origin_is_open(enum logstore_origin origin);
enum status replica_join_start(struct replica *g);
void replica_on_join_timer(void *arg, uint64_t now_us);
void replica_on_hello(struct replica *g, const uint8_t *bytes, size_t len);

#endif
