#include "gateway/gw_internal.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "rollout/vo_codec.h"

#define GW_EVIDENCE_US (250 * USEC_PER_MSEC)
/// Requests at a server that count as a full load.
#define GW_FULL_LOAD 16.0

static void
set_table(struct gw *g, const struct lm_move *v)
{
	const uint64_t base = vo_version_key(v->service, v->base);
	const uint64_t target = vo_version_key(v->service, v->target);
	struct vo_table table = {
		.pool = vo_key(v->service),
		.sequence = v->sequence,
		.base = base,
	};

	table.shares[table.n++] = (struct vo_share){
		.version = target,
		.permille = MIN(v->permille, VO_FULL_PERMILLE),
	};
	table.shares[table.n++] = (struct vo_share){
		.version = base,
		.permille = VO_FULL_PERMILLE - table.shares[0].permille,
	};
	vo_entry_set(g->versions, &table);
}

/// Takes control's word on the moves of services over.
void
gw_moves_take(struct gw *g, const GArray *moves)
{
	for (guint i = 0; i < moves->len; i++) {
		const struct lm_move *v =
		    &g_array_index(moves, struct lm_move, i);
		struct lm_move *kept =
		    g_hash_table_lookup(g->moves, v->service);

		if (kept != NULL && kept->sequence >= v->sequence)
			continue;
		if (kept == NULL) {
			kept = g_new0(struct lm_move, 1);
			(void)g_hash_table_insert(
			    g->moves, g_strdup(v->service), kept);
		}
		*kept = *v;
		logger_event(LOGGER_INFO, "version.share",
		    "service=%s target=%s state=%d permille=%u", v->service,
		    v->target, (int)v->state, v->permille);
		set_table(g, v);
	}
}

/// Which versions a request may go to.
///
/// @param ask  receives a version, or one that is excluded
void
gw_moves_choose(struct gw_request *q, struct ro_ask *ask)
{
	struct gw *g = q->gw;
	const struct lm_move *v =
	    g_hash_table_lookup(g->moves, q->service->name);
	const uint64_t hash = XXH64(q->call.id, strlen(q->call.id), 0);

	if (v == NULL)
		return;
	switch (v->state) {
	case LM_MOVING:
		if (v->permille > 0 &&
		    vo_entry_pick(g->versions, vo_key(v->service), hash) ==
			vo_version_key(v->service, v->target))
			ask->version = v->target;
		else
			ask->not_version = v->target;
		break;
	case LM_MOVED:
		ask->version = v->target;
		break;
	case LM_TAKEN_BACK:
		ask->not_version = v->target;
		break;
	case LM_MOVE_STATES:
		break;
	}
}

/// Chooses again when no server has the version that was wanted.
void
gw_moves_fall_back(const struct gw_request *q, struct ro_ask *ask)
{
	const struct lm_move *v =
	    g_hash_table_lookup(q->gw->moves, q->service->name);

	ask->version = NULL;
	if (v != NULL && v->state == LM_MOVING)
		ask->not_version = v->target;
}

/// Counts an answer, or its failure, as evidence on its server's version.
void
gw_moves_answer(struct gw_request *q, bool failed)
{
	struct gw *g = q->gw;
	const struct lm_move *v =
	    g_hash_table_lookup(g->moves, q->service->name);
	const struct gw_server *s = g_hash_table_lookup(g->servers, q->server);
	const uint64_t now = loop_now_us(g->loop);
	struct vo_answer a = { .failed = failed };
	struct ro_view view;

	if (v == NULL || v->state != LM_MOVING || s == NULL)
		return;
	a.pool = vo_key(v->service);
	a.version = vo_version_key(v->service, s->sv.version);
	a.route = vo_key(q->route->name);
	if (!failed)
		a.first_token_us =
		    MAX((q->first_us != 0 ? q->first_us : now) - q->sent_us, 1);
	if (ro_view(g->router, now, s->route, &view))
		a.load_permille =
		    (uint32_t)MIN(view.load / GW_FULL_LOAD * VO_FULL_PERMILLE,
			VO_FULL_PERMILLE);
	if (vo_entry_answer(g->versions, &a)) {
		logger_event(LOGGER_WARN, "version.stopped_here",
		    "service=%s target=%s", v->service, v->target);
		g->next_evidence_us = 0;
	}
}

/// Sends evidence to the leader; a report is repeated until it is confirmed.
void
gw_moves_tick(struct gw *g, uint64_t now_us)
{
	const struct gw_hub *leader =
	    g_hash_table_lookup(g->hubs, GUINT_TO_POINTER(g->leader));
	struct wire_msg msg = { .kind = WIRE_ROLLOUT_STATS };
	const struct vo_report *report;
	uint64_t stopped[VO_MAX_VERSIONS];
	uint8_t *bytes;
	size_t n;

	if (now_us < g->next_evidence_us || leader == NULL)
		return;
	g->next_evidence_us = now_us + GW_EVIDENCE_US;
	if (g->evidence_leader != g->leader)
		vo_entry_resend_all(g->versions);
	g->evidence_leader = g->leader;
	report = vo_entry_report(g->versions);
	if (report == NULL)
		return;
	n = vo_entry_stopped(g->versions, stopped, VO_MAX_VERSIONS);
	vo_encode(report, stopped, n, &bytes, &msg.evidence.len);
	msg.evidence.at = bytes;
	(void)transport_send(g->links, leader->link, &msg);
	free(bytes);
}

/// The leader has counted a report.
void
gw_moves_confirmed(struct gw *g, const struct wire_bytes *b)
{
	struct vo_message *m = g_new(struct vo_message, 1);

	if (vo_decode(b->at, b->len, m) == STATUS_OK)
		vo_entry_acked(g->versions, m->report.number);
	g_free(m);
}
