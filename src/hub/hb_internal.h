#ifndef HUB_HB_INTERNAL_H
#define HUB_HB_INTERNAL_H

#include <glib.h>
#include <jansson.h>

#include "back/httpc.h"
#include "base/logger.h"
#include "fleet/fc.h"
#include "fleet/lm.h"
#include "fleet/sv.h"
#include "front/httpd.h"
#include "hub/hb.h"
#include "hub/hs.h"
#include "platform/pf_lister.h"
#include "replog/replica.h"
#include "rollout/rollout.h"
#include "wire/transport.h"

/// Another process of control.
struct hb_peer {
	uint32_t slot;
	handle_t dialled;
	handle_t accepted; ///< its link to us; HANDLE_NONE: none
	char data_centre[FC_NAME_BYTES];
	uint64_t silent_since_us; ///< as a member; 0: active
};

/// A gateway that reports here.
struct hb_gateway {
	char name[FC_NAME_BYTES];
	char data_centre[FC_NAME_BYTES];
	uint64_t incarnation;
	handle_t link;
	uint64_t heard_us;
	uint64_t echo_us; ///< its clock when it sent its newest report
	uint64_t version;
	uint64_t list;    ///< number of the list that it has
	int64_t clock_us; ///< its time since 1970 less our steady clock
	bool stopping;
	GArray *usage;  ///< struct lm_usage
	GArray *quotas; ///< struct lm_quota
	bool counted;   ///< its quotas, by this leader
};

struct hb {
	struct loop *loop;
	struct bootstrap_settings settings;
	uint32_t slot;
	struct transport *links;
	struct httpd *operators;
	struct httpd *metrics; ///< NULL: none
	struct httpc *http;
	struct replica *group;
	struct hs *state;
	struct fc *config;    ///< of the state; NULL: none yet
	GHashTable *peers;    ///< slot -> struct hb_peer
	GHashTable *gateways; ///< name -> struct hb_gateway
	GHashTable *pools;    ///< customer -> struct qt_pool, of the leader
	struct timerq_timer *tick;
	struct timerq_timer *push; ///< tell the gateways soon
	struct timerq_timer *end;
	bool stopping;
	uint64_t stop_us;
	bool changing; ///< members
	bool led;      ///< at the last change of role

	/// Duties, while this process leads.
	bool taking; ///< a command that takes the duties is on its way
	uint64_t duty_from_us; ///< no call before; 0: not the holder
	uint64_t settled_to;   ///< windows before this one are done with
	bool settling;         ///< a window's usage is being committed
	bool telling;          ///< a usage call is on its way
	uint64_t told_to;      ///< windows before this one were accepted
	uint64_t next_tell_us;

	/// Servers that are ordered from the cloud (hb_scale.c).
	GHashTable *orders; ///< "service zone kind" -> struct hb_order
	GHashTable *needs;  ///< service -> struct sn
	GHashTable *work;   ///< service -> struct hb_work
	GArray *list;       ///< struct sv, of the newest whole reading
	struct pf_lister *lister;
	uint64_t next_list_us;
	uint64_t listed_us;   ///< 0: never
	uint64_t list_number; ///< of `list`; grows with each change
	uint8_t *list_bytes;  ///< all of it, as gateways are told
	size_t list_len;
	uint8_t *change_bytes; ///< what changed since the number before
	size_t change_len;
	uint64_t scaled_us; ///< reading that was acted on last

	/// Moves of services to other versions (hb_moves.c).
	struct rollout_control *mover; ///< NULL: not built yet by this leader
	bool moving;                   ///< a decision is being committed

	struct metrics_value *n_orders;
	struct metrics_value *n_invalid;
	struct metrics_hist *ack_latency;
};

/// hb.c
bool hb_leads(const struct hb *h);
uint64_t hb_true_us(const struct hb *h);

/// hb_log.c: the replicated log
enum status hb_log_start(struct hb *h);
void hb_read_config(struct hb *h);
void hb_propose(
    struct hb *h, const struct hs_command *c, replica_done_cb done, void *arg);

/// hb_members.c: who votes
void hb_members_tick(struct hb *h);

/// hb_link.c: links to peers and gateways
enum status hb_link_start(struct hb *h);
struct hb_peer *hb_peer(struct hb *h, uint32_t slot);
void hb_link_tick(struct hb *h, uint64_t now_us);
void hb_push(struct hb *h);
bool hb_gateway_lives(const struct hb *h, const struct hb_gateway *g);

/// hb_quota.c: customers' quotas (leader)
void hb_quota_start(struct hb *h);
void hb_quota_take(struct hb *h, struct hb_gateway *g, const GArray *quotas);
void hb_quota_fill(struct hb *h, const struct hb_gateway *g, GArray *quotas);

/// hb_moves.c: services move to other versions (leader)
void hb_moves_reset(struct hb *h);
void hb_moves_tick(struct hb *h, uint64_t now_us);
void hb_moves_evidence(struct hb *h, handle_t link, const struct wire_bytes *b);
void hb_moves_fill(const struct hb *h, GArray *moves);
void hb_moves_order(struct hb *h, const char *service, const char *target,
    double duration_s, replica_done_cb done, void *arg);
const char *hb_moves_state(const struct hs_move *v);

/// hb_list.c: the list of servers
void hb_list_start(struct hb *h);
void hb_list_tick(struct hb *h, uint64_t now_us);
void hb_list_reset(struct hb *h);
void hb_list_fill(const struct hb *h, uint64_t has, struct lm_state *s);

/// hb_operators.c: operators' HTTP
enum status hb_operators_start(struct hb *h);

/// hb_status.c
json_t *hb_status(const struct hb *h);

/// hb_duty.c: calls to the cloud that the leader alone makes
void hb_duty_reset(struct hb *h);
bool hb_duty_holds(const struct hb *h);
void hb_duty_tick(struct hb *h, uint64_t now_us);
void hb_duty_refused(struct hb *h);

/// hb_usage.c
void hb_usage_tick(struct hb *h, uint64_t now_us);

/// hb_scale.c
void hb_scale_reset(struct hb *h);
void hb_scale_take(struct hb *h, const GArray *loads);
void hb_scale_tick(struct hb *h);

#endif
