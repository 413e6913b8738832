#ifndef FLEET_HUBMSG_H
#define FLEET_HUBMSG_H

#include <glib.h>

#include "fleet/evacset.h"
#include "fleet/fleetcfg.h"
#include "fleet/hosttable.h"
#include "fleet/instance.h"

/// Messages between gateways and control. Their arrays are made by
/// hubmsg_*_init() and released by hubmsg_*_clear().

/// Usage: number of a customer's requests that began to run in a window of
/// time.
struct hubmsg_usage {
	uint64_t window; ///< number of it: time since 1970 / usage_window_s
	char customer[FLEETCFG_NAME_BYTES];
	uint64_t n; ///< in the window: counted by one gateway since its start,
		    ///< or, once summed by control, by all gateways
};

/// State of a customer's quota, in its units (tokens or requests).
struct hubmsg_quota {
	char customer[FLEETCFG_NAME_BYTES];
	/// In a report: spent by the gateway, without a grant, since its start.
	/// In control's state: the demand of all gateways, per second.
	uint64_t spent;
	/// Part of `spent` that `level` takes into account.
	uint64_t acked_spent;
	/// Left for all gateways, in a report as the gateway last received it;
	/// below 0: overspent.
	int64_t level;
};

enum hubmsg_ask_kind {
	HUBMSG_ASK_GRANT,
	/// The request is decided, or its caller has left.
	HUBMSG_ASK_WITHDRAW,
	/// To a new leader: `units` passed here without contact to the last
	/// one.
	HUBMSG_ASK_SETTLE,
	HUBMSG_N_ASK_KINDS,
};

/// A gateway asks for a grant of a customer's quota for one request.
struct hubmsg_ask {
	uint64_t tag; ///< returned with the answer
	char customer[FLEETCFG_NAME_BYTES];
	uint64_t units;
	uint64_t refused; ///< units refused without asking, since the last ask
	/// The rest is set; older gateways don't send it.
	bool can_wait;
	uint32_t priority; ///< of the route; 0: highest
	uint64_t wait_us;  ///< longest wait for a grant
	uint64_t left_us;  ///< until the caller gives up
	bool late;         ///< the latency target has passed already
	enum hubmsg_ask_kind kind;
	/// Since the last leader's word. HUBMSG_ASK_SETTLE only: that for no
	/// customer is about the time alone.
	uint64_t silence_us;
};

/// The leader's answer, with the customer's quota as it is then.
struct hubmsg_answer {
	uint64_t tag;
	char customer[FLEETCFG_NAME_BYTES];
	bool granted;
	uint64_t wait_us;      ///< when not granted
	int64_t level;         ///< left for all gateways; below 0: overspent
	uint64_t demand_per_s; ///< units that all gateways want
	/// The rest is set: only in answers to asks that can wait.
	bool has_queue;
	bool queued;      ///< not decided yet; it will be within `wait_us`
	uint64_t room_us; ///< when refused: until room was expected
};

/// Load of a service at one gateway.
struct hubmsg_load {
	char service[FLEETCFG_NAME_BYTES];
	uint32_t running; ///< requests in flight to servers
	uint32_t refused; ///< for lack of capacity, since the last report
	uint32_t arrived; ///< requests since the last report
	uint64_t work_us; ///< spent at servers since the last report
	uint64_t tokens;  ///< prompt tokens to compute, since the last report
	uint64_t tokens_per_s; ///< computed by one server; 0: not known
};

/// State of a service's rollout of a version.
enum hubmsg_rollout_state {
	HUBMSG_ROLLOUT_ACTIVE, ///< the new version gets a share of the requests
	HUBMSG_ROLLOUT_DONE,   ///< the new version gets all requests
	HUBMSG_ROLLOUT_ROLLED_BACK, ///< the new version gets no requests
	HUBMSG_N_ROLLOUT_STATES,
};

struct hubmsg_rollout {
	char service[FLEETCFG_NAME_BYTES];
	char target[FLEETCFG_NAME_BYTES];   ///< version that is rolled out
	char baseline[FLEETCFG_NAME_BYTES]; ///< baseline version
	uint32_t permille;                  ///< share of `target`
	enum hubmsg_rollout_state state;
	uint64_t sequence; ///< increases with each change
};

/// An entry of the server list or of its changes.
struct hubmsg_server {
	struct instance instance;
	bool removed; ///< removed from the list; only `instance.id` is set
};

/// Revision in the report of a gateway that gets the list of servers and the
/// configuration from a control process near it (fleet/feedmsg.h): the state
/// has neither for it.
#define HUBMSG_SUBSCRIBED UINT64_MAX

/// Message of a gateway to control.
struct hubmsg_report {
	uint64_t sent_us; ///< the gateway's monotonic clock; echoed
	uint64_t version; ///< of the configuration in force there; 0: none
	uint64_t time_us; ///< since 1970, by the gateway's clock
	bool stopping;    ///< the gateway is shutting down
	uint64_t list_revision; ///< revision of its server list; 0: none
	///< HUBMSG_SUBSCRIBED: it needs none
	GArray *usage;  ///< struct hubmsg_usage
	GArray *quotas; ///< struct hubmsg_quota
	GArray *loads;  ///< struct hubmsg_load
	/// Of the evacuated data centres in force there; 0: none known, or a
	/// gateway of an older version.
	uint64_t evac_revision;
};

/// Message of a control process to a gateway.
struct hubmsg_state {
	uint64_t echo_us; ///< sent_us of the report that this responds to
	/// The sender is the leader; else only `leader`, `members`, `version`
	/// and `manifest` are valid.
	bool is_leader;
	uint32_t leader;  ///< slot; 0: unknown
	uint64_t version; ///< of the configuration in force; if the sender
			  ///< isn't the leader, of its newest one
	uint64_t time_us; ///< since 1970, by most processes' clocks; 0: unknown
	uint32_t n_gateways;
	const uint8_t *manifest; ///< of `version`; empty: the gateway has it
	size_t manifest_len;
	uint64_t list_revision; ///< newest revision of the server list; 0: none
	uint64_t changes_since; ///< revision before `changes`; 0: whole list
	const uint8_t *changes; ///< by hubmsg_servers_encode(); may be empty
	size_t changes_len;
	GArray *members;  ///< uint32_t: slots of the control processes
	GArray *quotas;   ///< struct hubmsg_quota
	GArray *rollouts; ///< struct hubmsg_rollout
	/// The evacuated data centres. Revision 0: there never were any, or the
	/// sender is of an older version.
	struct evacset evacuations;
	/// Addresses of `members` that their slots don't imply: struct
	/// hosttable_entry.
	GArray *hosts;
	/// Packed addresses (slotaddr.h) of gateways that the receiver may send
	/// attempts through: uint32_t, first those of its own data centre.
	/// Empty for one of an older version.
	GArray *peers;
	uint32_t n_near_peers; ///< in its data centre
};

void hubmsg_report_init(struct hubmsg_report *r);
void hubmsg_report_clear(struct hubmsg_report *r);
void hubmsg_report_encode(
    const struct hubmsg_report *r, uint8_t **bytes, size_t *len);
enum status hubmsg_report_decode(
    const uint8_t *bytes, size_t len, struct hubmsg_report *out);

void hubmsg_ask_encode(
    const struct hubmsg_ask *a, uint8_t **bytes, size_t *len);
enum status hubmsg_ask_decode(
    const uint8_t *bytes, size_t len, struct hubmsg_ask *out);
void hubmsg_answer_encode(
    const struct hubmsg_answer *a, uint8_t **bytes, size_t *len);
enum status hubmsg_answer_decode(
    const uint8_t *bytes, size_t len, struct hubmsg_answer *out);

void hubmsg_servers_encode(const GArray *servers, uint8_t **bytes, size_t *len);
enum status hubmsg_servers_decode(
    const uint8_t *bytes, size_t len, GArray *servers);

void hubmsg_state_init(struct hubmsg_state *s);
void hubmsg_state_clear(struct hubmsg_state *s);
void hubmsg_state_encode(
    const struct hubmsg_state *s, uint8_t **bytes, size_t *len);
enum status hubmsg_state_decode(
    const uint8_t *bytes, size_t len, struct hubmsg_state *out);

#endif
