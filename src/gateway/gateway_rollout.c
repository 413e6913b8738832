#include "gateway/gateway_internal.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "rollout/rollout_codec.h"

#define GATEWAY_EVIDENCE_US (250 * USEC_PER_MSEC)
/// Requests at a server that count as a full load.
#define GATEWAY_FULL_LOAD 16.0

static void
set_table(struct gateway *g, const struct hubmsg_rollout *v)
{
	const uint64_t base = rollout_version_key(v->service, v->base);
	const uint64_t target = rollout_version_key(v->service, v->target);
	struct rollout_split table = {
		.pool = rollout_key(v->service),
		.sequence = v->sequence,
		.base = base,
	};

	table.shares[table.n++] = (struct rollout_share){
		.version = target,
		.permille = MIN(v->permille, ROLLOUT_FULL_PERMILLE),
	};
	table.shares[table.n++] = (struct rollout_share){
		.version = base,
		.permille = ROLLOUT_FULL_PERMILLE - table.shares[0].permille,
	};
	rollout_entry_set_split(g->versions, &table);
}

/// Takes control's word on the moves of services over.
void
gateway_rollout_update(struct gateway *g, const GArray *moves)
{
	for (guint i = 0; i < moves->len; i++) {
		const struct hubmsg_rollout *v =
		    &g_array_index(moves, struct hubmsg_rollout, i);
		struct hubmsg_rollout *kept =
		    g_hash_table_lookup(g->moves, v->service);

		if (kept != NULL && kept->sequence >= v->sequence)
			continue;
		if (kept == NULL) {
			kept = g_new0(struct hubmsg_rollout, 1);
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
gateway_rollout_choose(struct gateway_request *q, struct balancer_request *ask)
{
	struct gateway *g = q->gw;
	const struct hubmsg_rollout *v =
	    g_hash_table_lookup(g->moves, q->service->name);
	const uint64_t hash = XXH64(q->call.id, strlen(q->call.id), 0);

	if (v == NULL)
		return;
	switch (v->state) {
	case HUBMSG_ROLLOUT_ACTIVE:
		if (v->permille > 0 &&
		    rollout_entry_pick(g->versions, rollout_key(v->service),
			hash) == rollout_version_key(v->service, v->target))
			ask->version = v->target;
		else
			ask->not_version = v->target;
		break;
	case HUBMSG_ROLLOUT_DONE:
		ask->version = v->target;
		break;
	case HUBMSG_ROLLOUT_ROLLED_BACK:
		ask->not_version = v->target;
		break;
	case HUBMSG_N_ROLLOUT_STATES:
		break;
	}
}

/// Chooses again when no server has the version that was wanted.
void
gateway_rollout_fall_back(
    const struct gateway_request *q, struct balancer_request *ask)
{
	const struct hubmsg_rollout *v =
	    g_hash_table_lookup(q->gw->moves, q->service->name);

	ask->version = NULL;
	if (v != NULL && v->state == HUBMSG_ROLLOUT_ACTIVE)
		ask->not_version = v->target;
}

/// Counts an answer, or its failure, as evidence on its server's version.
void
gateway_rollout_on_response(struct gateway_request *q, bool failed)
{
	struct gateway *g = q->gw;
	const struct hubmsg_rollout *v =
	    g_hash_table_lookup(g->moves, q->service->name);
	const struct gateway_server *s =
	    g_hash_table_lookup(g->servers, q->server);
	const uint64_t now = loop_now_us(g->loop);
	struct rollout_response a = { .failed = failed };
	struct balancer_server_stats view;

	if (v == NULL || v->state != HUBMSG_ROLLOUT_ACTIVE || s == NULL)
		return;
	a.pool = rollout_key(v->service);
	a.version = rollout_version_key(v->service, s->instance.version);
	a.route = rollout_key(q->route->name);
	if (!failed)
		a.first_token_us =
		    MAX((q->first_us != 0 ? q->first_us : now) - q->sent_us, 1);
	if (balancer_server_stats(g->router, now, s->route, &view))
		a.load_permille = (uint32_t)MIN(
		    view.load / GATEWAY_FULL_LOAD * ROLLOUT_FULL_PERMILLE,
		    ROLLOUT_FULL_PERMILLE);
	if (rollout_entry_record(g->versions, &a)) {
		logger_event(LOGGER_WARN, "version.stopped_here",
		    "service=%s target=%s", v->service, v->target);
		g->next_evidence_us = 0;
	}
}

/// Sends evidence to the leader; a report is repeated until it is confirmed.
void
gateway_rollout_tick(struct gateway *g, uint64_t now_us)
{
	const struct gateway_hub *leader =
	    g_hash_table_lookup(g->hubs, GUINT_TO_POINTER(g->leader));
	struct wire_msg msg = { .kind = WIRE_ROLLOUT_STATS };
	const struct rollout_report *report;
	uint64_t stopped[ROLLOUT_MAX_VERSIONS];
	uint8_t *bytes;
	size_t n;

	if (now_us < g->next_evidence_us || leader == NULL)
		return;
	g->next_evidence_us = now_us + GATEWAY_EVIDENCE_US;
	if (g->evidence_leader != g->leader)
		rollout_entry_resend_all(g->versions);
	g->evidence_leader = g->leader;
	report = rollout_entry_report(g->versions);
	if (report == NULL)
		return;
	n = rollout_entry_stopped(g->versions, stopped, ROLLOUT_MAX_VERSIONS);
	rollout_report_encode(report, stopped, n, &bytes, &msg.evidence.len);
	msg.evidence.at = bytes;
	(void)transport_send(g->links, leader->link, &msg);
	free(bytes);
}

/// The leader has counted a report.
void
gateway_rollout_on_ack(struct gateway *g, const struct wire_bytes *b)
{
	struct rollout_message *m = g_new(struct rollout_message, 1);

	if (rollout_report_decode(b->at, b->len, m) == STATUS_OK)
		rollout_entry_acked(g->versions, m->report.number);
	g_free(m);
}
