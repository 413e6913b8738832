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

/// One replicated group: number 0 is the configuration, 1 and up are the
/// request journals.
struct control_group {
	struct control *control;
	uint32_t number;
	struct replica *replica;
	struct journal *journal;    ///< NULL for the configuration
	bool member_change_pending; ///< a membership change is in flight
	/// Per control process, by its index in the settings; 0: reachable.
	uint64_t unreachable_since_us[SETTINGS_MAX_PEERS];
};

/// An entry process that is connected to this control process.
struct control_entry {
	handle_t link;
	char name[SPEC_NAME_BYTES];
	char data_centre[SPEC_NAME_BYTES];
	uint64_t incarnation;
	bool subscribed;         ///< gets changes of the configuration pushed
	uint64_t sent_sequence;  ///< last sequence pushed to it
	uint64_t acked_sequence; ///< last sequence it acknowledged
	uint64_t acked_at_us;    ///< when that arrived; 0: none yet
	bool in_service; ///< takes new requests, by its last acknowledgement
};

/// A change of the configuration that some entry hasn't acknowledged yet.
struct control_change {
	uint64_t sequence;
	uint64_t applied_us;
};

/// Result of control_propose() and control_query(). `bytes` is valid only
/// during the call, and has a meaning only with STATUS_OK.
typedef void (*control_cb)(
    void *arg, enum status status, const uint8_t *bytes, size_t len);

struct control {
	struct loop *loop;
	struct settings settings;
	struct transport *links;
	struct tlsctx *keys; ///< TLS keys; NULL: no TLS
	struct httpd *operators;
	struct httpc *http;
	struct control_group groups[CONTROL_GROUPS];
	struct catalog *config;
	handle_t peers[SETTINGS_MAX_PEERS]; ///< dialled, as in settings.control
	GHashTable *entries;                ///< link -> struct control_entry
	GHashTable *forwarded;              ///< tag -> struct control_forwarded
	uint64_t next_tag;
	struct timerq_timer *sync_timer; ///< pushes to entries
	struct timerq_timer *tick_timer;
	struct timerq_timer *stop_timer; ///< ends a graceful stop
	uint64_t leader_since_us;   ///< of the configuration; 0: not the leader
	struct liveness *vm_list;   ///< VMs as the VM list last showed them
	GHashTable *resume_last_us; ///< request id -> when seen or resumed
	struct rollout_control *rollout;
	uint64_t rollout_sequence;  ///< configuration that `rollout` reflects
	bool rollout_commit_failed; ///< a decision was not committed
	GHashTable *version_names;  ///< rollout_key() -> name
	GHashTable *runners;        ///< name -> struct control_runner
	uint64_t fencing_number; ///< fencing number of this term; 0: none yet
	bool fence_pending;      ///< a fencing number was proposed
	uint32_t n_weight_loads; ///< load and unload orders in flight
	uint64_t next_weights_us;
	struct slo_history *slo;
	GHashTable *late_rollouts; ///< versions completed after their deadline
	uint64_t slo_next_sample_us;
	uint64_t slo_next_save_us;
	bool polling_notices;
	bool polling_vm_list;
	uint64_t next_poll_us;
	uint64_t next_expire_us;
	bool stopping;
	struct metrics_value *n_notes;
	struct metrics_value *n_conflicts;
	struct metrics_hist *accept_latency;
	/// From applying a change to its acknowledgement by all entries.
	struct metrics_hist *propagation_latency;
	GQueue changes; ///< struct control_change, oldest first
};

/// control.c
bool control_is_leader(const struct control *c, uint32_t group);
void control_config_changed(struct control *c);

/// control_forward.c: commands and queries, here or at the leader
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

/// control_status.c: JSON for operators
char *control_status(struct control *c, const char *path, int *http_status);
char *control_result_json(const struct catalog_result *result);

/// control_sync.c: sync of the configuration to entries
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

/// control_rollout.c: decisions about rollouts (leader)
void control_rollout_tick(struct control *c, uint64_t now_us);
void control_rollout_stats(
    struct control *c, handle_t link, const struct wire_bytes *b);
void control_rollout_reset(struct control *c);

/// control_members.c: membership of the groups that this process leads
void control_members_tick(struct control *c);

/// control_journal.c: unfinished requests of the journals
void control_journal_tick(struct control *c, uint64_t now_us);

/// control_weights.c: weight loads on runners (leader)
void control_weights_start(struct control *c);
void control_weights_reset(struct control *c);
void control_weights_tick(struct control *c, uint64_t now_us);
bool control_weights_loaded(const struct control *c,
    const struct catalog_server *s, const char *version);

/// control_slo.c: SLO counters of all entries
void control_slo_start(struct control *c);
void control_slo_save(struct control *c);
void control_slo_merge(struct control *c, const struct wire_bytes *b);
void control_slo_tick(struct control *c, uint64_t now_us);
char *control_slo_report(struct control *c, enum slo_format format);

/// control_platform.c: reclaim notices and the VM list (leader)
void control_platform_tick(struct control *c, uint64_t now_us);

/// control_operators.c: the operators' HTTP interface
enum status control_operators_start(struct control *c);

#endif
