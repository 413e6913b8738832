#ifndef CONTROL_CO_INTERNAL_H
#define CONTROL_CO_INTERNAL_H

#include <glib.h>

#include "back/httpc.h"
#include "base/logger.h"
#include "control/co.h"
#include "front/httpd.h"
#include "keys/tlsctx.h"
#include "loop/loop.h"
#include "replog/replica.h"
#include "report/sl.h"
#include "rollout/rollout.h"
#include "state/journal.h"
#include "state/journal_result.h"
#include "state/liveness.h"
#include "state/catalog.h"
#include "wire/transport.h"

#define CO_GROUPS (1 + JOURNAL_GROUP_COUNT)
#define CO_CONFIG_GROUP 0

/// One replicated group: number 0 is the configuration, 1 and up journals.
struct co_group {
	struct co *co;
	uint32_t number;
	struct replica *replica;
	struct journal *journal; ///< NULL for the configuration
	bool changing;           ///< a change of members is under way
	uint64_t
	    silent_since_us[SETTINGS_MAX_PEERS]; ///< per process; 0: active
};

/// An entry process that is connected here.
struct co_entry {
	handle_t link;
	char name[SPEC_NAME_BYTES];
	char data_centre[SPEC_NAME_BYTES];
	uint64_t incarnation;
	bool subscribed;
	uint64_t sent;  ///< sequence pushed to it
	uint64_t acked; ///< sequence it confirmed
	uint64_t acked_at_us;
	bool in_service;
};

/// A change of the configuration on its way to the entries.
struct co_change {
	uint64_t sequence;
	uint64_t applied_us;
};

/// Answer to co_propose() and co_query().
typedef void (*co_done)(
    void *arg, enum status status, const uint8_t *bytes, size_t len);

struct co {
	struct loop *loop;
	struct settings settings;
	struct transport *links;
	struct tlsctx *keys; ///< NULL: plain
	struct httpd *operators;
	struct httpc *http;
	struct co_group groups[CO_GROUPS];
	struct catalog *config;
	handle_t peers[SETTINGS_MAX_PEERS]; ///< dialled, as in settings.control
	GHashTable *entries;                ///< link -> struct co_entry
	GHashTable *asked;                  ///< tag -> forwarded question
	uint64_t next_tag;
	struct timerq_timer *spread; ///< push soon
	struct timerq_timer *tick;
	struct timerq_timer *end; ///< graceful stop
	uint64_t ready_since_us;  ///< config group; 0: not the leader
	struct liveness *list;    ///< what the VM list has shown
	GHashTable *resumed;      ///< request id -> time sent to an entry
	struct rollout_control *rollout;
	uint64_t rollout_sequence; ///< configuration it was built from
	bool rollout_lost;         ///< a decision was not committed
	GHashTable *names;         ///< rollout_key -> name
	GHashTable *runners;       ///< name -> what is known of its weights
	uint64_t fence;            ///< fencing number of this term; 0: none yet
	bool fencing;
	uint32_t n_loads; ///< orders under way
	uint64_t next_orders_us;
	struct sl_history *levels;
	GHashTable *late_moves; ///< versions complete after their time
	uint64_t next_sample_us;
	uint64_t next_save_us;
	bool polling_notices;
	bool polling_list;
	uint64_t next_poll_us;
	uint64_t next_expire_us;
	bool stopping;
	struct metrics_value *n_notes;
	struct metrics_value *n_conflicts;
	struct metrics_hist *accept_latency;
	struct metrics_hist *in_force_latency; ///< of a change, at all entries
	GQueue changes; ///< struct co_change not in force everywhere yet
};

/// co.c
bool co_leads(const struct co *c, uint32_t group);
void co_config_changed(struct co *c);

/// co_ask.c: commands and questions, here or at the leader
void co_propose(struct co *c, uint32_t group, const uint8_t *bytes, size_t len,
    co_done done, void *arg);
void co_propose_config(struct co *c, const struct catalog_command *command,
    co_done done, void *arg);
void co_query(struct co *c, const char *path, co_done done, void *arg);
void co_take_propose(struct co *c, handle_t link, const struct wire_propose *p);
void co_take_query(struct co *c, handle_t link, const struct wire_propose *p);
void co_take_outcome(struct co *c, const struct wire_outcome *o);
void co_asked_drop_link(struct co *c, handle_t link);
void co_asked_expire(struct co *c, uint64_t now_us);

void co_ignore(void *arg, enum status status, const uint8_t *bytes, size_t len);

/// co_answer.c: JSON that operators read
char *co_answer(struct co *c, const char *path, int *http_status);
char *co_result_json(const struct catalog_result *result);

/// co_spread.c: configuration to entries
void co_spread_hello(
    struct co *c, handle_t link, const struct wire_hello *hello);
void co_spread_message(struct co *c, handle_t link, const struct wire_msg *msg);
void co_spread_gone(struct co *c, handle_t link);
void co_spread_push(struct co *c);
void co_spread_leases(struct co *c);
void co_spread_note_change(struct co *c);
const struct co_entry *co_entry_live(
    const struct co *c, const char *name, uint64_t incarnation);
const struct co_entry *co_entry_any(const struct co *c, uint64_t pick);

/// co_rollout.c: decisions about versions (leader)
void co_rollout_tick(struct co *c, uint64_t now_us);
void co_rollout_evidence(
    struct co *c, handle_t link, const struct wire_bytes *b);
void co_rollout_reset(struct co *c);

/// co_members.c: who votes in the groups that this process leads
void co_members_tick(struct co *c);

/// co_journal.c: requests whose entry is gone
void co_journal_tick(struct co *c, uint64_t now_us);

/// co_orders.c: weights on runners (leader)
void co_orders_start(struct co *c);
void co_orders_reset(struct co *c);
void co_orders_tick(struct co *c, uint64_t now_us);
bool co_orders_holds(
    const struct co *c, const struct catalog_server *s, const char *version);

/// co_levels.c: service levels, from all entries
void co_levels_start(struct co *c);
void co_levels_save(struct co *c);
void co_levels_take(struct co *c, const struct wire_bytes *b);
void co_levels_tick(struct co *c, uint64_t now_us);
char *co_levels_report(struct co *c, enum sl_format format);

/// co_platform.c: reclaim notices and the VM list (leader)
void co_platform_tick(struct co *c, uint64_t now_us);

/// co_operators.c
enum status co_operators_start(struct co *c);

#endif
