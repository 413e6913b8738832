#ifndef PROOF_LOG_WORLD_H
#define PROOF_LOG_WORLD_H

#include "base/rnd.h"
#include "base/timerq.h"
#include "proof/log_disk.h"
#include "proof/log_history.h"
#include "replog/replica.h"

#include <glib.h>

/// Several members of one group in this process, with a fake network and
/// fake disks, and the invariants that hold over all of them.

#define WORLD_SLOTS 5

struct world;

struct world_node {
	struct world *world;
	uint32_t slot;
	struct log_disk *disk;
	struct timerq *tm;
	struct rnd *rnd;
	struct replica *replica; ///< NULL while it is down.
	bool died; ///< Its disk failed: to be closed after the step.
	bool frozen;
	bool opened;      ///< It ran at least once.
	double rate;      ///< Of its clock.
	uint64_t back_us; ///< When it thaws or restarts.
	GArray *list;     ///< uint64_t: the replicated state.
	GQueue mail;      ///< Messages that wait while it is frozen.
};

struct world {
	uint64_t seed;
	uint64_t now_us;
	struct rnd *rnd;
	GSequence *network; ///< struct letter, by time.
	uint64_t n_letters;
	GPtrArray *pending; ///< Operations, answered or not.
	struct world_node nodes[WORLD_SLOTS + 1]; ///< By slot, from 1.
	bool cut[WORLD_SLOTS + 1][WORLD_SLOTS + 1];
	uint32_t n_founders;
	uint64_t election_us;
	uint32_t batch_entries;
	double drop;
	double repeat;
	double delay_us;
	struct log_history *history;
	GHashTable *leaders; ///< Term to member id.
	GArray *applied;     ///< uint64_t value by log index, 0: no command.
	GArray *terms;       ///< uint64_t term by log index, 0: not committed.
	GArray *list;        ///< uint64_t: commands in order.
	char *breach;        ///< First breached invariant.
	uint64_t n_crashes, n_wipes, n_cuts, n_changes, n_elections;
};

struct world *world_new(uint64_t seed);
void world_free(struct world *w);
void world_run(struct world *w, uint64_t us);
void world_open(struct world *w, uint32_t slot);
void world_crash(struct world *w, uint32_t slot, bool power);
void world_check(struct world *w);
void world_heal(struct world *w);
void world_append(struct world *w, uint32_t slot);
void world_read(struct world *w, uint32_t slot);
struct world_node *world_leader(struct world *w);
void world_breach(struct world *w, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

#endif
