#ifndef FLEET_LM_H
#define FLEET_LM_H

#include <glib.h>

#include "fleet/fc.h"
#include "fleet/sv.h"

/// What gateways and control tell each other. The arrays are made by
/// lm_*_init() and released by lm_*_clear().

/// Requests of a customer that began to run in a window, all since the
/// gateway's start.
struct lm_usage {
	uint64_t window;
	char customer[FC_NAME_BYTES];
	uint64_t n;
};

/// Units of a customer's quota.
struct lm_quota {
	char customer[FC_NAME_BYTES];
	uint64_t spent;   ///< by the gateway, since its start
	uint64_t counted; ///< part of that which `level` takes into account
	int64_t level;    ///< what is left for all
};

/// Work of a service that this gateway has at servers, and what it had to
/// refuse lately for want of places.
struct lm_load {
	char service[FC_NAME_BYTES];
	uint32_t running;      ///< requests at servers now
	uint32_t refused;      ///< since the last report
	uint32_t arrived;      ///< since the last report
	uint64_t work_us;      ///< spent at servers since the last report
	uint64_t tokens;       ///< of prompts to compute, since the last report
	uint64_t tokens_per_s; ///< that one server computes; 0: not known
};

/// Where a service's move to a version stands.
enum lm_move_state {
	LM_MOVING,     ///< the new version gets a share
	LM_MOVED,      ///< it gets all
	LM_TAKEN_BACK, ///< it gets nothing
	LM_MOVE_STATES,
};

struct lm_move {
	char service[FC_NAME_BYTES];
	char target[FC_NAME_BYTES];
	char base[FC_NAME_BYTES];
	uint32_t permille;
	enum lm_move_state state;
	uint64_t sequence; ///< grows with each change
};

/// A server of the list, or one that is on it no more.
struct lm_server {
	struct sv sv;
	bool gone;
};

/// Gateway to control.
struct lm_report {
	uint64_t sent_us; ///< the gateway's steady clock; comes back
	uint64_t version; ///< configuration in force there; 0: none
	uint64_t time_us; ///< since 1970, as the gateway believes
	bool stopping;
	uint64_t list;  ///< number of the list of servers that it has; 0: none
	GArray *usage;  ///< struct lm_usage
	GArray *quotas; ///< struct lm_quota
	GArray *loads;  ///< struct lm_load
};

/// Control to gateway.
struct lm_state {
	uint64_t echo_us; ///< sent_us of the report that this answers
	bool leads;       ///< the rest but for `leader` and `members` holds
	uint32_t leader;  ///< slot; 0: unknown
	uint64_t version; ///< configuration that is in force
	uint64_t time_us; ///< since 1970, as most processes believe; 0: unknown
	uint32_t n_gateways;
	const uint8_t *manifest; ///< of `version`, when the gateway lags
	size_t manifest_len;
	uint64_t list;       ///< number of the newest list of servers; 0: none
	uint64_t list_after; ///< what `changes` come after; 0: they are all
	const uint8_t *changes; ///< lm_list_encode(); empty: nothing new
	size_t changes_len;
	GArray *members; ///< uint32_t: slots of control processes
	GArray *quotas;  ///< struct lm_quota
	GArray *moves;   ///< struct lm_move
};

void lm_report_init(struct lm_report *r);
void lm_report_clear(struct lm_report *r);
void lm_report_encode(const struct lm_report *r, uint8_t **bytes, size_t *len);
enum status lm_report_decode(
    const uint8_t *bytes, size_t len, struct lm_report *out);

void lm_list_encode(const GArray *servers, uint8_t **bytes, size_t *len);
/// @param servers  struct lm_server are appended
enum status lm_list_decode(const uint8_t *bytes, size_t len, GArray *servers);

void lm_state_init(struct lm_state *s);
void lm_state_clear(struct lm_state *s);
void lm_state_encode(const struct lm_state *s, uint8_t **bytes, size_t *len);
/// @param bytes  must outlive `out`, whose manifest and list point into it
enum status lm_state_decode(
    const uint8_t *bytes, size_t len, struct lm_state *out);

#endif
