#ifndef CONF_CF_H
#define CONF_CF_H

#include "base/logger.h"
#include "base/status.h"
#include "conf/nt.h"

#define CF_MAX_PEERS 16
#define CF_FILE_BYTES 512

enum cf_role {
	CF_ENTRY,
	CF_CONTROL,
};

struct cf_addr {
	char host[NT_HOST_BYTES]; ///< IP number.
	uint16_t port;
};

/// A control process, as named in "control".
struct cf_peer {
	uint32_t id; ///< 1 and up, stable for the life of its disk.
	char name[NT_NAME_BYTES];
	char data_centre[NT_NAME_BYTES];
	struct cf_addr peer;      ///< msgpack frames
	struct cf_addr operators; ///< HTTP for operators
	bool standby; ///< It follows, and votes only in place of another.
};

/// TLS of one process; empty file names mean plain TCP, which the settings
/// must ask for with "plain": true.
struct cf_tls {
	bool plain;
	char certificate[CF_FILE_BYTES];
	char key[CF_FILE_BYTES];
	char authority[CF_FILE_BYTES];
};

/// Checked settings of one process.
struct cf_settings {
	enum cf_role role;
	char node[NT_NAME_BYTES];
	char data_centre[NT_NAME_BYTES];
	char deployment[NT_NAME_BYTES];
	char data_folder[CF_FILE_BYTES]; ///< control: required; entry: "".
	struct cf_addr callers;          ///< entry: HTTP for callers
	struct cf_addr operators; ///< HTTP for operators, counters, health
	struct cf_addr peer;      ///< control: msgpack frames
	uint32_t id;              ///< control: own id in the list of peers
	uint32_t n_control;
	struct cf_peer control[CF_MAX_PEERS];
	struct cf_addr cloud; ///< port 0: none
	struct cf_addr vm_list;
	struct cf_addr weight_store;
	struct cf_tls tls;
	char operator_token[NT_NAME_BYTES]; ///< "" allowed only when plain
	enum logger_level log_level;
	uint64_t seed;                  ///< 0: from the system
	uint32_t election_ms;           ///< control
	uint32_t heartbeat_ms;          ///< control
	uint32_t config_lease_ms;       ///< entry: no new work after this
	uint32_t max_body_bytes;        ///< entry
	uint32_t max_streams;           ///< entry
	uint32_t caller_idle_ms;        ///< entry
	uint32_t drain_ms;              ///< graceful stop at most this long
	uint32_t retry_budget_percent;  ///< entry: retries over requests
	uint32_t canary_share_permille; ///< control: first share of a version
	uint32_t answer_keep_s;         ///< control: journal keeps answers
};

enum status cf_parse(const char *json, size_t len, struct cf_settings *out,
    struct nt_problems *problems);
enum status cf_load(
    const char *file, struct cf_settings *out, struct nt_problems *problems);

#endif
