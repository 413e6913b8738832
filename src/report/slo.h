#ifndef REPORT_SLO_H
#define REPORT_SLO_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

/// SLO counters by customer, route and version, kept over restarts of entries,
/// and the report on how fast the error budget is spent (burn rate).

#define SLO_NAME_BYTES 128

enum slo_dimension {
	SLO_CUSTOMER,
	SLO_ROUTE,
	SLO_VERSION,
	SLO_DIMENSIONS,
};

/// Totals of requests, in most uses since the start of an entry's process.
struct slo_totals {
	uint64_t requests;
	uint64_t failed;             ///< no complete response
	uint64_t ttft_missed;        ///< time to first token over its target
	uint64_t inter_token_missed; ///< inter-token latency over its target
	uint64_t tokens;
	uint64_t recomputed_tokens;
	uint64_t violations; ///< failed or a target missed; set by slo_record()
};

/// Totals of one customer, route or version in an entry's snapshot.
struct slo_item {
	enum slo_dimension dimension;
	char name[SLO_NAME_BYTES];
	struct slo_totals totals;
};

/// Cumulative counters of one entry's process. A later snapshot replaces an
/// earlier one of the same incarnation, so lost or repeated ones do no harm. A
/// later process of an entry has a greater incarnation.
struct slo_snapshot {
	char entry[SLO_NAME_BYTES];
	uint64_t incarnation;
	uint64_t number; ///< counts the snapshots of an incarnation
	size_t n;
	const struct slo_item *items;
};

/// Counters of an entry's process, from which snapshots are made.
struct slo_counters;

/// One finished request.
struct slo_request {
	const char *customer;
	const char *route;
	const char *version;      ///< NULL or "": none
	struct slo_totals totals; ///< of this request; requests is 1
};

struct slo_counters *slo_counters_new(const char *entry, uint64_t incarnation);
void slo_counters_free(struct slo_counters *c);
void slo_record(struct slo_counters *c, const struct slo_request *r);
const struct slo_snapshot *slo_snapshot_take(struct slo_counters *c);

/// History at a control process, from which the report is made.
struct slo_history;

struct slo_settings {
	double objective; ///< fraction of requests without violations, as 0.95,
			  ///< which is used for a value outside 0 to 1
};

/// Numbers of rollouts of versions, by how they ended.
struct slo_rollouts {
	uint64_t completed_in_time;
	uint64_t completed_late;
	uint64_t rolled_back;
	uint64_t in_progress;
};

struct slo_history *slo_history_new(const struct slo_settings *settings);
void slo_history_free(struct slo_history *h);
bool slo_merge(struct slo_history *h, uint64_t now_us,
    const struct slo_snapshot *snapshot);
void slo_sample(struct slo_history *h, uint64_t now_us);
void slo_set_cost(struct slo_history *h, uint64_t cost_micros);
void slo_set_rollouts(
    struct slo_history *h, const struct slo_rollouts *rollouts);

enum slo_format {
	SLO_TEXT,
	SLO_JSON,
	SLO_HTML,
};

char *slo_report(
    const struct slo_history *h, uint64_t now_us, enum slo_format format);
char *slo_save(const struct slo_history *h);
enum status slo_load(struct slo_history *h, const char *json, size_t len);
char *slo_render_json(
    const char *report_json, size_t len, enum slo_format format);

#endif
