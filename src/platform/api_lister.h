#ifndef PLATFORM_API_LISTER_H
#define PLATFORM_API_LISTER_H

#include <glib.h>

#include "back/httpc.h"
#include "fleet/instance.h"

/// Reads the platform's list of servers, page by page.
struct api_lister;

/// A reading ended.
///
/// @param servers  struct sv; NULL: the reading failed and was logged
/// @param pages    that were read
typedef void (*api_lister_cb)(void *arg, const GArray *servers, uint32_t pages);

struct api_lister *api_lister_new(
    struct httpc *http, api_lister_cb done, void *arg);
void api_lister_free(struct api_lister *l);
/// Starts a reading unless one is under way.
void api_lister_read(struct api_lister *l, const char *host, uint16_t port);
bool api_lister_busy(const struct api_lister *l);

#endif
