#ifndef PLATFORM_API_CLOUD_H
#define PLATFORM_API_CLOUD_H

#include <glib.h>

#include "back/httpc.h"
#include "fleet/instance.h"

/// Paths and bodies of requests to the cloud's API and of operators' rollout
/// requests.

enum status api_list_read(const char *text, size_t len, GArray *servers,
    char **next, size_t *n_invalid);

char *api_list_path(const char *zone, const char *token);

/// Number of requests of a customer that started to run in a usage window.
struct api_usage {
	char customer[FLEETCFG_NAME_BYTES];
	uint64_t n;
};

char *api_usage_body(uint64_t window, const struct api_usage *usage, size_t n);
char *api_scale_body(
    const char *service, const char *zone, uint32_t servers, bool spot);

/// A request that only the holder of a duty may make.
struct api_duty_call {
	const char *host;
	uint16_t port;
	const char *path;
	const char *body;   ///< JSON
	const char *holder; ///< name of the process that holds the duty
	uint64_t fence;     ///< fencing number of the duty
	uint64_t timeout_us;
	uint64_t checked_us; ///< when it was seen that the call may be made, by
			     ///< CLOCK_BOOTTIME; timeout_us counts from then
	httpc_end_cb on_end;
	void *arg;
};

handle_t api_duty_call_send(struct httpc *c, const struct api_duty_call *call);

/// An operator's request for a rollout of a service to a version.
struct api_rollout {
	char service[FLEETCFG_NAME_BYTES];
	char target[FLEETCFG_NAME_BYTES]; ///< version
	double duration_s;                ///< until the rollout's deadline
};

enum status api_rollout_read(
    const char *text, size_t len, struct api_rollout *out);
char *api_rollout_body(const char *state, const char *target);

#endif
