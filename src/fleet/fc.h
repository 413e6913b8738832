#ifndef FLEET_FC_H
#define FLEET_FC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "conf/bootstrap.h"
#include "fleet/qt.h"

/// A whole configuration under the operator's own version number: services,
/// routes, customers. It is built once, checked, and then shared read-only.

#define FC_NAME_BYTES 64
#define FC_MAX_ZONES 16

/// What may be done with a request whose outcome is unknown.
enum fc_kind {
	FC_IDEMPOTENT,
	FC_NON_IDEMPOTENT,
	FC_STREAM, ///< events; idempotent only where it may be resumed
};

struct fc_zone_price {
	char zone[FC_NAME_BYTES];
	double price; ///< of one backend server for a second
};

/// Bounds of the backend servers that control may order for a service.
struct fc_scaling {
	bool enabled;
	uint32_t min_servers; ///< in each data centre
	uint32_t max_servers;
	double boot_s;
	double spot_price; ///< as a share of the on-demand price; 0: none
	uint32_t n_zones;
	struct fc_zone_price zones[FC_MAX_ZONES];
};

/// What a service's model engines can do.
struct fc_engine {
	bool enabled;
	uint32_t slots;        ///< requests in one batch
	uint64_t kv_tokens;    ///< memory
	double kv_token_bytes; ///< of KV cache for one token
	double link_mbps;      ///< between runners
	bool moves;            ///< running requests can be moved
	bool backups;          ///< their KV cache can be copied as it grows
	uint32_t tokens_an_event;
	uint32_t pin_ms;
	uint32_t hold_ms;
	uint32_t handle_ms; ///< a copy that isn't used is kept so long
};

struct fc_service {
	char name[FC_NAME_BYTES];
	char health_path[FC_NAME_BYTES * 2];
	uint32_t max_connections; ///< to one server, from all entries
	struct fc_engine engine;
	struct fc_scaling scaling;
};

struct fc_split {
	uint32_t service; ///< index
	uint32_t weight;
};

struct fc_route {
	char name[FC_NAME_BYTES];
	char *host;
	char *prefix;
	enum fc_kind kind;
	bool resumable;
	bool open;        ///< no API key is asked for
	bool has_prompts; ///< its requests tell the parts of their prompts
	uint32_t timeout_ms;
	uint32_t target_ms; ///< to the answer, or to the first event
	uint32_t gap_ms;    ///< between events
	uint32_t priority;  ///< 0 first
	uint32_t max_attempts;
	uint32_t n_splits;
	struct fc_split *splits;
};

struct fc_customer {
	char name[FC_NAME_BYTES];
	bool has_priority; ///< goes before the route's
	uint32_t priority;
	bool by_tokens;        ///< the quota counts tokens, not requests
	uint32_t plain_tokens; ///< of a request that doesn't say
	double rate_per_s;     ///< 0: no limit
	double burst;
	uint32_t n_keys;
	char **keys;
};

struct fc_limits {
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

struct fc;

struct fc *fc_new(uint64_t version);
struct fc *fc_ref(struct fc *c);
void fc_unref(struct fc *c);

/// Building; an index or NULL with status_last() when a rule is broken.
struct fc_service *fc_add_service(struct fc *c, const char *name);
struct fc_route *fc_add_route(
    struct fc *c, const char *host, const char *prefix);
enum status fc_add_split(
    struct fc *c, struct fc_route *r, const char *service, uint32_t weight);
struct fc_customer *fc_add_customer(struct fc *c, const char *name);
enum status fc_add_key(struct fc *c, struct fc_customer *u, const char *key);
struct fc_limits *fc_limits(struct fc *c);
enum status fc_check(struct fc *c);

/// Reading.
uint64_t fc_version(const struct fc *c);
size_t fc_n_services(const struct fc *c);
const struct fc_service *fc_service(const struct fc *c, size_t i);
int fc_find_service(const struct fc *c, const char *name);
size_t fc_n_routes(const struct fc *c);
const struct fc_route *fc_route(const struct fc *c, size_t i);
size_t fc_n_customers(const struct fc *c);
const struct fc_customer *fc_customer(const struct fc *c, size_t i);
const struct fc_route *fc_match(
    const struct fc *c, const char *host, const char *path);
const struct fc_customer *fc_by_key(const struct fc *c, const char *key);
const struct fc_customer *fc_find_customer(
    const struct fc *c, const char *name);
uint32_t fc_pick(const struct fc_route *r, uint64_t hash);
bool fc_may_repeat(const struct fc_route *r);
struct qt_limit fc_quota(
    const struct fc_customer *c, const struct bootstrap_bounds *bounds);

#endif
