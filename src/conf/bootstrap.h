#ifndef CONF_BOOTSTRAP_H
#define CONF_BOOTSTRAP_H

#include "conf/settings.h"

/// Settings of a gateway or hub process, which finds the rest of its deployment
/// through seeds: it knows its own addresses and those of a few hubs, not how
/// many processes there are.

#define BOOTSTRAP_MAX_SEEDS 8
#define BOOTSTRAP_MAX_ZONES 16

enum bootstrap_role {
	BOOTSTRAP_ROLE_GATEWAY,
	BOOTSTRAP_ROLE_HUB,
};

/// Numbers of simultaneous failures under which the bounds still hold.
struct bootstrap_tolerance {
	uint32_t vms;
	uint32_t data_centres;
	uint32_t regions;
};

/// Limits that the deployment must keep. Units are in the names.
struct bootstrap_bounds {
	double contact_ms;
	double ack_ms;
	double catch_up_s;
	double drain_ms;    ///< a draining server gets no requests after this
	double stop_s;      ///< from SIGTERM to SIGKILL
	double apply_ms;    ///< until a configuration is in use everywhere
	double revoke_ms;   ///< until a revoked key is rejected everywhere
	double evacuate_ms; ///< until an evacuation is in force everywhere
	double retry_ratio; ///< retries over a service's requests
	double retry_window_s;
	double retry_slack; ///< retries allowed beyond that in a window
	double quota_window_s;
	double quota_over;  ///< fraction by which a quota may be exceeded
	double quota_slack; ///< excess allowed beyond that, in the quota's unit
	double duty_lease_ms;
	double usage_window_s; ///< time covered by one usage report
	double usage_late_s;   ///< a window is reported within this
	double canary_share; ///< limit on a faulty version's share of requests
	double canary_slack; ///< responses of it allowed beyond that
	double rollback_ms;  ///< from the 50th failed response to the rollback
	double cold_over;    ///< a cold server's requests per second over what
			     ///< its service says that it takes
	double cold_slack;   ///< requests allowed beyond that in a second
	double event_relay_ms; ///< until an event of a stream is relayed
};

struct bootstrap_settings {
	enum bootstrap_role role;
	char node[SPEC_NAME_BYTES];
	char host[SPEC_HOST_BYTES]; ///< own IP address
	char data_centre[SPEC_NAME_BYTES];
	char region[SPEC_NAME_BYTES];
	char data_folder[SETTINGS_PATH_BYTES]; ///< hub only
	struct settings_addr callers;          ///< gateway only
	struct settings_addr ready;     ///< gateway only: readiness checks
	struct settings_addr operators; ///< hub only
	uint16_t peer_port;             ///< the same on every hub
	/// Hub only: address to listen on if peers reach it through address
	/// translation; port 0: listens on host and peer_port.
	struct settings_addr peer_listen;
	uint16_t metrics_port; ///< 0: none
	uint32_t n_seeds;
	struct settings_addr
	    seeds[BOOTSTRAP_MAX_SEEDS]; ///< operators' addresses of hubs
	/// First start of the whole deployment, with empty disks: the hubs
	/// among the seeds become the voters.
	bool first_start;
	uint32_t memory_mb; ///< of the VM; 0: not known
	uint32_t max_fds;
	struct settings_addr cloud; ///< the cloud's API
	double list_calls_per_s;    ///< limit for all processes together
	double duty_calls_per_s;    ///< limit on calls by holders of a duty
	bool reports_usage;         ///< hub: may take the duty "usage_report"
	bool scales;                ///< hub: may take the duty "autoscaling"
	uint32_t n_zones;
	char zones[BOOTSTRAP_MAX_ZONES][SPEC_NAME_BYTES];   ///< data centres
	char regions[BOOTSTRAP_MAX_ZONES][SPEC_NAME_BYTES]; ///< of zones[i]
	struct bootstrap_tolerance tolerance;
	struct bootstrap_bounds bounds;
	enum logger_level log_level;
};

enum status bootstrap_parse(const char *json, size_t len,
    struct bootstrap_settings *out, struct spec_problems *problems);
enum status bootstrap_load(const char *file, struct bootstrap_settings *out,
    struct spec_problems *problems);

size_t bootstrap_memory_share(
    const struct bootstrap_settings *settings, unsigned share);

#endif
