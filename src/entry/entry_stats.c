#include "entry/entry_internal.h"

#include <inttypes.h>
#include <stdlib.h>

#include <string.h>

#include "report/slo_codec.h"
#include "rollout/rollout_codec.h"

#define ENTRY_SLO_EVERY_US (5 * USEC_PER_SEC)
#define ENTRY_STATS_EVERY_US (500 * USEC_PER_MSEC)
/// Load of a server that counts as full in the rollout stats.
#define ENTRY_LOAD_FULL 8.0

/// Counts a response of a backend server, or its failure, in the rollout stats
/// of its version.
void
entry_stats_record(struct req *q, bool failed)
{
	struct entry *e = q->entry;
	struct rollout_response response = {
		.pool = rollout_key(q->route.pool),
		.version = rollout_key(q->target.version),
		.route = rollout_key(q->route.path),
		.failed = failed,
	};
	struct balancer_server_stats stats;

	if (q->target.version[0] == '\0')
		return;
	if (q->first_token_us > q->sent_us)
		response.first_token_us = q->first_token_us - q->sent_us;
	if (q->attempt_tokens > 1)
		response.inter_token_us =
		    q->inter_token_sum_us / (q->attempt_tokens - 1);
	if (balancer_server_stats(e->router, loop_now_us(e->loop),
		q->target.choice.server, &stats))
		response.load_permille = (uint32_t)MIN(
		    stats.load / ENTRY_LOAD_FULL * ROLLOUT_FULL_PERMILLE,
		    ROLLOUT_FULL_PERMILLE);
	if (rollout_entry_record(e->versions, &response))
		logger_event(LOGGER_WARN, "version.stopped_here",
		    "version=%s route=%s", q->target.version, q->route.path);
}

/// Sends the SLO counters to every control process, since each keeps a history
/// of its own.
void
entry_slo_tick(struct entry *e, uint64_t now_us)
{
	struct wire_msg msg = { .kind = WIRE_SLO_COUNTERS };
	char *text;

	if (now_us < e->slo_sent_us + ENTRY_SLO_EVERY_US)
		return;
	e->slo_sent_us = now_us;
	text = slo_snapshot_encode(slo_snapshot_take(e->slo));
	msg.payload.data = (const uint8_t *)text;
	msg.payload.len = strlen(text);
	for (uint32_t i = 0; i < e->settings.n_control; i++)
		(void)transport_send(e->links, e->control[i], &msg);
	free(text);
}

/// Sends rollout stats to the leader. A report is repeated until it is
/// acknowledged.
void
entry_stats_tick(struct entry *e, uint64_t now_us)
{
	const struct rollout_report *report;
	uint64_t stopped[ROLLOUT_MAX_VERSIONS];
	struct wire_msg msg = { .kind = WIRE_ROLLOUT_STATS };
	uint8_t *bytes;
	size_t n_stopped;
	size_t len;

	if (now_us < e->stats_sent_us + ENTRY_STATS_EVERY_US || !e->subscribed)
		return;
	n_stopped =
	    rollout_entry_stopped(e->versions, stopped, ROLLOUT_MAX_VERSIONS);
	report = rollout_entry_report(e->versions);
	if (report == NULL)
		return;
	e->stats_sent_us = now_us;
	e->stats_number = report->number;
	rollout_report_encode(report, stopped, n_stopped, &bytes, &len);
	msg.payload.data = bytes;
	msg.payload.len = len;
	for (uint32_t i = 0; i < e->settings.n_control; i++) {
		if (e->settings.control[i].id == e->leader)
			(void)transport_send(e->links, e->control[i], &msg);
	}
	free(bytes);
}

/// The leader acknowledged a report of rollout stats.
void
entry_stats_acked(struct entry *e, const struct wire_bytes *b)
{
	struct rollout_message *m = g_new(struct rollout_message, 1);

	if (rollout_report_decode(b->data, b->len, m) == STATUS_OK)
		rollout_entry_acked(e->versions, m->report.number);
	g_free(m);
}
