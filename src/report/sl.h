#ifndef REPORT_SL_H
#define REPORT_SL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

/// Service levels: counters by customer, route and version, kept over
/// restarts of entries, and the report on how fast the error budget burns.

#define SL_NAME_BYTES 128

enum sl_dimension {
	SL_CUSTOMER,
	SL_ROUTE,
	SL_VERSION,
	SL_DIMENSIONS,
};

/// Totals since the start of an entry's process; they only grow.
struct sl_totals {
	uint64_t requests;
	uint64_t failed;       ///< not answered whole
	uint64_t late_first;   ///< first token after the target
	uint64_t late_between; ///< tokens further apart than the target
	uint64_t tokens;
	uint64_t recomputed_tokens;
	uint64_t bad; ///< failed or late; worked out by sl_count()
};

/// One line of an entry's snapshot.
struct sl_item {
	enum sl_dimension dimension;
	char name[SL_NAME_BYTES];
	struct sl_totals totals;
};

/// Cumulative counters of one entry's process. A later one replaces an
/// earlier of the same incarnation; lost or repeated ones do no harm. A later
/// process of an entry has a greater incarnation.
struct sl_snapshot {
	char entry[SL_NAME_BYTES];
	uint64_t incarnation;
	uint64_t number;
	size_t n;
	const struct sl_item *items;
};

/// Counters of an entry's process, from which snapshots are made.
struct sl_counters;

/// One finished request.
struct sl_request {
	const char *customer;
	const char *route;
	const char *version; ///< NULL or "": none
	struct sl_totals totals;
};

struct sl_counters *sl_counters_new(const char *entry, uint64_t incarnation);
void sl_counters_free(struct sl_counters *c);
void sl_count(struct sl_counters *c, const struct sl_request *r);
const struct sl_snapshot *sl_snapshot_take(struct sl_counters *c);

/// History at control, from which the report is made.
struct sl_history;

struct sl_settings {
	double objective; ///< part of requests that must be good, as 0.95
};

struct sl_moves {
	uint64_t completed_in_time;
	uint64_t completed_late;
	uint64_t taken_back;
	uint64_t under_way;
};

struct sl_history *sl_history_new(const struct sl_settings *settings);
void sl_history_free(struct sl_history *h);
bool sl_merge(
    struct sl_history *h, uint64_t now_us, const struct sl_snapshot *snapshot);
void sl_sample(struct sl_history *h, uint64_t now_us);
void sl_set_cost(struct sl_history *h, uint64_t cost_micros);
void sl_set_moves(struct sl_history *h, const struct sl_moves *moves);

enum sl_format {
	SL_TEXT,
	SL_JSON,
	SL_HTML,
};

char *sl_report(
    const struct sl_history *h, uint64_t now_us, enum sl_format format);
char *sl_save(const struct sl_history *h);
enum status sl_load(struct sl_history *h, const char *json, size_t len);
char *sl_render_json(
    const char *report_json, size_t len, enum sl_format format);

#endif
