#include "entry/en_internal.h"

#include <inttypes.h>
#include <stdlib.h>

#include <string.h>

#include "report/sl_wire.h"
#include "rollout/vo_codec.h"

#define EN_LEVELS_EVERY_US (5 * USEC_PER_SEC)
#define EN_EVIDENCE_EVERY_US (500 * USEC_PER_MSEC)
#define EN_LOAD_FULL 8.0

/// Counts an answer of a backend server, or its failure, as evidence on the
/// version that gave it.
void
en_evidence_answer(struct rq *q, bool failed)
{
	struct en *e = q->en;
	struct vo_answer a = {
		.pool = vo_key(q->route.pool),
		.version = vo_key(q->target.version),
		.route = vo_key(q->route.path),
		.failed = failed,
	};
	struct ro_view view;

	if (q->target.version[0] == '\0')
		return;
	if (q->first_us > q->sent_us)
		a.first_token_us = q->first_us - q->sent_us;
	if (q->attempt_tokens > 1)
		a.between_us = q->between_sum_us / (q->attempt_tokens - 1);
	if (ro_view(e->router, loop_now_us(e->loop), q->target.choice.server,
		&view))
		a.load_permille =
		    (uint32_t)MIN(view.load / EN_LOAD_FULL * VO_FULL_PERMILLE,
			VO_FULL_PERMILLE);
	if (vo_entry_answer(e->versions, &a))
		logger_event(LOGGER_WARN, "version.stopped_here",
		    "version=%s route=%s", q->target.version, q->route.path);
}

/// Sends the counters of service levels to every control process: each keeps
/// a history of its own.
void
en_levels_tick(struct en *e, uint64_t now_us)
{
	struct wire_msg msg = { .kind = WIRE_SLO_COUNTERS };
	char *text;

	if (now_us < e->levels_sent_us + EN_LEVELS_EVERY_US)
		return;
	e->levels_sent_us = now_us;
	text = sl_snapshot_text(sl_snapshot_take(e->levels));
	msg.evidence.at = (const uint8_t *)text;
	msg.evidence.len = strlen(text);
	for (uint32_t i = 0; i < e->settings.n_control; i++)
		(void)transport_send(e->links, e->control[i], &msg);
	free(text);
}

/// Sends evidence to the leader; a report is repeated until it is confirmed.
void
en_evidence_tick(struct en *e, uint64_t now_us)
{
	const struct vo_report *report;
	uint64_t stopped[VO_MAX_VERSIONS];
	struct wire_msg msg = { .kind = WIRE_ROLLOUT_STATS };
	uint8_t *bytes;
	size_t n_stopped;
	size_t len;

	if (now_us < e->evidence_sent_us + EN_EVIDENCE_EVERY_US ||
	    !e->subscribed)
		return;
	n_stopped = vo_entry_stopped(e->versions, stopped, VO_MAX_VERSIONS);
	report = vo_entry_report(e->versions);
	if (report == NULL)
		return;
	e->evidence_sent_us = now_us;
	e->evidence_number = report->number;
	vo_encode(report, stopped, n_stopped, &bytes, &len);
	msg.evidence.at = bytes;
	msg.evidence.len = len;
	for (uint32_t i = 0; i < e->settings.n_control; i++) {
		if (e->settings.control[i].id == e->leader)
			(void)transport_send(e->links, e->control[i], &msg);
	}
	free(bytes);
}

/// The leader has counted a report.
void
en_evidence_taken(struct en *e, const struct wire_bytes *b)
{
	struct vo_message *m = g_new(struct vo_message, 1);

	if (vo_decode(b->at, b->len, m) == STATUS_OK)
		vo_entry_acked(e->versions, m->report.number);
	g_free(m);
}
