#ifndef HUB_HUB_INTERNAL_H
#define HUB_HUB_INTERNAL_H

#include <glib.h>
#include <jansson.h>

#include "back/httpc.h"
#include "base/logger.h"
#include "fleet/fleetcfg.h"
#include "fleet/hubmsg.h"
#include "fleet/instance.h"
#include "front/httpd.h"
#include "hub/hub.h"
#include "hub/hubstate.h"
#include "platform/api_lister.h"
#include "replog/replica.h"
#include "rollout/rollout.h"
#include "wire/transport.h"

/// Another process of control.
struct hub_peer {
	uint32_t slot;
	handle_t dialled;
	handle_t accepted; ///< its link to us; HANDLE_NONE: none
	char data_centre[FLEETCFG_NAME_BYTES];
	uint64_t silent_since_us; ///< as a member; 0: active
};

/// A gateway that reports here.
struct hub_gateway {
	char name[FLEETCFG_NAME_BYTES];
	char data_centre[FLEETCFG_NAME_BYTES];
	uint64_t incarnation;
	handle_t link;
	uint64_t heard_us;
	uint64_t echo_us; ///< its clock when it sent its newest report
	uint64_t version;
	uint64_t list;    ///< number of the list that it has
	int64_t clock_us; ///< its time since 1970 less our steady clock
	bool stopping;
	GArray *usage;  ///< struct hubmsg_usage
	GArray *quotas; ///< struct hubmsg_quota
	bool counted;   ///< its quotas, by this leader
};

struct hub {
	struct loop *loop;
	struct bootstrap_settings settings;
	uint32_t slot;
	struct transport *links;
	struct httpd *operators;
	struct httpd *metrics; ///< NULL: none
	struct httpc *http;
	struct replica *group;
	struct hubstate *state;
	struct fleetcfg *config; ///< of the state; NULL: none yet
	GHashTable *peers;       ///< slot -> struct hub_peer
	GHashTable *gateways;    ///< name -> struct hub_gateway
	GHashTable *pools; ///< customer -> struct quota_bucket, of the leader
	struct timerq_timer *tick;
	struct timerq_timer *push; ///< tell the gateways soon
	struct timerq_timer *end;
	bool stopping;
	uint64_t stop_us;
	bool changing; ///< members
	bool led;      ///< at the last change of role

	/// Duties, while this process leads.
	bool taking; ///< a command that takes the duties is on its way
	uint64_t duty_valid_from_us; ///< no call before; 0: not the holder
	uint64_t
	    finalized_before_window; ///< windows before this one are done with
	bool finalizing;             ///< a window's usage is being committed
	bool reporting_usage;        ///< a usage call is on its way
	uint64_t
	    reported_before_window; ///< windows before this one were accepted
	uint64_t next_usage_report_us;

	/// Servers that are ordered from the cloud (hub_scale.c).
	GHashTable *orders; ///< "service zone kind" -> struct hub_scale_order
	GHashTable *needs;  ///< service -> struct sn
	GHashTable *work;   ///< service -> struct hub_service_load
	GArray *list;       ///< struct sv, of the newest whole reading
	struct api_lister *lister;
	uint64_t next_list_us;
	uint64_t list_fresh_us; ///< 0: never
	uint64_t list_revision; ///< of `list`; grows with each change
	uint8_t *list_bytes;    ///< all of it, as gateways are told
	size_t list_len;
	uint8_t *change_bytes; ///< what changed since the number before
	size_t change_len;
	uint64_t scaled_list_us; ///< reading that was acted on last

	/// Moves of services to other versions (hub_rollout.c).
	struct rollout_control *mover; ///< NULL: not built yet by this leader
	bool moving;                   ///< a decision is being committed

	struct metrics_value *n_orders;
	struct metrics_value *n_invalid;
	struct metrics_hist *ack_latency;
};

/// hub.c
bool hub_is_leader(const struct hub *h);
uint64_t hub_wall_clock_us(const struct hub *h);

/// hub_log.c: the replicated log
enum status hub_log_start(struct hub *h);
void hub_load_config(struct hub *h);
void hub_propose(struct hub *h, const struct hubstate_command *c,
    replica_done_cb done, void *arg);

/// hub_members.c: who votes
void hub_members_tick(struct hub *h);

/// hub_links.c: links to peers and gateways
enum status hub_links_start(struct hub *h);
struct hub_peer *hub_peer(struct hub *h, uint32_t slot);
void hub_links_tick(struct hub *h, uint64_t now_us);
void hub_schedule_push(struct hub *h);
bool hub_gateway_is_alive(const struct hub *h, const struct hub_gateway *g);

/// hub_quota.c: customers' quotas (leader)
void hub_quota_start(struct hub *h);
void hub_quota_on_report(
    struct hub *h, struct hub_gateway *g, const GArray *quotas);
void hub_quota_fill(struct hub *h, const struct hub_gateway *g, GArray *quotas);

/// hub_rollout.c: services move to other versions (leader)
void hub_rollout_reset(struct hub *h);
void hub_rollout_tick(struct hub *h, uint64_t now_us);
void hub_rollout_on_stats(
    struct hub *h, handle_t link, const struct wire_bytes *b);
void hub_rollout_fill(const struct hub *h, GArray *moves);
void hub_rollout_start(struct hub *h, const char *service, const char *target,
    double duration_s, replica_done_cb done, void *arg);
const char *hub_rollout_state_name(const struct hubstate_rollout *v);

/// hub_servers.c: the list of servers
void hub_servers_start(struct hub *h);
void hub_servers_tick(struct hub *h, uint64_t now_us);
void hub_servers_reset(struct hub *h);
void hub_servers_fill(
    const struct hub *h, uint64_t has, struct hubmsg_state *s);

/// hub_operators.c: operators' HTTP
enum status hub_operators_start(struct hub *h);

/// hub_status.c
json_t *hub_status(const struct hub *h);

/// hub_duty.c: calls to the cloud that the leader alone makes
void hub_duty_reset(struct hub *h);
bool hub_duty_is_held(const struct hub *h);
void hub_duty_tick(struct hub *h, uint64_t now_us);
void hub_duty_on_fenced(struct hub *h);

/// hub_usage.c
void hub_usage_tick(struct hub *h, uint64_t now_us);

/// hub_scale.c
void hub_scale_reset(struct hub *h);
void hub_scale_on_loads(struct hub *h, const GArray *loads);
void hub_scale_tick(struct hub *h);

#endif
