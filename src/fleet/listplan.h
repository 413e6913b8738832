#ifndef FLEET_LISTPLAN_H
#define FLEET_LISTPLAN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/// Plan of the readings of the platform's list of servers, without I/O: which
/// page to request next, and when. All processes share the platform's rate of
/// calls, so that a reading is paced by its process's part of it. A list of
/// many pages is read data centre by data centre, several side by side.

/// Readings side by side.
#define LISTPLAN_STREAMS 4

struct listplan;

/// A page to request.
struct listplan_page {
	guint stream;
	const char *zone;  ///< NULL: of all data centres
	const char *token; ///< NULL: the first page
};

struct listplan *listplan_new(void);
void listplan_free(struct listplan *p);
void listplan_set_rate(struct listplan *p, double calls_per_s);
void listplan_add_zone(struct listplan *p, const char *zone);
void listplan_begin(struct listplan *p);
bool listplan_next(struct listplan *p, uint64_t now_us,
    struct listplan_page *page, uint64_t *wait_until_us);
void listplan_on_page(struct listplan *p, guint stream, const char *next);
bool listplan_on_refused(struct listplan *p, guint stream, uint64_t now_us);
bool listplan_is_complete(const struct listplan *p);
guint listplan_pages(const struct listplan *p);
void listplan_end(struct listplan *p, const GArray *servers);

#endif
