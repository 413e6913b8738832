#ifndef FLEET_HUBMSG_H
#define FLEET_HUBMSG_H

#include <glib.h>

#include "fleet/fleetcfg.h"
#include "fleet/instance.h"

/// What gateways and control tell each other. The arrays are made by
/// lm_*_init() and released by lm_*_clear().

/// Requests of a customer that began to run in a window, all since the
/// gateway's start.
struct hubmsg_usage {
	uint64_t window;
	char customer[FLEETCFG_NAME_BYTES];
	uint64_t n;
};

/// Units of a customer's quota.
struct hubmsg_quota {
	char customer[FLEETCFG_NAME_BYTES];
	uint64_t spent;   ///< by the gateway, since its start
	uint64_t counted; ///< part of that which `level` takes into account
	int64_t level;    ///< what is left for all
};

/// Work of a service that this gateway has at servers, and what it had to
/// refuse lately for want of places.
struct hubmsg_load {
	char service[FLEETCFG_NAME_BYTES];
	uint32_t running;      ///< requests at servers now
	uint32_t refused;      ///< since the last report
	uint32_t arrived;      ///< since the last report
	uint64_t work_us;      ///< spent at servers since the last report
	uint64_t tokens;       ///< of prompts to compute, since the last report
	uint64_t tokens_per_s; ///< that one server computes; 0: not known
};

/// Where a service's move to a version stands.
enum hubmsg_rollout_state {
	HUBMSG_ROLLOUT_ACTIVE,      ///< the new version gets a share
	HUBMSG_ROLLOUT_DONE,        ///< it gets all
	HUBMSG_ROLLOUT_ROLLED_BACK, ///< it gets nothing
	HUBMSG_N_ROLLOUT_STATES,
};

struct hubmsg_rollout {
	char service[FLEETCFG_NAME_BYTES];
	char target[FLEETCFG_NAME_BYTES];
	char base[FLEETCFG_NAME_BYTES];
	uint32_t permille;
	enum hubmsg_rollout_state state;
	uint64_t sequence; ///< grows with each change
};

/// A server of the list, or one that is on it no more.
struct hubmsg_server {
	struct instance instance;
	bool gone;
};

/// Gateway to control.
struct hubmsg_report {
	uint64_t sent_us; ///< the gateway's steady clock; comes back
	uint64_t version; ///< configuration in force there; 0: none
	uint64_t time_us; ///< since 1970, as the gateway believes
	bool stopping;
	uint64_t list;  ///< number of the list of servers that it has; 0: none
	GArray *usage;  ///< struct hubmsg_usage
	GArray *quotas; ///< struct hubmsg_quota
	GArray *loads;  ///< struct hubmsg_load
};

/// Control to gateway.
struct hubmsg_state {
	uint64_t echo_us; ///< sent_us of the report that this answers
	bool leads;       ///< the rest but for `leader` and `members` holds
	uint32_t leader;  ///< slot; 0: unknown
	uint64_t version; ///< configuration that is in force
	uint64_t time_us; ///< since 1970, as most processes believe; 0: unknown
	uint32_t n_gateways;
	const uint8_t *manifest; ///< of `version`, when the gateway lags
	size_t manifest_len;
	uint64_t list; ///< number of the newest list of servers; 0: none
	uint64_t changes_since; ///< what `changes` come after; 0: they are all
	const uint8_t *changes; ///< hubmsg_servers_encode(); empty: nothing new
	size_t changes_len;
	GArray *members; ///< uint32_t: slots of control processes
	GArray *quotas;  ///< struct hubmsg_quota
	GArray *moves;   ///< struct hubmsg_rollout
};

void hubmsg_report_init(struct hubmsg_report *r);
void hubmsg_report_clear(struct hubmsg_report *r);
void hubmsg_report_encode(
    const struct hubmsg_report *r, uint8_t **bytes, size_t *len);
enum status hubmsg_report_decode(
    const uint8_t *bytes, size_t len, struct hubmsg_report *out);

void hubmsg_servers_encode(const GArray *servers, uint8_t **bytes, size_t *len);
/// @param servers  struct hubmsg_server are appended
enum status hubmsg_servers_decode(
    const uint8_t *bytes, size_t len, GArray *servers);

void hubmsg_state_init(struct hubmsg_state *s);
void hubmsg_state_clear(struct hubmsg_state *s);
void hubmsg_state_encode(
    const struct hubmsg_state *s, uint8_t **bytes, size_t *len);
/// @param bytes  must outlive `out`, whose manifest and list point into it
enum status hubmsg_state_decode(
    const uint8_t *bytes, size_t len, struct hubmsg_state *out);

#endif
