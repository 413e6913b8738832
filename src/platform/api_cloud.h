#ifndef PLATFORM_API_CLOUD_H
#define PLATFORM_API_CLOUD_H

#include <glib.h>

#include "back/httpc.h"
#include "fleet/instance.h"

/// Bodies of the calls to the cloud.

/// One page of the list. An entry that can't be read is counted and names no
/// server.
///
/// @param servers  struct sv are appended
/// @param next     receives the token of the next page, NULL on the last one;
///                 to be freed
/// @param n_bad    receives the number of entries that can't be read
enum status api_list_read(
    const char *text, size_t len, GArray *servers, char **next, size_t *n_bad);

/// Path of a page of the list, to be freed.
///
/// @param token  NULL: the first page
char *api_list_path(const char *token);

/// How many requests of a customer began to run in a window.
struct api_usage {
	char customer[FLEETCFG_NAME_BYTES];
	uint64_t n;
};

char *api_usage_body(uint64_t window, const struct api_usage *usage, size_t n);
char *api_scale_body(
    const char *service, const char *zone, uint32_t servers, bool spot);

/// A call that only the holder of a duty may make.
struct api_duty_call {
	const char *host;
	uint16_t port;
	const char *path;
	const char *body;
	const char *holder;
	uint64_t fence;
	uint64_t timeout_us;
	httpc_end_cb on_end;
	void *arg;
};

handle_t api_duty_call_send(struct httpc *c, const struct api_duty_call *call);

/// An operator's order to move a service to a version.
struct api_rollout {
	char service[FLEETCFG_NAME_BYTES];
	char target[FLEETCFG_NAME_BYTES];
	double duration_s;
};

enum status api_rollout_read(
    const char *text, size_t len, struct api_rollout *out);
char *api_rollout_body(const char *state, const char *target);

#endif
