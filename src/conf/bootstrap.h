#ifndef CONF_BOOTSTRAP_H
#define CONF_BOOTSTRAP_H

#include "conf/settings.h"

/// Settings of a process that finds its deployment by seeds: it knows its own
/// addresses and a few of control's, not how many processes there are.

#define BOOTSTRAP_MAX_SEEDS 8
#define BOOTSTRAP_MAX_ZONES 16

enum bootstrap_role {
	BOOTSTRAP_ROLE_GATEWAY,
	BOOTSTRAP_ROLE_HUB,
};

/// What may be lost at once without a promise being broken.
struct bootstrap_tolerance {
	uint32_t vms;
	uint32_t data_centres;
	uint32_t regions;
};

/// What the deployment promises; units stand in the names.
struct bootstrap_bounds {
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

struct bootstrap_settings {
	enum bootstrap_role role;
	char node[SPEC_NAME_BYTES];
	char host[SPEC_HOST_BYTES]; ///< own IP number
	char data_centre[SPEC_NAME_BYTES];
	char region[SPEC_NAME_BYTES];
	char data_folder[SETTINGS_PATH_BYTES]; ///< hub
	struct settings_addr callers;          ///< gateway
	struct settings_addr ready;            ///< gateway
	struct settings_addr operators;        ///< hub
	uint16_t peer_port;                    ///< of every process of control
	/// hub: where it takes links, if they reach it through a translation
	/// of addresses; no port: at its own address
	struct settings_addr peer_listen;
	uint16_t metrics_port; ///< 0: none
	uint32_t n_seeds;
	struct settings_addr
	    seeds[BOOTSTRAP_MAX_SEEDS]; ///< operators' addresses
	bool first_start; ///< of the whole deployment, with empty disks
	uint32_t memory_mb;
	uint32_t max_fds;
	struct settings_addr cloud;
	double list_calls_per_s; ///< of all processes together
	double duty_calls_per_s;
	bool reports_usage;
	bool scales;
	uint32_t n_zones;
	char zones[BOOTSTRAP_MAX_ZONES][SPEC_NAME_BYTES]; ///< data centres
	char regions[BOOTSTRAP_MAX_ZONES][SPEC_NAME_BYTES];
	struct bootstrap_tolerance tolerance;
	struct bootstrap_bounds bounds;
	enum logger_level log_level;
};

enum status bootstrap_parse(const char *json, size_t len,
    struct bootstrap_settings *out, struct spec_problems *problems);
enum status bootstrap_load(const char *file, struct bootstrap_settings *out,
    struct spec_problems *problems);

#endif
