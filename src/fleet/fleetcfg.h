#ifndef FLEET_FLEETCFG_H
#define FLEET_FLEETCFG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "conf/bootstrap.h"
#include "fleet/quota.h"

/// A complete configuration with the operator's version number: services,
/// routes and customers. It is built once, validated, and then shared
/// read-only. It is reference-counted, without locks; pointers into it are
/// valid while a reference is held.

#define FLEETCFG_NAME_BYTES 64
#define FLEETCFG_MAX_ZONES 16
#define FLEETCFG_MAX_REGIONS 16

/// Decides whether a request whose outcome is unknown may be retried, see
/// fleetcfg_is_retryable().
enum fleetcfg_request_kind {
	FLEETCFG_IDEMPOTENT,
	FLEETCFG_NON_IDEMPOTENT,
	FLEETCFG_STREAM, ///< event stream; idempotent only if resumable
};

struct fleetcfg_zone_price {
	char zone[FLEETCFG_NAME_BYTES];
	double price; ///< of one on-demand backend server per second
};

/// Bounds of the backend servers that control may order for a service.
struct fleetcfg_scaling {
	bool enabled;
	uint32_t min_servers; ///< in each data centre
	uint32_t max_servers; ///< in each data centre
	double boot_s;        ///< time that a server takes to start
	double spot_price;    ///< as a share of the on-demand price; 0: none
	uint32_t n_zones;
	struct fleetcfg_zone_price zones[FLEETCFG_MAX_ZONES];
};

/// What a service's model engines can do.
struct fleetcfg_engine {
	bool enabled;
	uint32_t slots;        ///< requests in one batch
	uint64_t kv_tokens;    ///< tokens that fit into the KV cache
	double kv_token_bytes; ///< KV cache bytes per token
	double link_mbps;      ///< bandwidth between runners
	bool can_migrate;      ///< streams in flight can be migrated
	bool kv_backups;       ///< their KV cache can be copied as it grows
	uint32_t tokens_per_event;
	uint32_t pin_ms;
	uint32_t hold_ms;
	uint32_t copy_ttl_ms; ///< an unused copy is kept so long
};

struct fleetcfg_service {
	char name[FLEETCFG_NAME_BYTES];
	char health_path[FLEETCFG_NAME_BYTES * 2];
	uint32_t max_connections; ///< to one server, from all entries
	double
	    cold_start_s;  ///< a server is cold so long after a start; 0: never
	double cold_per_s; ///< requests that a cold server takes per second
	struct fleetcfg_engine engine;
	struct fleetcfg_scaling scaling;
};

/// Regions whose servers may get a request.
struct fleetcfg_regions {
	uint32_t n; ///< 0: none
	char names[FLEETCFG_MAX_REGIONS][FLEETCFG_NAME_BYTES];
};

struct fleetcfg_split {
	uint32_t service; ///< index
	uint32_t weight;  ///< relative to the other splits of the route
};

struct fleetcfg_route {
	char name[FLEETCFG_NAME_BYTES];
	char *host;
	char *prefix;
	enum fleetcfg_request_kind kind;
	bool resumable;
	bool no_auth;          ///< no API key is required
	bool has_prompt_parts; ///< requests list the parts of their prompts
	uint32_t timeout_ms;
	uint32_t target_ms; ///< latency target, to the response or first event
	uint32_t gap_ms;    ///< target for the time between events
	uint32_t priority;  ///< 0 is served first
	uint32_t max_attempts;
	struct fleetcfg_regions *regions; ///< NULL: all
	uint32_t n_splits;
	struct fleetcfg_split *splits;
};

struct fleetcfg_customer {
	char name[FLEETCFG_NAME_BYTES];
	bool has_priority; ///< `priority` overrides that of the route
	uint32_t priority;
	bool quota_in_tokens;    ///< the quota counts tokens, not requests
	uint32_t default_tokens; ///< of a request that doesn't say its tokens
	double rate_per_s;       ///< tokens or requests; 0: no limit
	double burst;            ///< tokens or requests
	struct fleetcfg_regions *regions; ///< NULL: all
	uint32_t n_keys;
	char **keys;
};

struct fleetcfg_limits {
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

struct fleetcfg;

struct fleetcfg *fleetcfg_new(uint64_t version);
struct fleetcfg *fleetcfg_ref(struct fleetcfg *c);
void fleetcfg_unref(struct fleetcfg *c);

/// Building. Functions that fail set status_last(). Pointers returned for
/// filling in belong to the configuration.
struct fleetcfg_service *fleetcfg_add_service(
    struct fleetcfg *c, const char *name);
struct fleetcfg_route *fleetcfg_add_route(
    struct fleetcfg *c, const char *host, const char *prefix);
enum status fleetcfg_add_split(struct fleetcfg *c, struct fleetcfg_route *r,
    const char *service, uint32_t weight);
void fleetcfg_require_keys(struct fleetcfg *c);
struct fleetcfg_customer *fleetcfg_add_customer(
    struct fleetcfg *c, const char *name);
enum status fleetcfg_add_key(
    struct fleetcfg *c, struct fleetcfg_customer *u, const char *key);
void fleetcfg_restrict_regions(struct fleetcfg_regions **regions);
enum status fleetcfg_add_region(
    struct fleetcfg_regions **regions, const char *name);
struct fleetcfg_limits *fleetcfg_limits(struct fleetcfg *c);
enum status fleetcfg_validate(struct fleetcfg *c);

/// Reading, once the configuration is validated.
uint64_t fleetcfg_version(const struct fleetcfg *c);
size_t fleetcfg_n_services(const struct fleetcfg *c);
const struct fleetcfg_service *fleetcfg_service(
    const struct fleetcfg *c, size_t i);
int fleetcfg_find_service(const struct fleetcfg *c, const char *name);
size_t fleetcfg_n_routes(const struct fleetcfg *c);
const struct fleetcfg_route *fleetcfg_route(const struct fleetcfg *c, size_t i);
bool fleetcfg_has_keys(const struct fleetcfg *c);
bool fleetcfg_requires_key(
    const struct fleetcfg *c, const struct fleetcfg_route *r);
size_t fleetcfg_n_customers(const struct fleetcfg *c);
const struct fleetcfg_customer *fleetcfg_customer(
    const struct fleetcfg *c, size_t i);
const struct fleetcfg_route *fleetcfg_match_route(
    const struct fleetcfg *c, const char *host, const char *path);
const struct fleetcfg_customer *fleetcfg_customer_by_key(
    const struct fleetcfg *c, const char *key);
const struct fleetcfg_customer *fleetcfg_find_customer(
    const struct fleetcfg *c, const char *name);
uint32_t fleetcfg_pick_service(const struct fleetcfg_route *r, uint64_t hash);
bool fleetcfg_is_retryable(const struct fleetcfg_route *r);
bool fleetcfg_allows_region(const struct fleetcfg_route *r,
    const struct fleetcfg_customer *u, const char *region);
struct quota_limit fleetcfg_quota_limit(
    const struct fleetcfg_customer *c, const struct bootstrap_bounds *bounds);

#endif
