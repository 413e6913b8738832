#ifndef CONTROL_CONTROL_INTERNAL_H
#define CONTROL_CONTROL_INTERNAL_H

#include <glib.h>

#include "back/httpc.h"
#include "base/logger.h"
#include "control/control.h"
#include "front/httpd.h"
#include "keys/tlsctx.h"
#include "loop/loop.h"
#include "replog/replica.h"
#include "report/slo.h"
#include "rollout/rollout.h"
#include "state/journal.h"
#include "state/journal_result.h"
#include "state/liveness.h"
#include "state/catalog.h"
#include "wire/transport.h"

#define CONTROL_GROUPS (1 + JOURNAL_GROUP_COUNT)
#define CONTROL_CONFIG_GROUP 0

/// One replicated group: number 0 is the configuration, 1 and up journals.
struct control_group {
	struct control *co;
	uint32_t number;
	struct replica *replica;
	struct journal *journal; ///< NULL for the configuration
	bool changing;           ///< a change of members is under way
	uint64_t
	    silent_since_us[SETTINGS_MAX_PEERS]; ///< per process; 0: active
};

/// An entry process that is connected here.
struct control_entry {
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
struct control_change {
	uint64_t sequence;
	uint64_t applied_us;
};

/// Answer to control_propose() and control_query().
typedef void (*control_cb)(
    void *arg, enum status status, const uint8_t *bytes, size_t len);

struct control {
	struct loop *loop;
	struct settings settings;
	struct transport *links;
	struct tlsctx *keys; ///< NULL: plain
	struct httpd *operators;
	struct httpc *http;
	struct control_group groups[CONTROL_GROUPS];
	struct catalog *config;
	handle_t peers[SETTINGS_MAX_PEERS]; ///< dialled, as in settings.control
	GHashTable *entries;                ///< link -> struct control_entry
	GHashTable *asked;                  ///< tag -> forwarded question
	uint64_t next_tag;
	struct timerq_timer *spread; ///< push soon
	struct timerq_timer *tick;
	struct timerq_timer *end; ///< graceful stop
	uint64_t ready_since_us;  ///< config group; 0: not the leader
	struct liveness *list;    ///< what the VM list has shown
	GHashTable *resumed;      ///< request id -> time sent to an entry
	struct rollout_control *rollout;
	uint64_t rollout_sequence;  ///< configuration it was built from
	bool rollout_commit_failed; ///< a decision was not committed
	GHashTable *names;          ///< rollout_key -> name
	GHashTable *runners;        ///< name -> what is known of its weights
	uint64_t fence; ///< fencing number of this term; 0: none yet
	bool fencing;
	uint32_t n_loads; ///< orders under way
	uint64_t next_weights_us;
	struct slo_history *levels;
	GHashTable *late_rollouts; ///< versions complete after their time
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
	struct metrics_hist
	    *propagation_latency; ///< of a change, at all entries
	GQueue changes; ///< struct control_change not in force everywhere yet
};

/// control.c
bool control_is_leader(const struct control *c, uint32_t group);
void control_config_changed(struct control *c);

/// control_forward.c: commands and questions, here or at the leader
void control_propose(struct control *c, uint32_t group, const uint8_t *bytes,
    size_t len, control_cb done, void *arg);
void control_propose_config(struct control *c,
    const struct catalog_command *command, control_cb done, void *arg);
void control_query(
    struct control *c, const char *path, control_cb done, void *arg);
void control_handle_propose(
    struct control *c, handle_t link, const struct wire_propose *p);
void control_handle_query(
    struct control *c, handle_t link, const struct wire_propose *p);
void control_handle_outcome(struct control *c, const struct wire_outcome *o);
void control_forwarded_drop_link(struct control *c, handle_t link);
void control_forwarded_expire(struct control *c, uint64_t now_us);

void control_ignore_result(
    void *arg, enum status status, const uint8_t *bytes, size_t len);

/// control_status.c: JSON that operators read
char *control_status(struct control *c, const char *path, int *http_status);
char *control_result_json(const struct catalog_result *result);

/// control_sync.c: configuration to entries
void control_sync_hello(
    struct control *c, handle_t link, const struct wire_hello *hello);
void control_sync_message(
    struct control *c, handle_t link, const struct wire_msg *msg);
void control_sync_disconnect(struct control *c, handle_t link);
void control_sync_push(struct control *c);
void control_sync_leases(struct control *c);
void control_sync_track_change(struct control *c);
const struct control_entry *control_entry_find(
    const struct control *c, const char *name, uint64_t incarnation);
const struct control_entry *control_entry_pick(
    const struct control *c, uint64_t pick);

/// control_rollout.c: decisions about versions (leader)
void control_rollout_tick(struct control *c, uint64_t now_us);
void control_rollout_stats(
    struct control *c, handle_t link, const struct wire_bytes *b);
void control_rollout_reset(struct control *c);

/// control_members.c: who votes in the groups that this process leads
void control_members_tick(struct control *c);

/// control_journal.c: requests whose entry is gone
void control_journal_tick(struct control *c, uint64_t now_us);

/// control_weights.c: weights on runners (leader)
void control_weights_start(struct control *c);
void control_weights_reset(struct control *c);
void control_weights_tick(struct control *c, uint64_t now_us);
bool control_weights_loaded(const struct control *c,
    const struct catalog_server *s, const char *version);

/// control_slo.c: service levels, from all entries
void control_slo_start(struct control *c);
void control_slo_save(struct control *c);
void control_slo_merge(struct control *c, const struct wire_bytes *b);
void control_slo_tick(struct control *c, uint64_t now_us);
char *control_slo_report(struct control *c, enum slo_format format);

/// control_platform.c: reclaim notices and the VM list (leader)
void control_platform_tick(struct control *c, uint64_t now_us);

/// control_operators.c
enum status control_operators_start(struct control *c);

#endif
