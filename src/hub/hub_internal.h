#ifndef HUB_HUB_INTERNAL_H
#define HUB_HUB_INTERNAL_H

#include <glib.h>
#include <jansson.h>

#include "back/httpc.h"
#include "base/logger.h"
#include "fleet/crashlog.h"
#include "fleet/duty.h"
#include "fleet/fleetcfg.h"
#include "fleet/hubmsg.h"
#include "fleet/instance.h"
#include "fleet/limitmsg.h"
#include "fleet/listcopy.h"
#include "fleet/listdiff.h"
#include "front/httpd.h"
#include "hub/hub.h"
#include "hub/hubstate.h"
#include "platform/api_lister.h"
#include "replog/replica.h"
#include "rollout/rollout.h"
#include "wire/transport.h"

/// A gateway without a report for this long counts as dead.
#define HUB_GATEWAY_LOST_US (2500 * USEC_PER_MSEC)
/// Between two slices of what is sent to many gateways. Timers are urgent:
/// without a pause no other event would run before the last slice.
#define HUB_SLICE_PAUSE_US (1 * USEC_PER_MSEC)

/// Another control process.
struct hub_peer {
	uint32_t slot;
	handle_t dialled;     ///< link that this process opened
	handle_t accepted;    ///< link that it opened to us; HANDLE_NONE: none
	uint64_t incarnation; ///< of the process that a link led to last
	bool asked;      ///< for its list of servers, and it hasn't answered
	uint32_t closes; ///< links closed since an ask, without an answer
	char data_centre[FLEETCFG_NAME_BYTES];
	uint64_t sent_us;       ///< last message of the replicated log to it
	uint64_t unanswered_us; ///< first one without any of its own since; 0:
				///< none
	uint64_t patience_us;   ///< from that to the links' end
	uint64_t next_state_us; ///< it isn't told the members before
	uint64_t silent_since_us; ///< since when it is inactive as a member of
				  ///< the replicated log; 0: active
};

/// A gateway that reports to this process. After a restart the gateway gets a
/// new entry; the old one is kept for its usage under "NAME@INCARNATION".
struct hub_gateway {
	char name[FLEETCFG_NAME_BYTES];
	char data_centre[FLEETCFG_NAME_BYTES];
	uint64_t incarnation;
	uint32_t relay_address; ///< takes attempts of other gateways there,
				///< packed (slotaddr.h); 0: none
	handle_t link;
	uint64_t last_report_us;
	uint64_t echo_us;        ///< its clock when it sent its newest report
	uint64_t version;        ///< of the configuration that it has; 0: none
	handle_t sent_link;      ///< link that its last configuration went to
	uint64_t sent_version;   ///< of that
	uint64_t list_revision;  ///< of its list; 0: not from control, or
				 ///< HUBMSG_SUBSCRIBED
	int64_t clock_offset_us; ///< its time since 1970 minus our steady clock
	bool stopping;
	bool push_due;    ///< to be sent a state that has changed
	GArray *usage;    ///< struct hubmsg_usage of its newest report
	GArray *quotas;   ///< struct hubmsg_quota of its newest report
	bool knows_parts; ///< has sent a message about parts of prompts
	uint64_t blocked_revision; ///< of the blocked parts in force there
	uint64_t parts_question;   ///< that it answered last
	uint64_t evac_revision;    ///< of the evacuations in force there
	bool knows_limits;         ///< has sent a message about limits
	uint32_t number;           ///< for the turns of limited servers
	uint32_t n_numbered; ///< gateways with numbers then; 0: it has none
	bool quotas_counted; ///< this leader's buckets include what it had
			     ///< spent when its reports began
};

struct hub {
	struct loop *loop;
	struct bootstrap_settings settings;
	uint32_t slot;
	struct transport *links;
	struct httpd *operators;
	struct httpd *metrics; ///< NULL: none
	struct httpc *http;
	struct replica *group; ///< of the replicated log
	struct hubstate *state;
	struct fleetcfg
	    *config; ///< read from the state's manifest; NULL: none yet
	struct hosttable *hosts; ///< addresses of all control processes known
	char *saved_hosts;       ///< text of the file of addresses; NULL: none
	bool recording_host;     ///< one is being committed
	GArray *refused_links;   ///< handle_t, to be closed (hub_slot.c)
	struct timerq_timer *change_slot;
	uint32_t next_slot;              ///< to be taken then; 0: none
	GHashTable *peers;               ///< slot -> struct hub_peer
	GHashTable *gateways;            ///< name -> struct hub_gateway
	struct hub_fleet *fleet;         ///< figures over all of them
	struct hub_peers *gateway_peers; ///< see hub_peers.c
	struct hub_quotas *quotas;       ///< kept by the leader (hub_quota.h)
	struct timerq_timer *tick;
	struct timerq_timer *push;       ///< the state has changed for gateways
	struct timerq_timer *push_slice; ///< sends it to some of them
	struct timerq_timer *shutdown_timer;
	bool stopping;
	uint64_t stop_us;
	bool changing_members; ///< a change of members is being committed
	bool was_leader;       ///< hub_is_leader() at the last change of role

	/// Duties, while this process is the leader.
	struct duty duty;
	uint64_t next_window_to_finalize; ///< earlier ones are final or too
					  ///< old to be reported
	bool finalizing;      ///< the usage of a window is being committed
	bool reporting_usage; ///< a usage call is in flight
	uint64_t next_window_to_report; ///< or being reported; the cloud has
					///< accepted earlier ones, or they
					///< are too old
	uint64_t next_usage_report_us;

	/// Servers: the platform's list (hub_servers.c) and orders to the cloud
	/// (hub_scale.c).
	GHashTable
	    *scale_orders; ///< "service zone kind" -> struct hub_scale_order
	GHashTable *sizing_by_service; ///< service -> struct sizing
	GHashTable *load_by_service;   ///< service -> struct hub_service_load
	struct listdiff *list;         ///< of servers, as last read in full
	struct api_lister *lister;
	uint64_t next_list_us;
	uint64_t list_asked_us; ///< when the newest reading began
	uint64_t list_fresh_us; ///< when the reading of the list began, here or
				///< at the leader; 0: there is none
	bool list_is_leaders;   ///< the list came from the leader
	uint64_t scaled_list_us; ///< list_fresh_us of the list that was last
				 ///< acted on

	/// Spreading of the list (hub_feed.c).
	GHashTable *subscribers; ///< link -> struct hub_subscriber
	struct listcopy *leader_list;
	struct timerq_timer *feed; ///< sends the list to subscribers
	uint64_t next_ask_us;

	/// Rollouts of services' versions (hub_rollout.c).
	struct rollout_control
	    *rollout_control;    ///< NULL: not built yet by this leader
	bool committing_rollout; ///< a decision on a rollout is being committed

	/// Parts of prompts that crash servers (hub_crashes.c).
	struct crashlog *crashlog; ///< kept by the leader
	bool crashes_changed;      ///< since gateways were last asked
	uint64_t parts_question;   ///< number of the last question to gateways
	GArray *asked_parts;       ///< struct crashlog_part that it is about
	uint64_t asked_us;         ///< when it was asked
	bool question_is_open;     ///< not all live gateways have answered it
	bool has_suspects;         ///< there were some when it was asked
	bool blocking_part;        ///< a block is being committed

	struct hub_evac *evac; ///< evacuated data centres (hub_evac.c)

	/// Limits that servers advertise (hub_limits.c).
	GHashTable *limits;   ///< server's id -> double, requests per second
	GHashTable *colds;    ///< server's id -> uint64_t, when it isn't cold
	GHashTable *brittles; ///< brittle server's id -> uint32_t, the
			      ///< refusals in a second with which it goes on
	uint64_t next_numbers_us;
	struct serverspeed *speeds; ///< of servers (hub_speed.c)

	struct metrics_value *n_operator_requests;
	struct metrics_value *n_invalid_requests;
	struct metrics_hist *ack_latency; ///< of operators' commands
};

/// Number of the only group of the replicated log.
#define HUB_GROUP 1

/// hub.c
bool hub_is_leader(const struct hub *h);

/// hub_log.c: the replicated log
enum status hub_log_start(struct hub *h);
void hub_log_failed(struct hub *h, enum status status);
void hub_load_config(struct hub *h);
void hub_propose(struct hub *h, const struct hubstate_command *c,
    replica_done_cb done, void *arg);

/// hub_members.c: members of the replicated log (leader)
void hub_members_tick(struct hub *h);

/// hub_links.c: links to peers and gateways
enum status hub_links_start(struct hub *h);
struct hub_peer *hub_peer(struct hub *h, uint32_t slot);
void hub_peer_send_raft(
    struct hub *h, uint32_t slot, const struct wire_msg *msg);
void hub_links_set_self(struct hub *h);
void hub_fill_members(const struct hub *h, struct hubmsg_state *s);
void hub_links_tick(struct hub *h, uint64_t now_us);
void hub_push_begin(struct hub *h);
void hub_push_slice(void *arg, uint64_t now_us);

/// hub_hosts.c: addresses of the control processes
enum status hub_hosts_start(struct hub *h);
void hub_hosts_stop(struct hub *h);
bool hub_hosts_on_hello(struct hub *h, const struct wire_hello *hello);
void hub_hosts_learn(struct hub *h, const GArray *hosts);
void hub_hosts_on_applied(struct hub *h);
void hub_hosts_tick(struct hub *h);

/// hub_join.c: processes that join
void hub_join_on_raft(
    struct hub *h, struct hub_peer *p, const struct wire_bytes *raft);
void hub_join_on_state(struct hub *h, const struct hubmsg_state *s);

/// hub_slot.c: slots that two processes have
void hub_slot_start(struct hub *h);
void hub_slot_stop(struct hub *h);
void hub_slot_refuse(struct hub *h, handle_t link, uint32_t slot);
bool hub_slot_is_refused(const struct hub *h, handle_t link);
void hub_slot_on_state(struct hub *h, const struct wire_hello *hello,
    const struct hubmsg_state *s);
void hub_slot_change(void *arg, uint64_t now_us);
void hub_slot_tick(struct hub *h);

/// hub_peers.c: gateways that others send attempts through
void hub_peers_start(struct hub *h);
void hub_peers_stop(struct hub *h);
void hub_peers_fill(
    const struct hub *h, const struct hub_gateway *g, struct hubmsg_state *s);

/// hub_fleet.c: figures over all gateways
void hub_fleet_start(struct hub *h);
void hub_fleet_stop(struct hub *h);
bool hub_gateway_is_alive(const struct hub *h, const struct hub_gateway *g);
uint32_t hub_fleet_live(const struct hub *h);
double hub_fleet_contact_share(const struct hub *h);
uint64_t hub_wall_clock_us(const struct hub *h);

/// hub_quota.c: customers' quotas (leader)
void hub_quota_start(struct hub *h);
void hub_quota_on_report(
    struct hub *h, struct hub_gateway *g, const GArray *quotas);
void hub_quota_fill(struct hub *h, const struct hub_gateway *g, GArray *quotas);

/// hub_grants.c: gateways' asks for grants of customers' quotas (leader)
void hub_grants_start(struct hub *h);
void hub_grants_stop(struct hub *h);
void hub_grants_on_ask(
    struct hub *h, handle_t link, const struct wire_bytes *bytes);
void hub_grants_on_link_down(struct hub *h, handle_t link);

/// hub_rollout.c: rollouts of services' versions (leader)
void hub_rollout_reset(struct hub *h);
void hub_rollout_tick(struct hub *h, uint64_t now_us);
void hub_rollout_on_stats(
    struct hub *h, handle_t link, const struct wire_bytes *b);
void hub_rollout_fill(const struct hub *h, GArray *rollouts);
void hub_rollout_start(struct hub *h, const char *service, const char *target,
    double duration_s, replica_done_cb done, void *arg);
const char *hub_rollout_state_name(const struct hubstate_rollout *v);

/// hub_crashes.c: parts of prompts that crash servers (leader)
void hub_crashes_reset(struct hub *h);
void hub_crashes_send_blocked(struct hub *h, const struct hub_gateway *g);
void hub_crashes_on_report(struct hub *h, const struct wire_bytes *bytes);
void hub_crashes_on_answer(
    struct hub *h, struct hub_gateway *g, const struct wire_bytes *bytes);
void hub_crashes_tick(struct hub *h, uint64_t now_us);

/// hub_limits.c: limits that backend servers advertise (leader)
void hub_limits_reset(struct hub *h);
void hub_limits_on_message(
    struct hub *h, struct hub_gateway *g, const struct wire_bytes *bytes);
void hub_limits_prune(struct hub *h, const GArray *servers);
void hub_limits_tick(struct hub *h, uint64_t now_us);

/// hub_evac.c: evacuated data centres
void hub_evac_start(struct hub *h);
void hub_evac_stop(struct hub *h);
void hub_evac_reset(struct hub *h);
void hub_evac_on_applied(struct hub *h);
bool hub_evac_covers(const struct hub *h, const char *zone);
bool hub_evac_knows(const struct hub *h, const char *zone);
void hub_evac_propose(struct hub *h, const char *zone, bool evacuate,
    replica_done_cb done, void *arg);
void hub_evac_tick(struct hub *h, uint64_t now_us);
json_t *hub_evac_json(const struct hub *h);

/// hub_speed.c: the usual pace of servers (leader)
void hub_speed_start(struct hub *h);
void hub_speed_stop(struct hub *h);
void hub_speed_reset(struct hub *h);
void hub_speed_on_message(struct hub *h, const struct limitmsg *m);
void hub_speed_fill(struct hub *h, GArray *servers);

/// hub_servers.c: the list of servers
void hub_servers_start(struct hub *h);
void hub_servers_tick(struct hub *h, uint64_t now_us);
void hub_servers_reset(struct hub *h);
void hub_servers_set(
    struct hub *h, const GArray *servers, uint64_t number, uint64_t fresh_us);
void hub_servers_fill(
    const struct hub *h, uint64_t has, struct hubmsg_state *s);

/// hub_feed.c: configurations and the list on their way to gateways
void hub_feed_start(struct hub *h);
void hub_feed_stop(struct hub *h);
void hub_feed_tick(struct hub *h, uint64_t now_us);
void hub_feed_push_list(struct hub *h, bool changed);
void hub_feed_push_config(struct hub *h);
void hub_feed_on_ask(struct hub *h, handle_t link,
    const struct wire_hello *hello, const struct wire_bytes *bytes);
void hub_feed_on_update(struct hub *h, const struct wire_hello *hello,
    const struct wire_bytes *bytes);
void hub_feed_on_link_down(
    struct hub *h, handle_t link, const struct wire_hello *hello);

/// hub_operators.c: operators' HTTP
enum status hub_operators_start(struct hub *h);

/// hub_status.c: status for operators
json_t *hub_status(const struct hub *h);

/// hub_duty.c: calls to the cloud that the leader alone makes
void hub_duty_start(struct hub *h);
void hub_duty_reset(struct hub *h);
uint64_t hub_duty_call_timeout_us(const struct hub *h, uint64_t wanted_us);
bool hub_duty_is_held(struct hub *h);
void hub_duty_tick(struct hub *h, uint64_t now_us);
void hub_duty_on_fenced(struct hub *h);

/// hub_usage.c: customers' usage, final and reported to the cloud (leader)
void hub_usage_tick(struct hub *h, uint64_t now_us);

/// hub_scale.c: orders of servers from the cloud (leader)
void hub_scale_reset(struct hub *h);
void hub_scale_on_loads(struct hub *h, const GArray *loads);
void hub_scale_tick(struct hub *h, bool may_order);

#endif
