#ifndef PLATFORM_API_LISTER_H
#define PLATFORM_API_LISTER_H

#include <glib.h>

#include "back/httpc.h"
#include "base/timerq.h"
#include "fleet/instance.h"

/// Reads the cloud's list of servers, page by page.
struct api_lister;

struct api_lister_callbacks {
	/// The whole list was read, or reading it failed.
	///
	/// @param servers  struct instance, valid until the next read starts;
	///                 NULL: a page failed, which was logged
	void (*done)(void *arg, GArray *servers);
	/// A page was read; NULL: not called.
	///
	/// @param n  number of servers on it
	void (*page)(void *arg, const struct instance *servers, guint n);
	void *arg;
};

struct api_lister *api_lister_new(struct httpc *http, struct timerq *timers,
    const struct api_lister_callbacks *callbacks);
void api_lister_free(struct api_lister *l);
void api_lister_add_zone(struct api_lister *l, const char *zone);
void api_lister_read(
    struct api_lister *l, const char *host, uint16_t port, double calls_per_s);
void api_lister_cancel(struct api_lister *l);
bool api_lister_busy(const struct api_lister *l);

#endif
