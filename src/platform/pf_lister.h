#ifndef PLATFORM_PF_LISTER_H
#define PLATFORM_PF_LISTER_H

#include <glib.h>

#include "back/httpc.h"
#include "fleet/sv.h"

/// Reads the platform's list of servers, page by page.
struct pf_lister;

/// A reading ended.
///
/// @param servers  struct sv; NULL: the reading failed and was logged
/// @param pages    that were read
typedef void (*pf_lister_cb)(void *arg, const GArray *servers, uint32_t pages);

struct pf_lister *pf_lister_new(
    struct httpc *http, pf_lister_cb done, void *arg);
void pf_lister_free(struct pf_lister *l);
/// Starts a reading unless one is under way.
void pf_lister_read(struct pf_lister *l, const char *host, uint16_t port);
bool pf_lister_busy(const struct pf_lister *l);

#endif
