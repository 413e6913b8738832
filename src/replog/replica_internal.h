#ifndef REPLOG_REPLICA_INTERNAL_H
#define REPLOG_REPLICA_INTERNAL_H

#include "replog/replica.h"
#include "replog/replica_hello.h"

#include <glib.h>

/// A process that asked to be let in.
struct replica_joiner {
	uint32_t id;
	uint64_t heard_us;
};

/// Internals of the driver of a group.
struct replica {
	struct replica_config config;
	uint32_t self; ///< Member id of this disk.
	struct logstore_identity identity;
	struct timerq_timer *join; ///< Says hello while not led.
	/// Last hello of each initial voter.
	struct replica_hello hellos[RAFT_MAX_MEMBERS];
	struct replica_joiner joiners[RAFT_MAX_MEMBERS];
	bool repairing;
	bool warned; ///< That the group can't start.
	struct raft_core *core;
	struct logstore *disk;
	struct raft_effects fx;
	struct timerq_timer *tick;
	struct timerq_timer *turn; ///< Runs once in a loop turn with work.
	GQueue inputs;
	GHashTable *waits; ///< Tag to struct replica_waiter.
	uint64_t last_tag;
	GArray *need_snapshot; ///< uint32_t, members that wait for one.
	uint8_t *result;       ///< Of the entry applied last.
	size_t result_len;
	uint64_t applied;
	uint64_t snapshot;
	uint64_t bytes_at_snapshot;
	uint64_t installed_term; ///< Of a snapshot just installed, else 0.
	uint64_t sync_seq;
	uint64_t synced_seq;
	bool busy;
	bool failed;
	bool was_ready;
};

void replica_fail(struct replica *g, enum status st);
enum status replica_start_core(
    struct replica *g, const struct logstore_loaded *loaded);
bool replica_joiner_is_recent(
    const struct replica *g, const struct replica_joiner *j);

/* replica_join.c */
enum status replica_join_start(struct replica *g);
void replica_on_join_timer(void *arg, uint64_t now_us);
void replica_on_hello(struct replica *g, const uint8_t *bytes, size_t len);

#endif
