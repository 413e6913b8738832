#ifndef PLATFORM_API_LISTER_H
#define PLATFORM_API_LISTER_H

#include <glib.h>

#include "back/httpc.h"
#include "fleet/instance.h"

/// Reads the cloud's list of servers, page by page.
struct api_lister;

/// Called when the whole list was read or reading it failed.
///
/// @param servers  struct instance, valid until the next read starts; NULL: a
///                 page failed, which was logged
/// @param pages    number of pages read
typedef void (*api_lister_cb)(void *arg, GArray *servers, uint32_t pages);

struct api_lister *api_lister_new(
    struct httpc *http, api_lister_cb on_done, void *arg);
void api_lister_free(struct api_lister *l);
void api_lister_read(struct api_lister *l, const char *host, uint16_t port);
bool api_lister_busy(const struct api_lister *l);

#endif
