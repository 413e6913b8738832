#ifndef CONF_DS_H
#define CONF_DS_H

#include "conf/cf.h"

/// Settings of a process that finds its deployment by seeds: it knows its own
/// addresses and a few of control's, not how many processes there are.

#define DS_MAX_SEEDS 8
#define DS_MAX_ZONES 16

enum ds_role {
	DS_GATEWAY,
	DS_HUB,
};

/// What may be lost at once without a promise being broken.
struct ds_tolerance {
	uint32_t vms;
	uint32_t data_centres;
	uint32_t regions;
};

/// What the deployment promises; units stand in the names.
struct ds_bounds {
	double contact_ms;
	double ack_ms;
	double catch_up_s;
	double drain_ms;    ///< a leaving server gets nothing after this
	double stop_s;      ///< from SIGTERM to SIGKILL
	double apply_ms;    ///< a configuration is in force everywhere
	double revoke_ms;   ///< a revoked key is dead everywhere
	double retry_ratio; ///< of a service's requests
	double retry_window_s;
	double retry_slack; ///< extra attempts in each window
	double quota_window_s;
	double quota_over;  ///< share by which a quota may be exceeded
	double quota_slack; ///< in the quota's unit
	double duty_lease_ms;
	double usage_window_s;
	double usage_late_s;
	double canary_share; ///< of a bad version, most
	double canary_slack; ///< answers of it beyond that
	double take_back_ms; ///< after the 50th bad answer
	double pass_ms;      ///< an event is passed on within this
};

struct ds_settings {
	enum ds_role role;
	char node[NT_NAME_BYTES];
	char host[NT_HOST_BYTES]; ///< own IP number
	char data_centre[NT_NAME_BYTES];
	char region[NT_NAME_BYTES];
	char data_folder[CF_FILE_BYTES]; ///< hub
	struct cf_addr callers;          ///< gateway
	struct cf_addr ready;            ///< gateway
	struct cf_addr operators;        ///< hub
	uint16_t peer_port;              ///< of every process of control
	/// hub: where it takes links, if they reach it through a translation
	/// of addresses; no port: at its own address
	struct cf_addr peer_listen;
	uint16_t metrics_port; ///< 0: none
	uint32_t n_seeds;
	struct cf_addr seeds[DS_MAX_SEEDS]; ///< operators' addresses
	bool first_start; ///< of the whole deployment, with empty disks
	uint32_t memory_mb;
	uint32_t max_fds;
	struct cf_addr cloud;
	double list_calls_per_s; ///< of all processes together
	double duty_calls_per_s;
	bool reports_usage;
	bool scales;
	uint32_t n_zones;
	char zones[DS_MAX_ZONES][NT_NAME_BYTES]; ///< data centres
	char regions[DS_MAX_ZONES][NT_NAME_BYTES];
	struct ds_tolerance tolerance;
	struct ds_bounds bounds;
	enum logger_level log_level;
};

enum status ds_parse(const char *json, size_t len, struct ds_settings *out,
    struct nt_problems *problems);
enum status ds_load(
    const char *file, struct ds_settings *out, struct nt_problems *problems);

#endif
