#ifndef CONF_SETTINGS_H
#define CONF_SETTINGS_H

#include "base/logger.h"
#include "base/status.h"
#include "conf/spec.h"

#define SETTINGS_MAX_PEERS 16
#define SETTINGS_PATH_BYTES 512

enum settings_role {
	SETTINGS_ROLE_ENTRY,
	SETTINGS_ROLE_CONTROL,
};

struct settings_addr {
	char host[SPEC_HOST_BYTES]; ///< IP address
	uint16_t port;              ///< 0: no address
};

/// A control process, as listed under "control".
struct settings_peer {
	uint32_t id; ///< at least 1; doesn't change while its disk lasts
	char name[SPEC_NAME_BYTES];
	char data_centre[SPEC_NAME_BYTES];
	struct settings_addr peer;      ///< msgpack frames
	struct settings_addr operators; ///< HTTP for operators
	bool standby; ///< learner; becomes a voter only to replace one
};

/// TLS of one process; empty file names mean plain TCP, which the settings
/// must request with "plain": true.
struct settings_tls {
	bool plain;
	char certificate[SETTINGS_PATH_BYTES];
	char key[SETTINGS_PATH_BYTES];
	char authority[SETTINGS_PATH_BYTES]; ///< CA that signs the peers
};

/// Checked settings of one entry or control process. Fields marked "entry" or
/// "control" are used by that role alone.
struct settings {
	enum settings_role role;
	char node[SPEC_NAME_BYTES];
	char data_centre[SPEC_NAME_BYTES];
	char deployment[SPEC_NAME_BYTES];
	char data_folder[SETTINGS_PATH_BYTES]; ///< control: required; entry: ""
	struct settings_addr callers;          ///< entry: HTTP for callers
	struct settings_addr
	    operators;             ///< HTTP for operators, counters, health
	struct settings_addr peer; ///< control: msgpack frames
	uint32_t id;               ///< control: own id in the list of peers
	uint32_t n_control;
	struct settings_peer control[SETTINGS_MAX_PEERS]; ///< all of them
	struct settings_addr cloud;                       ///< port 0: none
	struct settings_addr vm_list;
	struct settings_addr weight_store;
	struct settings_tls tls;
	char operator_token[SPEC_NAME_BYTES]; ///< "" allowed only when plain
	enum logger_level log_level;
	uint64_t seed;         ///< of random numbers; 0: taken from the system
	uint32_t election_ms;  ///< control
	uint32_t heartbeat_ms; ///< control
	uint32_t config_lease_ms;       ///< entry: no new work once it expires
	uint32_t max_body_bytes;        ///< entry
	uint32_t max_streams;           ///< entry: requests in flight
	uint32_t caller_idle_ms;        ///< entry: idle timeout of callers
	uint32_t drain_ms;              ///< longest graceful stop
	uint32_t retry_budget_percent;  ///< entry: retries per 100 requests
	uint32_t canary_share_permille; ///< control: initial share of a version
	uint32_t answer_keep_s;         ///< control: retention of responses
};

enum status settings_parse(const char *json, size_t len, struct settings *out,
    struct spec_problems *problems);
enum status settings_load(
    const char *file, struct settings *out, struct spec_problems *problems);

#endif
