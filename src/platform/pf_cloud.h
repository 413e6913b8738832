#ifndef PLATFORM_PF_CLOUD_H
#define PLATFORM_PF_CLOUD_H

#include <glib.h>

#include "back/httpc.h"
#include "fleet/sv.h"

/// Bodies of the calls to the cloud.

/// One page of the list. An entry that can't be read is counted and names no
/// server.
///
/// @param servers  struct sv are appended
/// @param next     receives the token of the next page, NULL on the last one;
///                 to be freed
/// @param n_bad    receives the number of entries that can't be read
enum status pf_list_read(
    const char *text, size_t len, GArray *servers, char **next, size_t *n_bad);

/// Path of a page of the list, to be freed.
///
/// @param token  NULL: the first page
char *pf_list_path(const char *token);

/// How many requests of a customer began to run in a window.
struct pf_usage {
	char customer[FC_NAME_BYTES];
	uint64_t n;
};

char *pf_usage_body(uint64_t window, const struct pf_usage *usage, size_t n);
char *pf_scale_body(
    const char *service, const char *zone, uint32_t servers, bool spot);

/// A call that only the holder of a duty may make.
struct pf_duty_call {
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

handle_t pf_duty_send(struct httpc *c, const struct pf_duty_call *call);

/// An operator's order to move a service to a version.
struct pf_rollout {
	char service[FC_NAME_BYTES];
	char target[FC_NAME_BYTES];
	double duration_s;
};

enum status pf_rollout_read(
    const char *text, size_t len, struct pf_rollout *out);
char *pf_rollout_body(const char *state, const char *target);

#endif
